/// \file
/// HTTP reading, row bookkeeping, beats and settings of the gateway.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/belief.h"
#include "gateway/http_message.h"
#include "gateway/settings.h"
#include "inner/beat_codec.h"

#include <rapidcheck.h>

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

HttpReader requests(std::uint32_t MostHead = 4096,
                    std::uint64_t MostBody = 1 << 20) {
  return {HttpReader::Role::Requests, MostHead, MostBody};
}

HttpReader responses() { return {HttpReader::Role::Responses, 4096, 1 << 20}; }

/// \brief Feeds \p Text in pieces of \p Size. \returns What is left over.
std::string feedPieces(HttpReader &To, const std::string &Text,
                       std::size_t Size) {
  std::string In;
  for (std::size_t At = 0; At < Text.size(); At += Size) {
    In += Text.substr(At, Size);
    In.erase(0, To.feed(In));
  }
  return In;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpReading)

BOOST_AUTO_TEST_CASE(APipelinedRequestIsLeftForTheNext) {
  HttpReader Reader = requests();
  std::string Two = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
                    "abcGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  std::size_t Used = Reader.feed(Two);
  BOOST_TEST(Reader.done());
  BOOST_TEST(Reader.body() == "abc");
  Reader.next();
  (void)Reader.feed(std::string_view(Two).substr(Used));
  BOOST_TEST(Reader.done());
  BOOST_TEST(Reader.head().m_Target == "/b");
}

BOOST_AUTO_TEST_CASE(ChunkedBodyInPiecesOfEverySize) {
  std::string Text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n";
  for (std::size_t Size = 1; Size <= Text.size(); ++Size) {
    HttpReader Reader = requests();
    BOOST_TEST(feedPieces(Reader, Text, Size).empty());
    BOOST_TEST(Reader.done());
    BOOST_TEST(Reader.body() == "abcdefg");
  }
}

BOOST_AUTO_TEST_CASE(SmuggledRequestsAreRefused) {
  for (const char *Text :
       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nxx",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: "
        "5\r\n\r\nabcd",
        "GET /\x01 HTTP/1.1\r\n\r\n", "nonsense\r\n\r\n"}) {
    HttpReader Reader = requests();
    (void)Reader.feed(Text);
    BOOST_TEST((Reader.fault() != HttpFault::None), Text);
  }
}

