/// \file
/// Store rows: which ones are newer than the known state, and their effect.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/store_replica.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

/// \brief A store that answers calls until it is told to fail.
class FakeStore final : public RowStore {
public:
  awaitable<StoreResult> read(std::string) override { co_return result(); }
  awaitable<StoreResult> changes(std::string, std::uint64_t,
                                 Duration) override {
    co_return result();
  }
  awaitable<StoreResult> write(StoreWrite) override { co_return result(); }
  void endChangesCall(const std::string &) override {}
  bool m_Fails = false;
  std::uint64_t m_Version = 1;

private:
  [[nodiscard]] StoreResult result() const {
    StoreResult Result;
    Result.m_CallStatus =
        m_Fails ? StoreCallStatus::Unknown : StoreCallStatus::Done;
    Result.m_Version = m_Version;
    return Result;
  }
};

UpstreamRow decodeAnyUpstream(const StoreRow &Row,
                              const std::map<FailureDomainName, RegionName> &) {
  UpstreamRow Result;
  Result.m_Facts.emplace();
  Result.m_Facts->m_Id = Row.m_Key;
  Result.m_Facts->m_Service = ServiceName("s");
  return Result;
}
/// \brief Takes every operator row for the evacuation of the domain it names.
OperatorRow decodeAnyEvacuation(const StoreRow &Row) {
  OperatorRow Result;
  Result.m_Kind = OperatorRow::Kind::Evacuation;
  Result.m_Evacuated = FailureDomainName(Row.m_Key);
  return Result;
}

struct ReplicaRig {
  ReplicaRig()
      : m_State(m_Io, GatewaySettings(), m_WireFormat,
                {decodeAnyEvacuation, decodeAnyUpstream, {"op", "up", "vm"}}),
        m_Pool(m_Io), m_Replica(m_State, m_Pool, m_Store) {
    // The store was reachable once and has been lost since.
    m_Replica.start();
    m_Io.run_for(std::chrono::milliseconds(20));
    m_Store.m_Fails = true;
    m_Io.run_for(std::chrono::milliseconds(600));
  }
  void relayRow(bool Removed, bool Tentative, std::uint64_t Version) {
    RelayedRows Rows;
    Rows.m_Rows = {{{"up", "u", "", Version, Removed}, Tentative}};
    m_Replica.applyRelayedRows(Rows);
  }
  [[nodiscard]] bool known() const {
    return m_State.m_Upstreams.find("u") != nullptr;
  }

  asio::io_context m_Io;
  WireFormat m_WireFormat{};
  FakeStore m_Store;
  GatewayState m_State;
  UpstreamPool m_Pool;
  StoreReplica m_Replica;
};

/// \brief A store that falls silent. Feed calls that are made in the silence
/// are never answered: keep-alive probes end them if it lasts, else the timeout
/// of the call.
class SilentStore final : public RowStore {
public:
  explicit SilentStore(asio::io_context &Io) : m_Io(Io) {}
  awaitable<StoreResult> read(std::string Table) override {
    StoreResult Result;
    if (m_IsSilent) {
      co_await sleepFor(m_Io, 100ms);
      co_return Result;
    }
    Result.m_CallStatus = StoreCallStatus::Done;
    Result.m_Version = m_Version;
    if (Table == "up" && m_HasRow)
      Result.m_Rows.push_back({"up", "u", "", 1, false});
    co_return Result;
  }
  awaitable<StoreResult> changes(std::string Table, std::uint64_t After,
                                 Duration Wait) override {
    bool IsSwallowed = m_IsSilent;
    StoreResult Result;
    TimePoint Begin = steadyNow();
    TimePoint End = Begin + Wait + (IsSwallowed ? 1500ms : 0ms);
    m_IsEnded[Table] = false;
    while (steadyNow() < End) {
      co_await sleepFor(m_Io, 20ms);
      if (m_IsEnded[Table])
        co_return Result;
      if (m_IsSilent && steadyNow() - Begin > KeepAliveTime)
        break;
      bool HasNews = !IsSwallowed && Table == "up" && !m_HasRow;
      if (HasNews && After < m_Version) {
        Result.m_CallStatus = StoreCallStatus::Done;
        Result.m_Version = m_Version;
        Result.m_Rows.push_back({"up", "u", "", m_Version, true});
        co_return Result;
      }
    }
    if (!IsSwallowed)
      Result.m_CallStatus = StoreCallStatus::Done;
    Result.m_Version = After;
    co_return Result;
  }
  awaitable<StoreResult> write(StoreWrite) override {
    StoreResult Result;
    Result.m_CallStatus = StoreCallStatus::Done;
    Result.m_Version = m_Version;
    co_return Result;
  }
  void endChangesCall(const std::string &Table) override {
    m_IsEnded[Table] = true;
  }
  bool m_IsSilent = false;
  bool m_HasRow = true;
  std::uint64_t m_Version = 5;

private:
  asio::io_context &m_Io;
  std::map<std::string, bool> m_IsEnded; ///< By table: the call that waits.
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreRows)

