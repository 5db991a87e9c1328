/// \file
/// Tests of upstream health, queueing, retries and final answers of calls.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "core/core.h"
#include "support/deployments.h"
#include "tables/memory_table.h"

using namespace mustardspoke;

namespace {

/// A single entry VM of the example deployment "lone-star" that has registered,
/// holds its shares and serves calls.
struct ServingVm {
  ServingVm() {
    MemberInfo Self;
    Self.m_Identity = {VmName("vm-1"), 1};
    Self.m_Region = RegionName("dfw");
    Self.m_FailureDomain = FailureDomainName("dfw-a");
    Self.m_CallerAddress = "127.0.0.1:1";
    m_Node = std::make_unique<Node>(Self, Tuning{}, Strategies{}, 1, m_Now);
    auto Config =
        std::make_shared<const Bundle>(test::exampleBundle("lone-star"));
    (void)m_Table.execute(
        {0, CommitRequest{{RowWrite{HeadKey, 0, HeadRow{1, "b"}}}}});
    (void)m_Node->adopt(Config, m_Now);
    (void)m_Node->heartbeat(m_Now);
    runStoreRequests();
    (void)m_Node->heartbeat(m_Now);
  }

  /// Executes all store requests that are due.
  void runStoreRequests() {
    while (auto Request = m_Node->nextStoreRequest(m_Now))
      m_Node->onStoreReply(m_Table.execute(*Request), m_Now);
  }

  CallDecision startPlainCall(Duration Deadline = 1s) {
    CallRequest Request;
    Request.m_Service = ServiceName("stock-lookup");
    Request.m_Tenant = TenantName("t");
    Request.m_Deadline = Deadline;
    return m_Node->startCall(Request, m_Now);
  }

  /// Starts a call of a service whose calls need a ticket.
  CallDecision startBooking(const Ticket &Presented) {
    CallRequest Request;
    Request.m_Service = ServiceName("order-booking");
    Request.m_Ticket = Presented;
    return m_Node->startCall(Request, m_Now);
  }

  Ticket issueTicket() {
    auto Answer = m_Node->lookUp({ServiceName("order-booking"), {}}, m_Now);
    return Answer.m_Ticket.value();
  }

