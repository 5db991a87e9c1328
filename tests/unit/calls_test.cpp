/// \file
/// Upstream health, queueing, retries and final answers of single calls.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "core/core.h"
#include "support/deployments.h"
#include "tables/memory_table.h"

using namespace mustardspoke;

namespace {

/// One VM of Lone Star that has its shares and serves.
struct OneVm {
  OneVm() {
    MemberInfo Self;
    Self.m_Run = {VmName("vm-1"), 1};
    Self.m_Region = RegionName("dfw");
    Self.m_Domain = DomainName("dfw-a");
    Self.m_CallerAddress = "127.0.0.1:1";
    m_Node = std::make_unique<Node>(Self, Tuning{}, Strategies{}, 1, m_Now);
    auto B = std::make_shared<const Bundle>(test::exampleBundle("lone-star"));
    (void)m_Table.execute(
        {0, CommitRequest{{RowWrite{HeadKey, 0, HeadRow{1, "b"}}}}});
    (void)m_Node->adopt(B, m_Now);
    (void)m_Node->heartbeat(m_Now);
    store();
    (void)m_Node->heartbeat(m_Now);
  }

  void store() {
    while (auto Request = m_Node->nextStoreRequest(m_Now))
      m_Node->onStoreReply(m_Table.execute(*Request), m_Now);
  }

  CallTurn plain(Duration Deadline = 1s) {
    CallRequest Request;
    Request.m_Service = ServiceName("stock-lookup");
    Request.m_Tenant = TenantName("t");
    Request.m_Deadline = Deadline;
    return m_Node->begin(Request, m_Now);
  }

  CallTurn booking(const Ticket &Shown) {
    CallRequest Request;
    Request.m_Service = ServiceName("order-booking");
    Request.m_Ticket = Shown;
    return m_Node->begin(Request, m_Now);
  }

  Ticket ticket() {
    auto Answer = m_Node->lookUp({ServiceName("order-booking"), {}}, m_Now);
    return Answer.m_Ticket.value();
  }