// Guards against requests to upstreams that have left: a feed call made in the
// last moments of a silent outage is waited for long after it. Full reads find
// what it misses.
BOOST_AUTO_TEST_CASE(CallMadeInTheLastMomentsOfASilentOutageHidesNoRemoval) {
  asio::io_context Io;
  WireFormat Format{};
  SilentStore Store(Io);
  GatewayState State(
      Io, GatewaySettings(), Format,
      {decodeAnyEvacuation, decodeAnyUpstream, {"op", "up", "vm"}});
  UpstreamPool Pool(Io);
  StoreReplica Replica(State, Pool, Store);
  Replica.start();
  // Shortly before the first feed calls, 1.5 s after the start.
  Io.run_for(std::chrono::milliseconds(1400));
  BOOST_REQUIRE(State.m_Upstreams.find("u") != nullptr);
  Store.m_IsSilent = true;
  // Probes end those calls; the next ones are made shortly before the end.
  Io.run_for(std::chrono::milliseconds(3700));
  Store.m_IsSilent = false;
  // As on the day darkened.toml: 15.0 s after 9.3 s.
  Io.run_for(std::chrono::milliseconds(5700));
  Store.m_HasRow = false;
  Store.m_Version = 9;
  Io.run_for(std::chrono::milliseconds(2000)); // The strictest drain time.
  BOOST_TEST(State.m_Upstreams.find("u") == nullptr);
}

BOOST_AUTO_TEST_CASE(StaleFullReadsChangeNothing) {
  RowCache Cache;
  BOOST_TEST(Cache.put({"t", "a", "new", 10, false}));
  BOOST_TEST(!Cache.put({"t", "a", "old", 7, false}));
  // A full read at version 8 can't contain a row that was written at 10.
  BOOST_TEST(Cache.missingKeys({}, 8).empty());
  BOOST_TEST(Cache.missingKeys({}, 11).size() == 1);
}

BOOST_AUTO_TEST_CASE(RemovedRowReturnsOnlyWithANewerVersion) {
  RowCache Cache;
  (void)Cache.put({"t", "a", "v", 10, false});
  Cache.remove("a", 12);
  BOOST_TEST(!Cache.put({"t", "a", "v", 10, false}));
  BOOST_TEST(Cache.put({"t", "a", "v", 13, false}));
}

// Guards against requests to an upstream that has left: a VM started after the
// removal, read the store, and then took the row from a peer that hadn't heard
// of it.
BOOST_AUTO_TEST_CASE(RowRemovedBeforeTheFirstFullReadDoesNotComeFromAPeer) {
  RowCache Cache;
  (void)Cache.put({"t", "a", "v", storePosition(1, 90), false});
  Cache.recordFullRead(storePosition(1, 100));
  BOOST_TEST(!Cache.put({"t", "gone", "v", storePosition(1, 55), false}));
  BOOST_TEST(!Cache.rows().contains("gone"));
  BOOST_TEST(Cache.put({"t", "gone", "v", storePosition(1, 101), false}));
  // In another era, the read says nothing of the row.
  BOOST_TEST(Cache.put({"t", "later", "v", storePosition(2, 7), false}));
}

// Guards against skipped changes: the second page of a long full read was newer
// than a change in the first page, so the VM's peers never asked for that
// change.
BOOST_AUTO_TEST_CASE(RowFromALaterPageDoesNotAdvanceTheSyncedVersion) {
  RowCache Cache;
  (void)Cache.put({"t", "a", "v", 900, false});
  (void)Cache.put({"t", "z", "later page", 1002, false});
  Cache.advanceSyncedVersion(1000);
  BOOST_TEST(Cache.syncedVersion() == 1000);
  // A change during the full read is still to come.
  BOOST_TEST(Cache.put({"t", "a", "leaving", 1001, false}));
}

