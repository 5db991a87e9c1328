/// \file
/// The soak's judge: each invariant, once kept and once violated.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "soak/ledger.h"

using namespace mustardspoke;
using namespace mustardspoke::soak;

namespace {

constexpr TimePoint Start{1h};

/// \brief A ledger with one answered, once-run attempt of each kind.
struct Books {
  Ledger m_Log;
  Bounds m_By;

  Books() {
    m_Log.m_Vms.resize(2);
    add("read", true);
    add("order", false);
    m_By.m_Timed = true;
  }

  Attempt &add(const std::string &Id, bool Repeatable,
               const std::string &Service = "stock") {
    Attempt One;
    One.m_Id = Id;
    One.m_Repeatable = Repeatable;
    One.m_SentAt = Start;
    One.m_EndedAt = Start + 50ms;
    One.m_Ending = Ending::Answered;
    One.m_Status = 200;
    One.m_Body = Id + " " + Service + " u1";
    m_Log.m_Runs[Id] = {{Start + 10ms, Service, "u1"}};
    m_Log.m_Attempts.push_back(One);
    return m_Log.m_Attempts.back();
  }
  Attempt &order() { return m_Log.m_Attempts[1]; }

  /// \brief Judges, and expects one violation that says \p What.
  void breaks(const std::string &What) {
    std::vector<std::string> Found = m_Log.judge(m_By);
    BOOST_REQUIRE(Found.size() == 1);
    BOOST_TEST(Found[0].find(What) != std::string::npos, Found[0]);
  }
  void keeps() { BOOST_TEST(m_Log.judge(m_By).empty()); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SoakLedger)

BOOST_AUTO_TEST_CASE(CleanBooksBreakNothing) { Books().keeps(); }

BOOST_AUTO_TEST_CASE(OrderThatRanTwice) {
  Books Of;
  Of.m_Log.m_Runs["order"].push_back({Start + 1s, "stock", "u2"});
  Of.breaks("ran 2 times");
}

BOOST_AUTO_TEST_CASE(RefusalOfARequestThatRan) {
  Books Of;
  Of.order().m_Status = 503;
  Of.breaks("said not to have run");
}

BOOST_AUTO_TEST_CASE(SuccessWithoutARun) {
  Books Of;
  Of.m_Log.m_Runs.erase("order");
  Of.breaks("never ran");
}

BOOST_AUTO_TEST_CASE(AnswerOfAnotherRequest) {
  Books Of;
  Of.order().m_Body = "read stock u1";
  Of.breaks("answer of another");
}

BOOST_AUTO_TEST_CASE(RunThatNobodySent) {
  Books Of;
  Of.m_Log.m_Runs["ghost"] = {{Start, "stock", "u1"}};
  Of.breaks("no caller sent it");
}

BOOST_AUTO_TEST_CASE(OrderBehindAClosingAnswerThatRan) {
  Books Of;
  Of.order().m_Ending = Ending::Unread;
  Of.breaks("behind an answer that closed");
}

BOOST_AUTO_TEST_CASE(CutIsExcusedByAKillOnly) {
  Books Of;
  Of.order().m_Ending = Ending::Cut;
  Of.breaks("cut off");
  Of.m_Log.m_Vms[0].m_Killed.push_back(Start + 30ms);
  Of.keeps();
  Of.m_Log.m_Vms[0].m_Killed = {Start + 2s};
  Of.breaks("cut off");
}

BOOST_AUTO_TEST_CASE(LateAnswerIsExcusedByAPauseOnly) {
  Books Of;
  Of.order().m_EndedAt = Start + 60s;
  Of.breaks("answered after");
  Of.m_Log.m_Vms[0].m_Paused.push_back({Start + 1s, Start + 50s});
  Of.keeps();
}

BOOST_AUTO_TEST_CASE(OlderConfigurationAfterANewerOne) {
  Books Of;
  Of.add("new", true, "edition-2");
  Attempt &Old = Of.add("old", true, "edition-1");
  Old.m_SentAt = Start + 1s;
  Old.m_EndedAt = Start + 2s;
  Of.breaks("older configuration");
  Of.m_Log.m_Vms[0].m_Ended.push_back(Start + 500ms);
  Of.keeps(); // Another run of the process.
}

BOOST_AUTO_TEST_CASE(RepeatsBeyondTheBudget) {
  Books Of;
  for (int I = 0; I < 60; ++I) {
    std::string Id = "r" + std::to_string(I);
    Of.add(Id, true);
    Of.m_Log.m_Runs[Id].push_back({Start + 20ms, "stock", "u2"});
  }
  Of.keeps(); // 60 repeats to 62 requests: 62 are allowed.
  for (int I = 0; I < 60; ++I)
    Of.m_Log.m_Runs["r" + std::to_string(I)].push_back(
        {Start + 30ms, "stock", "u3"});
  Of.breaks("repeats");
}

BOOST_AUTO_TEST_CASE(LeavingUpstreamThatGetsWorkLate) {
  Books Of;
  Of.m_Log.m_Orders.push_back({Order::Kind::Leaving, "u1", Start - 3s});
  std::vector<std::string> Found = Of.m_Log.judge(Of.m_By);
  BOOST_TEST(Found.size() == 2U);
  // Whoever could not reach the store is excused.
  Of.m_Log.m_StoreHarms.push_back({Start - 2s, Start - 1s});
  Of.keeps();
  Of.m_Log.m_StoreHarms.clear();
  Of.m_Log.m_Orders[0].m_Until = Start - 1s; // It came back.
  Of.keeps();
}

BOOST_AUTO_TEST_SUITE_END()
