/// \file
/// The fleet's callers, the fake upstreams and the judgement of a run.
#include "support/fleet.h"

#include <algorithm>

namespace mustardspoke::test {
namespace {

constexpr Duration DrainBound = 5s;  ///< "After a few seconds."
constexpr Duration BundleBound = 6s; ///< "In force everywhere within 6 s."
constexpr Duration NamedBound = 5s;
constexpr Duration CallerPatience = 3s; ///< Beyond the deadline.
constexpr int MostSends = 5;

} // namespace

void Fleet::arrivals(const Service &Of, const RegionName &Home,
                     double PerSecond) {
  if (m_Clock.m_Now > m_Start + m_Plan.m_Length || PerSecond <= 0)
    return;
  auto New = std::make_shared<Attempt>();
  New->m_Service = Of.m_Name;
  New->m_Home = Home;
  New->m_Begun = m_Clock.m_Now;
  New->m_Deadline = m_Clock.m_Now + Of.m_Deadline;
  New->m_MayRepeat = Of.m_Repeatable;
  m_Attempts.push_back(New);
  ++m_Tallies[Of.m_Name].m_Offered;
  lookUp(New);
  after(exponential(Duration(std::int64_t(1e6 / PerSecond))),
        [=, this, &Of] { arrivals(Of, Home, PerSecond); });
}

void Fleet::lookUp(const AttemptRef &Of) {
  std::size_t Asked = m_Rng(std::uint32_t(m_Vms.size()));
  for (std::size_t I = 0; I < m_Vms.size(); ++I) {
    std::size_t Vm = (Asked + I) % m_Vms.size();
    if (!m_Vms[Vm].m_Alive || m_Vms[Vm].m_Paused)
      continue;
    // The VM asked is of any region; the caller's block says where it is.
    LookupRequest Request{Of->m_Service, std::nullopt};
    for (const ClientBlock &Block : m_Plan.m_Bundle->m_Clients)
      if (Block.m_Region == Of->m_Home)
        Request.m_Client = Block.m_Prefix | 1;
    LookupAnswer Answer = m_Vms[Vm].m_Node->lookUp(Request, m_Clock.m_Now);
    if (Answer.m_Error != ErrorKind::None)
      continue;
    for (const EntryVmAddress &Named : Answer.m_Vms) {
      const auto &At = m_Vms[vmAt(Named.m_Address)];
      if (!At.m_Alive && m_Clock.m_Now - At.m_DiedAt > NamedBound)
        ++m_Violations.m_NamedDead;
    }
    Of->m_Vms = Answer.m_Vms;
    Of->m_Ticket = Answer.m_Ticket;
    after(m_Plan.m_CallerDelay * 2, [=, this] { sendCall(Of); });
    return;
  }
  settle(Of, Outcome::NotRun);
}

void Fleet::sendCall(const AttemptRef &Of) {
  if (Of->m_Settled)
    return;
  // A ticket may be shown again and again; a plain call moves on once.
  bool NoneLeft = Of->m_MayRepeat && Of->m_NextVm >= Of->m_Vms.size();
  if (NoneLeft || ++Of->m_Sends > MostSends) {
    settle(Of, Of->m_ToldNotRun ? Outcome::NotRun : Outcome::Unknown);
    return;
  }
  std::size_t Vm = vmAt(Of->m_Vms[Of->m_NextVm++ % Of->m_Vms.size()].m_Address);
  int Send = Of->m_Sends;
  ++m_CallerSends;
  after(m_Plan.m_CallerDelay, [=, this] {
    serveCall(Vm, Of, 0, [=, this](const CallStep &Step) {
      after(m_Plan.m_CallerDelay, [=, this] { told(Of, Step); });
    });
    // A dead entry VM refuses the connection; a paused one stays silent. A
    // ticket that was never sent is dropped for a new one.
    if (m_Vms[Vm].m_Alive)
      return;
    bool Unused = !Of->m_MayRepeat && Of->m_Sends == 1;
    Of->m_NextVm = Unused ? 0 : Of->m_NextVm;
    Of->m_Sends = Unused ? 0 : Of->m_Sends;
    after(m_Plan.m_CallerDelay, [=, this] {
      if (Unused)
        lookUp(Of);
      else
        sendCall(Of);
    });
  });
  Duration Patience =
      std::max<Duration>(Of->m_Deadline - m_Clock.m_Now, 0s) + CallerPatience;
  after(Patience, [=, this] {
    if (!Of->m_Settled && Of->m_Sends == Send)
      sendCall(Of);
  });
}

void Fleet::serveCall(std::size_t Vm, const AttemptRef &Of, std::uint8_t Hops,
                      const Reply &Told) {
  onVm(Vm, [=, this] {
    CallRequest Request;
    Request.m_Service = Of->m_Service;
    Request.m_Tenant = TenantName("tenant");
    Request.m_Deadline =
        std::max<Duration>(Of->m_Deadline - m_Clock.m_Now, 1ms);
    if (!Of->m_MayRepeat) {
      Request.m_Deadline = 0ms;
      Request.m_Ticket = Of->m_Ticket;
    }
    Request.m_Hops = Hops;
    CallDecision Turn = m_Vms[Vm].m_Node->startCall(Request, m_Clock.m_Now);
    if (Turn.m_Step.m_Kind != StepKind::Relay) {
      follow(Vm, Turn.m_Id, Of, Turn.m_Step, Told);
      return;
    }
    std::size_t Owner = vmAt(Turn.m_Step.m_Address);
    CallStep Unreachable;
    Unreachable.m_Error = ErrorKind::OwnerUnreachable;
    Unreachable.m_Outcome = Outcome::Unknown;
    if (!m_Vms[Owner].m_Alive || m_Vms[Owner].m_Group != m_Vms[Vm].m_Group) {
      Told(Unreachable);
      return;
    }
    after(m_Plan.m_DomainDelay, [=, this] {
      serveCall(Owner, Of, std::uint8_t(Hops + 1),
                [=, this](const CallStep &Step) {
                  after(m_Plan.m_DomainDelay, [=] { Told(Step); });
                });
    });
  });
}

void Fleet::follow(std::size_t Vm, CallId Id, const AttemptRef &Of,
                   const CallStep &Step, const Reply &Told) {
  switch (Step.m_Kind) {
  case StepKind::Wait:
    m_Vms[Vm].m_Waiters[Id] = [=, this](const CallStep &Next) {
      follow(Vm, Id, Of, Next, Told);
    };
    return;
  case StepKind::Send: {
    // A new connection takes a round trip; the last check comes after it.
    const FakeUpstream &To = m_Upstreams.at(Step.m_Upstream);
    std::uint64_t Run = m_Vms[Vm].m_Run;
    Duration Connect = delayBetween(m_Vms[Vm], To) * 2 + 1ms;
    after(Step.m_FreshConnection ? Connect : Duration{}, [=, this] {
      if (m_Vms[Vm].m_Run != Run)
        return;
      onVm(Vm, [=, this] {
        CallStep Next = m_Vms[Vm].m_Node->confirmSend(Id, m_Clock.m_Now);
        if (Next.m_Kind == StepKind::Send && Next.m_Upstream == Step.m_Upstream)
          startRun(Vm, Id, Of, Next, Told);
        else
          follow(Vm, Id, Of, Next, Told);
      });
    });
    return;
  }
  case StepKind::Replay:
  case StepKind::Answer:
  case StepKind::Relay:
    Told(Step);
    return;
  }
}

void Fleet::startRun(std::size_t Vm, CallId Id, const AttemptRef &Of,
                     const CallStep &Step, const Reply &Told) {
  UpstreamName Name = Step.m_Upstream;
  FakeUpstream &To = m_Upstreams.at(Name);
  Duration Way = delayBetween(m_Vms[Vm], To);
  std::uint64_t Run = m_Vms[Vm].m_Run;
  std::uint64_t Version = m_Vms[Vm].m_Node->bundle()->m_Version;
  RegionName From = m_Vms[Vm].m_Self.m_Region;
  TimePoint Deadline = Step.m_Deadline;
  after(Way, [=, this] {
    FakeUpstream &At = m_Upstreams.at(Name);
    ++Of->m_Runs;
    ++m_Runs;
    if (++At.m_Busy > At.m_Spec.m_Slots)
      ++m_Violations.m_UpstreamOver;
    At.m_Peak = std::max(At.m_Peak, At.m_Busy);
    At.m_LastStart = m_Clock.m_Now;
    if (At.m_DrainSince && m_Clock.m_Now - *At.m_DrainSince > DrainBound)
      ++m_Violations.m_DrainLate;
    auto Newer = m_AcceptedAt.upper_bound(Version);
    if (Newer != m_AcceptedAt.end() &&
        m_Clock.m_Now - Newer->second > BundleBound)
      ++m_Violations.m_BundleLate;
    const RegionName &In = At.m_Spec.m_Region;
    std::uint32_t &Busy = m_RegionBusy[In];
    ++Busy;
    m_RegionPeak[In] = std::max(m_RegionPeak[In], Busy);
    ShiftName Along;
    const Bundle &B = *m_Plan.m_Bundle;
    for (const Region &R : B.m_Regions)
      if (R.m_Name == In && Busy > R.m_Cap)
        ++m_Violations.m_RegionOver;
    for (const Shift &S : B.m_Shifts) {
      if (S.m_Service != Of->m_Service || S.m_From != From || S.m_To != In)
        continue;
      Along = S.m_Name;
      std::uint32_t &Moved = m_ShiftBusy[Along];
      if (++Moved > S.m_Cap)
        ++m_Violations.m_ShiftOver;
      m_ShiftPeak[Along] = std::max(m_ShiftPeak[Along], Moved);
    }
    Duration Mean = m_Plan.m_ServiceTime.at(Of->m_Service.str());
    Duration Takes = Duration(std::int64_t(
        double(exponential(Mean / 2).count() + (Mean / 2).count()) *
        At.m_Slowness));
    // The upstream honours the deadline that came with the call.
    bool InTime = m_Clock.m_Now + Takes <= Deadline;
    Takes = std::min(Takes, Duration(Deadline - m_Clock.m_Now));
    bool Lost = uniform() < At.m_LosePart;
    after(Takes, [=, this] {
      --m_Upstreams.at(Name).m_Busy;
      --m_RegionBusy[m_Upstreams.at(Name).m_Spec.m_Region];
      if (!Along.empty())
        --m_ShiftBusy[Along];
      after(Way, [=, this] {
        if (m_Vms[Vm].m_Run != Run)
          return;
        onVm(Vm, [=, this] {
          Node &Self = *m_Vms[Vm].m_Node;
          AttemptResult End = Lost      ? AttemptResult::Lost
                              : !InTime ? AttemptResult::TimedOut
                                        : AttemptResult::Answered;
          if (End == AttemptResult::Answered)
            Self.onFirstByte(Id, Takes + Way * 2);
          CallStep Next = Self.finishAttempt(Id, End, m_Clock.m_Now);
          if (End == AttemptResult::Answered && !Of->m_MayRepeat)
            Self.keepAnswer(Of->m_Ticket->m_Id, {200, "", "", true});
          follow(Vm, Id, Of, Next, Told);
        });
      });
    });
  });
}

void Fleet::told(const AttemptRef &Of, const CallStep &Step) {
  bool Done = Step.m_Outcome == Outcome::Done;
  if (Step.m_Outcome == Outcome::NotRun)
    Of->m_ToldNotRun = true;
  if (Done)
    Of->m_ToldDone = true;
  if (Of->m_Settled)
    return;
  // Whoever holds a ticket asks on past the deadline to learn its fate.
  TimePoint LastAsk = Of->m_Deadline + (Of->m_MayRepeat ? 0s : 10s);
  if (Done || !m_Plan.m_CallersRetry || m_Clock.m_Now >= LastAsk) {
    settle(Of, Step.m_Outcome);
    return;
  }
  // A plain call is repeated elsewhere; a ticketed one with its ticket, to
  // learn its fate, unless it was told that it wasn't run.
  bool Again = Of->m_MayRepeat || Step.m_Outcome == Outcome::Unknown;
  if (!Again) {
    settle(Of, Step.m_Outcome);
    return;
  }
  Duration Least = Step.m_Outcome == Outcome::Unknown ? 500ms : 20ms;
  Duration Pause = std::max(Step.m_RetryAfter, Least);
  after(Pause, [=, this] { sendCall(Of); });
}

void Fleet::settle(const AttemptRef &Of, Outcome Last) {
  if (Of->m_Settled)
    return;
  Of->m_Settled = true;
  ServiceTally &Into = m_Tallies[Of->m_Service];
  if (Last == Outcome::Done) {
    ++Into.m_Done;
    Into.m_LatencyMs.push_back(double((m_Clock.m_Now - Of->m_Begun).count()) /
                               1e3);
  } else {
    ++(Last == Outcome::NotRun ? Into.m_NotRun : Into.m_Unknown);
  }
}

void Fleet::judge() {
  for (const AttemptRef &One : m_Attempts) {
    // Several sends of one plain call are several requests; only a ticket
    // ties them to one.
    if (One->m_MayRepeat)
      continue;
    if (One->m_Runs > 1)
      ++m_Violations.m_RanTwice;
    if (One->m_ToldNotRun && One->m_Runs > 0)
      ++m_Violations.m_FalseNotRun;
    if (One->m_ToldDone && One->m_Runs == 0)
      ++m_Violations.m_FalseDone;
  }
}

double Fleet::peakUse(const std::string &Kind) const {
  double Most = 0;
  const Bundle &B = *m_Plan.m_Bundle;
  if (Kind == "upstream")
    for (const auto &[Name, U] : m_Upstreams)
      Most = std::max(Most, 100.0 * U.m_Peak / U.m_Spec.m_Slots);
  if (Kind == "region")
    for (const Region &R : B.m_Regions)
      if (auto At = m_RegionPeak.find(R.m_Name); At != m_RegionPeak.end())
        Most = std::max(Most, 100.0 * At->second / R.m_Cap);
  if (Kind == "shift")
    for (const Shift &S : B.m_Shifts)
      if (auto At = m_ShiftPeak.find(S.m_Name); At != m_ShiftPeak.end())
        Most = std::max(Most, 100.0 * At->second / S.m_Cap);
  return Most;
}

} // namespace mustardspoke::test
