/// \file
/// Rates that an upstream tolerates from all entry VMs together: what it said
/// of them, this VM's part, and when refused callers may return.
#pragma once

#include "core/time.h"

#include <algorithm>
#include <optional>

namespace mustardspoke::steer {

/// \brief Token bucket for one VM's part of a rate.
class TokenBucket {
public:
  /// \param Tokens At \p Now.
  explicit TokenBucket(double Tokens = 0, TimePoint Now = {})
      : m_Tokens(Tokens), m_UpdatedAt(Now) {}

  /// \brief Adds the tokens of the time that has passed.
  /// \param Rate Tokens per second.
  /// \param Burst The bucket holds at most this many.
  void refill(TimePoint Now, double Rate, double Burst);
  [[nodiscard]] bool hasToken() const noexcept { return m_Tokens >= 1; }
  /// \returns Whether there was a token.
  bool take() noexcept;
  /// \brief Takes tokens that were used elsewhere or without asking; the bucket
  /// may fall below empty, down to \p Floor.
  void charge(double Tokens, double Floor) noexcept {
    m_Tokens = std::max(std::min(m_Tokens, Floor), m_Tokens - Tokens);
  }
  [[nodiscard]] double tokens() const noexcept { return m_Tokens; }

  friend bool operator==(const TokenBucket &, const TokenBucket &) = default;

private:
  double m_Tokens;
  TimePoint m_UpdatedAt;
};

/// \brief What an upstream last said of its rate limit, in an answer to this VM
/// or to a peer.
struct StatedLimit {
  /// Requests per second from all VMs; none if the answer named no limit.
  std::optional<double> m_Rate;
  /// When the answered request was sent. Answers may arrive in another order
  /// than that in which the upstream wrote them; a later request was answered
  /// with newer knowledge.
  TimePoint m_At{};

  friend bool operator==(const StatedLimit &, const StatedLimit &) = default;
};

/// \brief Effect of a statement on what was known.
enum class LimitChange : std::uint8_t { None, Named, Changed, Ended };

/// \brief Rate limit of one upstream, as this VM knows it, and this VM's
/// tokens.
class RateLimit {
public:
  /// Not believed without any newer statement for this long.
  static constexpr Duration MaxAge = 60s;
  /// Lower limits are used as this one, in requests per second: without any
  /// request, the end of the limit would remain unknown.
  static constexpr double MinRate = 0.5;

  /// \brief Applies a statement unless a newer one is known, or it says nothing
  /// new: that there is still no limit.
  LimitChange apply(const StatedLimit &Statement);
  [[nodiscard]] bool isSet(TimePoint Now) const noexcept {
    return m_Stated.m_Rate && Now - m_Stated.m_At < MaxAge;
  }
  [[nodiscard]] const StatedLimit &stated() const noexcept { return m_Stated; }
  /// \brief The rate that all VMs together may use; a limit must be set.
  [[nodiscard]] double usableRate() const noexcept {
    return std::max(*m_Stated.m_Rate, MinRate);
  }
  /// \brief How many VMs may send, so that each may send at least one request
  /// per second: the tokens that more of them save up could exceed a low limit.
  [[nodiscard]] unsigned maxSenders() const noexcept;

  /// \brief Whether this VM may send a request now.
  /// \param Fraction This VM's part of the limit.
  [[nodiscard]] bool permits(TimePoint Now, double Fraction);
  /// \brief Counts a request that is sent; permits() must have held.
  void recordRequest() { m_Tokens.take(); }

  friend bool operator==(const RateLimit &, const RateLimit &) = default;

private:
  /// Tokens for this time may be saved up.
  static constexpr double BurstSeconds = 0.25;

  StatedLimit m_Stated;
  TokenBucket m_Tokens; ///< Empty when a limit is named first.
};

/// \brief Times at which refused callers may return: one after the other, at
/// the rate at which their requests can be sent.
class ReturnSchedule {
public:
  /// \param Rate Requests per second that can be sent; 0 if it isn't known.
  /// \returns The delay for the next refused caller.
  [[nodiscard]] Duration reserve(TimePoint Now, double Rate);

  friend bool operator==(const ReturnSchedule &,
                         const ReturnSchedule &) = default;

private:
  static constexpr Duration UnknownDelay = 1s;
  static constexpr Duration MaxDelay = 10s;

  TimePoint m_LastReturn{};
};

} // namespace mustardspoke::steer
