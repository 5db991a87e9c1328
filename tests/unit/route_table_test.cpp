/// \file
/// Routes, traffic splits and the retry budget.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

namespace mustardspoke::steer {

BOOST_AUTO_TEST_SUITE(Routing)

BOOST_AUTO_TEST_CASE(RetriesOfAllVmsStayWithinTheBudget) {
  RetryBudgetTuning Tuning;
  Tuning.m_Slack = 56;
  constexpr unsigned Vms = 8;
  unsigned Requests = 0;
  unsigned Retries = 0;
  std::array<RetryBudget, Vms> Budgets;
  for (int Ms = 0; Ms < 10000; Ms += 2)
    for (RetryBudget &Budget : Budgets) {
      Budget.recordRequest(Start + Ms * 1ms);
      ++Requests;
      Retries += Budget.takeRetry(Start + Ms * 1ms, 1.0 / Vms, Tuning) ? 1 : 0;
    }
  BOOST_TEST(double(Retries) <= Tuning.m_Ratio * Requests + Tuning.m_Slack);
  BOOST_TEST(Retries > 0);
}

BOOST_AUTO_TEST_CASE(SplitFollowsItsWeightsAfterAnyNumberOfRequests) {
  Route Split;
  Split.m_Name = "split";
  Split.m_Targets = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
  TrafficSplitter Splitter;
  int ToB = 0;
  for (int I = 1; I <= 100; ++I) {
    ToB += Splitter.next(Split) == ServiceName("b");
    BOOST_TEST(std::abs(ToB - I * 0.1) <= 1.0);
  }
  BOOST_TEST(ToB == 10);
}

BOOST_AUTO_TEST_CASE(LongestPrefixWins) {
  RouteTable Table;
  for (const char *Prefix : {"/a/", "/a/b/", "/"}) {
    Route Added;
    Added.m_Name = Prefix;
    Added.m_Prefix = Prefix;
    Table.add("h", Added);
  }
  BOOST_TEST(Table.find("h", "/a/b/c")->m_Name == "/a/b/");
  BOOST_TEST(Table.find("h", "/a/x")->m_Name == "/a/");
  BOOST_TEST(Table.find("h", "/z")->m_Name == "/");
  BOOST_TEST(Table.find("other", "/a/") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
