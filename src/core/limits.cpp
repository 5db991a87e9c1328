/// \file
/// Acquiring and releasing units of limits.
#include "core/limits.h"

#include <algorithm>

namespace mustardspoke {

std::uint32_t LimitEntry::requestedUnits() const noexcept {
  std::uint32_t Refused = std::min(m_RefusedUnits, m_PeakUsed + 1);
  std::uint32_t Demand = m_PeakUsed + Refused;
  if (Demand == 0)
    return 0;
  return std::min(Demand + std::max(1U, Demand / 4), m_Limit.m_Capacity);
}

void LimitTable::applyBundle(const Bundle &Config) {
  std::map<LimitName, LimitRef> Next;
  for (Limit &L : limitsOf(Config)) {
    LimitRef Entry = find(L.m_Name);
    if (!Entry)
      Entry = new LimitEntry;
    Entry->m_Limit = L;
    Next.emplace(L.m_Name, std::move(Entry));
  }
  m_Entries = std::move(Next);
}

LimitRef LimitTable::find(const LimitName &Wanted) const {
  auto At = m_Entries.find(Wanted);
  return At == m_Entries.end() ? nullptr : At->second;
}

std::uint32_t LimitTable::leased(const LimitEntry &Entry,
                                 TimePoint Now) const noexcept {
  std::uint64_t Units = 0;
  if (m_Rule(m_Leases.m_FloorExpiry, Now))
    Units += Entry.m_Floor;
  if (m_Rule(m_Leases.m_SurplusExpiry, Now))
    Units += Entry.m_Surplus;
  // A lowered capacity applies at once: every VM scales its units down by the
  // same ratio.
  std::uint64_t Capacity = Entry.m_Limit.m_Capacity;
  if (Entry.m_TotalHeld > Capacity)
    Units = Units * Capacity / Entry.m_TotalHeld;
  return std::uint32_t(std::min(Units, Capacity));
}

std::uint32_t LimitTable::usable(const LimitEntry &Entry,
                                 TimePoint Now) const noexcept {
  return std::min(leased(Entry, Now), Entry.m_UsageCap);
}

std::uint32_t LimitTable::headroom(const LimitEntry &Entry,
                                   TimePoint Now) const noexcept {
  std::uint32_t Units = usable(Entry, Now);
  return Units > Entry.m_Used ? Units - Entry.m_Used : 0;
}

bool LimitTable::acquire(std::span<const LimitUse> Uses, TimePoint Now) {
  for (const LimitUse &Use : Uses) {
    if (headroom(*Use.m_Entry, Now) < Use.m_Units) {
      Use.m_Entry->m_RefusedUnits += Use.m_Units;
      return false;
    }
  }
  for (const LimitUse &Use : Uses) {
    LimitEntry &Entry = *Use.m_Entry;
    Entry.m_Used += Use.m_Units;
    Entry.m_PeakUsed = std::max(Entry.m_PeakUsed, Entry.m_Used);
  }
  return true;
}

void LimitTable::release(std::span<const LimitUse> Uses) noexcept {
  for (const LimitUse &Use : Uses)
    Use.m_Entry->m_Used -= Use.m_Units;
}

bool LimitTable::leasesCover(std::span<const LimitUse> Uses,
                             TimePoint Now) const noexcept {
  return std::ranges::all_of(Uses, [&](const LimitUse &Use) {
    return Use.m_Entry->m_Used <= leased(*Use.m_Entry, Now);
  });
}

void LimitTable::decayDemand() noexcept {
  for (auto &[Name, Entry] : m_Entries) {
    std::uint32_t Step = std::max(1U, Entry->m_PeakUsed / 8);
    std::uint32_t Lower =
        Entry->m_PeakUsed > Step ? Entry->m_PeakUsed - Step : 0;
    Entry->m_PeakUsed = std::max(Lower, Entry->m_Used);
    Entry->m_RefusedUnits /= 2;
  }
}

} // namespace mustardspoke
