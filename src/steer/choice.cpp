/// \file
/// Rendezvous hashing by key with bounded loads, region by region.
#include "steer/choice.h"

#include <algorithm>
#include <cmath>

namespace mustardspoke::steer {
namespace {

/// \brief Groups of upstreams in the order in which they are considered.
enum class Tier : std::uint8_t { SameDomain, First, Second };

struct Candidate {
  Upstream *m_Upstream = nullptr;
  Tier m_Tier = Tier::Second;
  std::uint64_t m_Rank = 0; ///< Rendezvous weight; the highest goes first.
  /// Slow or cold: used only if no other candidate has capacity.
  bool m_IsLastResort = false;
  bool m_IsEjected = false; ///< Failed recently: not used.
};

/// \brief Mixes the bits of a hash; the finalizer of MurmurHash3.
std::uint64_t mix(std::uint64_t Value) noexcept {
  Value ^= Value >> 33;
  Value *= 0xff51afd7ed558ccdULL;
  Value ^= Value >> 33;
  Value *= 0xc4ceb9fe1a85ec53ULL;
  return Value ^ (Value >> 33);
}

/// \brief Whether the own region serves the key. All VMs of a region that use
/// the same share agree on the keys.
bool servedLocally(const ChoiceInput &Input) {
  double Position = double(mix(Input.m_KeyHash + 1) >> 11) * 0x1p-53;
  return Position < Input.m_LocalShare;
}

Tier tierOf(const Upstream &Target, const Placement &Local, bool LargeAnswer,
            bool ServeLocally) {
  bool InOwnRegion = Target.m_Registration.m_Region == Local.m_Region;
  if (ServeLocally && LargeAnswer &&
      Target.m_Registration.m_Domain == Local.m_Domain)
    return Tier::SameDomain;
  return InOwnRegion == ServeLocally ? Tier::First : Tier::Second;
}

/// \brief Median of the mean latencies of upstreams with enough samples.
Duration medianLatency(std::span<const UpstreamPtr> All,
                       const UpstreamHealthTuning &Tuning) {
  std::vector<Duration> Means;
  for (const UpstreamPtr &Entry : All)
    if (Entry->samples() >= Tuning.m_MinSamples)
      Means.push_back(Entry->meanLatency());
  if (Means.empty())
    return Duration::zero();
  auto Middle = Means.begin() + std::ptrdiff_t(Means.size() / 2);
  std::nth_element(Means.begin(), Middle, Means.end());
  return *Middle;
}

bool isSlow(const Upstream &Target, Duration Median,
            const UpstreamHealthTuning &Tuning) {
  return Median > Duration::zero() && Target.samples() >= Tuning.m_MinSamples &&
         Target.meanLatency() > Duration(std::int64_t(double(Median.count()) *
                                                      Tuning.m_SlowFactor));
}

bool wasTried(const Upstream &Target, std::span<const Upstream *const> Tried) {
  return std::find(Tried.begin(), Tried.end(), &Target) != Tried.end();
}

/// \brief Estimated time that a request waits, in multiples of the processing
/// time.
double queuedRounds(const Upstream &Target, const ChoiceInput &Input,
                    const ChoiceTuning &Tuning) {
  double Load = Target.load(Input.m_Now, Tuning.m_HealthTuning);
  double Slots = double(Target.m_Registration.m_Slots);
  return std::max(0.0, Load + 1 - Slots) / Slots;
}

/// \brief Expected time to an answer: round trip, queueing and processing.
Duration expectedLatency(const Upstream &Target, const ChoiceInput &Input,
                         const ChoiceTuning &Tuning) {
  Duration Processing = Target.samples() >= Tuning.m_HealthTuning.m_MinSamples
                            ? Target.meanProcessingTime()
                            : Input.m_MeanProcessingTime;
  if (Processing == Duration::zero())
    Processing = Tuning.m_InitialLatency;
  Processing =
      Duration(std::int64_t(double(Processing.count()) *
                            Target.pace(Input.m_Now, Tuning.m_HealthTuning)));
  return Target.roundTripTime() +
         Duration(std::int64_t(double(Processing.count()) *
                               (1 + queuedRounds(Target, Input, Tuning))));
}

/// \brief Mean time that requests wait at an upstream that is as busy as it was
/// over the last seconds, in multiples of the processing time: Sakasegawa's
/// approximation for a queue with several servers.
double expectedWait(const Upstream &Target) {
  constexpr double MaxUtilization = 0.97;
  double Slots = double(Target.m_Registration.m_Slots);
  double Utilization = std::min(Target.meanLoad() / Slots, MaxUtilization);
  return std::pow(Utilization, std::sqrt(2 * (Slots + 1)) - 1) /
         (Slots * (1 - Utilization));
}

bool hasFreeSlot(const Upstream &Target, const ChoiceInput &Input,
                 const ChoiceTuning &Tuning) {
  return Target.load(Input.m_Now, Tuning.m_HealthTuning) <=
         double(Target.m_Registration.m_Slots) - 1;
}

/// \brief Whether an answer within the target latency can be expected. A
/// request that is already late is accepted only without queueing.
bool canMeetTarget(const Upstream &Target, const ChoiceInput &Input,
                   const ChoiceTuning &Tuning) {
  if (hasFreeSlot(Target, Input, Tuning))
    return true;
  Duration Limit(std::int64_t(double(Input.m_TimeToTarget.count()) *
                              Tuning.m_TargetFraction));
  return expectedLatency(Target, Input, Tuning) <= Limit;
}

bool acceptsAsNonHolder(const Upstream &Target, const ChoiceInput &Input,
                        const ChoiceTuning &Tuning) {
  return Target.load(Input.m_Now, Tuning.m_HealthTuning) <
         double(Target.m_Registration.m_Slots) * Tuning.m_NonHolderMaxLoad;
}

double senderFraction(const Upstream &Target, unsigned MaxSenders,
                      const ChoiceInput &Input) {
  return Input.m_SenderFraction
             ? Input.m_SenderFraction(Input.m_Fleet, Target, MaxSenders,
                                      Input.m_Now)
             : 1.0 / MaxSenders;
}

/// \brief This VM's part of the limit that \p Target has named; 0 if it may
/// send nothing there.
double limitFraction(const Upstream &Target, const ChoiceInput &Input) {
  return senderFraction(Target, Target.m_RateLimit.maxSenders(), Input);
}

/// \brief Whether the rate limit that \p Target may have named allows one more
/// request.
bool isWithinLimit(Upstream &Target, const ChoiceInput &Input) {
  return !Target.m_RateLimit.isSet(Input.m_Now) ||
         Target.m_RateLimit.permits(Input.m_Now, limitFraction(Target, Input));
}

void note(const ChoiceInput &Input, const Upstream &Target, Verdict Result) {
  if (Input.m_Observer)
    Input.m_Observer->judged(Target, Result);
}

/// \brief Why \p Target isn't a candidate.
Verdict whyNoCandidate(const Upstream &Target, const ChoiceInput &Input,
                       const UpstreamTable &Table) {
  if (Table.exclusion(Target, Input.m_Now) != Exclusion::None)
    return Verdict::Excluded;
  if (wasTried(Target, Input.m_Tried))
    return Verdict::Tried;
  if (!Input.m_Residency.allows(Target.m_Registration.m_Region))
    return Verdict::RegionNotAllowed;
  return Verdict::RateLimited;
}

/// \brief Refusal for lack of any candidate: until their limits allow further
/// requests, or until the first of the upstreams that asked for a pause is
/// back. Callers return spread out after it.
Choice refuseWithoutCandidate(const ChoiceInput &Input,
                              const UpstreamTable &Table) {
  constexpr double MaxSpread = 0.25; // Fraction of the pause.
  Duration Soonest = Duration::max();
  Choice Refusal;
  Refusal.m_RefusalReason = RefusalReason::NoCandidate;
  Refusal.m_RetryAfter = 500ms;
  for (const UpstreamPtr &Entry : Table.upstreamsOf(Input.m_ServiceName)) {
    if (!Input.m_Residency.allows(Entry->m_Registration.m_Region))
      continue;
    Exclusion Reason = Table.exclusion(*Entry, Input.m_Now);
    if (Reason == Exclusion::Quiet)
      Soonest = std::min(Soonest, Entry->m_QuietUntil - Input.m_Now);
    if (Reason == Exclusion::None && !wasTried(*Entry, Input.m_Tried) &&
        Entry->m_RateLimit.isSet(Input.m_Now)) {
      Refusal.m_RefusalReason = RefusalReason::AllLimited;
      Refusal.m_LimitedRate +=
          Entry->m_RateLimit.usableRate() * limitFraction(*Entry, Input);
    }
  }
  if (Refusal.m_RefusalReason == RefusalReason::AllLimited)
    return Refusal;
  if (Soonest == Duration::max())
    return Refusal;
  double Position = double(mix(Input.m_KeyHash) >> 11) * 0x1p-53;
  Refusal.m_RefusalReason = RefusalReason::AllQuiet;
  Refusal.m_RetryAfter =
      Soonest +
      Duration(std::int64_t(double(Soonest.count()) * MaxSpread * Position));
  return Refusal;
}

/// \brief The upstreams that may receive the request, unordered.
std::vector<Candidate> findCandidates(const ChoiceInput &Input,
                                      const UpstreamTable &Table,
                                      const Placement &Local,
                                      const ChoiceTuning &Tuning) {
  std::span<const UpstreamPtr> All = Table.upstreamsOf(Input.m_ServiceName);
  Duration Median = medianLatency(All, Tuning.m_HealthTuning);
  bool LargeAnswer = Input.m_MeanAnswerBytes > Tuning.m_LargeAnswerBytes;
  bool ServeLocally = servedLocally(Input);
  std::vector<Candidate> Result;
  std::size_t Ejected = 0;
  for (const UpstreamPtr &Entry : All) {
    if (Table.exclusion(*Entry, Input.m_Now) != Exclusion::None ||
        wasTried(*Entry, Input.m_Tried) ||
        !Input.m_Residency.allows(Entry->m_Registration.m_Region) ||
        !isWithinLimit(*Entry, Input)) {
      if (Input.m_Observer)
        note(Input, *Entry, whyNoCandidate(*Entry, Input, Table));
      continue;
    }
    Candidate Next;
    Next.m_Upstream = Entry.get();
    Next.m_Tier = tierOf(*Entry, Local, LargeAnswer, ServeLocally);
    Next.m_Rank = mix(Input.m_KeyHash ^ Entry->m_IdHash);
    Next.m_IsLastResort = Entry->isCold(Input.m_Now) ||
                          isSlow(*Entry, Median, Tuning.m_HealthTuning);
    Next.m_IsEjected = Entry->isEjected(Input.m_Now);
    Ejected += Next.m_IsEjected ? 1 : 0;
    Result.push_back(Next);
  }
  // If many upstreams fail, excluding all of them would overload the others.
  if (double(Ejected) > double(Result.size()) * Tuning.m_MaxEjectedFraction)
    for (Candidate &Each : Result)
      Each.m_IsEjected = false;
  return Result;
}

/// \brief Order of preference for a key.
bool isPreferred(const Candidate &Left, const Candidate &Right) {
  if (Left.m_Tier != Right.m_Tier)
    return Left.m_Tier < Right.m_Tier;
  return Left.m_Rank > Right.m_Rank;
}

/// \brief Neither slow, cold nor ejected.
bool isHealthy(const Candidate &Entry) {
  return !Entry.m_IsLastResort && !Entry.m_IsEjected;
}

/// \brief Why \p Entry isn't used as a last resort.
Verdict whyNotLastResort(const Candidate &Entry, const ChoiceInput &Input,
                         const ChoiceTuning &Tuning) {
  if (Entry.m_IsEjected)
    return Verdict::Ejected;
  return hasFreeSlot(*Entry.m_Upstream, Input, Tuning) ? Verdict::ColdRate
                                                       : Verdict::NoFreeSlot;
}

Choice select(const Candidate &Selected, const ChoiceInput &Input,
              const ChoiceTuning &Tuning) {
  Choice Result;
  Result.m_Upstream = UpstreamPtr(Selected.m_Upstream);
  Result.m_Load = Selected.m_Upstream->load(Input.m_Now, Tuning.m_HealthTuning);
  Result.m_IsOverflow = Selected.m_Tier == Tier::Second;
  Result.m_IsHeld = Input.m_Placement && Input.m_Placement->isHeld(
                                             Input.m_PlacementKey,
                                             *Selected.m_Upstream, Input.m_Now);
  if (Selected.m_Upstream->m_RateLimit.isSet(Input.m_Now))
    Selected.m_Upstream->m_RateLimit.recordRequest();
  note(Input, *Selected.m_Upstream, Verdict::Selected);
  return Result;
}

/// \brief Whether \p Entry goes before upstreams of other regions, whatever the
/// key: the body of an upload costs more on the way there than a cold cache.
bool isNearbyForUpload(const Candidate &Entry, const ChoiceInput &Input,
                       const Placement &Local) {
  return Input.m_Route.m_RetrySafety == RetrySafety::Upload &&
         isHealthy(Entry) &&
         Entry.m_Upstream->m_Registration.m_Region == Local.m_Region;
}

/// \brief The first upstream of the own region, by rank, that can answer an
/// upload in time, or null.
const Candidate *findNearbyForUpload(std::span<const Candidate> Candidates,
                                     const ChoiceInput &Input,
                                     const Placement &Local,
                                     const ChoiceTuning &Tuning) {
  const Candidate *Best = nullptr;
  for (const Candidate &Each : Candidates) {
    if ((Best && Each.m_Rank < Best->m_Rank) ||
        !isNearbyForUpload(Each, Input, Local))
      continue;
    if (canMeetTarget(*Each.m_Upstream, Input, Tuning))
      Best = &Each;
    else
      note(Input, *Each.m_Upstream, Verdict::TooLate);
  }
  return Best;
}

/// \brief Tells an observer the order in which candidates are considered.
void observeOrder(std::vector<Candidate> Candidates, const ChoiceInput &Input,
                  const Placement &Local, const ChoiceTuning &Tuning) {
  for (Candidate &Each : Candidates)
    if (isNearbyForUpload(Each, Input, Local))
      Each.m_Tier = Tier::SameDomain;
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return isHealthy(Left) != isHealthy(Right)
                         ? isHealthy(Left)
                         : isPreferred(Left, Right);
            });
  for (const Candidate &Each : Candidates)
    Input.m_Observer->ranked(*Each.m_Upstream,
                             expectedLatency(*Each.m_Upstream, Input, Tuning));
}

