/// \file
/// The simulated callers and upstreams, and the checks of a run's invariants.
#include "support/fleet.h"

#include <algorithm>

namespace mustardspoke::test {
namespace {

/// A draining upstream must get no calls after this; the target is "a few
/// seconds".
constexpr Duration MaxDrainDelay = 5s;
/// An accepted bundle must be in force everywhere within this.
constexpr Duration MaxBundleDelay = 6s;
/// A dead VM must not be named in look-up answers after this.
constexpr Duration MaxDeadVmNaming = 5s;
constexpr Duration CallerTimeoutMargin = 3s; ///< Beyond the call's deadline.
constexpr int MaxSends = 5;

} // namespace

void SimulatedFleet::generateCalls(const Service &Called,
                                   const RegionName &HomeRegion,
                                   double CallsPerSecond) {
  if (m_Clock.m_Now > m_Start + m_Config.m_LoadDuration || CallsPerSecond <= 0)
    return;
  auto Caller = std::make_shared<CallerCall>();
  Caller->m_Service = Called.m_Name;
  Caller->m_HomeRegion = HomeRegion;
  Caller->m_StartedAt = m_Clock.m_Now;
  Caller->m_Deadline = m_Clock.m_Now + Called.m_Deadline;
  Caller->m_IsRepeatable = Called.m_Repeatable;
  m_CallerCalls.push_back(Caller);
  ++m_ServiceResults[Called.m_Name].m_Offered;
  lookUpVms(Caller);
  scheduleAfter(exponential(Duration(std::int64_t(1e6 / CallsPerSecond))),
                [=, this, &Called] {
                  generateCalls(Called, HomeRegion, CallsPerSecond);
                });
}

void SimulatedFleet::lookUpVms(const CallerCallRef &Caller) {
  std::size_t FirstVm = m_Rng(std::uint32_t(m_Vms.size()));
  for (std::size_t I = 0; I < m_Vms.size(); ++I) {
    std::size_t Vm = (FirstVm + I) % m_Vms.size();
    if (!m_Vms[Vm].m_Alive || m_Vms[Vm].m_Paused)
      continue;
    // The VM may be in any region; the region of the caller follows from its
    // address block.
    LookupRequest Request{Caller->m_Service, std::nullopt};
    for (const ClientBlock &Block : m_Config.m_Bundle->m_Clients)
      if (Block.m_Region == Caller->m_HomeRegion)
        Request.m_Client = Block.m_Prefix | 1;
    LookupAnswer Answer = m_Vms[Vm].m_Node->lookUp(Request, m_Clock.m_Now);
    if (Answer.m_Error != ErrorKind::None)
      continue;
    for (const EntryVmAddress &Named : Answer.m_Vms) {
      const auto &NamedVmState = m_Vms[vmIndexOf(Named.m_Address)];
      if (!NamedVmState.m_Alive &&
          m_Clock.m_Now - NamedVmState.m_DiedAt > MaxDeadVmNaming)
        ++m_Violations.m_DeadVmsNamed;
    }
    Caller->m_Vms = Answer.m_Vms;
    Caller->m_Ticket = Answer.m_Ticket;
    scheduleAfter(m_Config.m_CallerDelay * 2, [=, this] { sendCall(Caller); });
    return;
  }
  finishCall(Caller, Outcome::NotRun);
}

void SimulatedFleet::sendCall(const CallerCallRef &Caller) {
  if (Caller->m_Finished)
    return;
  // A call with a ticket is sent to the same VMs repeatedly, a call without
  // one to each VM at most once.
  bool NoneLeft =
      Caller->m_IsRepeatable && Caller->m_NextVm >= Caller->m_Vms.size();
  if (NoneLeft || ++Caller->m_Sends > MaxSends) {
    finishCall(Caller,
               Caller->m_ReportedNotRun ? Outcome::NotRun : Outcome::Unknown);
    return;
  }
  std::size_t Vm = vmIndexOf(
      Caller->m_Vms[Caller->m_NextVm++ % Caller->m_Vms.size()].m_Address);
  int SendNumber = Caller->m_Sends;
  ++m_CallerSends;
  scheduleAfter(m_Config.m_CallerDelay, [=, this] {
    serveCall(Vm, Caller, 0, [=, this](const CallStep &Step) {
      scheduleAfter(m_Config.m_CallerDelay,
                    [=, this] { onAnswer(Caller, Step); });
    });
    // A dead entry VM refuses the connection, a paused one doesn't answer. If
    // the ticket has never been sent, the caller requests a new one.
    if (m_Vms[Vm].m_Alive)
      return;
    bool TicketUnsent = !Caller->m_IsRepeatable && Caller->m_Sends == 1;
    Caller->m_NextVm = TicketUnsent ? 0 : Caller->m_NextVm;
    Caller->m_Sends = TicketUnsent ? 0 : Caller->m_Sends;
    scheduleAfter(m_Config.m_CallerDelay, [=, this] {
      if (TicketUnsent)
        lookUpVms(Caller);
      else
        sendCall(Caller);
    });
  });
  Duration Timeout =
      std::max<Duration>(Caller->m_Deadline - m_Clock.m_Now, 0s) +
      CallerTimeoutMargin;
  scheduleAfter(Timeout, [=, this] {
    if (!Caller->m_Finished && Caller->m_Sends == SendNumber)
      sendCall(Caller);
  });
}

void SimulatedFleet::serveCall(std::size_t Vm, const CallerCallRef &Caller,
                               std::uint8_t Hops, const ReplyHandler &OnReply) {
  runOnVm(Vm, [=, this] {
    CallRequest Request;
    Request.m_Service = Caller->m_Service;
    Request.m_Tenant = TenantName("tenant");
    Request.m_Deadline =
        std::max<Duration>(Caller->m_Deadline - m_Clock.m_Now, 1ms);
    if (!Caller->m_IsRepeatable) {
      Request.m_Deadline = 0ms;
      Request.m_Ticket = Caller->m_Ticket;
    }
    Request.m_Hops = Hops;
    CallDecision Turn = m_Vms[Vm].m_Node->startCall(Request, m_Clock.m_Now);
    if (Turn.m_Step.m_Kind != StepKind::Relay) {
      executeStep(Vm, Turn.m_Id, Caller, Turn.m_Step, OnReply);
      return;
    }
    std::size_t OwnerIndex = vmIndexOf(Turn.m_Step.m_Address);
    CallStep Unreachable;
    Unreachable.m_Error = ErrorKind::OwnerUnreachable;
    Unreachable.m_Outcome = Outcome::Unknown;
    if (!m_Vms[OwnerIndex].m_Alive ||
        m_Vms[OwnerIndex].m_Partition != m_Vms[Vm].m_Partition) {
      OnReply(Unreachable);
      return;
    }
    scheduleAfter(m_Config.m_DomainDelay, [=, this] {
      serveCall(OwnerIndex, Caller, std::uint8_t(Hops + 1),
                [=, this](const CallStep &Step) {
                  scheduleAfter(m_Config.m_DomainDelay, [=] { OnReply(Step); });
                });
    });
  });
}

void SimulatedFleet::executeStep(std::size_t Vm, CallId Id,
                                 const CallerCallRef &Caller,
                                 const CallStep &Step,
                                 const ReplyHandler &OnReply) {
  switch (Step.m_Kind) {
  case StepKind::Wait:
    m_Vms[Vm].m_WaitingCalls[Id] = [=, this](const CallStep &Next) {
      executeStep(Vm, Id, Caller, Next, OnReply);
    };
    return;
  case StepKind::Send: {
    // A new connection takes a round trip; the VM confirms the send after it.
    const FakeUpstream &Target = m_Upstreams.at(Step.m_Upstream);
    std::uint64_t Incarnation = m_Vms[Vm].m_Incarnation;
    Duration ConnectDelay = delayBetween(m_Vms[Vm], Target) * 2 + 1ms;
    scheduleAfter(Step.m_FreshConnection ? ConnectDelay : Duration{}, [=,
                                                                       this] {
      if (m_Vms[Vm].m_Incarnation != Incarnation)
        return;
      runOnVm(Vm, [=, this] {
        CallStep Next = m_Vms[Vm].m_Node->confirmSend(Id, m_Clock.m_Now);
        if (Next.m_Kind == StepKind::Send && Next.m_Upstream == Step.m_Upstream)
          runAtUpstream(Vm, Id, Caller, Next, OnReply);
        else
          executeStep(Vm, Id, Caller, Next, OnReply);
      });
    });
    return;
  }
  case StepKind::Replay:
  case StepKind::Answer:
  case StepKind::Relay:
    OnReply(Step);
    return;
  }
}

void SimulatedFleet::runAtUpstream(std::size_t Vm, CallId Id,
                                   const CallerCallRef &Caller,
                                   const CallStep &Step,
                                   const ReplyHandler &OnReply) {
  UpstreamName Name = Step.m_Upstream;
  FakeUpstream &Destination = m_Upstreams.at(Name);
  Duration OneWayDelay = delayBetween(m_Vms[Vm], Destination);
  std::uint64_t Incarnation = m_Vms[Vm].m_Incarnation;
  std::uint64_t Version = m_Vms[Vm].m_Node->bundle()->m_Version;
  RegionName VmRegion = m_Vms[Vm].m_Self.m_Region;
  TimePoint Deadline = Step.m_Deadline;
  scheduleAfter(OneWayDelay, [=, this] {
    FakeUpstream &Target = m_Upstreams.at(Name);
    ++Caller->m_Runs;
    ++m_Runs;
    if (++Target.m_InFlight > Target.m_Spec.m_Slots)
      ++m_Violations.m_UpstreamOverloads;
    Target.m_PeakInFlight = std::max(Target.m_PeakInFlight, Target.m_InFlight);
    Target.m_LastStart = m_Clock.m_Now;
    if (Target.m_DrainingSince &&
        m_Clock.m_Now - *Target.m_DrainingSince > MaxDrainDelay)
      ++m_Violations.m_StartsAfterDrain;
    auto Newer = m_AcceptedAt.upper_bound(Version);
    if (Newer != m_AcceptedAt.end() &&
        m_Clock.m_Now - Newer->second > MaxBundleDelay)
      ++m_Violations.m_StaleBundleStarts;
    const RegionName &UpstreamRegion = Target.m_Spec.m_Region;
    std::uint32_t &InRegion = m_RegionInFlight[UpstreamRegion];
    ++InRegion;
    m_RegionPeakInFlight[UpstreamRegion] =
        std::max(m_RegionPeakInFlight[UpstreamRegion], InRegion);
    ShiftName UsedShift;
    const Bundle &B = *m_Config.m_Bundle;
    for (const Region &R : B.m_Regions)
      if (R.m_Name == UpstreamRegion && InRegion > R.m_Cap)
        ++m_Violations.m_RegionOverloads;
    for (const Shift &S : B.m_Shifts) {
      if (S.m_Service != Caller->m_Service || S.m_From != VmRegion ||
          S.m_To != UpstreamRegion)
        continue;
      UsedShift = S.m_Name;
      std::uint32_t &InShift = m_ShiftInFlight[UsedShift];
      if (++InShift > S.m_Cap)
        ++m_Violations.m_ShiftOverloads;
      m_ShiftPeakInFlight[UsedShift] =
          std::max(m_ShiftPeakInFlight[UsedShift], InShift);
    }
    Duration Mean = m_Config.m_MeanServiceTime.at(Caller->m_Service.str());
    Duration RunTime = Duration(std::int64_t(
        double(exponential(Mean / 2).count() + (Mean / 2).count()) *
        Target.m_ServiceTimeFactor));
    // The upstream stops at the deadline that was sent with the call.
    bool InTime = m_Clock.m_Now + RunTime <= Deadline;
    RunTime = std::min(RunTime, Duration(Deadline - m_Clock.m_Now));
    bool Lost = uniform() < Target.m_AnswerLossProbability;
    scheduleAfter(RunTime, [=, this] {
      --m_Upstreams.at(Name).m_InFlight;
      --m_RegionInFlight[m_Upstreams.at(Name).m_Spec.m_Region];
      if (!UsedShift.empty())
        --m_ShiftInFlight[UsedShift];
      scheduleAfter(OneWayDelay, [=, this] {
        if (m_Vms[Vm].m_Incarnation != Incarnation)
          return;
        runOnVm(Vm, [=, this] {
          Node &Self = *m_Vms[Vm].m_Node;
          AttemptResult End = Lost      ? AttemptResult::Lost
                              : !InTime ? AttemptResult::TimedOut
                                        : AttemptResult::Answered;
          if (End == AttemptResult::Answered)
            Self.onFirstByte(Id, RunTime + OneWayDelay * 2);
          CallStep Next = Self.finishAttempt(Id, End, m_Clock.m_Now);
          if (End == AttemptResult::Answered && !Caller->m_IsRepeatable)
            Self.keepAnswer(Caller->m_Ticket->m_Id, {200, "", "", true});
          executeStep(Vm, Id, Caller, Next, OnReply);
        });
      });
    });
  });
}

void SimulatedFleet::onAnswer(const CallerCallRef &Caller,
                              const CallStep &Step) {
  bool Done = Step.m_Outcome == Outcome::Done;
  if (Step.m_Outcome == Outcome::NotRun)
    Caller->m_ReportedNotRun = true;
  if (Done)
    Caller->m_ReportedDone = true;
  if (Caller->m_Finished)
    return;
  // A caller with a ticket retries until 10 s after the deadline to learn the
  // outcome.
  TimePoint LastRetryAt =
      Caller->m_Deadline + (Caller->m_IsRepeatable ? 0s : 10s);
  if (Done || !m_Config.m_CallersRetry || m_Clock.m_Now >= LastRetryAt) {
    finishCall(Caller, Step.m_Outcome);
    return;
  }
  // A repeatable call is sent to another VM. A call with a ticket is repeated
  // to learn its outcome, unless it was reported as not run.
  bool ShouldRetry =
      Caller->m_IsRepeatable || Step.m_Outcome == Outcome::Unknown;
  if (!ShouldRetry) {
    finishCall(Caller, Step.m_Outcome);
    return;
  }
  Duration MinPause = Step.m_Outcome == Outcome::Unknown ? 500ms : 20ms;
  Duration Pause = std::max(Step.m_RetryAfter, MinPause);
  scheduleAfter(Pause, [=, this] { sendCall(Caller); });
}

void SimulatedFleet::finishCall(const CallerCallRef &Caller, Outcome Final) {
  if (Caller->m_Finished)
    return;
  Caller->m_Finished = true;
  ServiceResults &Results = m_ServiceResults[Caller->m_Service];
  if (Final == Outcome::Done) {
    ++Results.m_Done;
    Results.m_LatencyMs.push_back(
        double((m_Clock.m_Now - Caller->m_StartedAt).count()) / 1e3);
  } else {
    ++(Final == Outcome::NotRun ? Results.m_NotRun : Results.m_Unknown);
  }
}

void SimulatedFleet::checkCalls() {
  for (const CallerCallRef &Caller : m_CallerCalls) {
    // Repeatable calls may run several times; only a ticket guarantees at
    // most one run.
    if (Caller->m_IsRepeatable)
      continue;
    if (Caller->m_Runs > 1)
      ++m_Violations.m_DuplicateRuns;
    if (Caller->m_ReportedNotRun && Caller->m_Runs > 0)
      ++m_Violations.m_FalseNotRun;
    if (Caller->m_ReportedDone && Caller->m_Runs == 0)
      ++m_Violations.m_FalseDone;
  }
}

double SimulatedFleet::peakUtilization(const std::string &Kind) const {
  double Peak = 0;
  const Bundle &B = *m_Config.m_Bundle;
  if (Kind == "upstream")
    for (const auto &[Name, U] : m_Upstreams)
      Peak = std::max(Peak, 100.0 * U.m_PeakInFlight / U.m_Spec.m_Slots);
  if (Kind == "region")
    for (const Region &R : B.m_Regions)
      if (auto At = m_RegionPeakInFlight.find(R.m_Name);
          At != m_RegionPeakInFlight.end())
        Peak = std::max(Peak, 100.0 * At->second / R.m_Cap);
  if (Kind == "shift")
    for (const Shift &S : B.m_Shifts)
      if (auto At = m_ShiftPeakInFlight.find(S.m_Name);
          At != m_ShiftPeakInFlight.end())
        Peak = std::max(Peak, 100.0 * At->second / S.m_Cap);
  return Peak;
}

} // namespace mustardspoke::test
