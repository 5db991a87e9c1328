/// \file
/// Rows that a VM fetches from its peers, and the refused fractions that it
/// exchanges with them, over real sockets on loopback.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/peers.h"
#include "support/server_side.h"

#include <boost/asio/write.hpp>

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

constexpr const char *OwnAddress = "127.0.9.1:18182";

class DeadStore final : public RowStore {
public:
  awaitable<StoreResult> read(std::string) override { co_return StoreResult(); }
  awaitable<StoreResult> changes(std::string, std::uint64_t,
                                 Duration) override {
    co_return StoreResult();
  }
  void endChangesCall(const std::string &) override {}
  awaitable<StoreResult> write(StoreWrite) override { co_return StoreResult(); }
};

/// \brief Answers the first read of each table, and no later call.
class HangingStore final : public RowStore {
public:
  explicit HangingStore(asio::io_context &Io) : m_Io(Io) {}
  awaitable<StoreResult> read(std::string Table) override {
    StoreResult Result;
    if (m_HasRead.insert(Table).second) {
      Result.m_CallStatus = StoreCallStatus::Done;
      Result.m_Version = 1;
      co_return Result;
    }
    co_return co_await hang();
  }
  awaitable<StoreResult> changes(std::string, std::uint64_t,
                                 Duration) override {
    return hang();
  }
  void endChangesCall(const std::string &) override {}
  awaitable<StoreResult> write(StoreWrite) override { return hang(); }

private:
  awaitable<StoreResult> hang() {
    co_await sleepFor(m_Io, 20s);
    co_return StoreResult();
  }

  asio::io_context &m_Io;
  std::set<std::string> m_HasRead;
};

OperatorRow decodeOperator(const StoreRow &) { return {}; }
/// \brief A configuration whose version is the row's.
OperatorRow decodeRoutes(const StoreRow &Row) {
  auto Routes = std::make_shared<RouteTable>();
  Routes->m_Version = Row.m_Version;
  OperatorRow Result;
  Result.m_Kind = OperatorRow::Kind::Routes;
  Result.m_Routes = Routes;
  return Result;
}
UpstreamRow decodeUpstream(const StoreRow &Row,
                           const std::map<FailureDomainName, RegionName> &) {
  UpstreamRow Result;
  Result.m_Facts.emplace();
  Result.m_Facts->m_Id = Row.m_Key;
  return Result;
}

GatewaySettings settings() {
  GatewaySettings Result;
  Result.m_Vm = VmName("self");
  Result.m_PeerAddress = OwnAddress;
  return Result;
}

/// \brief A peer that says it has read the store, and is asked for its rows.
class Peer {
public:
  /// \param Answers Whether it answers.
  Peer(asio::io_context &Io, const std::string &Ip, bool Answers)
      : m_Io(Io), m_Address(Ip + ":18182"),
        m_Acceptor(Io, parseEndpoint<Tcp>(m_Address).value()), m_Beats(Io) {
    m_Beats.open(Udp::v4());
    m_Beats.bind(parseEndpoint<Udp>(m_Address).value());
    m_Beats.non_blocking(true);
    test::acceptEach(Io, m_Acceptor, [this, Answers](Tcp::socket Asked) {
      auto Socket = std::make_shared<Tcp::socket>(std::move(Asked));
      test::spawn(m_Io,
                  [this, Answers, Socket]() { return serve(Socket, Answers); });
    });
  }

  /// \brief Resets each connection after the rows.
  void resetAfterRows() { m_Resets = true; }
  [[nodiscard]] unsigned resets() const { return m_ResetCount; }

  void sendHeartbeat(std::vector<ServiceShare> Shares = {}) {
    Heartbeat Beat;
    Beat.m_ServiceShares = std::move(Shares);
    Beat.m_Sender.m_Vm = VmName(m_Address);
    Beat.m_Sender.m_Incarnation = 1;
    Beat.m_Sender.m_PeerAddress = m_Address;
    Beat.m_Sender.m_Ready = true;
    Beat.m_Sender.m_FollowsStore = true;
    Beat.m_SyncedVersions = {9, 9, 9};
    std::string Bytes = encodeHeartbeat(Beat);
    NetError Ignored;
    m_Beats.send_to(asio::buffer(Bytes), parseEndpoint<Udp>(OwnAddress).value(),
                    0, Ignored);
  }

