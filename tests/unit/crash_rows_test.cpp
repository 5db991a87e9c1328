/// \file
/// Rows of requests that end upstreams: written once, bounded, and read by VMs
/// that start.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/crash_report.h"
#include "gateway/store_replica.h"

#include <algorithm>

namespace mustardspoke::steer {
namespace {

constexpr RequestFingerprint Deadly = makeFingerprint(7, 7);

/// \brief A store that holds the table of discovery rows only.
class VmTable final : public RowStore {
public:
  awaitable<StoreResult> read(std::string Table) override {
    StoreResult Result = done();
    if (Table == "vm")
      for (const auto &[Key, Row] : m_Rows)
        Result.m_Rows.push_back(Row);
    co_return Result;
  }
  awaitable<StoreResult> changes(std::string, std::uint64_t,
                                 Duration) override {
    co_return done();
  }
  void endChangesCall(const std::string &) override {}
  awaitable<StoreResult> write(StoreWrite Write) override {
    ++m_Writes;
    StoreResult Result = done();
    if (Write.m_Row.m_Removed) {
      m_Rows.erase(Write.m_Row.m_Key);
    } else if (Write.m_Expected && m_Rows.contains(Write.m_Row.m_Key)) {
      Result.m_CallStatus = StoreCallStatus::Conflict;
    } else {
      Write.m_Row.m_Version = storePosition(m_Era, ++m_Version);
      m_Rows[Write.m_Row.m_Key] = Write.m_Row;
    }
    co_return Result;
  }

  std::map<std::string, StoreRow> m_Rows;
  unsigned m_Writes = 0;
  std::uint64_t m_Era = 1;

private:
  [[nodiscard]] StoreResult done() const {
    StoreResult Result;
    Result.m_CallStatus = StoreCallStatus::Done;
    Result.m_Version = storePosition(m_Era, m_Version);
    return Result;
  }
  std::uint64_t m_Version = 1;
};

/// \brief A VM that reads and writes \p Store.
struct StoreUser {
  explicit StoreUser(RowStore &Store)
      : m_State(m_Io, GatewaySettings(), m_WireFormat,
                {nullptr, nullptr, {"op", "up", "vm"}}),
        m_Pool(m_Io), m_Replica(m_State, m_Pool, Store) {
    m_Replica.start();
    runFor(std::chrono::milliseconds(20));
  }
  void runFor(std::chrono::milliseconds Span) { m_Io.run_for(Span); }
  void publish(RequestFingerprint Request) {
    for (UpstreamRunKey Run : {1U, 2U, 3U}) {
      m_State.m_CrashSuspects.recordLoss(Request, Run, steadyNow());
      if (Run == 3)
        m_State.m_CrashSuspects.beginTrial(Request, steadyNow());
      confirmEnd(m_State, Run, "test");
    }
    runFor(std::chrono::milliseconds(5));
  }
  [[nodiscard]] bool refuses(RequestFingerprint Request) const {
    return m_State.m_CrashSuspects.verdict(Request, steadyNow(), {}, true) ==
           CrashVerdict::Refuse;
  }

  asio::io_context m_Io;
  WireFormat m_WireFormat{};
  GatewayState m_State;
  UpstreamPool m_Pool;
  StoreReplica m_Replica;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashRows)

// A fleet whose VMs are all new would run the request again.
BOOST_AUTO_TEST_CASE(VmThatStartsReadsWhatAnEarlierOneWrote) {
  VmTable Store;
  StoreUser(Store).publish(Deadly);
  BOOST_TEST(Store.m_Rows.size() == 1U);
  StoreUser Next(Store);
  BOOST_TEST(Next.refuses(Deadly));
  BOOST_TEST(!Next.refuses(Deadly + 1));
}

BOOST_AUTO_TEST_CASE(RowIsWrittenOnceByTheFleet) {
  VmTable Store;
  StoreUser First(Store);
  StoreUser Second(Store);
  First.publish(Deadly);
  Second.publish(Deadly); // It hasn't read the first one's row yet.
  BOOST_TEST(Store.m_Writes == 2U);
  StoreUser Third(Store);
  Third.publish(Deadly);
  BOOST_TEST(Store.m_Writes == 2U);
}

BOOST_AUTO_TEST_CASE(RowsAreBounded) {
  VmTable Store;
  StoreUser(Store).publish(Deadly);
  for (RequestFingerprint I = 1; I < 80; ++I)
    StoreUser(Store).publish(Deadly + I);
  BOOST_TEST(Store.m_Rows.size() == 64U);
  // The last ones find no room.
  BOOST_TEST(StoreUser(Store).refuses(Deadly));
  BOOST_TEST(!StoreUser(Store).refuses(Deadly + 79));
}

// An answer to any VM clears the request for all, also for those that start
// later; so does an operator who removes the row.
BOOST_AUTO_TEST_CASE(AnswerRemovesTheRow) {
  VmTable Store;
  StoreUser Vm(Store);
  Vm.publish(Deadly);
  StoreUser Other(Store);
  BOOST_TEST(Other.refuses(Deadly));
  reportAnswer(Other.m_State, Deadly, "test");
  Other.runFor(std::chrono::milliseconds(5));
  BOOST_TEST(Store.m_Rows.empty());
  BOOST_TEST(!StoreUser(Store).refuses(Deadly));
  Vm.m_Replica.applyRelayedRows({{{{"vm", "crashing-request/0000000700000007",
                                    "", storePosition(1, 9), true},
                                   false}},
                                 {},
                                 false});
  BOOST_TEST(!Vm.refuses(Deadly));
}

BOOST_AUTO_TEST_CASE(UnreadableRowsAreIgnored) {
  VmTable Store;
  for (const char *Key : {"crashing-request/", "crashing-request/xyz",
                          "crashing-request/0000000700000007"})
    for (const char *Value : {"", "{}", "[1]", R"({"ends":[1]})",
                              R"({"ends":["x"]})", R"({"ends":"1"})"}) {
      Store.m_Rows = {{Key, {"vm", Key, Value, storePosition(1, 1), false}}};
      BOOST_TEST(!StoreUser(Store).refuses(Deadly));
    }
}

BOOST_AUTO_TEST_CASE(RowLostWithTheStoresLastEraIsWrittenAgain) {
  VmTable Store;
  StoreUser Vm(Store);
  Vm.publish(Deadly);
  Store.m_Rows.clear();
  Store.m_Era = 2;
  Vm.runFor(std::chrono::milliseconds(6000));
  BOOST_TEST(Store.m_Rows.contains(std::string(CrashRowPrefix) +
                                   formatFingerprint(Deadly)));
  BOOST_TEST(Vm.refuses(Deadly));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
