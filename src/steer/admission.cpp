/// \file
/// Adjusts the refused fraction of each service and divides it over the
/// priorities.
#include "steer/admission.h"

#include <algorithm>
#include <cmath>

namespace mustardspoke::steer {
namespace {

// Different draws from the identifier of one request.
constexpr std::uint64_t AdmissionSalt = 0x9e3779b97f4a7c15ULL;
constexpr std::uint64_t RetrySalt = 0xc2b2ae3d27d4eb4fULL;
/// Seed of AdmissionControls::messageKey().
constexpr std::uint64_t MessageSeed = 1;

/// \brief A number from 0 up to 1 that is the same on all VMs.
double position(std::uint64_t Hash, std::uint64_t Salt) noexcept {
  std::uint64_t Value = Hash ^ Salt;
  Value ^= Value >> 33;
  Value *= 0xff51afd7ed558ccdULL;
  Value ^= Value >> 33;
  Value *= 0xc4ceb9fe1a85ec53ULL;
  Value ^= Value >> 33;
  return double(Value >> 11) * 0x1p-53;
}

double keptAfter(Duration Elapsed, Duration TimeConstant) {
  return std::exp(-double(Elapsed.count()) / double(TimeConstant.count()));
}

} // namespace

void AdmissionControl::recordOffered(Priority Urgency, TimePoint Now) {
  PriorityState &Entry = m_Priorities[Urgency];
  ++Entry.m_Offered;
  Entry.m_LastSeenAt = Now;
  ++Entry.m_RecentlyOffered;
  ++m_RecentlyOffered;
}

void AdmissionControl::recordRefused(Priority Urgency) {
  ++m_Priorities[Urgency].m_Refused;
}

bool AdmissionControl::admits(Priority Urgency, std::uint64_t Hash) const {
  return position(Hash, AdmissionSalt) >= refusedPart(Urgency);
}

double AdmissionControl::refusedPart(Priority Urgency) const {
  auto Found = m_Priorities.find(Urgency);
  return Found == m_Priorities.end() ? 0 : Found->second.m_RefusedPart;
}

Duration AdmissionControl::retryAfter(Priority Urgency, std::uint64_t Hash,
                                      const AdmissionTuning &Tuning) const {
  // Of the interval's length: always, by the fraction, and for the least urgent
  // priority. Their sum is 1.
  constexpr double BasePart = 0.3;
  constexpr double FractionPart = 0.4;
  constexpr double UrgencyPart = 0.3;
  unsigned Priorities = 0;
  unsigned MoreUrgent = 0;
  for (const auto &[Other, Entry] : m_Priorities)
    if (Entry.m_Offered > 0) {
      ++Priorities;
      MoreUrgent += Other < Urgency ? 1 : 0;
    }
  double Rank = Priorities > 1 ? double(MoreUrgent) / (Priorities - 1) : 0;
  double Length =
      BasePart + FractionPart * refusedFraction() + UrgencyPart * Rank;
  double Longest =
      double((Tuning.m_MaxRetryAfter - Tuning.m_MinRetryAfter).count());
  return Tuning.m_MinRetryAfter +
         Duration(std::int64_t(Longest * Length * position(Hash, RetrySalt)));
}

void AdmissionControl::receivedPeerFraction(double Fraction) noexcept {
  m_PeerSum += Fraction;
  ++m_PeerCount;
}

double AdmissionControl::offered() const {
  double Sum = 0;
  for (const auto &[Urgency, Entry] : m_Priorities)
    Sum += Entry.m_Offered;
  return Sum;
}

bool AdmissionControl::seesSeveralPriorities() const {
  return std::count_if(
             m_Priorities.begin(), m_Priorities.end(),
             [](const auto &Entry) { return Entry.second.m_Offered > 0; }) > 1;
}

double AdmissionControl::refusedFraction() const {
  double Refused = 0;
  for (const auto &[Urgency, Entry] : m_Priorities)
    Refused += Entry.m_Offered * Entry.m_RefusedPart;
  return Refused > 0 ? Refused / offered() : 0;
}

std::optional<double> AdmissionControl::fractionToSend() const {
  if (!m_IsLearned || !seesSeveralPriorities())
    return std::nullopt;
  return m_Fraction;
}

AdmissionControl::MoreUrgent AdmissionControl::moreUrgent() const {
  MoreUrgent Sum;
  bool FoundAdmitted = false;
  for (auto Entry = m_Priorities.rbegin(); Entry != m_Priorities.rend();
       ++Entry) {
    const PriorityState &State = Entry->second;
    if (State.m_Offered <= 0)
      continue;
    if (FoundAdmitted) {
      Sum.m_Offered += State.m_RecentlyOffered;
      Sum.m_NoRoom += State.m_NoRoom;
    }
    FoundAdmitted = FoundAdmitted || State.m_RefusedPart < 1;
  }
  return Sum;
}

double AdmissionControl::noRoomProportion() const {
  MoreUrgent Sum = moreUrgent();
  // A request may be found to have no room after it has left the count of those
  // that were offered.
  return Sum.m_NoRoom > 0 ? Sum.m_NoRoom / std::max(Sum.m_Offered, Sum.m_NoRoom)
                          : 0;
}

void AdmissionControl::forget(Duration Elapsed, TimePoint Now,
                              const AdmissionTuning &Tuning) {
  double KeptMix = keptAfter(Elapsed, Tuning.m_MixMemory);
  double KeptNoRoom = keptAfter(Elapsed, Tuning.m_NoRoomMemory);
  for (auto &[Urgency, Entry] : m_Priorities) {
    Entry.m_Offered = Now - Entry.m_LastSeenAt < Tuning.m_PriorityMemory
                          ? Entry.m_Offered * KeptMix
                          : 0;
    Entry.m_RecentlyOffered *= KeptNoRoom;
    Entry.m_NoRoom *= KeptNoRoom;
  }
  m_RecentlyOffered *= KeptNoRoom;
}

double AdmissionControl::ownStep(double Utilization,
                                 const AdmissionTuning &Tuning) {
  double Weight = std::min(m_RecentlyOffered / Tuning.m_MinRequests, 1.0);
  double NoRoom = noRoomProportion();
  if (NoRoom > Tuning.m_HighNoRoom && Utilization >= Tuning.m_LowUtilization) {
    m_CalmSteps = 0;
    MoreUrgent Sum = moreUrgent();
    double Excess = (Sum.m_NoRoom - Tuning.m_HighNoRoom * Sum.m_Offered) /
                    std::max(m_RecentlyOffered, 1.0);
    return Weight *
           std::min(Tuning.m_IncreaseGain * Excess, Tuning.m_MaxIncrease);
  }
  // Requests that find no room while many slots are free fail for another
  // reason, which refusals don't help against.
  bool HasFreeSlots = Utilization < Tuning.m_LowUtilization;
  if (!HasFreeSlots && (NoRoom >= Tuning.m_LowNoRoom ||
                        Utilization >= Tuning.m_HighUtilization)) {
    m_CalmSteps = 0;
    return 0;
  }
  ++m_CalmSteps;
  return -Weight *
         std::min(Tuning.m_Decrease * m_CalmSteps, Tuning.m_MaxDecrease);
}

double AdmissionControl::maxFraction(const AdmissionTuning &Tuning) const {
  double All = offered();
  if (All <= 0)
    return 1;
  auto MostUrgent = std::find_if(
      m_Priorities.begin(), m_Priorities.end(),
      [](const auto &Entry) { return Entry.second.m_Offered > 0; });
  double LessUrgent = 1 - MostUrgent->second.m_Offered / All;
  double Certainty = std::min(All / Tuning.m_MinMixRequests, 1.0);
  return LessUrgent + (1 - LessUrgent) * (1 - Certainty);
}

void AdmissionControl::distribute() {
  double All = offered();
  double Left = m_Fraction * All;
  PriorityState *MostUrgent = nullptr;
  for (auto Entry = m_Priorities.rbegin(); Entry != m_Priorities.rend();
       ++Entry) {
    PriorityState &State = Entry->second;
    State.m_RefusedPart = 0;
    if (State.m_Offered <= 0)
      continue;
    State.m_RefusedPart = std::clamp(Left / State.m_Offered, 0.0, 1.0);
    Left -= State.m_Offered;
    MostUrgent = &State;
  }
  if (MostUrgent)
    MostUrgent->m_RefusedPart = 0;
}

void AdmissionControl::update(std::optional<double> Utilization, TimePoint Now,
                              const AdmissionTuning &Tuning) {
  bool IsFirst = m_LastStepAt == TimePoint();
  Duration Elapsed = IsFirst ? Tuning.m_StepInterval : Now - m_LastStepAt;
  if (Elapsed < Tuning.m_StepInterval)
    return;
  m_LastStepAt = Now;
  forget(Elapsed, Now, Tuning);
  bool Observes = seesSeveralPriorities();
  unsigned Peers = std::exchange(m_PeerCount, 0);
  double PeerSum = std::exchange(m_PeerSum, 0);
  if (!Observes)
    m_ObservesSince.reset();
  else if (!m_ObservesSince)
    m_ObservesSince = Now;
  if (Observes || Peers > 0)
    m_RefreshedAt = Now;

  if (Now - m_RefreshedAt > Tuning.m_RefreshTimeout) {
    m_Fraction = 0;
    m_IsLearned = false;
  } else if (!m_IsLearned && Peers > 0) {
    m_Fraction = PeerSum / Peers;
    m_IsLearned = true;
  } else {
    double Step = Observes && Utilization ? ownStep(*Utilization, Tuning) : 0;
    m_Fraction = (m_Fraction + PeerSum) / (Peers + 1) + Step;
    m_IsLearned = m_IsLearned || (m_ObservesSince &&
                                  Now - *m_ObservesSince >= Tuning.m_LearnTime);
  }
  m_Fraction =
      std::clamp(m_Fraction, 0.0, Observes ? maxFraction(Tuning) : 1.0);
  distribute();
}

double slotUtilization(const LocalShareState &State,
                       const AdmissionTuning &Tuning) {
  if (State.m_LocalSlots > 0)
    return State.m_SlotsInUse;
  return std::min(State.m_RemoteUtilization.value_or(Tuning.m_LowUtilization),
                  1.0);
}

void AdmissionControls::update(const LocalShares &Shares,
                               bool ObservesUpstreams, TimePoint Now,
                               const AdmissionTuning &Tuning) {
  Shares.forEach([&](const ServiceName &Service, const LocalShareState &State) {
    std::optional<double> Utilization;
    if (ObservesUpstreams)
      Utilization = slotUtilization(State, Tuning);
    m_Controls[Service].update(Utilization, Now, Tuning);
  });
}

void AdmissionControls::receivedPeerFraction(std::uint64_t Key,
                                             double Fraction) {
  for (auto &[Service, Control] : m_Controls)
    if (messageKey(Service) == Key)
      Control.receivedPeerFraction(Fraction);
}

std::uint64_t AdmissionControls::messageKey(const ServiceName &Service) {
  return stableHash(Service.str(), MessageSeed);
}

} // namespace mustardspoke::steer
