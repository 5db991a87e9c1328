/// \file
/// Which upstreams hold a key, as far as this VM knows, and what a request
/// costs at one that holds its key and at one that doesn't.
#pragma once

#include "steer/upstream.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace mustardspoke::steer {

/// \brief Mean processing times of a service's requests.
struct ProcessingTimes {
  Duration m_Held{}; ///< At upstreams that hold the key; zero if unknown.
  Duration m_Cold{}; ///< At others; zero if unknown.

  void record(Duration Elapsed, bool IsHeld) noexcept;
};

/// \brief An affinity key within its service.
struct PlacementKey {
  std::uint64_t m_ServiceHash = 0;
  std::uint64_t m_KeyHash = 0;

  friend bool operator==(const PlacementKey &, const PlacementKey &) = default;
};
/// Of a request that needn't go where its key is held.
inline constexpr PlacementKey NoPlacementKey{};

/// \brief Remembers to which upstreams this VM has lately sent the requests of
/// each key, and counts the keys of each service.
///
/// \details An upstream keeps a limited number of keys, which it doesn't
/// report: a key counts as held for a short time after a request. The table has
/// a fixed size, and a newer key replaces an older one in its slot; a key that
/// is dropped is placed anew, which costs one request more time.
class KeyPlacement {
public:
  /// Within this time after a request, most upstreams still hold its key.
  static constexpr Duration HoldTime = 8s;
  /// Keys are counted over intervals of this length.
  static constexpr Duration CountInterval = 4s;

  /// \brief Notes that a request for a key is sent to \p Target.
  void recordSent(const PlacementKey &Key, const Upstream &Target,
                  TimePoint Now);
  /// \brief Notes that \p Target has rejected the request.
  void recordRejected(const PlacementKey &Key, const Upstream &Target);
  [[nodiscard]] bool isHeld(const PlacementKey &Key, const Upstream &Target,
                            TimePoint Now) const noexcept;
  /// \brief Number of the service's keys that were requested lately; none until
  /// they have been counted for one interval.
  [[nodiscard]] std::optional<unsigned>
  activeKeys(std::uint64_t ServiceHash) const noexcept;

private:
  static constexpr std::size_t SlotCount = 8192;
  /// Upstreams that are remembered for a key.
  static constexpr std::size_t MaxHolders = 3;

  struct Holder {
    std::uint64_t m_Run = 0;
    TimePoint m_SentAt{}; ///< Zero: not used.
  };
  struct Slot {
    PlacementKey m_Key;
    TimePoint m_LastSentAt{}; ///< To any upstream.
    std::array<Holder, MaxHolders> m_Holders;
  };
  /// Keys in the current interval, and in the one before it.
  struct KeyCount {
    TimePoint m_BeganAt{};
    unsigned m_Current = 0;
    std::optional<unsigned> m_Last;
  };

  static std::size_t slotOf(const PlacementKey &Key) noexcept;
  void countKey(const Slot &Entry, TimePoint Now);

  /// Allocated at the first use, as a VM without affinity routes needs none.
  std::vector<Slot> m_Slots;
  std::map<std::uint64_t, KeyCount> m_Counts; ///< By hash of the service.
};

} // namespace mustardspoke::steer