  /// \brief The next heartbeat that has arrived, if any.
  std::optional<Heartbeat> receive() {
    std::string Bytes(65536, '\0');
    NetError Error;
    Udp::endpoint Sender;
    std::size_t Size =
        m_Beats.receive_from(asio::buffer(Bytes), Sender, 0, Error);
    return Error ? std::nullopt
                 : decodeHeartbeat(std::string_view(Bytes).substr(0, Size));
  }

private:
  awaitable<void> serve(std::shared_ptr<Tcp::socket> Socket, bool Answers) {
    char Buffer[4096];
    NetError Error;
    while (!Error)
      co_await Socket->async_read_some(asio::buffer(Buffer), noThrow(Error));
    if (!Answers)
      co_await sleepFor(m_Io, 10s);
    RelayedRows Rows;
    Rows.m_Rows = {{{"up", "u", "", 5, false}, false}};
    Rows.m_SyncedVersions = {9, 9, 9};
    std::string Bytes = encodeRows(Rows);
    co_await asio::async_write(*Socket, asio::buffer(Bytes), noThrow(Error));
    if (!m_Resets)
      co_return;
    co_await sleepFor(m_Io, 20ms);
    Socket->set_option(asio::socket_base::linger(true, 0), Error);
    Socket->close(Error);
    ++m_ResetCount;
  }

  asio::io_context &m_Io;
  std::string m_Address;
  Tcp::acceptor m_Acceptor;
  Udp::socket m_Beats;
  bool m_Resets = false;
  unsigned m_ResetCount = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PeerRows)

