/// \file
/// Routes, traffic splits and the retry budget.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

namespace mustardspoke::steer {

BOOST_AUTO_TEST_SUITE(Routing)

BOOST_AUTO_TEST_CASE(RetryStormStaysInTheBudgetOfAllVms) {
  RetryBudgetTuning Tuning;
  Tuning.m_Slack = 56;
  constexpr unsigned Vms = 8;
  unsigned Requests = 0;
  unsigned Repeats = 0;
  std::array<RetryBudget, Vms> Budgets;
  for (int Ms = 0; Ms < 10000; Ms += 2)
    for (RetryBudget &One : Budgets) {
      One.request(Start + Ms * 1ms);
      ++Requests;
      Repeats += One.take(Start + Ms * 1ms, Vms, Tuning) ? 1 : 0;
    }
  BOOST_TEST(double(Repeats) <= Tuning.m_Ratio * Requests + Tuning.m_Slack);
  BOOST_TEST(Repeats > 0);
}

BOOST_AUTO_TEST_CASE(SplitDealsByWeightAtAnyLength) {
  Route Split;
  Split.m_Name = "split";
  Split.m_Parts = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
  PartDealer Dealer;
  int ToB = 0;
  for (int I = 1; I <= 100; ++I) {
    ToB += Dealer.next(Split) == ServiceName("b");
    BOOST_TEST(std::abs(ToB - I * 0.1) <= 1.0);
  }
  BOOST_TEST(ToB == 10);
}

BOOST_AUTO_TEST_CASE(LongestPrefixWins) {
  RouteTable Table;
  for (const char *Prefix : {"/a/", "/a/b/", "/"}) {
    Route One;
    One.m_Name = Prefix;
    One.m_Prefix = Prefix;
    Table.add("h", One);
  }
  BOOST_TEST(Table.find("h", "/a/b/c")->m_Name == "/a/b/");
  BOOST_TEST(Table.find("h", "/a/x")->m_Name == "/a/");
  BOOST_TEST(Table.find("h", "/z")->m_Name == "/");
  BOOST_TEST(Table.find("other", "/a/") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
