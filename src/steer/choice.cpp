/// \file
/// Rendezvous order by key with bounded load, region by region.
#include "steer/choice.h"

#include <algorithm>
#include <array>

namespace mustardspoke::steer {
namespace {

/// \brief Groups of upstreams in the order in which a key asks them.
enum class Tier : std::uint8_t { SameDomain, First, Second };

struct Ranked {
  Upstream *m_One = nullptr;
  Tier m_Tier = Tier::Second;
  std::uint64_t m_Rank = 0; ///< Rendezvous weight; the highest goes first.
  bool m_Doubtful = false;  ///< Slow or cold: only if nothing else has room.
  bool m_Ejected = false;   ///< Failed lately: left out.
};

/// \brief Mixes two hashes; the finalizer of MurmurHash3.
std::uint64_t mix(std::uint64_t Value) noexcept {
  Value ^= Value >> 33;
  Value *= 0xff51afd7ed558ccdULL;
  Value ^= Value >> 33;
  Value *= 0xc4ceb9fe1a85ec53ULL;
  return Value ^ (Value >> 33);
}

/// \brief Whether the own region serves the key, as the same keys on all VMs
/// of a region that hold the same share.
bool servedLocally(const ChoiceInput &Input) {
  double Position = double(mix(Input.m_KeyHash + 1) >> 11) * 0x1p-53;
  return Position < Input.m_LocalShare;
}

Tier tierOf(const Upstream &One, const Placement &Here, bool Large,
            bool Local) {
  bool Own = One.m_Facts.m_Region == Here.m_Region;
  if (Local && Large && One.m_Facts.m_Domain == Here.m_Domain)
    return Tier::SameDomain;
  return Own == Local ? Tier::First : Tier::Second;
}

/// \brief Median of the mean latencies of those with enough samples.
Duration medianLatency(std::span<const UpstreamPtr> All,
                       const UpstreamJudgement &By) {
  std::vector<Duration> Means;
  for (const UpstreamPtr &One : All)
    if (One->samples() >= By.m_SlowSamples)
      Means.push_back(One->meanLatency());
  if (Means.empty())
    return Duration::zero();
  auto Middle = Means.begin() + std::ptrdiff_t(Means.size() / 2);
  std::nth_element(Means.begin(), Middle, Means.end());
  return *Middle;
}

bool slow(const Upstream &One, Duration Median, const UpstreamJudgement &By) {
  return Median > Duration::zero() && One.samples() >= By.m_SlowSamples &&
         One.meanLatency() >
             Duration(std::int64_t(double(Median.count()) * By.m_SlowFactor));
}

bool wasTried(const Upstream &One, std::span<const Upstream *const> Tried) {
  return std::find(Tried.begin(), Tried.end(), &One) != Tried.end();
}

/// \brief Expected time to an answer: the wait for a slot, and the work.
Duration expected(const Upstream &One, const ChoiceInput &Input,
                  const ChoiceTuning &Tuning) {
  Duration Work = One.samples() >= Tuning.m_Judgement.m_SlowSamples
                      ? One.meanWork()
                      : Input.m_ServiceWork;
  if (Work == Duration::zero())
    Work = Tuning.m_FirstLatency;
  double Load = One.load(Input.m_Now, Tuning.m_Judgement);
  double Slots = double(One.m_Facts.m_Slots);
  double Waits = std::max(0.0, Load + 1 - Slots) / Slots;
  return One.path() +
         Duration(std::int64_t(double(Work.count()) * (1 + Waits)));
}

bool hasFreeSlot(const Upstream &One, const ChoiceInput &Input,
                 const ChoiceTuning &Tuning) {
  return One.load(Input.m_Now, Tuning.m_Judgement) <=
         double(One.m_Facts.m_Slots) - 1;
}

/// \brief An answer within the target may be expected, or at least, for a
/// request that is late already, one without a wait.
bool worthSending(const Upstream &One, const ChoiceInput &Input,
                  const ChoiceTuning &Tuning) {
  if (hasFreeSlot(One, Input, Tuning))
    return true;
  Duration Within(
      std::int64_t(double(Input.m_ToTarget.count()) * Tuning.m_TargetPart));
  return expected(One, Input, Tuning) <= Within;
}

bool hasAmpleRoom(const Upstream &One, const ChoiceInput &Input,
                  const ChoiceTuning &Tuning) {
  return One.load(Input.m_Now, Tuning.m_Judgement) <
         double(One.m_Facts.m_Slots) * Tuning.m_StrangerLoad;
}

/// \brief The upstreams that may take the request, in no order.
std::vector<Ranked> candidates(const ChoiceInput &Input,
                               const UpstreamTable &Table,
                               const Placement &Here,
                               const ChoiceTuning &Tuning) {
  std::span<const UpstreamPtr> All = Table.of(Input.m_To);
  Duration Median = medianLatency(All, Tuning.m_Judgement);
  bool Large = Input.m_MeanAnswerBytes > Tuning.m_LargeAnswerBytes;
  bool Local = servedLocally(Input);
  std::vector<Ranked> Result;
  std::size_t Ejected = 0;
  for (const UpstreamPtr &One : All) {
    if (!Table.usable(*One) || wasTried(*One, Input.m_Tried) ||
        !Input.m_Route.allows(One->m_Facts.m_Region))
      continue;
    Ranked Next;
    Next.m_One = One.get();
    Next.m_Tier = tierOf(*One, Here, Large, Local);
    Next.m_Rank = mix(Input.m_KeyHash ^ One->m_Hash);
    Next.m_Doubtful =
        One->cold(Input.m_Now) || slow(*One, Median, Tuning.m_Judgement);
    Next.m_Ejected = One->ejected(Input.m_Now);
    Ejected += Next.m_Ejected ? 1 : 0;
    Result.push_back(Next);
  }
  // When many fail, leaving them out overloads the others.
  if (double(Ejected) > double(Result.size()) * Tuning.m_MostEjected)
    for (Ranked &One : Result)
      One.m_Ejected = false;
  return Result;
}

/// \brief The order in which a key asks upstreams.
bool before(const Ranked &Left, const Ranked &Right) {
  if (Left.m_Tier != Right.m_Tier)
    return Left.m_Tier < Right.m_Tier;
  return Left.m_Rank > Right.m_Rank;
}

/// \brief Neither slow, cold nor ejected.
bool sound(const Ranked &One) { return !One.m_Doubtful && !One.m_Ejected; }

Choice chosen(const Ranked &To, const ChoiceInput &Input,
              const ChoiceTuning &Tuning) {
  Choice Result;
  Result.m_To = UpstreamPtr(To.m_One);
  Result.m_Load = To.m_One->load(Input.m_Now, Tuning.m_Judgement);
  Result.m_Overflows = To.m_Tier == Tier::Second;
  return Result;
}

/// \brief Drops the last tier, unless nothing else is left.
void keepToFirstTiers(std::vector<Ranked> &Order) {
  auto Last = [](const Ranked &One) { return One.m_Tier == Tier::Second; };
  if (!std::all_of(Order.begin(), Order.end(), Last))
    std::erase_if(Order, Last);
}

} // namespace

bool takeColdToken(Upstream &To, const ChoiceInput &Input,
                   const ChoiceTuning &Tuning) {
  if (!To.cold(Input.m_Now))
    return true;
  if (!Input.m_Service || Input.m_Service->m_ColdPerSecond <= 0)
    return true;
  if (Input.m_SendsCold && !Input.m_SendsCold(Input.m_Fleet, To.m_Hash))
    return false;
  double Rate = Input.m_Service->m_ColdPerSecond * Tuning.m_ColdShare /
                Tuning.m_ColdSenders;
  double Passed =
      std::chrono::duration<double>(Input.m_Now - To.m_ColdFilledAt).count();
  To.m_ColdTokens = std::min(1.0, To.m_ColdTokens + Passed * Rate);
  To.m_ColdFilledAt = Input.m_Now;
  if (To.m_ColdTokens < 1)
    return false;
  To.m_ColdTokens -= 1;
  return true;
}

Choice chooseByKeyNearFirst(const ChoiceInput &Input,
                            const UpstreamTable &Table, const Placement &Here,
                            const ChoiceTuning &Tuning) {
  std::vector<Ranked> Order = candidates(Input, Table, Here, Tuning);
  if (!Input.m_MayOverflow)
    keepToFirstTiers(Order);
  Choice Refused;
  if (Order.empty()) {
    Refused.m_Why = NoUpstream::Unknown;
    Refused.m_ComeBack = 500ms;
    return Refused;
  }
  auto Doubtful = std::partition(Order.begin(), Order.end(), sound);
  // Mostly a holder takes the request, and the others need no order.
  auto Strangers =
      Order.begin() +
      std::min<std::ptrdiff_t>(Tuning.m_Holders, Doubtful - Order.begin());
  std::partial_sort(Order.begin(), Strangers, Doubtful, before);
  Duration Soonest = 1s;
  for (const Ranked &One : std::span(Order.begin(), Strangers)) {
    if (worthSending(*One.m_One, Input, Tuning))
      return chosen(One, Input, Tuning);
    Soonest = std::min(Soonest, expected(*One.m_One, Input, Tuning));
  }
  std::sort(Strangers, Doubtful, before);
  for (const Ranked &One : std::span(Strangers, Doubtful))
    if (hasAmpleRoom(*One.m_One, Input, Tuning))
      return chosen(One, Input, Tuning);
  std::sort(Doubtful, Order.end(), before);
  for (const Ranked &One : std::span(Doubtful, Order.end()))
    if (!One.m_Ejected && hasFreeSlot(*One.m_One, Input, Tuning) &&
        takeColdToken(*One.m_One, Input, Tuning))
      return chosen(One, Input, Tuning);
  Refused.m_Why = NoUpstream::Full;
  Refused.m_ComeBack = std::clamp<Duration>(Soonest / 2, 80ms, 400ms);
  return Refused;
}

Choice chooseLeastLoad(const ChoiceInput &Input, const UpstreamTable &Table,
                       const Placement &Here, const ChoiceTuning &Tuning) {
  std::vector<Ranked> Order = candidates(Input, Table, Here, Tuning);
  // The key's order decides between equal loads.
  std::sort(Order.begin(), Order.end(), before);
  Choice Result;
  const Ranked *Best = nullptr;
  for (const Ranked &One : Order)
    if (!One.m_One->cold(Input.m_Now) &&
        (!Best || One.m_One->load(Input.m_Now, Tuning.m_Judgement) <
                      Best->m_One->load(Input.m_Now, Tuning.m_Judgement)))
      Best = &One;
  if (Best)
    return chosen(*Best, Input, Tuning);
  Result.m_Why = Order.empty() ? NoUpstream::Unknown : NoUpstream::Full;
  Result.m_ComeBack = 500ms;
  return Result;
}

} // namespace mustardspoke::steer
