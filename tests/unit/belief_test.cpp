/// \file
/// Rows of the store: which are news, and what they change.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/belief.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

/// \brief A store that answers reads until it is told to fail.
class FakeStore final : public RowStore {
public:
  awaitable<StoreRead> read(std::string) override { co_return answer(); }
  awaitable<StoreRead> changes(std::string, std::uint64_t, Duration) override {
    co_return answer();
  }
  awaitable<StoreRead> write(StoreWrite) override { co_return answer(); }
  bool m_Fails = false;
  std::uint64_t m_Version = 1;

private:
  [[nodiscard]] StoreRead answer() const {
    StoreRead Result;
    Result.m_End = m_Fails ? StoreEnd::Unknown : StoreEnd::Done;
    Result.m_Version = m_Version;
    return Result;
  }
};

UpstreamRow oneUpstream(const StoreRow &Row,
                        const std::map<FailureDomainName, RegionName> &) {
  UpstreamRow Result;
  Result.m_Facts.emplace();
  Result.m_Facts->m_Id = Row.m_Key;
  Result.m_Facts->m_Service = ServiceName("s");
  return Result;
}
OperatorRow noOperator(const StoreRow &) { return {}; }

struct BeliefRig {
  BeliefRig()
      : m_State(m_Io, GatewaySettings(), m_Dialect,
                {noOperator, oneUpstream, {"op", "up", "vm"}}),
        m_Pool(m_Io), m_Belief(m_State, m_Pool, m_Store) {
    // The store was reached once and is lost since.
    m_Belief.start();
    m_Io.run_for(std::chrono::milliseconds(20));
    m_Store.m_Fails = true;
    m_Io.run_for(std::chrono::milliseconds(600));
  }
  void take(bool Removed, bool Doubtful, std::uint64_t Version) {
    CarriedRows Rows;
    Rows.m_Rows = {{{"up", "u", "", Version, Removed}, Doubtful}};
    m_Belief.takeOver(Rows);
  }
  [[nodiscard]] bool known() const {
    return m_State.m_Upstreams.find("u") != nullptr;
  }

  asio::io_context m_Io;
  Dialect m_Dialect{};
  FakeStore m_Store;
  GatewayState m_State;
  UpstreamPool m_Pool;
  Belief m_Belief;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreRows)

BOOST_AUTO_TEST_CASE(StaleReadingsChangeNothing) {
  RowCache Cache;
  BOOST_TEST(Cache.put({"t", "a", "new", 10, false}));
  BOOST_TEST(!Cache.put({"t", "a", "old", 7, false}));
  // A reading as of 8 does not show a row that was written at 10.
  BOOST_TEST(Cache.missing({}, 8).empty());
  BOOST_TEST(Cache.missing({}, 11).size() == 1);
}

BOOST_AUTO_TEST_CASE(ARemovedRowComesBackOnlyNewer) {
  RowCache Cache;
  (void)Cache.put({"t", "a", "v", 10, false});
  Cache.remove("a", 12);
  BOOST_TEST(!Cache.put({"t", "a", "v", 10, false}));
  BOOST_TEST(Cache.put({"t", "a", "v", 13, false}));
}

// Seen: the second page of a long reading was newer than a
// change in the first page, and the VM's peers never asked for that change.
BOOST_AUTO_TEST_CASE(ARowFromALaterPageDoesNotExtendTheReach) {
  RowCache Cache;
  (void)Cache.put({"t", "a", "v", 900, false});
  (void)Cache.put({"t", "z", "later page", 1002, false});
  Cache.reached(1000);
  BOOST_TEST(Cache.reach() == 1000);
  // What changed meanwhile is still to come.
  BOOST_TEST(Cache.put({"t", "a", "leaving", 1001, false}));
}

// At 300 VMs each asked each new peer for all rows, as the peer might have
// started after a removal; now the peer itself knows since when it can tell.
BOOST_AUTO_TEST_CASE(RemovalsBeforeTheFirstReadingAreNotKnown) {
  RowCache Cache;
  BOOST_TEST(!Cache.knowsSince(100)); // Nothing was read yet.
  Cache.readWhole(100);
  BOOST_TEST(!Cache.knowsSince(99));
  BOOST_TEST(Cache.knowsSince(100));
  Cache.readWhole(200); // What went between was noticed.
  BOOST_TEST(Cache.knowsSince(150));
  BOOST_TEST(Cache.reach() == 200);
}

// With 3,000 upstreams, two VMs a region read a megabyte every three seconds.
BOOST_AUTO_TEST_CASE(LargeTablesAreReadLessOften) {
  BOOST_TEST((pauseBetweenReadings(3s, 40) == 3s));
  constexpr std::size_t RowBytes = 350;
  constexpr std::size_t MostRate = 50000; // Bytes a second.
  for (std::size_t Rows : {1000U, 3000U, 10000U})
    BOOST_TEST(Rows * RowBytes /
                   std::size_t(pauseBetweenReadings(3s, Rows) / 1s) <=
               MostRate);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RowsFromPeers)

// Seen: a VM that had once lost the store took every removal
// that a peer told it for one that may be taken back, and sent on for 2.2 s.
BOOST_AUTO_TEST_CASE(APeersRemovalHoldsAtOnceThoughTheOwnStoreIsLost) {
  BeliefRig R;
  R.take(false, false, 10);
  BOOST_TEST(R.known());
  R.take(true, false, 11);
  BOOST_TEST(!R.known());
}

// Seen: a VM lost the store, left it to two readers, and
// followed it again 19 s later; it took the store for one just back.
BOOST_AUTO_TEST_CASE(AnOldLossOfTheStoreDoesNotMakeRemovalsDoubtful) {
  BeliefRig R;
  R.take(false, false, 10);
  std::vector<std::string> Readers;
  for (int I = 0; I < 400; ++I) {
    EntryVm Reader;
    Reader.m_Vm = VmName("reader" + std::to_string(I));
    Reader.m_Reading = true;
    Readers.push_back(Reader.m_Vm.str());
    (void)R.m_State.m_Fleet.heard(Reader, steadyNow());
  }
  R.m_Io.run_for(std::chrono::milliseconds(500));
  for (const std::string &Vm : Readers)
    R.m_State.m_Fleet.part(VmName(Vm));
  R.m_Store.m_Fails = false;
  R.m_Store.m_Version = 20; // The row of version 10 is gone.
  R.m_Io.run_for(std::chrono::milliseconds(1000));
  BOOST_TEST(!R.known());
}

BOOST_AUTO_TEST_CASE(ADoubtfulRemovalWaitsForTheRowToComeBack) {
  BeliefRig R;
  R.take(false, false, 10);
  R.take(true, true, 11);
  BOOST_TEST(R.known());
  CarriedRows Told = R.m_Belief.carried(std::vector<std::uint64_t>{0, 0, 0});
  bool Doubtful = false;
  for (const CarriedRow &Row : Told.m_Rows)
    Doubtful = Doubtful || (Row.m_Row.m_Key == "u" && Row.m_Doubtful);
  BOOST_TEST(Doubtful);
  R.m_Io.run_for(std::chrono::milliseconds(2600));
  BOOST_TEST(!R.known());
}

BOOST_AUTO_TEST_SUITE_END()
