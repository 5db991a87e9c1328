/// \file
/// Node: admission, upstream selection, retries and answers of calls.
#include "core/node.h"

#include <algorithm>
#include <array>

namespace mustardspoke {
namespace {

constexpr std::uint8_t MaxHops = 2;
constexpr Duration MinRetryAfter = 50ms;
constexpr Duration MaxRetryAfter = 5s;
constexpr int SlotTimeWeight = 8; ///< One call changes the average by 1/8.

/// The error reported for an attempt that isn't retried.
ErrorKind errorOf(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Answered:
    return ErrorKind::None;
  case AttemptResult::NotConnected:
    return ErrorKind::UpstreamUnreachable;
  case AttemptResult::Shed:
    return ErrorKind::UpstreamShed;
  case AttemptResult::Lost:
    return ErrorKind::UpstreamLost;
  case AttemptResult::TimedOut:
    return ErrorKind::DeadlineAfterSend;
  case AttemptResult::CallerGone:
    return ErrorKind::CallerGone;
  }
  return ErrorKind::UpstreamLost;
}

} // namespace

CallDecision Node::startCall(CallRequest Request, TimePoint Now) {
  ++m_Counters.m_Calls;
  if (Request.m_Ticket)
    return startTicketed(std::move(Request), Now);
  return admit(std::move(Request), false, Now);
}

CallDecision Node::startTicketed(CallRequest Request, TimePoint Now) {
  const Ticket &Presented = *Request.m_Ticket;
  if (Presented.m_Service != Request.m_Service)
    return refuse(ErrorKind::TicketInvalid, false, Request);
  if (!m_Rules.m_Owner(m_Tickets, Presented.m_Owner))
    return {CallId{}, relay(Request, Now)};
  TicketVerdict Verdict = m_Rules.m_Claim(m_Tickets, Presented, Now);
  switch (Verdict.m_Kind) {
  case TicketVerdict::Kind::Run:
    return admit(std::move(Request), true, Now);
  case TicketVerdict::Kind::Replay: {
    ++m_Counters.m_Replays;
    CallStep Step;
    Step.m_Kind = StepKind::Replay;
    Step.m_Outcome = Outcome::Done;
    Step.m_StoredAnswer = Verdict.m_Record->m_Answer;
    return {CallId{}, std::move(Step)};
  }
  case TicketVerdict::Kind::Refuse:
    break;
  }
  return refuse(Verdict.m_Error, false, Request);
}

CallStep Node::relay(const CallRequest &Request, TimePoint Now) {
  VmIncarnation CurrentOwner = m_Members.ticketOwner(Request.m_Ticket->m_Owner);
  const MemberInfo *Member = m_Members.find(CurrentOwner.m_Vm);
  bool Reachable = Member && Member->m_Identity == CurrentOwner &&
                   Member->m_State != MemberState::Left &&
                   CurrentOwner.m_Vm != m_Members.self().m_Identity.m_Vm &&
                   Request.m_Hops < MaxHops;
  if (!Reachable)
    return refuse(ErrorKind::OwnerUnreachable, false, Request).m_Step;
  ++m_Counters.m_Relays;
  CallStep Step;
  Step.m_Kind = StepKind::Relay;
  Step.m_Address = Member->m_CallerAddress;
  Duration Remaining = Request.m_Deadline;
  if (Remaining <= Duration::zero()) {
    const Service *Spec =
        bundle() ? bundle()->findService(Request.m_Service) : nullptr;
    Remaining = Spec ? Spec->m_Deadline : Duration(2s);
  }
  Step.m_Deadline = Now + Remaining;
  return Step;
}