// Guards against full transfers to every peer: at 300 VMs, each one asked each
// new peer for all rows, as that peer might have started after a removal. A
// peer now knows from which version on it has seen all removals.
BOOST_AUTO_TEST_CASE(RemovalsBeforeTheFirstFullReadAreUnknown) {
  RowCache Cache;
  BOOST_TEST(!Cache.hasChangesSince(100)); // Nothing has been read yet.
  Cache.recordFullRead(100);
  BOOST_TEST(!Cache.hasChangesSince(99));
  BOOST_TEST(Cache.hasChangesSince(100));
  Cache.recordFullRead(
      200); // Removals between the two full reads were noticed.
  BOOST_TEST(Cache.hasChangesSince(150));
  BOOST_TEST(Cache.syncedVersion() == 200);
}

// Guards against excess traffic: with 3,000 upstreams, two VMs per region read
// a megabyte every three seconds.
BOOST_AUTO_TEST_CASE(LargeTablesAreReadLessOften) {
  BOOST_TEST((fullReadInterval(3s, 40) == 3s));
  constexpr std::size_t RowBytes = 350;
  constexpr std::size_t MaxRate = 50000; // Bytes per second.
  for (std::size_t Rows : {1000U, 3000U, 10000U})
    BOOST_TEST(Rows * RowBytes / std::size_t(fullReadInterval(3s, Rows) / 1s) <=
               MaxRate);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RowsFromPeers)

// Guards against late removals: a VM that had lost the store took every removal
// relayed by a peer for a tentative one, and kept sending requests to the
// upstream for 2.2 s.
BOOST_AUTO_TEST_CASE(RemovalFromAPeerAppliesAtOnceWhileTheStoreIsLost) {
  ReplicaRig R;
  R.relayRow(false, false, 10);
  BOOST_TEST(R.known());
  R.relayRow(true, false, 11);
  BOOST_TEST(!R.known());
}

// Guards against late removals: a VM lost the store, left reading it to two
// other VMs, and followed it again 19 s later. It then treated the store as
// having just returned and its removals as tentative.
BOOST_AUTO_TEST_CASE(OldStoreOutageDoesNotMakeRemovalsTentative) {
  ReplicaRig R;
  R.relayRow(false, false, 10);
  std::vector<std::string> Readers;
  for (int I = 0; I < 400; ++I) {
    EntryVm Reader;
    Reader.m_Vm = VmName("reader" + std::to_string(I));
    Reader.m_FollowsStore = true;
    Readers.push_back(Reader.m_Vm.str());
    (void)R.m_State.m_Fleet.receivedHeartbeat(Reader, steadyNow());
  }
  R.m_Io.run_for(std::chrono::milliseconds(500));
  for (const std::string &Vm : Readers)
    R.m_State.m_Fleet.removePeer(VmName(Vm));
  R.m_Store.m_Fails = false;
  R.m_Store.m_Version = 20; // The row of version 10 is no longer in the store.
  R.m_Io.run_for(std::chrono::milliseconds(1000));
  BOOST_TEST(!R.known());
}

// Guards against requests to an upstream that left over two seconds ago: a
// reader that had just been cut off took the removal for a registration that
// expired in an outage of the store, and so did the VMs that it relayed it to.
BOOST_AUTO_TEST_CASE(UpstreamWhoseRemovalIsTentativeGetsNoRequests) {
  constexpr int Upstreams = 10;
  ReplicaRig R;
  auto Relay = [&R](int Upstream, bool Removed, std::uint64_t Version) {
    RelayedRows Rows;
    Rows.m_Rows = {
        {{"up", std::to_string(Upstream), "", Version, Removed}, Removed}};
    R.m_Replica.applyRelayedRows(Rows);
  };
  auto RequestsTo = [&R](const std::string &Id) {
    Route Path;
    ChoiceInput Input{Path, nullptr, ServiceName("s"), Residency(Path)};
    Input.m_Now = steadyNow();
    Input.m_TimeToTarget = 1s;
    int Requests = 0;
    for (Input.m_KeyHash = 0; Input.m_KeyHash < 200; ++Input.m_KeyHash) {
      Choice Selected =
          chooseByKeyLocalFirst(Input, R.m_State.m_Upstreams, {}, {});
      BOOST_REQUIRE(Selected.m_Upstream);
      Requests += Selected.m_Upstream->m_Registration.m_Id == Id ? 1 : 0;
    }
    return Requests;
  };
  for (int I = 0; I < Upstreams; ++I)
    Relay(I, false, 10);
  BOOST_TEST(RequestsTo("0") > 0);
  Relay(0, true, 11);
  BOOST_TEST(RequestsTo("0") == 0);
  // It was written again.
  Relay(0, false, 12);
  BOOST_TEST(RequestsTo("0") > 0);
  // Many at once have expired during an outage of the store.
  for (int I = 0; I < Upstreams; ++I)
    Relay(I, true, 13);
  BOOST_TEST(RequestsTo("0") > 0);
}

