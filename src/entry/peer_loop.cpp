/// \file
/// The peer thread's event loop.
#include "entry/peer_loop.h"

#include "entry/load_poller.h"
#include "entry/peer_links.h"
#include "entry/peer_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/debug.h>

#include <future>

namespace mustardspoke {
namespace {

constexpr kj::Duration TickEvery = 5 * kj::MILLISECONDS;
constexpr kj::Duration BeatEvery = 500 * kj::MILLISECONDS;
constexpr kj::Duration PollEvery = 1 * kj::SECONDS;
constexpr kj::Duration FetchEvery = 200 * kj::MILLISECONDS;
constexpr std::size_t TicketsPerBatch = 500;
constexpr int HandoverTries = 5;

class LogErrors final : public kj::TaskSet::ErrorHandler {
public:
  void taskFailed(kj::Exception &&Failure) override {
    logEvent(LogLevel::Error, "peer-task-failed",
             {{"cause", Failure.getDescription().cStr()}});
  }
};

/// Calls \p Action at a steady pace, for ever.
template <class F>
kj::Promise<void> repeat(kj::Timer &Timer, kj::Duration Every, F Action) {
  return Timer.afterDelay(Every).then([&Timer, Every, Action]() mutable {
    Action();
    return repeat(Timer, Every, Action);
  });
}

} // namespace

struct PeerLoop::Impl {
  Impl(Shared &Core, kj::AsyncIoContext &Io)
      : m_Core(Core), m_Timer(Io.provider->getTimer()),
        m_Links(Io.provider->getNetwork(), m_Timer), m_Tasks(m_Errors),
        m_Poller(Core, Io.provider->getNetwork(), m_Timer),
        m_Server(kj::heap<PeerServer>(Core)) {}

  void start(kj::AsyncIoContext &Io) {
    auto Address = Io.provider->getNetwork()
                       .parseAddress(m_Core.settings().m_PeerAddress)
                       .wait(Io.waitScope);
    m_Listener = Address->listen();
    m_Tasks.add(m_Server.listen(*m_Listener));
    m_Tasks.add(repeat(m_Timer, TickEvery,
                       [this] { m_Core.access()->tick(monotonicNow()); }));
    m_Tasks.add(repeat(m_Timer, BeatEvery, [this] { m_Tasks.add(beat()); }));
    m_Tasks.add(
        repeat(m_Timer, PollEvery, [this] { m_Tasks.add(m_Poller.poll()); }));
    m_Tasks.add(repeat(m_Timer, PollEvery, [this] { sampleHeadroom(); }));
    m_Tasks.add(
        repeat(m_Timer, FetchEvery, [this] { m_Tasks.add(fetchBundle()); }));
  }

  kj::Promise<void> beat() {
    std::vector<std::string> Peers;
    GossipPush Push;
    {
      auto Core = m_Core.access();
      Peers = Core->heartbeat(monotonicNow());
      Push = Core->makeGossipPush();
    }
    for (const std::string &First : m_Core.settings().m_Peers)
      if (Peers.empty())
        Peers.push_back(First);
    auto All = kj::heapArrayBuilder<kj::Promise<void>>(Peers.size());
    for (const std::string &Peer : Peers)
      All.add(gossipWith(Peer, Push));
    return kj::joinPromises(All.finish());
  }

  kj::Promise<void> gossipWith(const std::string &Peer,
                               const GossipPush &Push) {
    TimePoint SentAt = monotonicNow();
    return m_Links.gossip(Peer, Push)
        .then(
            [this, SentAt](const GossipReply &Reply) {
              m_Core.access()->onGossipReply(Reply, SentAt, monotonicNow());
            },
            [](kj::Exception && /*Unreachable*/) {});
  }

  /// Asks a VM that has a newer bundle for it; the store may be down.
  kj::Promise<void> fetchBundle() {
    std::uint64_t Wanted = 0;
    std::string From;
    {
      auto Core = m_Core.access();
      auto Version = Core->bundleToFetch();
      if (!Version)
        return kj::READY_NOW;
      Wanted = *Version;
      TimePoint Now = monotonicNow();
      for (const auto &[Vm, Other] : Core->members().others())
        if (Other.m_Info.m_BundleVersion >= Wanted &&
            Core->members().isAlive(Vm, Now))
          From = Other.m_Info.m_PeerAddress;
    }
    if (From.empty())
      return kj::READY_NOW;
    return m_Links.bundle(From, Wanted)
        .then(
            [this](kj::Maybe<std::string> Document) {
              KJ_IF_MAYBE (Text, Document)
                m_Core.adoptDocument(*Text, "peer");
            },
            [](kj::Exception && /*Unreachable*/) {});
  }

