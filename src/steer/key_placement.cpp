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

void ProcessingTimes::record(Duration Elapsed, bool IsHeld) noexcept {
  // Averages over about 20 answers of the service.
  constexpr double SampleWeight = 0.05;
  Duration &Mean = IsHeld ? m_Held : m_Cold;
  Mean = Mean == Duration::zero()
             ? Elapsed
             : Mean + Duration(std::int64_t(double((Elapsed - Mean).count()) *
                                            SampleWeight));
}

std::size_t KeyPlacement::slotOf(const PlacementKey &Key) noexcept {
  return (Key.m_KeyHash ^ Key.m_ServiceHash) % SlotCount;
}

void KeyPlacement::countKey(const Slot &Entry, TimePoint Now) {
  KeyCount &Count = m_Counts[Entry.m_Key.m_ServiceHash];
  if (Now - Count.m_BeganAt >= CountInterval) {
    if (Count.m_BeganAt != TimePoint())
      Count.m_Last = Count.m_Current;
    Count.m_Current = 0;
    Count.m_BeganAt = Now;
  }
  if (Entry.m_LastSentAt < Count.m_BeganAt)
    ++Count.m_Current;
}

void KeyPlacement::recordSent(const PlacementKey &Key, const Upstream &Target,
                              TimePoint Now) {
  if (Key == NoPlacementKey)
    return;
  if (m_Slots.empty())
    m_Slots.resize(SlotCount);
  Slot &Entry = m_Slots[slotOf(Key)];
  if (Entry.m_Key != Key)
    Entry = {Key, {}, {}};
  countKey(Entry, Now);
  Entry.m_LastSentAt = Now;
  std::uint64_t Run = runOf(Target);
  auto Known = std::ranges::find(Entry.m_Holders, Run, &Holder::m_Run);
  if (Known == Entry.m_Holders.end())
    Known = std::ranges::min_element(Entry.m_Holders, {}, &Holder::m_SentAt);
  *Known = {Run, Now};
}

void KeyPlacement::recordRejected(const PlacementKey &Key,
                                  const Upstream &Target) {
  if (m_Slots.empty() || Key == NoPlacementKey)
    return;
  Slot &Entry = m_Slots[slotOf(Key)];
  if (Entry.m_Key == Key)
    for (Holder &Each : Entry.m_Holders)
      if (Each.m_Run == runOf(Target))
        Each = {};
}

bool KeyPlacement::isHeld(const PlacementKey &Key, const Upstream &Target,
                          TimePoint Now) const noexcept {
  if (m_Slots.empty())
    return false;
  const Slot &Entry = m_Slots[slotOf(Key)];
  std::uint64_t Run = runOf(Target);
  return Entry.m_Key == Key &&
         std::ranges::any_of(Entry.m_Holders, [&](const Holder &Each) {
           return Each.m_Run == Run && Each.m_SentAt != TimePoint() &&
                  Now - Each.m_SentAt < HoldTime;
         });
}

std::optional<unsigned>
KeyPlacement::activeKeys(std::uint64_t ServiceHash) const noexcept {
  auto Found = m_Counts.find(ServiceHash);
  if (Found == m_Counts.end() || !Found->second.m_Last)
    return std::nullopt;
  return std::max(Found->second.m_Current, *Found->second.m_Last);
}

} // namespace mustardspoke::steer
