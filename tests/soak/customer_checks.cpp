/// \file
/// Invariants on keys, customers' names, request bodies, quotas and regions.
#include "soak/observations.h"

#include <algorithm>

namespace mustardspoke::soak {

bool Observations::hasCurrentKeys(unsigned Vm, TimePoint From, TimePoint To,
                                  const InvariantLimits &Limits) const {
  return !overlaps(m_Vms.at(Vm).m_Paused,
                   From - Limits.m_KeyDelay - Limits.m_KeySettleTime, To) &&
         mayLearnOfChanges(Vm, From, To, Limits);
}

bool Observations::mayLearnOfChanges(unsigned Vm, TimePoint From, TimePoint To,
                                     const InvariantLimits &Limits) const {
  const VmHistory &History = m_Vms.at(Vm);
  From -= Limits.m_KeyDelay + Limits.m_KeySettleTime;
  return !overlaps(History.m_StoreCut, From, To) &&
         !anyWithin(History.m_Killed, From, To) &&
         !anyWithin(History.m_Stopped, From, To) &&
         !anyWithin(History.m_Ended, From, To) &&
         !anyWithin(History.m_Started, From, To);
}

void Observations::checkCustomers(const InvariantLimits &Limits,
                                  Messages &Violations) const {
  for (const Attempt &Entry : m_Attempts) {
    if (!m_KeyPeriods.empty())
      checkKeyRefusal(Entry, Limits, Violations);
    for (const auto *Received : {&m_Executions, &m_TurnedAway}) {
      auto Found = Received->find(Entry.m_Id);
      if (Found == Received->end())
        continue;
      for (const Execution &Arrival : Found->second) {
        if (Entry.m_BodyHash != 0 && Arrival.m_BodyHash != Entry.m_BodyHash)
          Violations.push_back(
              message(Entry, "its body wasn't whole at " + Arrival.m_Upstream));
        if (!m_KeyPeriods.empty())
          checkCustomer(Entry, Arrival, Limits, Violations);
      }
    }
  }
}

void Observations::checkKeyRefusal(const Attempt &Entry,
                                   const InvariantLimits &Limits,
                                   Messages &Violations) const {
  if (Entry.m_Outcome != AttemptOutcome::Answered || Entry.m_Status != 401)
    return;
  if (Entry.m_IsPublic)
    Violations.push_back(message(Entry, "refused on a public route"));
  bool IsValid = std::ranges::any_of(m_KeyPeriods, [&](const KeyPeriod &Known) {
    return Known.m_Key == Entry.m_Key &&
           Known.m_From <= Entry.m_SentAt - Limits.m_KeyDelay &&
           Known.m_Until >= Entry.m_EndedAt;
  });
  if (IsValid &&
      hasCurrentKeys(Entry.m_Vm, Entry.m_SentAt, Entry.m_EndedAt, Limits))
    Violations.push_back(message(Entry, "a valid key was refused"));
}

void Observations::checkCustomer(const Attempt &Entry, const Execution &Arrival,
                                 const InvariantLimits &Limits,
                                 Messages &Violations) const {
  if (Arrival.m_SawKey)
    Violations.push_back(
        message(Entry, "its key reached " + Arrival.m_Upstream));
  if (Arrival.m_Customer.empty()) {
    if (!Entry.m_IsPublic)
      Violations.push_back(message(Entry, "reached " + Arrival.m_Upstream +
                                              " without a customer"));
    return;
  }
  bool WasListed = false;
  TimePoint Until{};
  for (const KeyPeriod &Known : m_KeyPeriods) {
    if (Known.m_Key != Entry.m_Key || Known.m_Customer != Arrival.m_Customer ||
        Known.m_From > Arrival.m_StartedAt)
      continue;
    WasListed = true;
    Until = std::max(Until, Known.m_Until);
  }
  if (!WasListed) {
    Violations.push_back(message(Entry, "sent in the name of " +
                                            Arrival.m_Customer +
                                            ", whose key it didn't carry"));
    return;
  }
  // A request may be held up on its way to the upstream.
  if (Arrival.m_StartedAt > Until &&
      Arrival.m_StartedAt - Until > Limits.m_KeyDelay &&
      hasCurrentKeys(Entry.m_Vm, Arrival.m_StartedAt, Arrival.m_StartedAt,
                     Limits) &&
      !overlaps(m_LinkDisruptions, Entry.m_SentAt, Arrival.m_StartedAt))
    Violations.push_back(message(
        Entry, "sent for " + Arrival.m_Customer + " " +
                   std::to_string(toMillis(Arrival.m_StartedAt - Until)) +
                   " ms after its key was taken away"));
}

void Observations::checkHomes(const InvariantLimits &Limits,
                              Messages &Violations) const {
  for (const Attempt &Entry : m_Attempts) {
    auto Found = m_Executions.find(Entry.m_Id);
    if (!Entry.m_IsBound || Found == m_Executions.end())
      continue;
    for (const Execution &Executed : Found->second) {
      TimePoint At = Executed.m_StartedAt;
      TimePoint From = At - Limits.m_KeyDelay;
      // A VM that stood still has to ask before it sends what has arrived.
      for (const Disruption &Pause : m_Vms.at(Entry.m_Vm).m_Paused)
        if (Pause.m_End <= At &&
            Pause.m_End - Pause.m_Begin > Limits.m_MinPause)
          From = std::max(From, Pause.m_End);
      bool IsHome = std::ranges::any_of(m_Homes, [&](const HomePeriod &Home) {
        return Home.m_Region == Executed.m_Region && Home.m_From <= At &&
               Home.m_Until >= From;
      });
      if (!IsHome &&
          !overlaps(m_StoreDisruptions, From - Limits.m_SettleTime, At) &&
          !overlaps(m_LinkDisruptions, Entry.m_SentAt, At) &&
          mayLearnOfChanges(Entry.m_Vm, Entry.m_SentAt, At, Limits))
        Violations.push_back(
            message(Entry, "ran in " + Executed.m_Region + ", " +
                               std::to_string(toMillis(At - Entry.m_SentAt)) +
                               " ms after it was sent; its home is elsewhere"));
    }
  }
}

void Observations::checkQuotas(const InvariantLimits &Limits,
                               Messages &Violations) const {
  for (const QuotaLimit &Quota : m_Quotas) {
    std::vector<TimePoint> Runs;
    for (const auto &[Id, Executions] : m_Executions)
      for (const Execution &Executed : Executions)
        if (Executed.m_Customer == Quota.m_Customer)
          Runs.push_back(Executed.m_StartedAt);
    std::ranges::sort(Runs);
    double Seconds = double(toMillis(Limits.m_QuotaWindow)) / 1000;
    double Allowed = (Quota.m_RequestsPerSecond * Seconds + Quota.m_Burst) *
                         Limits.m_QuotaTolerance +
                     Limits.m_QuotaSlack;
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t I = 0; I < Runs.size(); ++I) {
      while (Runs[I] - Runs[First] >= Limits.m_QuotaWindow)
        ++First;
      Most = std::max(Most, I + 1 - First);
    }
    if (double(Most) > Allowed)
      Violations.push_back(Quota.m_Customer + ": " + std::to_string(Most) +
                           " requests ran within " +
                           std::to_string(toMillis(Limits.m_QuotaWindow)) +
                           " ms, its quota allows " +
                           std::to_string(int(Allowed)));
  }
}

} // namespace mustardspoke::soak
