/// \file
/// Which upstreams hold a key, as far as this VM knows, and what a request
/// costs at one that holds its key and at one that doesn't.
#pragma once

#include "steer/upstream.h"

#include <array>
#include <cstdint>
#include <vector>

namespace mustardspoke::steer {

/// \brief Mean processing times of a service's requests.
struct ProcessingTimes {
  Duration m_Held{}; ///< At upstreams that hold the key; zero if unknown.
  Duration m_Cold{}; ///< At others; zero if unknown.

  /// \brief Additional time at an upstream that doesn't hold the key; zero
  /// until both times are known.
  [[nodiscard]] Duration coldPenalty() const noexcept;
  void record(Duration Elapsed, bool IsHeld) noexcept;
};

/// \brief Remembers to which upstreams this VM has lately sent the requests of
/// each key.
///
/// \details An upstream keeps a limited number of keys, which it doesn't tell:
/// a key counts as held for a short time after a request. The table has a fixed
/// size, and a newer key replaces an older one in its slot; a key that is
/// forgotten is placed anew, which costs one request more time.
class KeyPlacement {
public:
  /// Within this time after a request, most upstreams still hold its key.
  static constexpr Duration HoldTime = 8s;

  /// \brief Notes that a request for a key is sent to \p Target.
  void recordSent(std::uint64_t KeyHash, const Upstream &Target, TimePoint Now);
  /// \brief Notes that \p Target has rejected the request.
  void recordRejected(std::uint64_t KeyHash, const Upstream &Target);
  [[nodiscard]] bool isHeld(std::uint64_t KeyHash, const Upstream &Target,
                            TimePoint Now) const noexcept;

private:
  static constexpr std::size_t SlotCount = 8192;
  /// Upstreams that are remembered for a key.
  static constexpr std::size_t MaxHolders = 3;

  struct Holder {
    std::uint64_t m_Run = 0;
    TimePoint m_SentAt{}; ///< Zero: not used.
  };
  struct Slot {
    std::uint64_t m_KeyHash = 0;
    std::array<Holder, MaxHolders> m_Holders;
  };

  /// Allocated at the first use, as a VM without affinity routes needs none.
  std::vector<Slot> m_Slots;
};

} // namespace mustardspoke::steer