// Guards against a VM that kept an upstream in doubt, and used it beside many
// others in doubt, though its peers knew that it had left: they had never lost
// the store, while the reader of its region had been cut off.
BOOST_AUTO_TEST_CASE(PeerThatRemovedAnUpstreamEndsTheDoubt) {
  UpstreamRegistration Registration;
  Registration.m_Id = "u";
  const UpstreamRunKey Run[] = {runKey(Registration)};
  for (bool PeerFirst : {false, true}) {
    ReplicaRig R;
    R.relayRow(false, false, 10);
    if (PeerFirst) {
      R.m_Replica.receivedDepartures({}, Run, VmName("peer"));
      BOOST_TEST(R.known()); // It may have registered again since.
    }
    R.relayRow(true, true, 11);
    BOOST_TEST(R.known() == !PeerFirst);
    if (!PeerFirst)
      R.m_Replica.receivedDepartures({}, Run, VmName("peer"));
    BOOST_TEST(!R.known());
    BOOST_TEST(R.m_State.m_Upstreams.recentRemovals(steadyNow()).size() == 1U);
    // A registration that returns ends what was known of the removal.
    R.relayRow(false, false, 12);
    BOOST_TEST(R.known());
    R.relayRow(true, true, 13);
    BOOST_TEST(R.known());
  }
}

BOOST_AUTO_TEST_CASE(TentativeRemovalWaitsForTheRowToReturn) {
  ReplicaRig R;
  R.relayRow(false, false, 10);
  R.relayRow(true, true, 11);
  BOOST_TEST(R.known());
  RelayedRows Relayed =
      R.m_Replica.relayedRows(std::vector<std::uint64_t>{0, 0, 0});
  bool Tentative = false;
  for (const RelayedRow &Row : Relayed.m_Rows)
    Tentative = Tentative || (Row.m_Row.m_Key == "u" && Row.m_Tentative);
  BOOST_TEST(Tentative);
  R.m_Io.run_for(std::chrono::milliseconds(2600));
  BOOST_TEST(!R.known());
}

BOOST_AUTO_TEST_SUITE_END()

// After a restore from an older copy, the store starts a new era and gives out
// versions again.
BOOST_AUTO_TEST_SUITE(StoreComesBackOlder)

BOOST_AUTO_TEST_CASE(PositionsAreOrderedByEraFirst) {
  BOOST_TEST(storePosition(2, 5) > storePosition(1, 900));
  BOOST_TEST(eraOf(storePosition(3, 7)) == 3U);
  BOOST_TEST(versionOf(storePosition(3, 7)) == 7U);
  BOOST_TEST(formatPosition(storePosition(3, 7)) == "3.7");
}

BOOST_AUTO_TEST_CASE(RowsOfTheNewEraReplaceNewerVersionsOfTheOldOne) {
  RowCache Cache;
  Cache.recordFullRead(storePosition(1, 800));
  (void)Cache.put({"t", "a", "lost", storePosition(1, 900), false});
  BOOST_TEST(Cache.put({"t", "a", "kept", storePosition(2, 700), false}));
  BOOST_TEST(!Cache.put({"t", "a", "lost", storePosition(1, 900), false}));
  Cache.recordFullRead(storePosition(2, 750));
  // Peers that still know the old era need all rows.
  BOOST_TEST(!Cache.hasChangesSince(storePosition(1, 900)));
  BOOST_TEST(Cache.hasChangesSince(storePosition(2, 760)));
}