// Guards against changes that are heard of two seconds late: the peer that was
// asked for rows is suspended, and the answers of others weren't sought.
BOOST_AUTO_TEST_CASE(SilentPeerDoesntHoldUpTheRowsOfAnother) {
  asio::io_context Io;
  WireFormat Format{};
  DeadStore Store;
  GatewayState State(Io, settings(), Format,
                     {decodeOperator, decodeUpstream, {"op", "up", "vm"}});
  UpstreamPool Pool(Io);
  StoreReplica Replica(State, Pool, Store);
  PeerService Service(State, Replica);
  BOOST_REQUIRE(!Service.start(AddressBinder(0s)));
  Peer Silent(Io, "127.0.9.2", false);
  Peer Sound(Io, "127.0.9.3", true);
  Silent.sendHeartbeat();
  Io.run_for(std::chrono::milliseconds(100));
  TimePoint Begin = steadyNow();
  while (!State.m_Upstreams.find("u") && steadyNow() - Begin < 3s) {
    Silent.sendHeartbeat();
    Sound.sendHeartbeat();
    Io.run_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST((steadyNow() - Begin < 1200ms));
}

// Guards against a reader that goes on under an old configuration, and sends
// requests where it allowed them, until its call of a silent store times out:
// the highest-ranked reader of a region took no rows from its peers.
BOOST_AUTO_TEST_CASE(FirstReaderOfASilentStoreTakesRowsFromPeers) {
  asio::io_context Io;
  WireFormat Format{};
  HangingStore Store(Io);
  GatewayState State(Io, settings(), Format,
                     {decodeOperator, decodeUpstream, {"op", "up", "vm"}});
  UpstreamPool Pool(Io);
  StoreReplica Replica(State, Pool, Store);
  PeerService Service(State, Replica);
  BOOST_REQUIRE(!Service.start(AddressBinder(0s)));
  Replica.start();
  Io.run_for(std::chrono::milliseconds(100));
  BOOST_TEST(Replica.readsStore());
  Peer Sound(Io, "127.0.9.6", true);
  TimePoint Begin = steadyNow();
  while (!State.m_Upstreams.find("u") && steadyNow() - Begin < 3s) {
    Sound.sendHeartbeat();
    Io.run_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST((steadyNow() - Begin < 1200ms));
  BOOST_TEST(State.m_Fleet.isFirstReader(steadyNow()));
}

// Guards against VMs that use an old configuration for a second longer than the
// reader that told them of the new one: it waited for its next heartbeats.
BOOST_AUTO_TEST_CASE(NewConfigurationIsReportedWithoutDelay) {
  asio::io_context Io;
  WireFormat Format{};
  DeadStore Store;
  GatewayState State(Io, settings(), Format,
                     {decodeRoutes, decodeUpstream, {"op", "up", "vm"}});
  UpstreamPool Pool(Io);
  StoreReplica Replica(State, Pool, Store);
  unsigned Reports = 0;
  State.m_OnNews = [&Reports] { ++Reports; };
  auto Apply = [&Replica](std::uint64_t Version) {
    RelayedRows Rows;
    Rows.m_Rows = {{{"op", "config", "", Version, false}, false}};
    Rows.m_SyncedVersions = {Version, Version, Version};
    Replica.applyRelayedRows(Rows);
  };
  Apply(5);
  BOOST_TEST(State.routesVersion() == 5U);
  BOOST_TEST(Reports == 1U);
  Apply(5);
  BOOST_TEST(Reports == 1U);
  Apply(6);
  BOOST_TEST(Reports == 2U);
}

// Guards against a part of the rows that passes for all of them.
BOOST_AUTO_TEST_CASE(RowsBeforeAResetAreNotApplied) {
  asio::io_context Io;
  WireFormat Format{};
  DeadStore Store;
  GatewayState State(Io, settings(), Format,
                     {decodeOperator, decodeUpstream, {"op", "up", "vm"}});
  UpstreamPool Pool(Io);
  StoreReplica Replica(State, Pool, Store);
  PeerService Service(State, Replica);
  BOOST_REQUIRE(!Service.start(AddressBinder(0s)));
  Peer Broken(Io, "127.0.9.5", true);
  Broken.resetAfterRows();
  for (TimePoint Begin = steadyNow();
       Broken.resets() < 2 && steadyNow() - Begin < 3s;) {
    Broken.sendHeartbeat();
    Io.run_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(Broken.resets() >= 2U);
  BOOST_TEST(!State.m_Upstreams.find("u"));
}

// Guards against VMs of a region that refuse different requests: a share that
// isn't adjusted isn't sent to the own region, but the refused fraction is.
BOOST_AUTO_TEST_CASE(RefusedFractionsReachTheRegionWithoutAdjustedShares) {
  const ServiceName Stock{"stock"};
  asio::io_context Io;
  WireFormat Format{};
  DeadStore Store;
  GatewayState State(Io, settings(), Format,
                     {decodeOperator, decodeUpstream, {"op", "up", "vm"}});
  UpstreamPool Pool(Io);
  StoreReplica Replica(State, Pool, Store);
  PeerService Service(State, Replica);
  BOOST_REQUIRE(!Service.start(AddressBinder(0s)));
  AdmissionControl &Control = State.m_Admission.of(Stock);
  auto Step = [&Control](TimePoint Now) {
    for (int I = 0; I < 20; ++I)
      Control.recordOffered(Priority(I % 2), Now);
    Control.update(1, Now, AdmissionTuning());
  };
  Control.receivedPeerFraction(0.4);
  Step(steadyNow());
  Peer Other(Io, "127.0.9.4", true);
  ServiceShare Told;
  Told.m_ServiceHash = AdmissionControls::messageKey(Stock);
  Told.m_RefusedFraction = 0.2;
  Other.sendHeartbeat({Told});
  std::optional<Heartbeat> Heard;
  for (TimePoint Begin = steadyNow(); !Heard && steadyNow() - Begin < 3s;
       Heard = Other.receive())
    Io.run_for(std::chrono::milliseconds(20));
  BOOST_REQUIRE(Heard.has_value());
  BOOST_REQUIRE(Heard->m_ServiceShares.size() == 1U);
  const ServiceShare &Entry = Heard->m_ServiceShares.front();
  BOOST_TEST(Entry.m_ServiceHash == Told.m_ServiceHash);
  BOOST_TEST(std::abs(Entry.m_RefusedFraction - 0.4) < 0.01);
  Step(steadyNow() + 1s);
  BOOST_TEST(Control.fractionToSend().value() < 0.35);
}

BOOST_AUTO_TEST_SUITE_END()