/// \brief Drops the last tier unless it is the only one.
void keepToFirstTiers(std::vector<Candidate> &Candidates,
                      const ChoiceInput &Input) {
  auto InLastTier = [](const Candidate &Entry) {
    return Entry.m_Tier == Tier::Second;
  };
  if (std::all_of(Candidates.begin(), Candidates.end(), InLastTier))
    return;
  for (const Candidate &Each : Candidates)
    if (InLastTier(Each))
      note(Input, *Each.m_Upstream, Verdict::OutsideKeyRegions);
  std::erase_if(Candidates, InLastTier);
}

/// \brief Probability that an upstream which holds the key answers after the
/// target latency, as busy as it was over the last seconds.
double lateRisk(const Upstream &Target, const ChoiceInput &Input) {
  double Held = double(Input.m_ProcessingTimes.m_Held.count());
  double Slack =
      double((Input.m_TimeToTarget - Target.roundTripTime()).count()) - Held;
  double MeanWait = Held * expectedWait(Target);
  if (Slack <= 0)
    return 1;
  // The wait in a queue decays exponentially.
  return MeanWait <= 0 ? 0 : std::exp(-Slack / MeanWait);
}

/// \brief Has the second candidate for the key hold it while the first one is
/// too busy.
///
/// \details Both are judged by their mean queues over the last seconds, which
/// all VMs know from the same load reports. A momentary queue is gone before
/// the key is held elsewhere, and following it has keys processed, and evicted,
/// at both. The times of single upstreams aren't compared: one that has just
/// got keys that it didn't hold looks slow, and moving keys away from it would
/// have yet more keys processed where they aren't held.
void orderHolders(std::span<Candidate> Holders, const ChoiceInput &Input,
                  const ChoiceTuning &Tuning) {
  if (Holders.size() < 2 || Holders[0].m_Tier != Holders[1].m_Tier)
    return;
  double Risk = lateRisk(*Holders[1].m_Upstream, Input);
  if (Risk <= Tuning.m_MaxMoveTargetRisk &&
      Risk + Tuning.m_MoveRisk < lateRisk(*Holders[0].m_Upstream, Input))
    std::swap(Holders[0], Holders[1]);
}