  TimePoint m_Now{1000s};
  MemoryTable m_Table;
  std::unique_ptr<Node> m_Node;
};

bool isAnswer(const CallStep &Step, ErrorKind Error, Outcome Value) {
  return Step.m_Kind == StepKind::Answer && Step.m_Error == Error &&
         Step.m_Outcome == Value;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Calls)

BOOST_AUTO_TEST_CASE(EveryErrorKindHasItsRow) {
  for (const AnswerRule &Rule : answerRules()) {
    BOOST_TEST(!Rule.m_Name.empty());
    BOOST_TEST(Rule.m_HttpStatus >= 200U);
  }
  std::error_code Code = ErrorKind::NoCapacity;
  BOOST_TEST(Code.message().size() > 0U);
}

BOOST_AUTO_TEST_CASE(PlainCallGoesToAHomeUpstream) {
  OneVm Vm;
  CallTurn Turn = Vm.plain();
  BOOST_REQUIRE((Turn.m_Step.m_Kind == StepKind::Send));
  CallStep Sent = Vm.m_Node->confirmSend(Turn.m_Id, Vm.m_Now);
  BOOST_TEST((Sent.m_Kind == StepKind::Send));
  CallStep Last = Vm.m_Node->finish(Turn.m_Id, AttemptEnd::Answered, Vm.m_Now);
  BOOST_TEST(isAnswer(Last, ErrorKind::None, Outcome::Done));
  BOOST_TEST(Vm.m_Node->callsInFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(LostPlainCallIsRetriedElsewhere) {
  OneVm Vm;
  CallTurn Turn = Vm.plain();
  (void)Vm.m_Node->confirmSend(Turn.m_Id, Vm.m_Now);
  CallStep Next = Vm.m_Node->finish(Turn.m_Id, AttemptEnd::Lost, Vm.m_Now);
  BOOST_REQUIRE((Next.m_Kind == StepKind::Send));
  BOOST_TEST((Next.m_Upstream != Turn.m_Step.m_Upstream));
}

BOOST_AUTO_TEST_CASE(RetriedCallIsNeverToldNotRun) {
  OneVm Vm;
  CallTurn Turn = Vm.plain();
  (void)Vm.m_Node->confirmSend(Turn.m_Id, Vm.m_Now);
  (void)Vm.m_Node->finish(Turn.m_Id, AttemptEnd::Lost, Vm.m_Now);
  Vm.m_Now += 2s;
  CallStep Last = Vm.m_Node->confirmSend(Turn.m_Id, Vm.m_Now);
  BOOST_TEST(isAnswer(Last, ErrorKind::DeadlineBeforeSend, Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(LostBookingIsUnknownAndNeverSentAgain) {
  OneVm Vm;
  Ticket T = Vm.ticket();
  CallTurn Turn = Vm.booking(T);
  BOOST_REQUIRE((Turn.m_Step.m_Kind == StepKind::Send));
  BOOST_TEST(Turn.m_Step.m_FreshConnection);
  (void)Vm.m_Node->confirmSend(Turn.m_Id, Vm.m_Now);
  CallStep Last = Vm.m_Node->finish(Turn.m_Id, AttemptEnd::Lost, Vm.m_Now);
  BOOST_TEST(isAnswer(Last, ErrorKind::UpstreamLost, Outcome::Unknown));
  BOOST_TEST(isAnswer(Vm.booking(T).m_Step, ErrorKind::TicketForgotten,
                      Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(UnconnectedBookingMovesOn) {
  OneVm Vm;
  CallTurn Turn = Vm.booking(Vm.ticket());
  CallStep Next =
      Vm.m_Node->finish(Turn.m_Id, AttemptEnd::NotConnected, Vm.m_Now);
  BOOST_TEST((Next.m_Kind == StepKind::Send));
}

BOOST_AUTO_TEST_CASE(BookingWithoutTicketIsRefused) {
  OneVm Vm;
  CallRequest Request;
  Request.m_Service = ServiceName("order-booking");
  CallTurn Turn = Vm.m_Node->begin(Request, Vm.m_Now);
  BOOST_TEST(isAnswer(Turn.m_Step, ErrorKind::TicketRequired, Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(OverloadQueuesThenRefusesAtOnce) {
  OneVm Vm;
  int Sent = 0;
  int Waiting = 0;
  int Refused = 0;
  for (int I = 0; I < 200; ++I) {
    CallTurn Turn = Vm.plain();
    Sent += Turn.m_Step.m_Kind == StepKind::Send;
    Waiting += Turn.m_Step.m_Kind == StepKind::Wait;
    if (Turn.m_Step.m_Kind == StepKind::Answer) {
      ++Refused;
      BOOST_TEST((Turn.m_Step.m_Outcome == Outcome::NotRun));
      BOOST_TEST(Turn.m_Step.m_ComeBack.count() > 0);
    }
  }
  BOOST_TEST(Sent > 0);
  BOOST_TEST(Waiting == 64);
  BOOST_TEST(Refused == 200 - Sent - Waiting);
  // What waits in vain gets its answer when its deadline comes, not later.
  Vm.m_Now += 1s;
  Vm.m_Node->tick(Vm.m_Now);
  BOOST_TEST(Vm.m_Node->takeReady().size() == 64U);
}

BOOST_AUTO_TEST_CASE(FreedSlotGoesToTheQueue) {
  OneVm Vm;
  std::vector<CallTurn> Sent;
  CallTurn Turn = Vm.plain();
  while (Turn.m_Step.m_Kind == StepKind::Send) {
    Sent.push_back(Turn);
    Turn = Vm.plain();
  }
  BOOST_REQUIRE((Turn.m_Step.m_Kind == StepKind::Wait));
  (void)Vm.m_Node->confirmSend(Sent[0].m_Id, Vm.m_Now);
  (void)Vm.m_Node->finish(Sent[0].m_Id, AttemptEnd::Answered, Vm.m_Now);
  auto Ready = Vm.m_Node->takeReady();
  BOOST_REQUIRE(Ready.size() == 1U);
  BOOST_TEST((Ready[0].m_Id == Turn.m_Id));
  BOOST_TEST((Ready[0].m_Step.m_Kind == StepKind::Send));
}

BOOST_AUTO_TEST_CASE(WaitingCallThatCannotEndInTimeIsNotSent) {
  OneVm Vm;
  // Calls take about a second here, as their recent ends have shown.
  for (int I = 0; I < 40; ++I) {
    CallTurn Turn = Vm.plain(2s);
    (void)Vm.m_Node->confirmSend(Turn.m_Id, Vm.m_Now);
    Vm.m_Now += 1s;
    (void)Vm.m_Node->finish(Turn.m_Id, AttemptEnd::Answered, Vm.m_Now);
    Vm.store();
  }
  CallTurn Turn = Vm.plain(2s);
  while (Turn.m_Step.m_Kind == StepKind::Send)
    Turn = Vm.plain(2s);
  BOOST_REQUIRE((Turn.m_Step.m_Kind == StepKind::Wait));
  Vm.m_Now += 1500ms;
  Vm.m_Node->tick(Vm.m_Now);
  auto Ready = Vm.m_Node->takeReady();
  BOOST_REQUIRE(!Ready.empty());
  for (const CallTurn &One : Ready)
    BOOST_TEST(
        isAnswer(One.m_Step, ErrorKind::DeadlineBeforeSend, Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(LeaseIsCheckedAgainBeforeTheSend) {
  OneVm Vm;
  CallTurn Turn = Vm.plain(2s);
  Vm.m_Now += 3h;
  CallStep Step = Vm.m_Node->confirmSend(Turn.m_Id, Vm.m_Now);
  BOOST_TEST((Step.m_Kind != StepKind::Send));
  BOOST_TEST(Vm.m_Node->counters().m_LeaseRefusals == 1U);
}

BOOST_AUTO_TEST_CASE(DestroyingANodeWithWaitingCallsIsSafe) {
  OneVm Vm;
  for (int I = 0; I < 100; ++I)
    (void)Vm.plain();
  Vm.m_Node.reset();
}

BOOST_AUTO_TEST_CASE(BusyReportDoesNotShrinkTheAllowance) {
  UpstreamState U(Upstream{UpstreamName("u"), "", RegionName("r"),
                           DomainName("d"), 10, 300, false});
  UpstreamTuning Pace;
  TimePoint Now{100s};
  U.recordReport({10, 10, false}, Now, Pace);
  BOOST_TEST(U.allowance(4, Now, Pace) == 4U);
  U.recordReport({5, 0, false}, Now, Pace);
  BOOST_TEST(U.allowance(4, Now, Pace) == 2U);
}

BOOST_AUTO_TEST_CASE(ColdUpstreamRampsUp) {
  UpstreamState U(Upstream{UpstreamName("u"), "", RegionName("r"),
                           DomainName("d"), 10, 300, false});
  UpstreamTuning Pace;
  TimePoint Now{100s};
  U.m_ColdSince = Now;
  BOOST_TEST(U.allowance(10, Now, Pace) == 1U);
  BOOST_TEST(U.allowance(10, Now + Pace.m_WarmUp / 2, Pace) == 5U);
  BOOST_TEST(U.allowance(10, Now + Pace.m_WarmUp, Pace) == 10U);
}

BOOST_AUTO_TEST_CASE(EjectionDoesNotEmptyThePool) {
  OneVm Vm;
  for (const auto &[Name, U] : Vm.m_Node->upstreams())
    U->m_EjectedUntil = Vm.m_Now + 1h;
  BOOST_TEST((Vm.plain().m_Step.m_Kind == StepKind::Send));
}

BOOST_AUTO_TEST_CASE(CallIsRefusedAtOnceWhenEveryUpstreamDrains) {
  OneVm Vm;
  for (const auto &[Name, U] : Vm.m_Node->upstreams())
    U->recordDrain(Vm.m_Now);
  BOOST_TEST(
      isAnswer(Vm.plain().m_Step, ErrorKind::NoCapacity, Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(RetryBudgetRunsOut) {
  RetryBudget Budget;
  int Spent = 0;
  while (Budget.spend())
    ++Spent;
  BOOST_TEST(Spent == 10);
  for (int I = 0; I < 10; ++I)
    Budget.earn();
  BOOST_TEST(Budget.spend());
  BOOST_TEST(!Budget.spend());
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
