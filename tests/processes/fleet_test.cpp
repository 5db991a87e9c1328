/// \file
/// Planned stops, handover, store outages and racing operators.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/rig.h"

#include <algorithm>
#include <csignal>
#include <future>
#include <thread>

using namespace mustardspoke;
using namespace mustardspoke::test;

namespace {

constexpr std::uint64_t SheetBytes = 4 * 1024 * 1024;

/// Stops VM 0 while it carries a download of some seconds.
CallerResult downloadAcrossStop(unsigned PortBase, int Signals, int &Exit) {
  Rig R({.m_PortBase = PortBase, .m_SheetMs = 80});
  R.acceptFirst();
  auto Sheet = std::async(std::launch::async, [&] {
    return sendCall(R.address(0),
                    "/call/load-sheets/bytes/" + std::to_string(SheetBytes), "",
                    "");
  });
  BOOST_REQUIRE(
      eventually([&] { return R.runs("sheets").integerOr("busy", 0) == 1; }));
  R.vm(0).signal(SIGTERM);
  for (int I = 1; I < Signals; ++I) {
    std::this_thread::sleep_for(500ms);
    R.vm(0).signal(SIGTERM);
  }
  CallerResult Result = Sheet.get();
  BOOST_TEST(eventually([&] {
    auto Names = R.namedBy(1);
    return !Names.empty() && std::ranges::find(Names, "vm-0") == Names.end();
  }));
  Exit = R.vm(0).waitExit(30s).value_or(-1);
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
  Rig R({.m_PortBase = 27400});
  R.acceptFirst();
  std::string Ran = R.ticketOf(0);
  std::string Unused = R.ticketOf(0);
  BOOST_TEST(R.book(R.address(0), Ran, "kept").m_Outcome == "done");
  R.vm(0).signal(SIGTERM);
  BOOST_TEST(R.vm(0).waitExit(30s).value_or(-1) == 0);
  CallerResult Again = R.book(R.address(1), Ran, "kept");
  BOOST_TEST(Again.m_Outcome == "done");
  BOOST_TEST(Again.m_BodyStart == "{\"ran\":\"kept\"}");
  BOOST_TEST(R.runsOf("kept") == 1U);
  BOOST_TEST(R.book(R.address(1), Unused, "fresh").m_Outcome == "done");
  BOOST_TEST(R.runsOf("fresh") == 1U);
}

BOOST_AUTO_TEST_CASE(ServesThroughAStoreOutageAndNewVmsGetTheBundle) {
  Rig R({.m_PortBase = 27500});
  R.acceptFirst();
  R.store("down");
  std::this_thread::sleep_for(2s);
  BOOST_TEST(R.call(0, "stock-lookup", "/run/a").m_Outcome == "done");
  BOOST_TEST(R.call(1, "order-booking", "/run/b", "{}").m_Outcome == "done");
  // A restarted VM learns the bundle from its peer and has no shares yet.
  R.stopVm(1);
  R.startVm(1);
  BOOST_TEST(eventually([&] { return R.bundleVersion(1) == 1; }));
  CallerResult Bare =
      sendCall(R.address(1), "/call/stock-lookup/run/c", "", "");
  BOOST_TEST(Bare.m_Outcome == "not-run");
  HttpResponse Refused = R.accept(0, {R.section("stock", 2)});
  BOOST_TEST(Refused.m_Status == 503U);
  R.store("up");
  BOOST_TEST(eventually([&] { return R.ready(1); }));
  BOOST_TEST(R.bundleVersion(0) == 1U);
}

BOOST_AUTO_TEST_CASE(RacingOperatorsBothGetInOrOneIsTold) {
  Rig R({.m_PortBase = 27600});
  R.acceptFirst();
  auto Stock = std::async(std::launch::async, [&] {
    return R.accept(0, {R.section("stock", 2, " ")});
  });
  auto Orders = std::async(std::launch::async, [&] {
    return R.accept(1, {R.section("orders", 2, " ")});
  });
  BOOST_TEST(Stock.get().m_Status == 200U);
  BOOST_TEST(Orders.get().m_Status == 200U);
  for (unsigned Vm : {0U, 1U})
    BOOST_TEST(eventually([&] { return R.bundleVersion(Vm) == 3; }));

  auto First = std::async(std::launch::async, [&] {
    return R.accept(0, {R.section("stock", 3, "  ")});
  });
  auto Second = std::async(std::launch::async, [&] {
    return R.accept(1, {R.section("stock", 3, "   ")});
  });
  unsigned Statuses = First.get().m_Status + Second.get().m_Status;
  BOOST_TEST(Statuses == 200U + 409U);
  for (unsigned Vm : {0U, 1U})
    BOOST_TEST(eventually([&] { return R.bundleVersion(Vm) == 4; }));
}

BOOST_AUTO_TEST_CASE(AcceptWhoseAnswerWasLostIsSettled) {
  Rig R({.m_PortBase = 27700});
  R.acceptFirst();
  R.store("lose");
  HttpResponse Answer = R.accept(0, {R.section("stock", 2, " ")});
  R.store("up");
  // The object's answer is lost too, so nothing was accepted.
  BOOST_TEST(Answer.m_Status == 503U);
  HttpResponse Again = R.accept(1, {R.section("stock", 2, " ")});
  BOOST_TEST(Again.m_Status == 200U);
  HttpResponse Same = R.accept(0, {R.section("stock", 2, " ")});
  BOOST_TEST(Same.m_Status == 200U);
  for (unsigned Vm : {0U, 1U})
    BOOST_TEST(eventually([&] { return R.bundleVersion(Vm) == 2; }));
}

BOOST_AUTO_TEST_CASE(HalfTheFleetCannotAccept) {
  Rig R({.m_PortBase = 27800});
  R.acceptFirst();
  R.vm(1).signal(SIGSTOP);
  std::this_thread::sleep_for(4s);
  HttpResponse Refused = R.accept(0, {R.section("stock", 2, " ")});
  BOOST_TEST(Refused.m_Status == 503U);
  BOOST_TEST(Refused.m_Body.find("bundle-no-majority") != std::string::npos);
  R.vm(1).signal(SIGCONT);
  BOOST_TEST(eventually([&] {
    return R.accept(0, {R.section("stock", 2, " ")}).m_Status == 200;
  }));
}

BOOST_AUTO_TEST_SUITE_END()
