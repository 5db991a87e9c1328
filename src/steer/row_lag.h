/// \file
/// When a VM takes rows from a peer.
#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace mustardspoke::steer {

/// \brief Distinguishes a replica that lags behind its peers from one that is
/// about to receive a change itself.
class RowLag {
public:
  /// A reader of the store hears of a change this soon after its peers: a round
  /// trip on the longest path, and the delay between two feed calls.
  static constexpr Duration ReaderDelay = 500ms;

  /// \param Own Synced versions of the tables; \p Peers, those of a peer.
  /// \param IsReader This VM reads the store itself.
  /// \returns Whether the peer's rows are to be fetched.
  [[nodiscard]] bool mustFetch(std::span<const std::uint64_t> Own,
                               std::span<const std::uint64_t> Peers,
                               bool IsReader, TimePoint Now) {
    bool IsBehind = false;
    for (std::size_t I = 0; I < Own.size() && I < Peers.size(); ++I)
      IsBehind = IsBehind || Peers[I] > Own[I];
    if (!IsBehind || !IsReader)
      return IsBehind;
    if (!std::equal(Own.begin(), Own.end(), m_Own.begin(), m_Own.end())) {
      m_Own.assign(Own.begin(), Own.end());
      m_BehindSince = Now;
    }
    return Now - m_BehindSince >= ReaderDelay;
  }

private:
  std::vector<std::uint64_t> m_Own; ///< When it fell behind.
  TimePoint m_BehindSince{};
};

} // namespace mustardspoke::steer