CallDecision Node::admit(CallRequest Request, bool HoldsTicket, TimePoint Now) {
  if (!bundle())
    return refuse(ErrorKind::NoBundle, HoldsTicket, Request);
  const Service *Spec = bundle()->findService(Request.m_Service);
  if (!Spec)
    return refuse(ErrorKind::UnknownService, HoldsTicket, Request);
  if (!mayServe(Now))
    return refuse(ErrorKind::BundleUnconfirmed, HoldsTicket, Request);
  if (!Spec->m_Repeatable && !HoldsTicket)
    return refuse(ErrorKind::TicketRequired, false, Request);

  CallRef Admitted(new Call);
  Admitted->m_Id = CallId(++m_LastCallId);
  Admitted->m_StartedAt = Now;
  Admitted->m_Repeatable = Spec->m_Repeatable;
  Admitted->m_HoldsTicket = HoldsTicket;
  Duration Requested = Request.m_Deadline > Duration::zero()
                           ? Request.m_Deadline
                           : Spec->m_Deadline;
  Admitted->m_Deadline = Now + std::min(Requested, Spec->m_MaxDeadline);
  Admitted->m_Request = std::move(Request);
  m_Calls.emplace(Admitted->m_Id, Admitted);

  CallTrace Trace;
  Trace.m_Id = Admitted->m_Id;
  Trace.m_Service = Spec->m_Name;
  Trace.m_Tenant = Admitted->m_Request.m_Tenant;
  Trace.m_BundleVersion = bundle()->m_Version;
  m_Traces.push_back(std::move(Trace));
  if (m_Traces.size() > m_Tuning.m_MaxTraces)
    m_Traces.pop_front();
  serviceState(Spec->m_Name).m_RetryBudget.deposit();
  return {Admitted->m_Id, dispatchOrWait(*Admitted, Now)};
}

CallDecision Node::refuse(ErrorKind Error, bool CloseTicket,
                          const CallRequest &Request) {
  const ErrorInfo &Info = errorInfo(Error);
  ++m_Counters.m_Answers[std::size_t(Error)];
  if (CloseTicket)
    m_Tickets.recordOutcome(Request.m_Ticket->m_Id, TicketState::NotRun);
  CallStep Step;
  Step.m_Error = Error;
  Step.m_Outcome = Info.m_Outcome;
  Step.m_RetryAfter = Info.m_RetryAfter;
  return {CallId{}, std::move(Step)};
}

std::optional<CallStep> Node::dispatch(Call &Current, TimePoint Now) {
  const Service *Spec = bundle()->findService(Current.m_Request.m_Service);
  if (!Spec)
    return std::nullopt;
  ServiceState &State = serviceState(Spec->m_Name);
  for (const Route *Path : routeOrder(State)) {
    if (!hasHeadroom(*Path, Now))
      continue;
    std::vector<Candidate> Available = candidates(*Path, Current, Now);
    if (Available.empty())
      continue;
    const Candidate &Chosen = Available[m_Rules.m_Choose(Available, m_Rng)];
    std::vector<LimitUse> Uses = Path->m_LimitUses;
    Uses.push_back({Chosen.m_Upstream->m_SlotLimit, 1});
    if (!m_Limits.acquire(Uses, Now))
      continue;
    Current.m_LimitUses = std::move(Uses);
    Current.m_Upstream = Chosen.m_Upstream;
    Current.m_AttemptStartedAt = Now;
    Current.m_Sent = false;
    ++Current.m_Attempts;
    ++Chosen.m_Upstream->m_InFlight;
    ++State.m_InFlight;
    if (CallTrace *Trace = findTrace(Current.m_Id)) {
      Trace->m_QueueTime = Now - Current.m_StartedAt;
      Trace->m_Attempts.push_back(
          {Current.m_Upstream->m_Spec.m_Name, std::uint32_t(Available.size()),
           Chosen.m_Allowance,
           Path->m_Shift ? Path->m_Shift->m_Name : ShiftName(), std::nullopt});
    }
    return sendStep(Current);
  }
  return std::nullopt;
}

std::vector<const Node::Route *> Node::routeOrder(const ServiceState &State) {
  std::vector<const Route *> Order;
  for (const Route &Path : State.m_Routes) {
    bool IsShifted =
        Path.m_Shift &&
        uniform() * 100.0 < double(m_Shifts[Path.m_Shift->m_Name].m_Percent);
    Order.insert(IsShifted ? Order.begin() : Order.end(), &Path);
  }
  return Order;
}

bool Node::hasHeadroom(const Route &Path, TimePoint Now) const {
  bool Open = true;
  for (const LimitUse &Use : Path.m_LimitUses) {
    if (m_Limits.headroom(*Use.m_Entry, Now) >= Use.m_Units)
      continue;
    Use.m_Entry->m_RefusedUnits += Use.m_Units;
    Open = false;
  }
  return Open;
}

