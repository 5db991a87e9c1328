/// \file
/// State of a call in an entry VM, the wait queue and the retry budget.
#pragma once

#include "core/errors.h"
#include "core/tickets.h"
#include "core/upstreams.h"

#include <boost/intrusive/list.hpp>

#include <map>
#include <optional>
#include <vector>

namespace mustardspoke {

/// \brief A call as received by the entry VM.
struct CallRequest {
  ServiceName m_Service;
  TenantName m_Tenant;
  Duration m_Deadline{}; ///< Remaining time; zero: the service's default.
  std::optional<Ticket> m_Ticket;
  std::uint8_t m_Hops = 0; ///< Times that entry VMs have relayed the call.
};

enum class StepKind : std::uint8_t { Wait, Send, Relay, Replay, Answer };

/// \brief The next action that the caller of Node performs for a call.
struct CallStep {
  StepKind m_Kind = StepKind::Answer;
  TimePoint m_Deadline{};         ///< For Wait, Send and Relay.
  std::string m_Address;          ///< For Send (upstream) and Relay (entry VM).
  UpstreamName m_Upstream;        ///< For Send.
  bool m_FreshConnection = false; ///< For Send: don't reuse a pooled one.
  StoredAnswer m_StoredAnswer;    ///< For Replay.
  ErrorKind m_Error = ErrorKind::None; ///< For Answer.
  Outcome m_Outcome = Outcome::NotRun; ///< For Answer.
  Duration m_RetryAfter{};             ///< For Answer; zero: don't retry.
};

/// \brief Result of one attempt to send a call to an upstream.
enum class AttemptResult : std::uint8_t {
  Answered,     ///< The complete answer was passed to the caller.
  NotConnected, ///< Nothing was sent.
  Shed,         ///< The upstream reports that it didn't run the call.
  Lost,         ///< Sent, but no complete, usable answer arrived.
  TimedOut,     ///< The deadline passed after the call was sent.
  CallerGone    ///< The caller closed its connection.
};

/// \brief State of one call.
///
/// Invariants: m_Sent is set before the first byte of an attempt is sent;
/// m_MayHaveRun is set when a sent attempt ends without the upstream's
/// confirmation that the call wasn't run, and is never cleared.
class Call
    : public boost::intrusive_ref_counter<Call, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<> {
public:
  CallId m_Id{};
  CallRequest m_Request;
  TimePoint m_StartedAt{};
  TimePoint m_Deadline{};
  TimePoint m_AttemptStartedAt{};
  UpstreamRef m_Upstream;
  std::vector<LimitUse> m_LimitUses;
  std::vector<UpstreamName> m_TriedUpstreams;
  std::uint32_t m_Attempts = 0;
  bool m_Repeatable = false;
  bool m_Sent = false;        ///< Whether the current attempt was sent.
  bool m_MayHaveRun = false;  ///< An attempt may have run the call.
  bool m_IsQueued = false;    ///< Linked into the service's WaitQueue.
  bool m_HoldsTicket = false; ///< This VM has claimed the call's ticket.
};

using CallRef = boost::intrusive_ptr<Call>;

/// \brief Queue of one service's waiting calls, fair between tenants.
///
/// \details Round robin between tenants, first in first out within a tenant.
/// Node enforces the bound on the length.
/// Invariant: m_Size is the sum of the tenants' list lengths.
class WaitQueue {
public:
  using TenantQueue = boost::intrusive::list<Call>;

  ~WaitQueue();

  void push(Call &Waiting);
  void remove(Call &Waiting);

  /// \brief The oldest call of the next tenant, or null if empty.
  [[nodiscard]] Call *front();

  /// \brief Advances the round robin to the following tenant.
  void rotate();

  [[nodiscard]] std::size_t size() const noexcept { return m_Size; }
  [[nodiscard]] std::size_t tenantCount() const noexcept {
    return m_Tenants.size();
  }

  /// \brief Waiting calls whose deadline is at or before \p LatestStart.
  [[nodiscard]] std::vector<CallRef> overdue(TimePoint LatestStart);

private:
  std::map<TenantName, TenantQueue> m_Tenants;
  TenantName m_NextTenant;
  std::size_t m_Size = 0;
};

/// \brief Limits retries to a fraction of first attempts.
///
/// \details Every first attempt deposits a tenth of a retry; the balance is at
/// most ten retries.
class RetryBudget {
public:
  /// \brief Credits one first attempt.
  void deposit() noexcept;
  /// \brief Pays for one retry. \returns Whether the balance sufficed.
  [[nodiscard]] bool tryWithdraw() noexcept;

private:
  static constexpr std::uint32_t CostPerRetry = 10;
  static constexpr std::uint32_t MaxBalance = 10 * CostPerRetry;
  std::uint32_t m_Balance = MaxBalance;
};

/// \brief Decides whether a call may be retried at another upstream.
using RetryRule = bool (*)(const Call &Failed, AttemptResult Result,
                           RetryBudget &Budget);

/// \brief Retries, within the budget, unsent calls and repeatable sent calls.
[[nodiscard]] bool retryUnsentOrRepeatable(const Call &Failed,
                                           AttemptResult Result,
                                           RetryBudget &Budget);

} // namespace mustardspoke