  void sampleHeadroom() {
    std::vector<ServiceHeadroom> Samples =
        m_Core.access()->headrooms(monotonicNow());
    for (const ServiceHeadroom &Sample : Samples)
      m_Core.metrics().recordHeadroom(Sample.m_Service, Sample.m_Units);
  }

  kj::Promise<bool> handOver() {
    std::string To;
    TicketHandover All;
    {
      auto Core = m_Core.access();
      TimePoint Now = monotonicNow();
      const MemberInfo *Next = Core->successor(Now);
      if (!Next)
        return true;
      To = Next->m_PeerAddress;
      All = Core->handOverTickets(Next->m_Identity, Now);
    }
    auto Records = std::make_shared<TicketHandover>(std::move(All));
    return sendBatch(To, Records, 0, HandoverTries);
  }

  /// Only ever to the same successor: two must not answer for one ticket.
  kj::Promise<bool> sendBatch(const std::string &To,
                              std::shared_ptr<TicketHandover> All,
                              std::size_t From, int TriesLeft) {
    std::size_t Past = std::min(From + TicketsPerBatch, All->m_Records.size());
    bool IsLast = Past == All->m_Records.size();
    TicketHandover Batch;
    Batch.m_Records.assign(All->m_Records.begin() + std::ptrdiff_t(From),
                           All->m_Records.begin() + std::ptrdiff_t(Past));
    if (IsLast)
      Batch.m_Incarnations = All->m_Incarnations;
    return m_Links.takeOver(To, Batch).then(
        [this, To, All, Past, IsLast,
         TriesLeft]() mutable -> kj::Promise<bool> {
          if (IsLast)
            return true;
          return sendBatch(To, std::move(All), Past, TriesLeft);
        },
        [this, To, All, From,
         TriesLeft](kj::Exception && /*Lost*/) mutable -> kj::Promise<bool> {
          if (TriesLeft <= 1)
            return false;
          return sendBatch(To, std::move(All), From, TriesLeft - 1);
        });
  }

  Shared &m_Core;
  kj::Timer &m_Timer;
  PeerLinks m_Links;
  LogErrors m_Errors;
  kj::TaskSet m_Tasks;
  LoadPoller m_Poller;
  capnp::TwoPartyServer m_Server;
  kj::Own<kj::ConnectionReceiver> m_Listener;
  kj::Own<const kj::Executor> m_Executor;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_Stop;
};

PeerLoop::PeerLoop(Shared &Core) : m_Core(Core) {
  std::promise<void> Started;
  auto Ready = Started.get_future();
  m_Thread = std::thread([this, &Started] { run(Started); });
  try {
    Ready.get();
  } catch (...) {
    m_Thread.join();
    throw;
  }
}

PeerLoop::~PeerLoop() {
  m_Impl->m_Stop->fulfill();
  m_Thread.join();
}

void PeerLoop::run(std::promise<void> &Started) {
  auto Io = kj::setupAsyncIo();
  auto Stop = kj::newPromiseAndCrossThreadFulfiller<void>();
  try {
    m_Impl = std::make_unique<Impl>(m_Core, Io);
    m_Impl->m_Stop = kj::mv(Stop.fulfiller);
    m_Impl->m_Executor = kj::getCurrentThreadExecutor().addRef();
    m_Impl->start(Io);
  } catch (const kj::Exception &Failure) {
    m_Impl.reset();
    Started.set_exception(std::make_exception_ptr(std::runtime_error(
        "can't listen for peers on " + m_Core.settings().m_PeerAddress + ": " +
        Failure.getDescription().cStr())));
    return;
  }
  Started.set_value();
  Stop.promise.wait(Io.waitScope);
  m_Impl.reset();
}

void PeerLoop::beatNow() {
  m_Impl->m_Executor->executeSync([this] { return m_Impl->beat(); });
}

bool PeerLoop::handOverTickets() {
  return m_Impl->m_Executor->executeSync([this] { return m_Impl->handOver(); });
}

} // namespace mustardspoke