BOOST_AUTO_TEST_CASE(LimitsAreToldApart) {
  HttpReader Head = requests(64);
  (void)Head.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
  BOOST_TEST((Head.fault() == HttpFault::HeadTooLarge));
  HttpReader Body = requests(4096, 10);
  (void)Body.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  BOOST_TEST((Body.fault() == HttpFault::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(BodyThatEndsWithTheConnection) {
  HttpReader Reader = responses();
  (void)Reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
  BOOST_TEST(!Reader.done());
  BOOST_TEST(Reader.endsWithConnection());
  Reader.end();
  BOOST_TEST(Reader.done());
}

BOOST_AUTO_TEST_CASE(BodyThatBreaksOffIsNotWhole) {
  HttpReader Reader = responses();
  (void)Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  Reader.end();
  BOOST_TEST((Reader.fault() == HttpFault::Truncated));
}

BOOST_AUTO_TEST_CASE(AnyBytesEndInARequestOrAFault) {
  rc::check("any bytes", [](const std::string &Bytes) {
    HttpReader Reader = requests(256, 256);
    std::size_t Used = Reader.feed(Bytes);
    RC_ASSERT(Used <= Bytes.size());
  });
}

BOOST_AUTO_TEST_CASE(QueryValuesAreDecoded) {
  BOOST_TEST(queryValue("/p?name=a%2Eb&zone=z", "name") == "a.b");
  BOOST_TEST(queryValue("/p?name=a&zone=z", "zone") == "z");
  BOOST_TEST(queryValue("/p", "zone").empty());
}

BOOST_AUTO_TEST_SUITE_END()

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

// A day broke this way: the second page of a long reading was newer than a
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

BOOST_AUTO_TEST_SUITE(InnerProtocol)

BOOST_AUTO_TEST_CASE(BeatsSurviveTheWire) {
  Beat From;
  From.m_From.m_Vm = VmName("a");
  From.m_From.m_Incarnation = 7;
  From.m_From.m_Reading = true;
  From.m_From.m_Lag = 30ms;
  From.m_Loads = {{99, 2.5}};
  From.m_Shares = {{1, 0.5, 0.25}};
  From.m_Reach = {3, 4, 5};
  From.m_Ages = {{1234567 % 1048576, 9, 250ms}};
  auto To = decodeBeat(encodeBeat(From));
  BOOST_REQUIRE(To.has_value());
  BOOST_TEST(To->m_From.m_Vm.str() == "a");
  BOOST_TEST(To->m_From.m_Reading);
  BOOST_TEST((To->m_From.m_Lag == 30ms));
  BOOST_TEST(To->m_Loads.front().m_Busy == 2.5);
  BOOST_TEST(To->m_Shares.front().m_Busy == 0.25);
  BOOST_TEST(To->m_Ages.front().m_Run == 9);
  BOOST_TEST(To->m_Ages.front().m_VmHash == 1234567U % 1048576);
  BOOST_TEST((To->m_Ages.front().m_Age == 300ms)); // In tenths, rounded up.
  BOOST_TEST((To->m_Reach == From.m_Reach));
}

// 16 KB a second and VM are for control; at 420 VMs four beats go out and four
// come in with each.
BOOST_AUTO_TEST_CASE(BeatOfALargeFleetFitsTheBudgetOfBytes) {
  Beat From;
  From.m_From.m_Vm = VmName("front-midden-b-104");
  From.m_From.m_Incarnation = 1776735673008;
  From.m_From.m_Region = RegionName("midden");
  From.m_From.m_Domain = DomainName("midden-b");
  From.m_From.m_CallerAddress = "10.101.100.104:18563";
  From.m_From.m_PeerAddress = "10.101.100.104:17760";
  From.m_From.m_Ready = true;
  From.m_From.m_Lag = 12345us;
  From.m_Reach = {123456, 123456, 123456};
  for (std::uint64_t I = 1; I <= 3; ++I)
    From.m_Shares.push_back({stableHash("service", I), 0.87, 0.43});
  // 190,000 requests a second over 420 VMs, 25 ms each, over many upstreams.
  for (std::uint64_t I = 1; I <= 11; ++I)
    From.m_Loads.push_back({stableHash("upstream", I), 1.2});
  for (std::uint64_t I = 1; I <= FleetTuning().m_MostAges; ++I)
    From.m_Ages.push_back({std::uint32_t(stableHash("vm", I) >> 44),
                           std::uint32_t(I % 16), 700ms});
  constexpr std::size_t DatagramHead = 28; // Bytes of IP and UDP.
  constexpr std::size_t Budget = 16384;    // Bytes a second, both ways.
  FleetTuning Tuning;
  std::size_t Datagrams = 2 * (Tuning.m_NearLeast + Tuning.m_FarPerBeat) *
                          std::size_t(1s / Tuning.m_CrowdBeat);
  std::size_t Bytes = encodeBeat(From).size() + DatagramHead;
  BOOST_TEST(Bytes * Datagrams <= Budget, Bytes);
}

BOOST_AUTO_TEST_CASE(AnyBytesAreABeatOrNothing) {
  rc::check("any bytes", [](const std::string &Bytes) {
    (void)decodeBeat(Bytes);
    (void)decodeRows(Bytes);
    (void)decodeQuestion(Bytes);
  });
}

BOOST_AUTO_TEST_CASE(RowsKeepRemovalsAndTheirReach) {
  CarriedRows From;
  From.m_Rows = {{"t", "k", "v", 3, false}, {"t", "g", "", 4, true}};
  From.m_Reach = {4, 0, 0};
  From.m_Whole = true;
  auto To = decodeRows(encodeRows(From));
  BOOST_REQUIRE(To.has_value());
  BOOST_TEST(To->m_Rows[1].m_Removed);
  BOOST_TEST(To->m_Whole);
  BOOST_TEST((To->m_Reach == From.m_Reach));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GatewaySettingsFile)

namespace {
const std::string GoodSettings = R"({
  "vm": "v1", "region": "r", "failureDomain": "z",
  "failureDomains": {"z": "r"}, "store": "10.0.0.1:80",
  "listen": {"ip": "10.0.0.2", "callers": "10.0.0.2:81",
             "ready": "10.0.0.2:82", "lookups": "10.0.0.2:83",
             "peerPorts": ["7000"]},
  "seeds": ["10.0.0.9:84"],
  "limits": {"stopGrace": "6s", "retrySlack": 56}})";
} // namespace

BOOST_AUTO_TEST_CASE(GoodSettingsAreRead) {
  Faults Found;
  GatewaySettings Read = readGatewaySettings(GoodSettings, Found);
  BOOST_TEST(Found.empty(), faultLines(Found));
  BOOST_TEST(Read.m_PeerAddress == "10.0.0.2:7000");
  BOOST_TEST(Read.m_SeedIps.front() == "10.0.0.9");
  BOOST_TEST((Read.m_Grace == 6s));
  BOOST_TEST(Read.m_Retry.m_Slack == 56);
}

BOOST_AUTO_TEST_CASE(EveryFaultIsNamedWithItsPlace) {
  Faults Found;
  (void)readGatewaySettings(
      R"({"vm": "v", "region": "r", "failureDomain": "y",
          "failureDomains": {"z": "r"}, "store": "nowhere",
          "listen": {}, "limits": {"stopGrace": "soon"}})",
      Found);
  std::string Lines = faultLines(Found);
  for (const char *Place : {"store", "failureDomain", "listen.callers",
                            "listen.peerPorts", "limits.stopGrace"})
    BOOST_TEST(Lines.find(Place) != std::string::npos, Lines);
  Faults Broken;
  (void)readGatewaySettings("{", Broken);
  BOOST_TEST(!Broken.empty());
}

BOOST_AUTO_TEST_CASE(TimesHaveUnits) {
  BOOST_TEST((durationOf("1500ms") == 1500ms));
  BOOST_TEST((durationOf("2.5s") == 2500ms));
  for (const char *Bad : {"", "5", "ms", "-1s", "1m"})
    BOOST_TEST(!durationOf(Bad).has_value(), Bad);
}

BOOST_AUTO_TEST_SUITE_END()

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
                        const std::map<DomainName, RegionName> &) {
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
    Rows.m_Rows = {{"up", "u", "", Version, Removed, Doubtful}};
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

BOOST_AUTO_TEST_SUITE(RowsFromPeers)

// Days broke this way: a VM that had once lost the store took every removal
// that a peer told it for one that may be taken back, and sent on for 2.2 s.
BOOST_AUTO_TEST_CASE(APeersRemovalHoldsAtOnceThoughTheOwnStoreIsLost) {
  BeliefRig R;
  R.take(false, false, 10);
  BOOST_TEST(R.known());
  R.take(true, false, 11);
  BOOST_TEST(!R.known());
}

// A day broke this way: a VM lost the store, left it to two readers, and
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
    Doubtful = Doubtful || (Row.m_Key == "u" && Row.m_Doubtful);
  BOOST_TEST(Doubtful);
  R.m_Io.run_for(std::chrono::milliseconds(2600));
  BOOST_TEST(!R.known());
}

BOOST_AUTO_TEST_SUITE_END()
