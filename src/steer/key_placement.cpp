/// \file
/// Memory of the upstreams that hold a key.
#include "steer/key_placement.h"

#include <algorithm>

namespace mustardspoke::steer {
namespace {

/// \brief Differs between the runs of an upstream, as a restarted one holds no
/// keys.
std::uint64_t runOf(const Upstream &Target) {
  constexpr std::uint64_t Odd = 0x9e3779b97f4a7c15ULL;
  return Target.m_IdHash ^
         (std::uint64_t(Target.m_Registration.m_StartedMs) * Odd);
}

} // namespace

Duration ProcessingTimes::coldPenalty() const noexcept {
  if (m_Held == Duration::zero() || m_Cold == Duration::zero())
    return Duration::zero();
  return std::max(m_Cold - m_Held, Duration::zero());
}

void ProcessingTimes::record(Duration Elapsed, bool IsHeld) noexcept {
  // Averages over about 20 answers of the service.
  constexpr double SampleWeight = 0.05;
  Duration &Mean = IsHeld ? m_Held : m_Cold;
  Mean = Mean == Duration::zero()
             ? Elapsed
             : Mean + Duration(std::int64_t(double((Elapsed - Mean).count()) *
                                            SampleWeight));
}

void KeyPlacement::recordSent(std::uint64_t KeyHash, const Upstream &Target,
                              TimePoint Now) {
  if (m_Slots.empty())
    m_Slots.resize(SlotCount);
  Slot &Entry = m_Slots[KeyHash % SlotCount];
  if (Entry.m_KeyHash != KeyHash)
    Entry = {KeyHash, {}};
  std::uint64_t Run = runOf(Target);
  auto Known = std::ranges::find(Entry.m_Holders, Run, &Holder::m_Run);
  if (Known == Entry.m_Holders.end())
    Known = std::ranges::min_element(Entry.m_Holders, {}, &Holder::m_SentAt);
  *Known = {Run, Now};
}

void KeyPlacement::recordRejected(std::uint64_t KeyHash,
                                  const Upstream &Target) {
  if (m_Slots.empty())
    return;
  Slot &Entry = m_Slots[KeyHash % SlotCount];
  if (Entry.m_KeyHash == KeyHash)
    for (Holder &Each : Entry.m_Holders)
      if (Each.m_Run == runOf(Target))
        Each = {};
}

bool KeyPlacement::isHeld(std::uint64_t KeyHash, const Upstream &Target,
                          TimePoint Now) const noexcept {
  if (m_Slots.empty())
    return false;
  const Slot &Entry = m_Slots[KeyHash % SlotCount];
  std::uint64_t Run = runOf(Target);
  return Entry.m_KeyHash == KeyHash &&
         std::ranges::any_of(Entry.m_Holders, [&](const Holder &Each) {
           return Each.m_Run == Run && Each.m_SentAt != TimePoint() &&
                  Now - Each.m_SentAt < HoldTime;
         });
}

} // namespace mustardspoke::steer
