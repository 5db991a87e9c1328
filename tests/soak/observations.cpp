/// \file
/// Invariants checked on what callers and upstreams observed.
#include "soak/observations.h"

#include <algorithm>
#include <set>

namespace mustardspoke::soak {
namespace {

/// Processes are polled; their end may be this much earlier than noticed.
constexpr Duration ProcessPollDelay = 60ms;

/// \brief Whether the status promises that the request was not executed.
bool meansNotRun(unsigned Status) {
  return Status == 401 || Status == 408 || Status == 421 || Status == 429 ||
         Status == 503;
}

} // namespace

bool overlaps(const std::vector<Disruption> &Disruptions, TimePoint From,
              TimePoint To) {
  return std::ranges::any_of(Disruptions, [&](const Disruption &Entry) {
    return Entry.m_Begin <= To && Entry.m_End >= From;
  });
}

bool anyWithin(const std::vector<TimePoint> &Times, TimePoint From,
               TimePoint To) {
  return std::ranges::any_of(
      Times, [&](TimePoint At) { return At >= From && At <= To; });
}

std::string message(const Attempt &Entry, const std::string &Text) {
  return Entry.m_Id + " (vm " + std::to_string(Entry.m_Vm) + ", status " +
         std::to_string(Entry.m_Status) + "): " + Text;
}

unsigned Observations::executionCount(const std::string &Id) const {
  auto Found = m_Executions.find(Id);
  return Found == m_Executions.end() ? 0 : unsigned(Found->second.size());
}

bool Observations::isUndisturbed(TimePoint From, TimePoint To) const {
  if (overlaps(m_StoreDisruptions, From, To))
    return false;
  return std::ranges::none_of(m_Vms, [&](const VmHistory &Vm) {
    return overlaps(Vm.m_Paused, From, To) ||
           anyWithin(Vm.m_Killed, From, To) ||
           anyWithin(Vm.m_Stopped, From, To) || anyWithin(Vm.m_Ended, From, To);
  });
}

std::vector<std::string>
Observations::findViolations(const InvariantLimits &Limits) const {
  Messages Result = m_Violations;
  std::set<std::string> Sent;
  for (const Attempt &Entry : m_Attempts) {
    Sent.insert(Entry.m_Id);
    checkAttempt(Entry, Limits, Result);
  }
  for (const auto &[Id, Executions] : m_Executions)
    if (!Sent.contains(Id))
      Result.push_back(Id + ": ran, but no caller sent it");
  checkEditions(Result);
  checkCrashingRequest(Limits, Result);
  checkRetries(Limits, Result);
  checkCuts(Limits, Result);
  checkCustomers(Limits, Result);
  checkHomes(Limits, Result);
  if (Limits.m_CheckQuota)
    checkQuotas(Limits, Result);
  if (Limits.m_CheckTiming)
    checkWithdrawals(Limits, Result);
  if (Limits.m_CheckTiming || Limits.m_CheckLateRuns)
    checkLateRuns(Limits, Result);
  return Result;
}

void Observations::checkAttempt(const Attempt &Entry,
                                const InvariantLimits &Limits,
                                Messages &Violations) const {
  unsigned Executions = executionCount(Entry.m_Id);
  if (!Entry.m_Idempotent && Executions > 1)
    Violations.push_back(
        message(Entry, "ran " + std::to_string(Executions) + " times"));
  if (Entry.m_Outcome == AttemptOutcome::SentAfterClose &&
      !Entry.m_Idempotent && Executions > 0)
    Violations.push_back(
        message(Entry, "ran after an answer that closed the connection"));
  if (Entry.m_Outcome == AttemptOutcome::ConnectionLost)
    checkConnectionLoss(Entry, Violations);
  if (Entry.m_Outcome != AttemptOutcome::Answered)
    return;
  if (meansNotRun(Entry.m_Status) && Executions > 0)
    Violations.push_back(message(Entry, "refused as not run, but ran"));
  if (Entry.m_Status == 200 && !Entry.m_Body.starts_with(Entry.m_Id + " "))
    Violations.push_back(
        message(Entry, "got the answer of another request: " + Entry.m_Body));
  if (Entry.m_Status == 200 && Executions == 0)
    Violations.push_back(
        message(Entry, "answered with success, but never ran"));
  if (Entry.m_Status == 404 || Entry.m_Status == 400)
    Violations.push_back(message(Entry, "a valid request was rejected"));
  const VmHistory &Vm = m_Vms.at(Entry.m_Vm);
  if (Entry.m_EndedAt - Entry.m_SentAt > Limits.m_AnswerDelay &&
      !overlaps(Vm.m_Paused, Entry.m_SentAt, Entry.m_EndedAt))
    Violations.push_back(message(
        Entry, "answered after " +
                   std::to_string(toMillis(Entry.m_EndedAt - Entry.m_SentAt)) +
                   " ms"));
}

void Observations::checkConnectionLoss(const Attempt &Entry,
                                       Messages &Violations) const {
  const VmHistory &Vm = m_Vms.at(Entry.m_Vm);
  // The process was killed, or had already ended when the request was sent.
  if (anyWithin(Vm.m_Killed, Entry.m_SentAt - ProcessPollDelay,
                Entry.m_EndedAt) ||
      anyWithin(Vm.m_Ended, Entry.m_SentAt - ProcessPollDelay,
                Entry.m_SentAt + ProcessPollDelay))
    return;
  // A process that was paused beyond the end of its grace period can only close
  // its connections.
  bool Stopping = std::ranges::any_of(Vm.m_Stopped, [&](TimePoint At) {
    return At <= Entry.m_EndedAt && overlaps(Vm.m_Paused, At, Entry.m_EndedAt);
  });
  if (!Stopping)
    Violations.push_back(message(
        Entry, "connection closed by a running process, after " +
                   std::to_string(toMillis(Entry.m_IdleTime)) + " ms idle"));
}

void Observations::checkLateRuns(const InvariantLimits &Limits,
                                 Messages &Violations) const {
  for (const Attempt &Entry : m_Attempts) {
    auto Found = m_Executions.find(Entry.m_Id);
    bool Ended = Entry.m_Outcome == AttemptOutcome::Answered ||
                 Entry.m_Outcome == AttemptOutcome::Abandoned;
    if (!Ended || Found == m_Executions.end())
      continue;
    for (const Execution &Executed : Found->second)
      // A VM that was paused learns of its caller's end later.
      if (Executed.m_StartedAt > Entry.m_EndedAt + Limits.m_LateRunDelay &&
          !overlaps(m_Vms.at(Entry.m_Vm).m_Paused, Entry.m_EndedAt,
                    Executed.m_StartedAt))
        Violations.push_back(
            message(Entry, "began to run " +
                               std::to_string(toMillis(Executed.m_StartedAt -
                                                       Entry.m_EndedAt)) +
                               " ms after its caller was answered or left"));
  }
}

void Observations::checkCrashingRequest(const InvariantLimits &Limits,
                                        Messages &Violations) const {
  constexpr std::size_t AllowedEnds = 3;
  if (m_CrashedByRequest.size() < AllowedEnds)
    return;
  TimePoint From = m_CrashedByRequest[AllowedEnds - 1] + Limits.m_SettleTime;
  auto Late = std::ranges::count_if(m_CrashedByRequest, [&](TimePoint At) {
    return At > From && isUndisturbed(At - Limits.m_SettleTime, At) &&
           !overlaps(m_LinkDisruptions, At - Limits.m_SettleTime, At);
  });
  if (Late > std::ptrdiff_t(Limits.m_CrashRetries))
    Violations.push_back("a request that had ended three upstreams was sent " +
                         std::to_string(Late) + " times more; " +
                         std::to_string(m_CrashedByRequest.size()) +
                         " ended in all");
}

bool Observations::isInTouch(const VmHistory &Vm, TimePoint At,
                             const InvariantLimits &Limits) {
  TimePoint From = At - Limits.m_SettleTime;
  return !overlaps(Vm.m_Paused, From, At) &&
         !anyWithin(Vm.m_Killed, From, At) &&
         !anyWithin(Vm.m_Stopped, From, At) &&
         !anyWithin(Vm.m_Started, From, At);
}

bool Observations::anyHasLinks(const Attempt &During,
                               const InvariantLimits &Limits) const {
  return std::ranges::any_of(m_Vms, [&](const VmHistory &Vm) {
    // A peer outside the home may not carry a request that is bound to it.
    bool MayCarry = !During.m_IsBound ||
                    std::ranges::any_of(m_Homes, [&](const HomePeriod &Home) {
                      return Home.m_Region == Vm.m_Region &&
                             Home.m_From <= During.m_SentAt &&
                             Home.m_Until >= During.m_EndedAt;
                    });
    return MayCarry && isInTouch(Vm, During.m_SentAt, Limits) &&
           !overlaps(Vm.m_Cut, During.m_SentAt - Limits.m_SettleTime,
                     During.m_EndedAt);
  });
}

void Observations::checkCuts(const InvariantLimits &Limits,
                             Messages &Violations) const {
  struct Tally {
    double m_Sent = 0;
    double m_Served = 0;
  };
  for (std::size_t Vm = 0; Vm < m_Vms.size(); ++Vm)
    for (const Disruption &Cut : m_Vms[Vm].m_Cut) {
      TimePoint From = Cut.m_Begin + Limits.m_SettleTime;
      Tally AtCutVm;
      Tally AtOthers;
      for (const Attempt &Entry : m_Attempts) {
        // Refusals for a key have nothing to do with the cut.
        bool Counts = (Entry.m_Outcome == AttemptOutcome::Answered &&
                       Entry.m_Status != 401) ||
                      Entry.m_Outcome == AttemptOutcome::ConnectionLost;
        const VmHistory &Asked = m_Vms.at(Entry.m_Vm);
        if (!Counts || Entry.m_SentAt < From || Entry.m_EndedAt > Cut.m_End ||
            !isInTouch(Asked, Entry.m_SentAt, Limits))
          continue;
        bool IsCutVm = Entry.m_Vm == Vm;
        // No VM can relay attempts while none has links.
        if (IsCutVm && !anyHasLinks(Entry, Limits))
          continue;
        if (!IsCutVm && overlaps(Asked.m_Cut, Cut.m_Begin, Entry.m_EndedAt))
          continue;
        Tally &Counted = IsCutVm ? AtCutVm : AtOthers;
        ++Counted.m_Sent;
        Counted.m_Served += Entry.m_Status == 200 ? 1 : 0;
      }
      if (AtOthers.m_Sent == 0 || AtCutVm.m_Sent == 0)
        continue;
      double Allowed =
          Limits.m_CutFailures +
          Limits.m_CutFailureFraction * (AtCutVm.m_Sent + AtOthers.m_Sent);
      bool ServesFewer =
          AtCutVm.m_Served / AtCutVm.m_Sent <
          Limits.m_CutServedFraction * AtOthers.m_Served / AtOthers.m_Sent;
      if (ServesFewer && AtCutVm.m_Sent - AtCutVm.m_Served > Allowed)
        Violations.push_back("vm " + std::to_string(Vm) +
                             ", cut off from all upstreams, served " +
                             std::to_string(int(AtCutVm.m_Served)) + " of " +
                             std::to_string(int(AtCutVm.m_Sent)) +
                             " requests, the others " +
                             std::to_string(int(AtOthers.m_Served)) + " of " +
                             std::to_string(int(AtOthers.m_Sent)));
    }
}

void Observations::checkEditions(Messages &Violations) const {
  // Each edition of the configuration has its own numbered service. A process
  // must never return to an older edition.
  std::map<unsigned, std::vector<std::pair<TimePoint, const Attempt *>>> ByVm;
  for (const Attempt &Entry : m_Attempts)
    if (Entry.m_Outcome == AttemptOutcome::Answered && Entry.m_Status == 200 &&
        Entry.m_Body.find(" edition-") != std::string::npos)
      ByVm[Entry.m_Vm].emplace_back(Entry.m_EndedAt, &Entry);
  auto EditionOf = [](const Attempt &Entry) {
    return std::stoul(Entry.m_Body.substr(Entry.m_Body.find(" edition-") + 9));
  };
  for (auto &[Vm, Seen] : ByVm) {
    std::ranges::sort(Seen, {}, [](const auto &Entry) { return Entry.first; });
    const Attempt *Newest = nullptr;
    for (const auto &[At, Entry] : Seen) {
      bool Restarted = Newest && anyWithin(m_Vms.at(Vm).m_Ended,
                                           Newest->m_SentAt, Entry->m_EndedAt);
      if (Newest && !Restarted && EditionOf(*Entry) < EditionOf(*Newest) &&
          Entry->m_SentAt > Newest->m_EndedAt)
        Violations.push_back(
            message(*Entry, "served under an older configuration than " +
                                Newest->m_Id));
      if (!Newest || Restarted || EditionOf(*Entry) > EditionOf(*Newest))
        Newest = Entry;
    }
  }
}

void Observations::checkRetries(const InvariantLimits &Limits,
                                Messages &Violations) const {
  struct Arrival {
    TimePoint m_At;
    bool m_IsRetry;
  };
  std::map<std::string, std::vector<Arrival>> ByService;
  for (const auto &[Id, Executions] : m_Executions)
    for (std::size_t I = 0; I < Executions.size(); ++I)
      ByService[Executions[I].m_Service].push_back(
          {Executions[I].m_StartedAt, I > 0});
  for (auto &[Service, All] : ByService) {
    std::ranges::sort(All, {}, &Arrival::m_At);
    double Retries = 0;
    std::size_t First = 0;
    for (std::size_t I = 0; I < All.size(); ++I) {
      Retries += All[I].m_IsRetry ? 1 : 0;
      for (; All[I].m_At - All[First].m_At > Limits.m_RetryWindow; ++First)
        Retries -= All[First].m_IsRetry ? 1 : 0;
      double Requests = double(I + 1 - First) - Retries;
      if (Retries > Limits.m_RetryRatio * Requests + Limits.m_RetrySlack) {
        Violations.push_back(Service + ": " + std::to_string(int(Retries)) +
                             " retries for " + std::to_string(int(Requests)) +
                             " requests within the window");
        break;
      }
    }
  }
}

void Observations::checkWithdrawals(const InvariantLimits &Limits,
                                    Messages &Violations) const {
  for (const Withdrawal &Entry : m_Withdrawals) {
    bool ByService = Entry.m_Kind == Withdrawal::Kind::Edition;
    Duration Bound = Entry.m_Kind == Withdrawal::Kind::Leaving
                         ? Limits.m_LeavingDelay
                     : Entry.m_Kind == Withdrawal::Kind::Evacuated
                         ? Limits.m_EvacuationDelay
                         : Limits.m_ConfigurationDelay;
    TimePoint From = Entry.m_At + Bound;
    for (const auto &[Id, Executions] : m_Executions)
      for (const Execution &Executed : Executions) {
        const std::string &Where =
            ByService ? Executed.m_Service : Executed.m_Upstream;
        if (Where != Entry.m_Target || Executed.m_StartedAt <= From ||
            Executed.m_StartedAt > Entry.m_RevokedAt)
          continue;
        // Delayed on the connection to the upstream, or by a recent disruption.
        if (overlaps(m_LinkDisruptions,
                     Executed.m_StartedAt - Limits.m_SettleTime,
                     Executed.m_StartedAt) ||
            !isUndisturbed(Entry.m_At - Limits.m_SettleTime,
                           Executed.m_StartedAt))
          continue;
        Violations.push_back(
            Id + ": reached " + Entry.m_Target + " " +
            std::to_string(toMillis(Executed.m_StartedAt - Entry.m_At)) +
            " ms after it was withdrawn");
      }
  }
}

} // namespace mustardspoke::soak