std::vector<Candidate> Node::candidates(const Route &Path, const Call &Current,
                                        TimePoint Now) const {
  const UpstreamTuning &Pace = m_Tuning.m_Upstreams;
  std::vector<Candidate> Healthy;
  std::vector<Candidate> Ejected;
  std::vector<Candidate> TriedBefore;
  for (const UpstreamRef &U : Path.m_Upstreams) {
    if (m_Rules.m_Drain(*U, Now, Pace))
      continue;
    std::uint32_t Usable = m_Limits.usable(*U->m_SlotLimit, Now);
    std::uint32_t Allowance = U->allowance(Usable, Now, Pace);
    bool WasTried =
        std::ranges::find(Current.m_TriedUpstreams, U->m_Spec.m_Name) !=
        Current.m_TriedUpstreams.end();
    if (Allowance <= U->m_InFlight ||
        m_Limits.headroom(*U->m_SlotLimit, Now) == 0)
      continue;
    Candidate Option{U, Allowance,
                     U->m_Spec.m_FailureDomain ==
                         m_Members.self().m_FailureDomain};
    auto &Group = WasTried            ? TriedBefore
                  : U->isEjected(Now) ? Ejected
                                      : Healthy;
    Group.push_back(std::move(Option));
  }
  if (Healthy.empty() && Ejected.empty() && TriedBefore.empty())
    for (const UpstreamRef &U : Path.m_Upstreams)
      if (!m_Rules.m_Drain(*U, Now, Pace))
        ++U->m_SlotLimit->m_RefusedUnits;
  // Ejection must not empty the pool: an ejected upstream is better than none.
  // Upstreams that this call has already tried are the last resort.
  if (!Healthy.empty())
    return Healthy;
  return Ejected.empty() ? TriedBefore : Ejected;
}

CallStep Node::sendStep(const Call &Current) const {
  CallStep Step;
  Step.m_Kind = StepKind::Send;
  Step.m_Address = Current.m_Upstream->m_Spec.m_Address;
  Step.m_Upstream = Current.m_Upstream->m_Spec.m_Name;
  Step.m_Deadline = Current.m_Deadline;
  Step.m_FreshConnection = !Current.m_Repeatable;
  return Step;
}

CallStep Node::confirmSend(CallId Id, TimePoint Now) {
  CallRef Current = m_Calls.at(Id);
  const UpstreamTuning &Pace = m_Tuning.m_Upstreams;
  bool HasLease = m_Limits.leasesCover(Current->m_LimitUses, Now);
  bool IsDraining = m_Rules.m_Drain(*Current->m_Upstream, Now, Pace);
  bool InTime = Now < Current->m_Deadline;
  bool CanServe = mayServe(Now);
  if (HasLease && !IsDraining && InTime && CanServe) {
    Current->m_Sent = true;
    ++m_Counters.m_Sends;
    return sendStep(*Current);
  }
  if (!HasLease)
    ++m_Counters.m_LeaseRefusals;
  releaseAttempt(*Current, Now);
  if (!InTime)
    return finishCall(*Current, ErrorKind::DeadlineBeforeSend, Now);
  if (!CanServe)
    return finishCall(*Current, ErrorKind::BundleUnconfirmed, Now);
  CallStep Step = dispatchOrWait(*Current, Now);
  dispatchQueued(Now);
  return Step;
}

void Node::onFirstByte(CallId Id, Duration Latency) {
  Call &Current = *m_Calls.at(Id);
  if (Current.m_Upstream)
    Current.m_Upstream->recordSuccess(Latency);
}

