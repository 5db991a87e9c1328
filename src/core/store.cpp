/// \file
/// Helper functions for store rows.
#include "core/store.h"

#include <algorithm>

namespace mustardspoke {

std::uint32_t LimitRow::totalHeld() const noexcept {
  std::uint32_t Sum = 0;
  for (const Holding &H : m_Holdings)
    Sum += H.total();
  return Sum;
}

Holding *LimitRow::find(const VmIncarnation &Holder) noexcept {
  auto At = std::ranges::find(m_Holdings, Holder, &Holding::m_Holder);
  return At == m_Holdings.end() ? nullptr : &*At;
}

const Holding *LimitRow::find(const VmIncarnation &Holder) const noexcept {
  auto At = std::ranges::find(m_Holdings, Holder, &Holding::m_Holder);
  return At == m_Holdings.end() ? nullptr : &*At;
}

std::string vmKey(const VmName &Vm) { return "vm/" + Vm.str(); }

std::string limitKey(const LimitName &Limit) { return "limit/" + Limit.str(); }

} // namespace mustardspoke
