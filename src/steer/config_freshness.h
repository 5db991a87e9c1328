/// \file
/// Whether the configuration that a VM holds may have been replaced without its
/// knowledge.
#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace mustardspoke::steer {

/// \brief Distinguishes a VM that follows the configuration from one that has
/// missed changes: it stood still, or peers report a newer version.
///
/// \details Does no input or output. A VM that is cut off from the store and
/// from its peers isn't in doubt: it can't tell that from an outage of the
/// store, in which nothing changes.
class ConfigFreshness {
public:
  /// Requests wait this long after a pause for a confirmation, which usually
  /// takes one call of the store.
  static constexpr Duration ConfirmationWait = 500ms;
  /// Heartbeats that are received later than this after a pause were sent after
  /// it.
  static constexpr Duration QueuedHeartbeatTime = 300ms;
  /// A version that a peer has is usually adopted within this time.
  static constexpr Duration MaxLag = 1s;

  /// \brief Notes that the process stood still until \p Now.
  void recordPause(TimePoint Now) noexcept { m_PausedUntil = Now; }
  /// \brief Notes that the store's newest configuration was read.
  /// \param RequestedAt When it was asked for. A pause since then may have
  /// delayed the answer.
  /// \param Own Version that this VM has now. An answer that is older than
  /// what peers have confirms nothing.
  void recordRead(TimePoint RequestedAt, std::uint64_t Own) noexcept {
    if (m_PausedUntil && RequestedAt >= *m_PausedUntil && Own >= m_Newest)
      m_PausedUntil.reset();
  }
  /// \brief Notes the version that a peer has.
  /// \param Reported 0 if the peer has none, or is in doubt itself.
  /// \param Own 0 if this VM has none.
  /// \returns Whether this VM has just fallen behind, or further behind.
  bool recordReport(std::uint64_t Reported, std::uint64_t Own,
                    TimePoint Now) noexcept {
    if (Own != m_OwnAtReport) {
      // It follows, though it has not caught up yet.
      m_OwnAtReport = Own;
      m_BehindSince = Now;
    }
    if (Reported != 0 && Reported == Own && Own >= m_Newest && m_PausedUntil &&
        Now - *m_PausedUntil >= QueuedHeartbeatTime)
      m_PausedUntil.reset();
    if (Reported <= Own || Reported <= m_Newest)
      return false;
    if (m_Newest <= Own)
      m_BehindSince = Now;
    m_Newest = Reported;
    return true;
  }

  /// \brief How long a peer has been known to have a newer version than \p Own;
  /// nothing if none is.
  [[nodiscard]] std::optional<Duration> lag(std::uint64_t Own,
                                            TimePoint Now) const noexcept {
    return m_Newest > Own ? std::optional<Duration>(Now - m_BehindSince)
                          : std::nullopt;
  }
  /// \brief Whether nothing has confirmed the configuration since a pause.
  [[nodiscard]] bool isUnconfirmed() const noexcept {
    return m_PausedUntil.has_value();
  }
  /// \brief Whether requests are to wait for a confirmation.
  [[nodiscard]] bool isAwaited(TimePoint Now) const noexcept {
    return m_PausedUntil && Now - *m_PausedUntil < ConfirmationWait;
  }
  /// \brief Whether what the configuration \p Own restricts may have changed.
  ///
  /// \details Requests that it doesn't restrict are served nevertheless, though
  /// a newer one may: else a VM that reaches neither store nor peers would
  /// refuse all of them.
  [[nodiscard]] bool isInDoubt(std::uint64_t Own,
                               TimePoint Now) const noexcept {
    return isUnconfirmed() || lag(Own, Now).value_or(Duration::zero()) > MaxLag;
  }

private:
  /// End of the last pause; none once a newer confirmation has arrived.
  std::optional<TimePoint> m_PausedUntil;
  std::uint64_t m_Newest = 0;      ///< Newest version that a peer has reported.
  std::uint64_t m_OwnAtReport = 0; ///< Own version at the last report.
  TimePoint m_BehindSince{}; ///< Valid while m_Newest is newer than the own.
};

} // namespace mustardspoke::steer