/// \brief Whether the upstreams of the key's regions have room for keys beside
/// those that are theirs by rank.
bool mayMoveKeys(std::span<const Candidate> Candidates,
                 const ChoiceInput &Input, const ChoiceTuning &Tuning) {
  if (!Input.m_Placement)
    return false;
  std::optional<unsigned> Keys =
      Input.m_Placement->activeKeys(Input.m_PlacementKey.m_ServiceHash);
  if (!Keys)
    return false;
  auto Upstreams = std::ranges::count_if(Candidates, [](const Candidate &Each) {
    return Each.m_Tier != Tier::Second && isHealthy(Each);
  });
  double Assigned =
      servedLocally(Input) ? Input.m_LocalShare : 1 - Input.m_LocalShare;
  return double(*Keys) * Assigned <=
         double(Upstreams) * Tuning.m_MaxKeysPerUpstream;
}

Choice selectByKey(const ChoiceInput &Input, const UpstreamTable &Table,
                   const Placement &Local, const ChoiceTuning &Tuning) {
  std::vector<Candidate> Candidates =
      findCandidates(Input, Table, Local, Tuning);
  if (Input.m_Observer)
    observeOrder(Candidates, Input, Local, Tuning);
  if (Input.m_Route.m_RetrySafety == RetrySafety::Upload)
    if (const Candidate *Nearby =
            findNearbyForUpload(Candidates, Input, Local, Tuning)) {
      Choice Result = select(*Nearby, Input, Tuning);
      Result.m_IsOverflow = false;
      return Result;
    }
  if (!Input.m_MayOverflow)
    keepToFirstTiers(Candidates, Input);
  if (Candidates.empty())
    return refuseWithoutCandidate(Input, Table);
  Choice Refusal;
  auto Unhealthy =
      std::partition(Candidates.begin(), Candidates.end(), isHealthy);
  // Usually a holder accepts the request, so the others are sorted only if
  // they are needed.
  bool PlacesKeys = mayMoveKeys(Candidates, Input, Tuning);
  unsigned HolderCount =
      PlacesKeys ? std::max(Tuning.m_HoldersPerKey, Tuning.m_PlacementsPerKey)
                 : Tuning.m_HoldersPerKey;
  auto NonHolders =
      Candidates.begin() +
      std::min<std::ptrdiff_t>(HolderCount, Unhealthy - Candidates.begin());
  std::partial_sort(Candidates.begin(), NonHolders, Unhealthy, isPreferred);
  if (PlacesKeys)
    orderHolders(std::span(Candidates.begin(), NonHolders), Input, Tuning);
  Duration Soonest = 1s;
  for (const Candidate &Holder : std::span(Candidates.begin(), NonHolders)) {
    if (canMeetTarget(*Holder.m_Upstream, Input, Tuning))
      return select(Holder, Input, Tuning);
    note(Input, *Holder.m_Upstream, Verdict::TooLate);
    Soonest =
        std::min(Soonest, expectedLatency(*Holder.m_Upstream, Input, Tuning));
  }
  std::sort(NonHolders, Unhealthy, isPreferred);
  for (const Candidate &NonHolder : std::span(NonHolders, Unhealthy)) {
    if (acceptsAsNonHolder(*NonHolder.m_Upstream, Input, Tuning))
      return select(NonHolder, Input, Tuning);
    note(Input, *NonHolder.m_Upstream, Verdict::BusyNonHolder);
  }
  std::sort(Unhealthy, Candidates.end(), isPreferred);
  for (const Candidate &LastResort : std::span(Unhealthy, Candidates.end())) {
    if (!LastResort.m_IsEjected &&
        hasFreeSlot(*LastResort.m_Upstream, Input, Tuning) &&
        takeColdToken(*LastResort.m_Upstream, Input, Tuning))
      return select(LastResort, Input, Tuning);
    if (Input.m_Observer)
      note(Input, *LastResort.m_Upstream,
           whyNotLastResort(LastResort, Input, Tuning));
  }
  Refusal.m_RefusalReason = RefusalReason::AllFull;
  Refusal.m_RetryAfter = std::clamp<Duration>(Soonest / 2, 80ms, 400ms);
  return Refusal;
}

} // namespace

