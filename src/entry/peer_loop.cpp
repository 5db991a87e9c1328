/// \file
/// Event loop of the peer thread.
#include "entry/peer_loop.h"

#include "entry/load_poller.h"
#include "entry/peer_client.h"
#include "entry/peer_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/debug.h>

#include <future>

namespace mustardspoke {
namespace {

constexpr kj::Duration TickInterval = 5 * kj::MILLISECONDS;
constexpr kj::Duration HeartbeatInterval = 500 * kj::MILLISECONDS;
constexpr kj::Duration PollInterval = 1 * kj::SECONDS;
constexpr kj::Duration BundleFetchInterval = 200 * kj::MILLISECONDS;
constexpr std::size_t MaxTicketsPerBatch = 500;
constexpr int MaxHandoverTries = 5;

class TaskErrorLogger final : public kj::TaskSet::ErrorHandler {
public:
  void taskFailed(kj::Exception &&Failure) override {
    logEvent(LogLevel::Error, "peer-task-failed",
             {{"cause", Failure.getDescription().cStr()}});
  }
};

/// Calls \p Action periodically until the promise is cancelled.
template <class F>
kj::Promise<void> repeat(kj::Timer &Timer, kj::Duration Interval, F Action) {
  return Timer.afterDelay(Interval).then([&Timer, Interval, Action]() mutable {
    Action();
    return repeat(Timer, Interval, Action);
  });
}

} // namespace

struct PeerLoop::Impl {
  Impl(SharedNode &Core, kj::AsyncIoContext &Io)
      : m_Core(Core), m_Timer(Io.provider->getTimer()),
        m_PeerClient(Io.provider->getNetwork(), m_Timer),
        m_Tasks(m_ErrorLogger),
        m_Poller(Core, Io.provider->getNetwork(), m_Timer),
        m_Server(kj::heap<PeerServer>(Core)) {}

  void start(kj::AsyncIoContext &Io) {
    auto Address = Io.provider->getNetwork()
                       .parseAddress(m_Core.settings().m_PeerAddress)
                       .wait(Io.waitScope);
    m_Listener = Address->listen();
    m_Tasks.add(m_Server.listen(*m_Listener));
    m_Tasks.add(repeat(m_Timer, TickInterval,
                       [this] { m_Core.access()->tick(monotonicNow()); }));
    m_Tasks.add(repeat(m_Timer, HeartbeatInterval,
                       [this] { m_Tasks.add(exchangeHeartbeats()); }));
    m_Tasks.add(repeat(m_Timer, PollInterval,
                       [this] { m_Tasks.add(m_Poller.poll()); }));
    m_Tasks.add(repeat(m_Timer, PollInterval, [this] { sampleHeadroom(); }));
    m_Tasks.add(repeat(m_Timer, BundleFetchInterval,
                       [this] { m_Tasks.add(fetchBundle()); }));
  }

  kj::Promise<void> exchangeHeartbeats() {
    std::vector<std::string> Peers;
    GossipPush Push;
    {
      auto Core = m_Core.access();
      Peers = Core->heartbeat(monotonicNow());
      Push = Core->makeGossipPush();
    }
    for (const std::string &Seed : m_Core.settings().m_SeedPeers)
      if (Peers.empty())
        Peers.push_back(Seed);
    auto Exchanges = kj::heapArrayBuilder<kj::Promise<void>>(Peers.size());
    for (const std::string &Peer : Peers)
      Exchanges.add(gossipWith(Peer, Push));
    return kj::joinPromises(Exchanges.finish());
  }

  kj::Promise<void> gossipWith(const std::string &Peer,
                               const GossipPush &Push) {
    TimePoint SentAt = monotonicNow();
    return m_PeerClient.gossip(Peer, Push)
        .then(
            [this, SentAt](const GossipReply &Reply) {
              m_Core.access()->onGossipReply(Reply, SentAt, monotonicNow());
            },
            [](kj::Exception && /*Unreachable*/) {});
  }

  /// Fetches a newer bundle from a VM that has it. This works while the store
  /// is unavailable.
  kj::Promise<void> fetchBundle() {
    std::uint64_t MinVersion = 0;
    std::string PeerAddress;
    {
      auto Core = m_Core.access();
      auto WantedVersion = Core->bundleToFetch();
      if (!WantedVersion)
        return kj::READY_NOW;
      MinVersion = *WantedVersion;
      TimePoint Now = monotonicNow();
      for (const auto &[Vm, Other] : Core->members().others())
        if (Other.m_Info.m_BundleVersion >= MinVersion &&
            Core->members().isAlive(Vm, Now))
          PeerAddress = Other.m_Info.m_PeerAddress;
    }
    if (PeerAddress.empty())
      return kj::READY_NOW;
    return m_PeerClient.bundle(PeerAddress, MinVersion)
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
    std::string SuccessorAddress;
    TicketHandover Handover;
    {
      auto Core = m_Core.access();
      TimePoint Now = monotonicNow();
      const MemberInfo *Successor = Core->successor(Now);
      if (!Successor)
        return true;
      SuccessorAddress = Successor->m_PeerAddress;
      Handover = Core->handOverTickets(Successor->m_Identity, Now);
    }
    auto SharedHandover = std::make_shared<TicketHandover>(std::move(Handover));
    return sendBatch(SuccessorAddress, SharedHandover, 0, MaxHandoverTries);
  }

  /// Sends the records from \p Begin on, in batches. Failed batches are retried
  /// only with the same successor, since two VMs must never own one ticket.
  kj::Promise<bool> sendBatch(const std::string &SuccessorAddress,
                              std::shared_ptr<TicketHandover> Handover,
                              std::size_t Begin, int TriesLeft) {
    std::size_t End =
        std::min(Begin + MaxTicketsPerBatch, Handover->m_Records.size());
    bool IsLast = End == Handover->m_Records.size();
    TicketHandover Batch;
    Batch.m_Records.assign(Handover->m_Records.begin() + std::ptrdiff_t(Begin),
                           Handover->m_Records.begin() + std::ptrdiff_t(End));
    if (IsLast)
      Batch.m_Incarnations = Handover->m_Incarnations;
    return m_PeerClient.takeOver(SuccessorAddress, Batch)
        .then(
            [this, SuccessorAddress, Handover, End, IsLast,
             TriesLeft]() mutable -> kj::Promise<bool> {
              if (IsLast)
                return true;
              return sendBatch(SuccessorAddress, std::move(Handover), End,
                               TriesLeft);
            },
            [this, SuccessorAddress, Handover, Begin, TriesLeft](
                kj::Exception && /*Lost*/) mutable -> kj::Promise<bool> {
              if (TriesLeft <= 1)
                return false;
              return sendBatch(SuccessorAddress, std::move(Handover), Begin,
                               TriesLeft - 1);
            });
  }

  SharedNode &m_Core;
  kj::Timer &m_Timer;
  PeerClient m_PeerClient;
  TaskErrorLogger m_ErrorLogger;
  kj::TaskSet m_Tasks;
  LoadPoller m_Poller;
  capnp::TwoPartyServer m_Server;
  kj::Own<kj::ConnectionReceiver> m_Listener;
  kj::Own<const kj::Executor> m_Executor;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_Stop;
};

PeerLoop::PeerLoop(SharedNode &Core) : m_Core(Core) {
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

void PeerLoop::exchangeHeartbeatsNow() {
  m_Impl->m_Executor->executeSync(
      [this] { return m_Impl->exchangeHeartbeats(); });
}

bool PeerLoop::handOverTickets() {
  return m_Impl->m_Executor->executeSync([this] { return m_Impl->handOver(); });
}

} // namespace mustardspoke
