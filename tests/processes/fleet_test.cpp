/// \file
/// Planned stops, ticket handover, store outages and concurrent operators.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/test_cluster.h"

#include <algorithm>
#include <csignal>
#include <future>
#include <thread>

using namespace mustardspoke;
using namespace mustardspoke::test;

namespace {

constexpr std::uint64_t SheetBytes = 4 * 1024 * 1024;

/// Stops VM 0 during a download that takes several seconds.
/// \param Signals Number of SIGTERM signals to send.
CallerResult downloadAcrossStop(unsigned PortBase, int Signals, int &Exit) {
  TestCluster Cluster({.m_PortBase = PortBase, .m_SheetServiceMs = 80});
  Cluster.acceptFirstBundle();
  auto Sheet = std::async(std::launch::async, [&] {
    return sendCall(Cluster.callerAddress(0),
                    "/call/load-sheets/bytes/" + std::to_string(SheetBytes), "",
                    "");
  });
  BOOST_REQUIRE(eventually(
      [&] { return Cluster.upstreamLog("sheets").integerOr("busy", 0) == 1; }));
  Cluster.process(0).signal(SIGTERM);
  for (int I = 1; I < Signals; ++I) {
    std::this_thread::sleep_for(500ms);
    Cluster.process(0).signal(SIGTERM);
  }
  CallerResult Result = Sheet.get();
  BOOST_TEST(eventually([&] {
    auto Names = Cluster.vmsInLookup(1);
    return !Names.empty() && std::ranges::find(Names, "vm-0") == Names.end();
  }));
  Exit = Cluster.process(0).waitForExit(30s).value_or(-1);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Fleet)

BOOST_AUTO_TEST_CASE(PlannedStopCutsNoDownload) {
  int Exit = -1;
  CallerResult Sheet = downloadAcrossStop(27300, 1, Exit);
  BOOST_TEST(Sheet.m_IsComplete);
  BOOST_TEST(Sheet.m_BodyBytes == SheetBytes);
  BOOST_TEST(Exit == 0);
}

BOOST_AUTO_TEST_CASE(PlannedStopControl) {
  int Exit = -1;
  CallerResult Sheet = downloadAcrossStop(27300, 2, Exit);
  BOOST_TEST(!Sheet.m_IsComplete);
  BOOST_TEST(Exit != 0);
}

BOOST_AUTO_TEST_CASE(TicketsOutliveAPlannedStop) {
  TestCluster Cluster({.m_PortBase = 27400});
  Cluster.acceptFirstBundle();
  std::string Used = Cluster.ticketOwnedBy(0);
  std::string Unused = Cluster.ticketOwnedBy(0);
  BOOST_TEST(
      Cluster.bookOrder(Cluster.callerAddress(0), Used, "kept").m_Outcome ==
      "done");
  Cluster.process(0).signal(SIGTERM);
  BOOST_TEST(Cluster.process(0).waitForExit(30s).value_or(-1) == 0);
  CallerResult Again =
      Cluster.bookOrder(Cluster.callerAddress(1), Used, "kept");
  BOOST_TEST(Again.m_Outcome == "done");
  BOOST_TEST(Again.m_BodyStart == "{\"ran\":\"kept\"}");
  BOOST_TEST(Cluster.runCount("kept") == 1U);
  BOOST_TEST(
      Cluster.bookOrder(Cluster.callerAddress(1), Unused, "fresh").m_Outcome ==
      "done");
  BOOST_TEST(Cluster.runCount("fresh") == 1U);
}

BOOST_AUTO_TEST_CASE(ServesThroughAStoreOutageAndNewVmsGetTheBundle) {
  TestCluster Cluster({.m_PortBase = 27500});
  Cluster.acceptFirstBundle();
  Cluster.setStoreMode("down");
  std::this_thread::sleep_for(2s);
  BOOST_TEST(Cluster.call(0, "stock-lookup", "/run/a").m_Outcome == "done");
  BOOST_TEST(Cluster.call(1, "order-booking", "/run/b", "{}").m_Outcome ==
             "done");
  // A restarted VM gets the bundle from its peer, but has no shares yet.
  Cluster.killVm(1);
  Cluster.startVm(1);
  BOOST_TEST(eventually([&] { return Cluster.bundleVersion(1) == 1; }));
  CallerResult NoShares =
      sendCall(Cluster.callerAddress(1), "/call/stock-lookup/run/c", "", "");
  BOOST_TEST(NoShares.m_Outcome == "not-run");
  HttpResponse Refused =
      Cluster.acceptSections(0, {Cluster.signedSection("stock", 2)});
  BOOST_TEST(Refused.m_Status == 503U);
  Cluster.setStoreMode("up");
  BOOST_TEST(eventually([&] { return Cluster.isReady(1); }));
  BOOST_TEST(Cluster.bundleVersion(0) == 1U);
}

BOOST_AUTO_TEST_CASE(RacingOperatorsBothGetInOrOneIsTold) {
  TestCluster Cluster({.m_PortBase = 27600});
  Cluster.acceptFirstBundle();
  auto Stock = std::async(std::launch::async, [&] {
    return Cluster.acceptSections(0, {Cluster.signedSection("stock", 2, " ")});
  });
  auto Orders = std::async(std::launch::async, [&] {
    return Cluster.acceptSections(1, {Cluster.signedSection("orders", 2, " ")});
  });
  BOOST_TEST(Stock.get().m_Status == 200U);
  BOOST_TEST(Orders.get().m_Status == 200U);
  for (unsigned Vm : {0U, 1U})
    BOOST_TEST(eventually([&] { return Cluster.bundleVersion(Vm) == 3; }));

  auto First = std::async(std::launch::async, [&] {
    return Cluster.acceptSections(0, {Cluster.signedSection("stock", 3, "  ")});
  });
  auto Second = std::async(std::launch::async, [&] {
    return Cluster.acceptSections(1,
                                  {Cluster.signedSection("stock", 3, "   ")});
  });
  unsigned Statuses = First.get().m_Status + Second.get().m_Status;
  BOOST_TEST(Statuses == 200U + 409U);
  for (unsigned Vm : {0U, 1U})
    BOOST_TEST(eventually([&] { return Cluster.bundleVersion(Vm) == 4; }));
}

BOOST_AUTO_TEST_CASE(AcceptWhoseAnswerWasLostIsSettled) {
  TestCluster Cluster({.m_PortBase = 27700});
  Cluster.acceptFirstBundle();
  Cluster.setStoreMode("lose");
  HttpResponse Answer =
      Cluster.acceptSections(0, {Cluster.signedSection("stock", 2, " ")});
  Cluster.setStoreMode("up");
  // The reply to the write of the bundle object is lost first, so the request
  // fails before the commit.
  BOOST_TEST(Answer.m_Status == 503U);
  HttpResponse Again =
      Cluster.acceptSections(1, {Cluster.signedSection("stock", 2, " ")});
  BOOST_TEST(Again.m_Status == 200U);
  HttpResponse Same =
      Cluster.acceptSections(0, {Cluster.signedSection("stock", 2, " ")});
  BOOST_TEST(Same.m_Status == 200U);
  for (unsigned Vm : {0U, 1U})
    BOOST_TEST(eventually([&] { return Cluster.bundleVersion(Vm) == 2; }));
}

BOOST_AUTO_TEST_CASE(HalfTheFleetCannotAccept) {
  TestCluster Cluster({.m_PortBase = 27800});
  Cluster.acceptFirstBundle();
  Cluster.process(1).signal(SIGSTOP);
  std::this_thread::sleep_for(4s);
  HttpResponse Refused =
      Cluster.acceptSections(0, {Cluster.signedSection("stock", 2, " ")});
  BOOST_TEST(Refused.m_Status == 503U);
  BOOST_TEST(Refused.m_Body.find("bundle-no-majority") != std::string::npos);
  Cluster.process(1).signal(SIGCONT);
  BOOST_TEST(eventually([&] {
    return Cluster.acceptSections(0, {Cluster.signedSection("stock", 2, " ")})
               .m_Status == 200;
  }));
}

BOOST_AUTO_TEST_SUITE_END()