BOOST_AUTO_TEST_CASE(MissingRegistrationHasTimeToReturn) {
  ReplicaRig R;
  RelayedRows Rows;
  Rows.m_Rows = {{{"up", "u", "", storePosition(1, 10), false}, false}};
  Rows.m_SyncedVersions.assign(3, storePosition(1, 20));
  R.m_Replica.applyRelayedRows(Rows);
  Rows.m_Rows.clear();
  Rows.m_IsFullRead = true;
  Rows.m_SyncedVersions.assign(3, storePosition(2, 5));
  R.m_Replica.applyRelayedRows(Rows);
  BOOST_TEST(R.known());
  R.m_Io.run_for(std::chrono::milliseconds(2600));
  BOOST_TEST(!R.known());
}

// A peer relayed its rows before it had read every table.
BOOST_AUTO_TEST_CASE(TableThatAPeerHasNotReadIsOfNoEra) {
  asio::io_context Io;
  WireFormat Format{};
  FakeStore Store;
  GatewayState State(
      Io, GatewaySettings(), Format,
      {decodeAnyEvacuation, decodeAnyUpstream, {"op", "up", "vm"}});
  UpstreamPool Pool(Io);
  StoreReplica Replica(State, Pool, Store);
  RelayedRows Rows;
  Rows.m_Rows = {{{"up", "u", "", storePosition(1, 10), false}, false}};
  Rows.m_SyncedVersions = {0, storePosition(1, 20), 0};
  Replica.applyRelayedRows(Rows);
  Rows.m_Rows.clear();
  Rows.m_IsFullRead = true;
  Rows.m_SyncedVersions.assign(3, storePosition(1, 30));
  Replica.applyRelayedRows(Rows);
  BOOST_TEST(State.m_Upstreams.find("u") == nullptr);
}

// A VM that doesn't know all others may use no part of a fleet-wide limit.
BOOST_AUTO_TEST_CASE(FleetIsCompleteOnceTheRowsOfAllVmsWereRead) {
  asio::io_context Io;
  WireFormat Format{};
  FakeStore Store;
  GatewayState State(
      Io, GatewaySettings(), Format,
      {decodeAnyEvacuation, decodeAnyUpstream, {"op", "up", "vm"}});
  UpstreamPool Pool(Io);
  StoreReplica Replica(State, Pool, Store);
  RelayedRows Rows;
  Rows.m_IsFullRead = true;
  // The peer has not read the table of VMs.
  Rows.m_SyncedVersions = {20, 20, 0};
  Replica.applyRelayedRows(Rows);
  BOOST_TEST(!State.m_Fleet.isComplete());
  Rows.m_SyncedVersions = {20, 20, 20};
  Replica.applyRelayedRows(Rows);
  BOOST_TEST(State.m_Fleet.isComplete());
  ReplicaRig ReadsTheStore;
  BOOST_TEST(ReadsTheStore.m_State.m_Fleet.isComplete());
}

// Control: in the same era it is removed at once.
BOOST_AUTO_TEST_CASE(MissingRegistrationOfTheSameEraIsRemovedAtOnce) {
  ReplicaRig R;
  RelayedRows Rows;
  Rows.m_Rows = {{{"up", "u", "", storePosition(0, 10), false}, false}};
  Rows.m_SyncedVersions.assign(3, storePosition(0, 20));
  R.m_Replica.applyRelayedRows(Rows);
  Rows.m_Rows.clear();
  Rows.m_IsFullRead = true;
  Rows.m_SyncedVersions.assign(3, storePosition(0, 30));
  R.m_Replica.applyRelayedRows(Rows);
  BOOST_TEST(!R.known());
}

BOOST_AUTO_TEST_CASE(EvacuationStaysInForceUntilTheOperatorHadTimeToWriteIt) {
  ReplicaRig R;
  auto Evacuated = [&R] {
    return !R.m_State.m_Upstreams.evacuatedDomains().empty();
  };
  RelayedRows Rows;
  Rows.m_Rows = {{{"op", "zone", "", storePosition(1, 10), false}, false}};
  Rows.m_SyncedVersions.assign(3, storePosition(1, 20));
  R.m_Replica.applyRelayedRows(Rows);
  BOOST_TEST(Evacuated());
  Rows.m_Rows.clear();
  Rows.m_IsFullRead = true;
  Rows.m_SyncedVersions.assign(3, storePosition(2, 5));
  R.m_Replica.applyRelayedRows(Rows);
  BOOST_TEST(Evacuated());
  R.m_Io.run_for(std::chrono::milliseconds(2600));
  R.m_Replica.applyRelayedRows(Rows);
  BOOST_TEST(!Evacuated());
}

BOOST_AUTO_TEST_SUITE_END()
