/// \file
/// The invariants of the soak test, each once satisfied and once violated.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "soak/observations.h"

using namespace mustardspoke;
using namespace mustardspoke::soak;

namespace {

constexpr TimePoint Start{1h};

/// \brief Observations with one idempotent and one unsafe request, each
/// answered after one execution.
struct Fixture {
  Observations m_Observed;
  InvariantLimits m_Limits;

  Fixture() {
    m_Observed.m_Vms.resize(2);
    add("read", true);
    add("order", false);
    m_Limits.m_CheckTiming = true;
  }

  Attempt &add(const std::string &Id, bool Repeatable,
               const std::string &Service = "stock") {
    Attempt Added;
    Added.m_Id = Id;
    Added.m_Idempotent = Repeatable;
    Added.m_SentAt = Start;
    Added.m_EndedAt = Start + 50ms;
    Added.m_Outcome = AttemptOutcome::Answered;
    Added.m_Status = 200;
    Added.m_Body = Id + " " + Service + " u1";
    m_Observed.m_Executions[Id] = {{Start + 10ms, Service, "u1"}};
    m_Observed.m_Attempts.push_back(Added);
    return m_Observed.m_Attempts.back();
  }
  Attempt &order() { return m_Observed.m_Attempts[1]; }

  /// \brief Expects exactly one violation, whose message contains \p Message.
  void expectViolation(const std::string &Message) {
    std::vector<std::string> Found = m_Observed.findViolations(m_Limits);
    BOOST_REQUIRE(Found.size() == 1);
    BOOST_TEST(Found[0].find(Message) != std::string::npos, Found[0]);
  }
  void expectNone() { BOOST_TEST(m_Observed.findViolations(m_Limits).empty()); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SoakObservations)

BOOST_AUTO_TEST_CASE(UndisturbedRunHasNoViolation) { Fixture().expectNone(); }

BOOST_AUTO_TEST_CASE(UnsafeRequestThatRanTwice) {
  Fixture Run;
  Run.m_Observed.m_Executions["order"].push_back(
      {Start + 100ms, "stock", "u2"});
  Run.expectViolation("ran 2 times");
}

BOOST_AUTO_TEST_CASE(RefusedRequestThatRan) {
  Fixture Run;
  Run.order().m_Status = 503;
  Run.expectViolation("refused as not run");
}

// Guards against requests that were given up during a cut and ran after it.
BOOST_AUTO_TEST_CASE(RequestThatRanLongAfterItsAnswer) {
  Fixture Run;
  Run.order().m_Status = 504;
  Run.m_Observed.m_Executions["order"].front().m_StartedAt = Start + 300ms;
  Run.expectNone();
  Run.m_Observed.m_Executions["order"].front().m_StartedAt = Start + 3s;
  Run.expectViolation("after its caller was answered");
}

BOOST_AUTO_TEST_CASE(SuccessWithoutAnExecution) {
  Fixture Run;
  Run.m_Observed.m_Executions.erase("order");
  Run.expectViolation("answered with success, but never ran");
}

BOOST_AUTO_TEST_CASE(AnswerOfAnotherRequest) {
  Fixture Run;
  Run.order().m_Body = "read stock u1";
  Run.expectViolation("answer of another request");
}

BOOST_AUTO_TEST_CASE(ExecutionOfAnUnknownRequest) {
  Fixture Run;
  Run.m_Observed.m_Executions["ghost"] = {{Start, "stock", "u1"}};
  Run.expectViolation("no caller sent it");
}

BOOST_AUTO_TEST_CASE(UnsafeRequestThatRanAfterAClosingAnswer) {
  Fixture Run;
  Run.order().m_Outcome = AttemptOutcome::SentAfterClose;
  Run.expectViolation("after an answer that closed");
}

BOOST_AUTO_TEST_CASE(LostConnectionIsExcusedOnlyByAKill) {
  Fixture Run;
  Run.order().m_Outcome = AttemptOutcome::ConnectionLost;
  Run.expectViolation("connection closed");
  Run.m_Observed.m_Vms[0].m_Killed.push_back(Start + 30ms);
  Run.expectNone();
  Run.m_Observed.m_Vms[0].m_Killed = {Start + 2s};
  Run.expectViolation("connection closed");
}

BOOST_AUTO_TEST_CASE(LateAnswerIsExcusedOnlyByAPause) {
  Fixture Run;
  Run.order().m_EndedAt = Start + 60s;
  Run.expectViolation("answered after");
  Run.m_Observed.m_Vms[0].m_Paused.push_back({Start + 1s, Start + 50s});
  Run.expectNone();
}

BOOST_AUTO_TEST_CASE(OlderConfigurationAfterANewerOne) {
  Fixture Run;
  Run.add("new", true, "edition-2");
  Attempt &Old = Run.add("old", true, "edition-1");
  Old.m_SentAt = Start + 1s;
  Old.m_EndedAt = Start + 2s;
  Run.expectViolation("older configuration");
  Run.m_Observed.m_Vms[0].m_Ended.push_back(Start + 500ms);
  Run.expectNone(); // Another incarnation of the process.
}

// Guards against a VM that lost its links to the upstreams and refuses what its
// peers could serve.
BOOST_AUTO_TEST_CASE(CutVmThatServesFewerThanTheOthers) {
  Fixture Run;
  for (unsigned I = 0; I < 60; ++I) {
    Attempt &Added = Run.add("c" + std::to_string(I), true);
    Added.m_Vm = I % 2;
  }
  Run.m_Observed.m_Vms[1].m_Cut = {{Start - 5s, Start + 1s}};
  Run.expectNone();
  unsigned Refused = 0;
  for (Attempt &Entry : Run.m_Observed.m_Attempts)
    if (Entry.m_Vm == 1 && Refused < 15) {
      ++Refused;
      Entry.m_Status = 503;
      Run.m_Observed.m_Executions.erase(Entry.m_Id);
    }
  Run.expectViolation("cut off from all upstreams");
  // All VMs are cut off: the others' attempts were earlier.
  Run.m_Observed.m_Vms[0].m_Cut = {{Start - 1s, Start + 20ms}};
  Run.expectNone();
  Run.m_Observed.m_Vms[0].m_Cut.clear();
  Run.expectViolation("cut off from all upstreams");
  // The cut has just begun, or the VM has just started.
  Run.m_Observed.m_Vms[1].m_Cut = {{Start - 3s, Start + 1s}};
  Run.expectNone();
  Run.m_Observed.m_Vms[1].m_Cut = {{Start - 5s, Start + 1s}};
  Run.m_Observed.m_Vms[1].m_Started = {Start - 3s};
  Run.expectNone();
}

BOOST_AUTO_TEST_CASE(RetriesBeyondTheBudget) {
  Fixture Run;
  for (int I = 0; I < 60; ++I) {
    std::string Id = "r" + std::to_string(I);
    Run.add(Id, true);
    Run.m_Observed.m_Executions[Id].push_back({Start + 20ms, "stock", "u2"});
  }
  Run.expectNone(); // 60 retries for 62 requests; 62 are allowed.
  for (int I = 0; I < 60; ++I)
    Run.m_Observed.m_Executions["r" + std::to_string(I)].push_back(
        {Start + 30ms, "stock", "u3"});
  Run.expectViolation("retries");
}

BOOST_AUTO_TEST_CASE(LeavingUpstreamThatStillGetsRequests) {
  Fixture Run;
  Run.m_Observed.m_Withdrawals.push_back(
      {Withdrawal::Kind::Leaving, "u1", Start - 3s});
  std::vector<std::string> Found = Run.m_Observed.findViolations(Run.m_Limits);
  BOOST_TEST(Found.size() == 2U);
  // A disruption of the store excuses the delay.
  Run.m_Observed.m_StoreDisruptions.push_back({Start - 2s, Start - 1s});
  Run.expectNone();
  Run.m_Observed.m_StoreDisruptions.clear();
  // The upstream returned.
  Run.m_Observed.m_Withdrawals[0].m_RevokedAt = Start - 1s;
  Run.expectNone();
}

namespace {

/// \brief Both requests carry a key of customer "heron".
struct CustomerFixture : Fixture {
  CustomerFixture() {
    m_Observed.m_KeyPeriods = {{"k1", "heron", Start - 20s},
                               {"k2", "ibis", Start - 20s}};
    for (Attempt &Entry : m_Observed.m_Attempts) {
      Entry.m_Key = "k1";
      execution(Entry.m_Id).m_Customer = "heron";
    }
  }
  Execution &execution(const std::string &Id) {
    return m_Observed.m_Executions[Id].front();
  }
  KeyPeriod &key() { return m_Observed.m_KeyPeriods.front(); }
  VmHistory &vm() { return m_Observed.m_Vms[0]; }
  void refuseOrder() {
    order().m_Status = 401;
    m_Observed.m_Executions.erase("order");
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(RequestsWithValidKeysHaveNoViolation) {
  CustomerFixture Run;
  Run.expectNone();
  Run.order().m_IsPublic = true;
  Run.order().m_Key.clear();
  Run.execution("order").m_Customer.clear();
  Run.expectNone();
}

BOOST_AUTO_TEST_CASE(RequestWithoutACustomerThatRan) {
  CustomerFixture Run;
  Run.execution("order").m_Customer.clear();
  Run.expectViolation("reached u1 without a customer");
  // Also if the upstream turned it away.
  Execution Sent = Run.execution("order");
  Run.execution("order").m_Customer = "heron";
  Run.m_Observed.m_TurnedAway["order"] = {Sent};
  Run.expectViolation("reached u1 without a customer");
}

BOOST_AUTO_TEST_CASE(RequestThatRanUnderAnotherCustomersName) {
  CustomerFixture Run;
  Run.execution("order").m_Customer = "ibis";
  Run.expectViolation("in the name of ibis");
  // An unknown key, a malformed one, and one that is listed only later.
  Run.execution("order").m_Customer = "heron";
  Run.order().m_Key = "k1x";
  Run.expectViolation("in the name of heron");
  Run.order().m_Key.clear();
  Run.order().m_IsPublic = true;
  Run.expectViolation("in the name of heron");
  Run.order().m_Key = "k3";
  Run.m_Observed.m_KeyPeriods.push_back({"k3", "heron", Start + 1s});
  Run.expectViolation("in the name of heron");
}

BOOST_AUTO_TEST_CASE(KeyThatReachedAnUpstream) {
  CustomerFixture Run;
  Run.execution("order").m_SawKey = true;
  Run.expectViolation("its key reached u1");
}

// Guards against connections and waiting requests on which a key stays valid
// after a configuration took it away.
BOOST_AUTO_TEST_CASE(KeyThatWasTakenAwayTooLongAgo) {
  CustomerFixture Run;
  Run.order().m_Key = "k2";
  Run.execution("order").m_Customer = "ibis";
  KeyPeriod &Taken = Run.m_Observed.m_KeyPeriods[1];
  Taken.m_Until = Start - 3900ms;
  Run.expectNone();
  Taken.m_Until = Start - 4100ms;
  Run.expectViolation("after its key was taken away");
  // The VM could not know of it, or the request was held up on a link.
  Run.vm().m_StoreCut = {{Start - 10s, Start - 4500ms}};
  Run.expectNone();
  Run.vm().m_StoreCut = {{Start - 10s, Start - 5500ms}};
  Run.expectViolation("after its key was taken away");
  Run.vm().m_StoreCut.clear();
  Run.vm().m_Paused = {{Start - 4s, Start - 3s}};
  Run.expectNone();
  Run.vm().m_Paused.clear();
  Run.vm().m_Started = {Start - 4s};
  Run.expectNone();
  Run.vm().m_Started = {Start - 6s};
  Run.expectViolation("after its key was taken away");
  Run.m_Observed.m_LinkDisruptions = {{Start + 1ms, Start + 2ms}};
  Run.expectNone();
  Run.m_Observed.m_LinkDisruptions.clear();
  // Another VM was disturbed.
  Run.m_Observed.m_Vms[1].m_Paused = {{Start - 4s, Start - 3s}};
  Run.expectViolation("after its key was taken away");
  // It was given back.
  Run.m_Observed.m_KeyPeriods.push_back({"k2", "ibis", Start - 1s});
  Run.expectNone();
}

// Guards against a key that stays its former customer's after it was given to
// another one.
BOOST_AUTO_TEST_CASE(KeyOfAnotherCustomerNow) {
  CustomerFixture Run;
  Run.key().m_Until = Start - 5s;
  Run.m_Observed.m_KeyPeriods.push_back({"k1", "jay", Start - 5s});
  Run.execution("read").m_Customer = "jay";
  Run.expectViolation("after its key was taken away");
  Run.execution("order").m_Customer = "jay";
  Run.expectNone();
}

BOOST_AUTO_TEST_CASE(ValidKeyThatWasRefused) {
  CustomerFixture Run;
  Run.refuseOrder();
  Run.expectViolation("a valid key was refused");
  Run.key().m_From = Start - 4s;
  Run.expectViolation("a valid key was refused");
  Run.key().m_From = Start - 3900ms; // Not known everywhere.
  Run.expectNone();
  Run.key().m_From = Start - 4s;
  Run.vm().m_Killed = {Start - 1s};
  Run.expectNone();
  Run.vm().m_Killed.clear();
  Run.key().m_Until = Start + 20ms; // Before the answer.
  Run.expectNone();
  Run.order().m_Key = "k1x";
  Run.expectNone();
}

BOOST_AUTO_TEST_CASE(RefusalOnAPublicRoute) {
  CustomerFixture Run;
  Run.refuseOrder();
  Run.order().m_IsPublic = true;
  Run.order().m_Key = "k1x";
  Run.expectViolation("refused on a public route");
}

BOOST_AUTO_TEST_CASE(RequestRefusedForItsKeyThatRan) {
  CustomerFixture Run;
  Run.order().m_Status = 401;
  Run.order().m_Key = "k1x";
  std::vector<std::string> Found = Run.m_Observed.findViolations(Run.m_Limits);
  BOOST_TEST(Found.size() == 2U); // It also ran for another customer.
}

BOOST_AUTO_TEST_CASE(UploadThatDidNotArriveWhole) {
  Fixture Run;
  Run.order().m_BodyHash = 7;
  Run.m_Observed.m_Executions["order"].front().m_BodyHash = 7;
  Run.expectNone();
  Run.m_Observed.m_Executions["order"].front().m_BodyHash = 8;
  Run.expectViolation("its body wasn't whole");
}

BOOST_AUTO_TEST_CASE(CustomerThatRanMoreThanItsQuota) {
  CustomerFixture Run;
  Run.m_Limits.m_CheckQuota = true;
  Run.m_Observed.m_Quotas = {{"heron", 10, 6}};
  // (10 x 5 + 6) x 1.1 + 20 is 81.6; 2 have run at the start.
  for (int I = 0; I < 79; ++I) {
    Attempt &Added = Run.add("q" + std::to_string(I), true);
    Added.m_Key = "k1";
    Execution &Executed = Run.execution(Added.m_Id);
    Executed.m_Customer = "heron";
    Executed.m_StartedAt = Start + 10ms + I * 50ms;
    Added.m_EndedAt = Executed.m_StartedAt + 40ms;
  }
  Run.expectNone();
  Attempt &Last = Run.add("last", true);
  Last.m_Key = "k1";
  Last.m_EndedAt = Start + 5050ms;
  Run.execution("last").m_Customer = "heron";
  Run.execution("last").m_StartedAt = Start + 5010ms; // Outside the window.
  Run.expectNone();
  Run.execution("last").m_StartedAt = Start + 5s;
  Run.expectViolation("82 requests ran within 5000 ms, its quota allows 81");
  Run.execution("last").m_Customer = "ibis";
  Run.m_Observed.m_Attempts.back().m_Key = "k2";
  Run.expectNone();
  Run.m_Limits.m_CheckQuota = false;
  Run.execution("last").m_Customer = "heron";
  Run.m_Observed.m_Attempts.back().m_Key = "k1";
  Run.expectNone();
}

BOOST_AUTO_TEST_SUITE_END()