  TimePoint m_Now{1000s};
  MemoryTable m_Table;
  std::unique_ptr<Node> m_Node;
};

bool isAnswer(const CallStep &Step, ErrorKind Error, Outcome Expected) {
  return Step.m_Kind == StepKind::Answer && Step.m_Error == Error &&
         Step.m_Outcome == Expected;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Calls)

BOOST_AUTO_TEST_CASE(EveryErrorKindHasItsRow) {
  for (const ErrorInfo &Rule : errorTable()) {
    BOOST_TEST(!Rule.m_Name.empty());
    BOOST_TEST(Rule.m_HttpStatus >= 200U);
  }
  std::error_code Code = ErrorKind::NoCapacity;
  BOOST_TEST(Code.message().size() > 0U);
}

BOOST_AUTO_TEST_CASE(PlainCallGoesToAHomeUpstream) {
  ServingVm Vm;
  CallDecision Decision = Vm.startPlainCall();
  BOOST_REQUIRE((Decision.m_Step.m_Kind == StepKind::Send));
  CallStep Sent = Vm.m_Node->confirmSend(Decision.m_Id, Vm.m_Now);
  BOOST_TEST((Sent.m_Kind == StepKind::Send));
  CallStep Final = Vm.m_Node->finishAttempt(Decision.m_Id,
                                            AttemptResult::Answered, Vm.m_Now);
  BOOST_TEST(isAnswer(Final, ErrorKind::None, Outcome::Done));
  BOOST_TEST(Vm.m_Node->callsInFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(LostPlainCallIsRetriedElsewhere) {
  ServingVm Vm;
  CallDecision Decision = Vm.startPlainCall();
  (void)Vm.m_Node->confirmSend(Decision.m_Id, Vm.m_Now);
  CallStep Next =
      Vm.m_Node->finishAttempt(Decision.m_Id, AttemptResult::Lost, Vm.m_Now);
  BOOST_REQUIRE((Next.m_Kind == StepKind::Send));
  BOOST_TEST((Next.m_Upstream != Decision.m_Step.m_Upstream));
}

BOOST_AUTO_TEST_CASE(RetriedCallIsNeverToldNotRun) {
  ServingVm Vm;
  CallDecision Decision = Vm.startPlainCall();
  (void)Vm.m_Node->confirmSend(Decision.m_Id, Vm.m_Now);
  (void)Vm.m_Node->finishAttempt(Decision.m_Id, AttemptResult::Lost, Vm.m_Now);
  Vm.m_Now += 2s;
  CallStep Final = Vm.m_Node->confirmSend(Decision.m_Id, Vm.m_Now);
  BOOST_TEST(isAnswer(Final, ErrorKind::DeadlineBeforeSend, Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(LostBookingIsUnknownAndNeverSentAgain) {
  ServingVm Vm;
  Ticket T = Vm.issueTicket();
  CallDecision Decision = Vm.startBooking(T);
  BOOST_REQUIRE((Decision.m_Step.m_Kind == StepKind::Send));
  BOOST_TEST(Decision.m_Step.m_FreshConnection);
  (void)Vm.m_Node->confirmSend(Decision.m_Id, Vm.m_Now);
  CallStep Final =
      Vm.m_Node->finishAttempt(Decision.m_Id, AttemptResult::Lost, Vm.m_Now);
  BOOST_TEST(isAnswer(Final, ErrorKind::UpstreamLost, Outcome::Unknown));
  BOOST_TEST(isAnswer(Vm.startBooking(T).m_Step, ErrorKind::TicketForgotten,
                      Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(UnconnectedBookingIsRetriedElsewhere) {
  ServingVm Vm;
  CallDecision Decision = Vm.startBooking(Vm.issueTicket());
  CallStep Next = Vm.m_Node->finishAttempt(
      Decision.m_Id, AttemptResult::NotConnected, Vm.m_Now);
  BOOST_TEST((Next.m_Kind == StepKind::Send));
}

BOOST_AUTO_TEST_CASE(BookingWithoutTicketIsRefused) {
  ServingVm Vm;
  CallRequest Request;
  Request.m_Service = ServiceName("order-booking");
  CallDecision Decision = Vm.m_Node->startCall(Request, Vm.m_Now);
  BOOST_TEST(
      isAnswer(Decision.m_Step, ErrorKind::TicketRequired, Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(OverloadQueuesThenRefusesAtOnce) {
  ServingVm Vm;
  int Sent = 0;
  int Waiting = 0;
  int Refused = 0;
  for (int I = 0; I < 200; ++I) {
    CallDecision Decision = Vm.startPlainCall();
    Sent += Decision.m_Step.m_Kind == StepKind::Send;
    Waiting += Decision.m_Step.m_Kind == StepKind::Wait;
    if (Decision.m_Step.m_Kind == StepKind::Answer) {
      ++Refused;
      BOOST_TEST((Decision.m_Step.m_Outcome == Outcome::NotRun));
      BOOST_TEST(Decision.m_Step.m_RetryAfter.count() > 0);
    }
  }
  BOOST_TEST(Sent > 0);
  BOOST_TEST(Waiting == 64);
  BOOST_TEST(Refused == 200 - Sent - Waiting);
  // A call that gets no slot is answered at its deadline, not later.
  Vm.m_Now += 1s;
  Vm.m_Node->tick(Vm.m_Now);
  BOOST_TEST(Vm.m_Node->takeReadyDecisions().size() == 64U);
}

BOOST_AUTO_TEST_CASE(FreedSlotGoesToTheQueue) {
  ServingVm Vm;
  std::vector<CallDecision> Sent;
  CallDecision Decision = Vm.startPlainCall();
  while (Decision.m_Step.m_Kind == StepKind::Send) {
    Sent.push_back(Decision);
    Decision = Vm.startPlainCall();
  }
  BOOST_REQUIRE((Decision.m_Step.m_Kind == StepKind::Wait));
  (void)Vm.m_Node->confirmSend(Sent[0].m_Id, Vm.m_Now);
  (void)Vm.m_Node->finishAttempt(Sent[0].m_Id, AttemptResult::Answered,
                                 Vm.m_Now);
  auto Ready = Vm.m_Node->takeReadyDecisions();
  BOOST_REQUIRE(Ready.size() == 1U);
  BOOST_TEST((Ready[0].m_Id == Decision.m_Id));
  BOOST_TEST((Ready[0].m_Step.m_Kind == StepKind::Send));
}

BOOST_AUTO_TEST_CASE(WaitingCallThatCannotEndInTimeIsNotSent) {
  ServingVm Vm;
  // Set the average duration of calls to about one second.
  for (int I = 0; I < 40; ++I) {
    CallDecision Decision = Vm.startPlainCall(2s);
    (void)Vm.m_Node->confirmSend(Decision.m_Id, Vm.m_Now);
    Vm.m_Now += 1s;
    (void)Vm.m_Node->finishAttempt(Decision.m_Id, AttemptResult::Answered,
                                   Vm.m_Now);
    Vm.runStoreRequests();
  }
  CallDecision Decision = Vm.startPlainCall(2s);
  while (Decision.m_Step.m_Kind == StepKind::Send)
    Decision = Vm.startPlainCall(2s);
  BOOST_REQUIRE((Decision.m_Step.m_Kind == StepKind::Wait));
  Vm.m_Now += 1500ms;
  Vm.m_Node->tick(Vm.m_Now);
  auto Ready = Vm.m_Node->takeReadyDecisions();
  BOOST_REQUIRE(!Ready.empty());
  for (const CallDecision &Failed : Ready)
    BOOST_TEST(isAnswer(Failed.m_Step, ErrorKind::DeadlineBeforeSend,
                        Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(LeaseIsCheckedAgainBeforeTheSend) {
  ServingVm Vm;
  CallDecision Decision = Vm.startPlainCall(2s);
  Vm.m_Now += 3h;
  CallStep Step = Vm.m_Node->confirmSend(Decision.m_Id, Vm.m_Now);
  BOOST_TEST((Step.m_Kind != StepKind::Send));
  BOOST_TEST(Vm.m_Node->counters().m_LeaseRefusals == 1U);
}

BOOST_AUTO_TEST_CASE(DestroyingANodeWithWaitingCallsIsSafe) {
  ServingVm Vm;
  for (int I = 0; I < 100; ++I)
    (void)Vm.startPlainCall();
  Vm.m_Node.reset();
}

BOOST_AUTO_TEST_CASE(BusyReportDoesNotReduceTheAllowance) {
  UpstreamState U(Upstream{UpstreamName("u"), "", RegionName("r"),
                           FailureDomainName("d"), 10, 300, false});
  UpstreamTuning Parameters;
  TimePoint Now{100s};
  U.recordReport({10, 10, false}, Now, Parameters);
  BOOST_TEST(U.allowance(4, Now, Parameters) == 4U);
  U.recordReport({5, 0, false}, Now, Parameters);
  BOOST_TEST(U.allowance(4, Now, Parameters) == 2U);
}

BOOST_AUTO_TEST_CASE(NewUpstreamWarmsUp) {
  UpstreamState U(Upstream{UpstreamName("u"), "", RegionName("r"),
                           FailureDomainName("d"), 10, 300, false});
  UpstreamTuning Parameters;
  TimePoint Now{100s};
  U.m_WarmUpSince = Now;
  BOOST_TEST(U.allowance(10, Now, Parameters) == 1U);
  BOOST_TEST(U.allowance(10, Now + Parameters.m_WarmUp / 2, Parameters) == 5U);
  BOOST_TEST(U.allowance(10, Now + Parameters.m_WarmUp, Parameters) == 10U);
}

BOOST_AUTO_TEST_CASE(EjectionDoesNotEmptyThePool) {
  ServingVm Vm;
  for (const auto &[Name, U] : Vm.m_Node->upstreams())
    U->m_EjectedUntil = Vm.m_Now + 1h;
  BOOST_TEST((Vm.startPlainCall().m_Step.m_Kind == StepKind::Send));
}

BOOST_AUTO_TEST_CASE(CallIsRefusedAtOnceWhenEveryUpstreamDrains) {
  ServingVm Vm;
  for (const auto &[Name, U] : Vm.m_Node->upstreams())
    U->recordDrain(Vm.m_Now);
  BOOST_TEST(isAnswer(Vm.startPlainCall().m_Step, ErrorKind::NoCapacity,
                      Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(RetryBudgetRunsOut) {
  RetryBudget Budget;
  int Spent = 0;
  while (Budget.tryWithdraw())
    ++Spent;
  BOOST_TEST(Spent == 10);
  for (int I = 0; I < 10; ++I)
    Budget.deposit();
  BOOST_TEST(Budget.tryWithdraw());
  BOOST_TEST(!Budget.tryWithdraw());
}

BOOST_AUTO_TEST_CASE(TenantsTakeTurnsInTheQueue) {
  WaitQueue Queue;
  std::vector<CallRef> All;
  auto Add = [&](const char *Tenant) {
    All.emplace_back(new Call);
    All.back()->m_Request.m_Tenant = TenantName(Tenant);
    Queue.push(*All.back());
  };
  for (int I = 0; I < 5; ++I)
    Add("loud");
  Add("quiet");
  int UntilQuiet = 0;
  while (Call *Front = Queue.front()) {
    ++UntilQuiet;
    bool IsQuiet = Front->m_Request.m_Tenant == TenantName("quiet");
    Queue.remove(*Front);
    Queue.rotate();
    if (IsQuiet)
      break;
  }
  BOOST_TEST(UntilQuiet <= 2);
  while (Call *Front = Queue.front())
    Queue.remove(*Front);
}

BOOST_AUTO_TEST_SUITE_END()