CallStep Node::finishAttempt(CallId Id, AttemptResult Result, TimePoint Now) {
  CallRef Current = m_Calls.at(Id);
  UpstreamState &U = *Current->m_Upstream;
  const UpstreamTuning &Pace = m_Tuning.m_Upstreams;
  if (Result == AttemptResult::NotConnected || Result == AttemptResult::Lost ||
      Result == AttemptResult::TimedOut)
    U.recordFailure(Now, Pace);
  if (Result == AttemptResult::Shed)
    U.recordShed(Now, Pace);
  bool NotRun =
      Result == AttemptResult::NotConnected || Result == AttemptResult::Shed;
  if (Current->m_Sent && !NotRun && Result != AttemptResult::Answered)
    Current->m_MayHaveRun = true;
  if (CallTrace *Trace = findTrace(Id); Trace && !Trace->m_Attempts.empty())
    Trace->m_Attempts.back().m_Result = Result;

  RetryBudget &Budget =
      serviceState(Current->m_Request.m_Service).m_RetryBudget;
  bool Retry = Result != AttemptResult::Answered && Now < Current->m_Deadline &&
               m_Rules.m_Retry(*Current, Result, Budget);
  Current->m_TriedUpstreams.push_back(U.m_Spec.m_Name);
  releaseAttempt(*Current, Now);
  CallStep Step;
  if (Retry) {
    ++m_Counters.m_Retries;
    Step = dispatchOrWait(*Current, Now);
  } else {
    Step = finishCall(*Current, errorOf(Result), Now);
  }
  dispatchQueued(Now);
  return Step;
}

void Node::abandonCall(CallId Id, TimePoint Now) {
  auto At = m_Calls.find(Id);
  if (At == m_Calls.end())
    return;
  CallRef Current = At->second;
  if (Current->m_Upstream) {
    (void)finishAttempt(Id, AttemptResult::CallerGone, Now);
    return;
  }
  (void)finishCall(*Current, ErrorKind::CallerGone, Now);
}

void Node::releaseAttempt(Call &Current, TimePoint Now) {
  m_Limits.release(Current.m_LimitUses);
  Current.m_LimitUses.clear();
  ServiceState &State = serviceState(Current.m_Request.m_Service);
  --State.m_InFlight;
  Duration SlotTime = Now - Current.m_AttemptStartedAt;
  State.m_MeanSlotTime += (SlotTime - State.m_MeanSlotTime) / SlotTimeWeight;
  --Current.m_Upstream->m_InFlight;
  Current.m_Upstream.reset();
  Current.m_Sent = false;
}

CallStep Node::finishCall(Call &Current, ErrorKind Error, TimePoint Now) {
  const ErrorInfo &Info = errorInfo(Error);
  ++m_Counters.m_Answers[std::size_t(Error)];
  CallStep Step;
  Step.m_Error = Error;
  Step.m_Outcome = Info.m_Outcome;
  if (Current.m_MayHaveRun && Info.m_Outcome == Outcome::NotRun)
    Step.m_Outcome = Outcome::Unknown;
  if (Error == ErrorKind::CallerGone && !Current.m_MayHaveRun)
    Step.m_Outcome = Outcome::NotRun;
  Step.m_RetryAfter = Info.m_RetryAfter;
  ServiceState &State = serviceState(Current.m_Request.m_Service);
  if (Error == ErrorKind::NoCapacity || Error == ErrorKind::QueueFull)
    Step.m_RetryAfter =
        std::clamp(Duration(expectedWait(State)), MinRetryAfter, MaxRetryAfter);
  if (Current.m_HoldsTicket) {
    TicketState Final = TicketState::Unknown;
    if (Step.m_Outcome == Outcome::Done)
      Final = TicketState::Done;
    else if (Step.m_Outcome == Outcome::NotRun)
      Final = TicketState::NotRun;
    m_Tickets.recordOutcome(Current.m_Request.m_Ticket->m_Id, Final);
  }
  if (CallTrace *Trace = findTrace(Current.m_Id)) {
    Trace->m_Error = Error;
    Trace->m_Ended = true;
    if (Trace->m_Attempts.empty())
      Trace->m_QueueTime = Now - Current.m_StartedAt;
  }
  if (Current.m_IsQueued) {
    State.m_Queue.remove(Current);
    Current.m_IsQueued = false;
  }
  m_Calls.erase(Current.m_Id);
  return Step;
}

CallTrace *Node::findTrace(CallId Id) {
  if (m_Traces.empty())
    return nullptr;
  auto First = std::uint64_t(m_Traces.front().m_Id);
  auto Index = std::uint64_t(Id) - First;
  return Index < m_Traces.size() ? &m_Traces[Index] : nullptr;
}

std::size_t Node::ticketedInFlight() const noexcept {
  return std::size_t(std::ranges::count_if(
      m_Calls, [](const auto &Item) { return Item.second->m_HoldsTicket; }));
}

} // namespace mustardspoke