bool takeColdToken(Upstream &Target, const ChoiceInput &Input,
                   const ChoiceTuning &Tuning) {
  if (!Target.isCold(Input.m_Now))
    return true;
  if (!Input.m_ServiceSettings ||
      Input.m_ServiceSettings->m_ColdRequestsPerSecond <= 0)
    return true;
  double Rate = Input.m_ServiceSettings->m_ColdRequestsPerSecond *
                Tuning.m_ColdRateFraction *
                senderFraction(Target, Tuning.m_MaxColdSenders, Input);
  if (Rate <= 0)
    return false;
  Target.m_ColdTokens.refill(Input.m_Now, Rate, 1);
  return Target.m_ColdTokens.take();
}

Choice chooseByKeyLocalFirst(const ChoiceInput &Input,
                             const UpstreamTable &Table, const Placement &Local,
                             const ChoiceTuning &Tuning) {
  Choice Result = selectByKey(Input, Table, Local, Tuning);
  Result.m_IsLocalKey = servedLocally(Input);
  return Result;
}

Choice chooseLeastLoad(const ChoiceInput &Input, const UpstreamTable &Table,
                       const Placement &Local, const ChoiceTuning &Tuning) {
  std::vector<Candidate> Candidates =
      findCandidates(Input, Table, Local, Tuning);
  // Equal loads are decided by the order of preference for the key.
  std::sort(Candidates.begin(), Candidates.end(), isPreferred);
  Choice Result;
  const Candidate *Best = nullptr;
  for (const Candidate &Next : Candidates)
    if (!Next.m_Upstream->isCold(Input.m_Now) &&
        (!Best ||
         Next.m_Upstream->load(Input.m_Now, Tuning.m_HealthTuning) <
             Best->m_Upstream->load(Input.m_Now, Tuning.m_HealthTuning)))
      Best = &Next;
  if (Best)
    return select(*Best, Input, Tuning);
  Result.m_RefusalReason =
      Candidates.empty() ? RefusalReason::NoCandidate : RefusalReason::AllFull;
  Result.m_RetryAfter = 500ms;
  return Result;
}

} // namespace mustardspoke::steer
