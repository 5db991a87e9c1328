/// \file
/// Feed calls that the store never answers.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/store_replica.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

/// \brief A store with one table of upstreams. It answers reads from a copy, so
/// that the feed alone shows changes, until the copy is renewed.
class LossyStore final : public RowStore {
public:
  explicit LossyStore(asio::io_context &Io) : m_Io(Io) {
    for (int I = 0; I < 10; ++I)
      m_Rows.push_back({"up", "u" + std::to_string(I), "", 1, false});
    renewCopy();
  }

  awaitable<StoreResult> read(std::string Table) override {
    ++m_Reads;
    StoreResult Result;
    if (m_IsSilent) {
      co_await sleepFor(m_Io, 200ms);
      co_return Result;
    }
    Result.m_CallStatus = StoreCallStatus::Done;
    Result.m_Version = m_CopyVersion;
    if (Table == "up")
      for (const StoreRow &Row : m_Copy)
        if (!Row.m_Removed)
          Result.m_Rows.push_back(Row);
    co_return Result;
  }
  awaitable<StoreResult> changes(std::string Table, std::uint64_t After,
                                 Duration Wait) override {
    ++m_FeedCalls[Table];
    bool IsLost = m_IsSilent || m_LosesFeedCalls;
    m_IsEnded[Table] = false;
    StoreResult Result;
    for (TimePoint End = steadyNow() + Wait; steadyNow() < End;) {
      co_await sleepFor(m_Io, 10ms);
      if (m_IsEnded[Table])
        co_return Result;
      // What is sent in an outage is lost, with all that follows it.
      IsLost = IsLost || (m_IsSilent && Table == "up" && m_Version > After);
      if (IsLost || Table != "up" || m_Version <= After)
        continue;
      Result.m_Version = m_Version;
      for (const StoreRow &Row : m_Rows)
        if (Row.m_Version > After)
          Result.m_Rows.push_back(Row);
      break;
    }
    if (!IsLost)
      Result.m_CallStatus = StoreCallStatus::Done;
    co_return Result;
  }
  void endChangesCall(const std::string &Table) override {
    m_IsEnded[Table] = true;
  }
  awaitable<StoreResult> write(StoreWrite) override {
    StoreResult Result;
    Result.m_CallStatus = StoreCallStatus::Done;
    co_return Result;
  }

  void remove(std::size_t Index) {
    m_Rows[Index].m_Removed = true;
    m_Rows[Index].m_Version = ++m_Version;
  }
  void renewCopy() {
    m_Copy = m_Rows;
    m_CopyVersion = m_Version;
  }

  bool m_IsSilent = false;
  bool m_LosesFeedCalls = false; ///< Those made while it is set.
  unsigned m_Reads = 0;
  std::map<std::string, unsigned> m_FeedCalls; ///< By table.

private:
  asio::io_context &m_Io;
  std::uint64_t m_Version = 1;
  std::vector<StoreRow> m_Rows;
  std::vector<StoreRow> m_Copy;
  std::uint64_t m_CopyVersion = 1;
  std::map<std::string, bool> m_IsEnded;
};

UpstreamRow decodeUpstream(const StoreRow &Row,
                           const std::map<FailureDomainName, RegionName> &) {
  UpstreamRow Result;
  Result.m_Facts.emplace();
  Result.m_Facts->m_Id = Row.m_Key;
  Result.m_Facts->m_Service = ServiceName("s");
  return Result;
}
OperatorRow decodeOperator(const StoreRow &) { return {}; }

struct FeedRig {
  FeedRig() {
    m_Replica.start();
    run(1700ms); // The first feed calls are made after 1.5 s.
    BOOST_REQUIRE(m_Store.m_FeedCalls["up"] == 1U);
  }
  void run(std::chrono::milliseconds Span) { m_Io.run_for(Span); }
  /// \brief Whether new requests go there.
  [[nodiscard]] bool uses(const char *Id) const {
    UpstreamPtr Found = m_State.m_Upstreams.find(Id);
    return Found && m_State.m_Upstreams.exclusion(*Found, steadyNow()) ==
                        Exclusion::None;
  }

  asio::io_context m_Io;
  WireFormat m_Format{};
  LossyStore m_Store{m_Io};
  GatewayState m_State{m_Io,
                       GatewaySettings(),
                       m_Format,
                       {decodeOperator, decodeUpstream, {"op", "up", "vm"}}};
  UpstreamPool m_Pool{m_Io};
  StoreReplica m_Replica{m_State, m_Pool, m_Store};
};

} // namespace

BOOST_AUTO_TEST_SUITE(FeedCalls)

// Guards against requests to upstreams that have left, for seconds after an
// outage of the store: its answer to a feed call was lost, and the call was
// waited for though other calls had shown that the store was back.
BOOST_AUTO_TEST_CASE(ReturnOfTheStoreEndsTheCallsOfTheOutage) {
  FeedRig R;
  R.m_Store.m_IsSilent = true;
  R.m_Store.remove(0); // The answer is lost.
  R.run(3200ms);       // Long enough for a full read to fail.
  R.m_Store.m_IsSilent = false;
  R.run(1000ms); // It is read again, and the feed called anew.
  R.m_Store.remove(1);
  R.run(600ms);
  BOOST_TEST(!R.uses("u1"));
  BOOST_TEST(R.uses("u2"));
}

// The same, when no call of this VM fell into the outage: a full read finds a
// change that the feed should have brought.
BOOST_AUTO_TEST_CASE(ChangeFoundElsewhereEndsACallThatMissedIt) {
  FeedRig R;
  R.m_Store.m_IsSilent = true;
  R.m_Store.remove(0); // The answer is lost.
  R.run(20ms);
  R.m_Store.m_IsSilent = false;
  R.m_Store.renewCopy();
  R.run(3800ms); // The next full read, and the time for the feed.
  BOOST_TEST(!R.uses("u0"));
  unsigned Reads = R.m_Store.m_Reads;
  R.m_Store.remove(1);
  R.run(600ms);
  BOOST_TEST(!R.uses("u1"));
  BOOST_TEST(R.m_Store.m_FeedCalls["up"] >= 2U);
  BOOST_TEST(R.m_Store.m_Reads - Reads <= 2U); // Not by more of them.
}

// The same for a VM that was suspended: its connections may be dead.
BOOST_AUTO_TEST_CASE(SuspensionEndsTheCallsBeforeIt) {
  FeedRig R;
  R.m_Store.m_IsSilent = true;
  R.m_Store.remove(0); // The answer is lost.
  R.run(20ms);
  R.m_Store.m_IsSilent = false;
  R.m_Replica.scheduleFullReads("suspended");
  R.run(100ms);
  R.m_Store.remove(1);
  R.run(600ms);
  BOOST_TEST(!R.uses("u1"));
}

// A call that nothing speaks against is left to wait: each one is charged.
BOOST_AUTO_TEST_CASE(CallsWaitWhileNothingIsMissed) {
  FeedRig R;
  R.run(7000ms);
  BOOST_TEST(R.m_Store.m_FeedCalls["up"] == 1U);
  R.m_Store.remove(0);
  R.m_Store.renewCopy();
  R.run(1500ms);
  BOOST_TEST(!R.uses("u0"));
  BOOST_TEST(R.m_Store.m_FeedCalls["up"] == 2U);
}

BOOST_AUTO_TEST_CASE(ReadersTakeRowsFromPeersOnceTheyLagBehind) {
  RowLag Lag;
  TimePoint Now{};
  const std::vector<std::uint64_t> Own{5, 5, 5};
  const std::vector<std::uint64_t> Ahead{5, 7, 5};
  BOOST_TEST(!Lag.mustFetch(Own, Own, false, Now));
  BOOST_TEST(Lag.mustFetch(Own, Ahead, false, Now));
  // A reader usually hears of the change itself.
  BOOST_TEST(!Lag.mustFetch(Own, Ahead, true, Now));
  // Peers that lag as well say nothing.
  BOOST_TEST(!Lag.mustFetch(Own, Own, true, Now + 300ms));
  BOOST_TEST(!Lag.mustFetch(Own, Ahead, true, Now + 499ms));
  BOOST_TEST(Lag.mustFetch(Own, Ahead, true, Now + 500ms));
  // Progress starts the wait anew.
  const std::vector<std::uint64_t> Later{6, 6, 6};
  BOOST_TEST(!Lag.mustFetch(Later, Ahead, true, Now + 600ms));
  BOOST_TEST(Lag.mustFetch(Later, Ahead, true, Now + 1100ms));
}

BOOST_AUTO_TEST_SUITE_END()
