/// \file
/// Observations of callers and upstreams, and the invariants checked on them.
#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardspoke::soak {

/// \brief One execution of a request by an upstream.
struct Execution {
  TimePoint m_StartedAt{};
  std::string m_Service;
  std::string m_Upstream;
  std::string m_Customer;       ///< As the VM named it; empty: none.
  bool m_SawKey = false;        ///< It got the caller's key.
  std::uint64_t m_BodyHash = 0; ///< Of the request.
  std::string m_Region;         ///< Of the upstream.
};

/// \brief The time for which the configuration in the store binds the requests
/// of the route "home" to a region.
struct HomePeriod {
  std::string m_Region;
  TimePoint m_From{};
  TimePoint m_Until = TimePoint::max(); ///< max(): it still does.
};

/// Part of every key that callers send, also of unknown ones. It must not
/// appear in what upstreams get, nor in logs.
inline constexpr const char *KeyMarker = "soakkey-";

/// \brief The time for which a configuration in the store lists a key.
struct KeyPeriod {
  std::string m_Key;
  std::string m_Customer;
  TimePoint m_From{};
  TimePoint m_Until = TimePoint::max(); ///< max(): it is still listed.
};

/// \brief The limit on a customer's requests that the configuration has.
struct QuotaLimit {
  std::string m_Customer;
  double m_RequestsPerSecond = 0;
  double m_Burst = 0;
};

/// \brief How a caller's attempt ended.
enum class AttemptOutcome : std::uint8_t {
  Pending,        ///< Not ended yet.
  Answered,       ///< A complete answer was received.
  ConnectionLost, ///< The connection ended without an answer.
  SentAfterClose, ///< Pipelined after a request whose answer closed the
                  ///< connection.
  Abandoned,      ///< The caller closed the connection before the answer.
};

/// \brief One request sent by a caller, with a unique identifier.
struct Attempt {
  std::string m_Id;
  bool m_Idempotent = true;
  unsigned m_Vm = 0;
  TimePoint m_SentAt{};
  Duration m_IdleTime{}; ///< Idle time of its connection before it; zero on a
                         ///< new one.
  TimePoint m_EndedAt{};
  AttemptOutcome m_Outcome = AttemptOutcome::Pending;
  unsigned m_Status = 0;
  std::string m_Body;
  std::string m_Key;            ///< That it carries; empty: none, or malformed.
  bool m_IsPublic = false;      ///< Its route needs no key.
  bool m_IsBound = false;       ///< Its route has a home.
  std::uint64_t m_BodyHash = 0; ///< Of the request; 0: not known.
};

/// \brief A time span in which something was disturbed.
struct Disruption {
  TimePoint m_Begin{};
  TimePoint m_End = TimePoint::max(); ///< max(): not over yet.
};

/// \brief Events of one VM's process.
struct VmHistory {
  std::string m_Region;
  std::vector<Disruption> m_Paused;
  std::vector<Disruption> m_Cut;      ///< From all upstreams.
  std::vector<Disruption> m_StoreCut; ///< From the store.
  std::vector<TimePoint> m_Killed;
  std::vector<TimePoint> m_Stopped; ///< When the stop signal was sent.
  std::vector<TimePoint> m_Started;
  std::vector<TimePoint> m_Ended; ///< When its end was noticed.
};

/// \brief A change by the operator or an upstream after which a target must not
/// receive requests any more. It must take effect within a time limit.
struct Withdrawal {
  enum class Kind : std::uint8_t { Leaving, Evacuated, Edition };
  Kind m_Kind = Kind::Leaving;
  /// The upstream, or the service of the superseded edition.
  std::string m_Target;
  TimePoint m_At{};
  TimePoint m_RevokedAt = TimePoint::max(); ///< When it was undone.
};

/// \brief Limits that the invariants use.
struct InvariantLimits {
  Duration m_LeavingDelay = 2s; ///< Limit of the strictest deployment.
  Duration m_EvacuationDelay = 5s;
  Duration m_ConfigurationDelay = 6s; ///< docs/CAPACITY.md.
  /// Until a request is answered, including its route's timeout; generous, as
  /// the machine may be busy.
  Duration m_AnswerDelay = 10s;
  /// From the answer to a request, or its caller's end, until an upstream may
  /// still begin to run it, as it may be on its way.
  Duration m_LateRunDelay = 500ms;
  /// After the end of a disruption until the limits hold again.
  Duration m_SettleTime = 4s;
  /// Whether the limits of withdrawals and of late runs are checked.
  bool m_CheckTiming = false;
  bool m_CheckLateRuns = false; ///< Late runs only.
  /// Sends of a request that has ended three upstreams, later than
  /// m_SettleTime after the third.
  unsigned m_CrashRetries = 3;
  /// A VM that is cut off from all upstreams serves its callers at least this
  /// fraction as often as the others, from m_SettleTime on ...
  double m_CutServedFraction = 2.0 / 3;
  /// ... or no more than this many, and this part of all, fail there.
  double m_CutFailures = 10;
  double m_CutFailureFraction = 1.0 / 50;
  /// From the write of a configuration until no VM uses a key any more that it
  /// doesn't list, nor a home that it doesn't name.
  Duration m_KeyDelay = 4s;
  /// A VM that was disturbed in this time, in addition to m_KeyDelay, may not
  /// know the newest configuration yet.
  Duration m_KeySettleTime = 1s;
  /// A VM notices that it stood still for longer than this.
  Duration m_MinPause = 2500ms;
  bool m_CheckQuota = false;
  Duration m_QuotaWindow = 5s;
  double m_QuotaTolerance = 1.1; ///< Factor on what the quota allows ...
  double m_QuotaSlack = 20;      ///< ... and requests beyond that.
  double m_RetryRatio = 0.2;
  double m_RetrySlack = 50;
  Duration m_RetryWindow = 10s;
};

[[nodiscard]] bool overlaps(const std::vector<Disruption> &Disruptions,
                            TimePoint From, TimePoint To);
[[nodiscard]] bool anyWithin(const std::vector<TimePoint> &Times,
                             TimePoint From, TimePoint To);
/// \brief A message on a violation by \p Entry.
[[nodiscard]] std::string message(const Attempt &Entry,
                                  const std::string &Text);

/// \brief Everything observed in one run of the soak.
class Observations {
public:
  /// By request identifier.
  std::map<std::string, std::vector<Execution>> m_Executions;
  /// Requests that upstreams got and turned away, by identifier.
  std::map<std::string, std::vector<Execution>> m_TurnedAway;
  std::vector<Attempt> m_Attempts;
  std::vector<VmHistory> m_Vms;
  /// Of the store or any connection to it.
  std::vector<Disruption> m_StoreDisruptions;
  std::vector<Disruption> m_LinkDisruptions; ///< Of connections to upstreams.
  std::vector<Withdrawal> m_Withdrawals;
  /// Of all keys; empty if the configuration has no customers.
  std::vector<KeyPeriod> m_KeyPeriods;
  std::vector<QuotaLimit> m_Quotas;
  std::vector<HomePeriod> m_Homes; ///< In the order of time.
  /// Ends of upstreams under the crashing request, and its sends.
  std::vector<TimePoint> m_CrashedByRequest;
  std::vector<std::string> m_Violations; ///< Found during the run.

  /// \brief Checks all invariants. \returns A message for each violation.
  [[nodiscard]] std::vector<std::string>
  findViolations(const InvariantLimits &Limits) const;

private:
  using Messages = std::vector<std::string>;
  void checkAttempt(const Attempt &Entry, const InvariantLimits &Limits,
                    Messages &Violations) const;
  void checkConnectionLoss(const Attempt &Entry, Messages &Violations) const;
  void checkWithdrawals(const InvariantLimits &Limits,
                        Messages &Violations) const;
  void checkLateRuns(const InvariantLimits &Limits, Messages &Violations) const;
  void checkRetries(const InvariantLimits &Limits, Messages &Violations) const;
  void checkEditions(Messages &Violations) const;
  void checkCrashingRequest(const InvariantLimits &Limits,
                            Messages &Violations) const;
  void checkCuts(const InvariantLimits &Limits, Messages &Violations) const;
  void checkCustomers(const InvariantLimits &Limits,
                      Messages &Violations) const;
  void checkKeyRefusal(const Attempt &Entry, const InvariantLimits &Limits,
                       Messages &Violations) const;
  void checkCustomer(const Attempt &Entry, const Execution &Arrival,
                     const InvariantLimits &Limits, Messages &Violations) const;
  /// \brief Requests that are bound to a region run nowhere else, m_KeyDelay
  /// after a change; after a pause of their VM at once.
  void checkHomes(const InvariantLimits &Limits, Messages &Violations) const;
  void checkQuotas(const InvariantLimits &Limits, Messages &Violations) const;
  /// \brief Whether a VM must know the configurations that were written
  /// m_KeyDelay before any time from \p From to \p To.
  [[nodiscard]] bool hasCurrentKeys(unsigned Vm, TimePoint From, TimePoint To,
                                    const InvariantLimits &Limits) const;
  /// \brief The same if a pause of the process is no excuse.
  [[nodiscard]] bool mayLearnOfChanges(unsigned Vm, TimePoint From,
                                       TimePoint To,
                                       const InvariantLimits &Limits) const;
  /// \brief Whether the process of a VM has been running undisturbed for the
  /// settle time before \p At, except for cuts.
  [[nodiscard]] static bool isInTouch(const VmHistory &Vm, TimePoint At,
                                      const InvariantLimits &Limits);
  /// \brief Whether an undisturbed VM had its links all the time.
  [[nodiscard]] bool anyHasLinks(const Attempt &During,
                                 const InvariantLimits &Limits) const;
  [[nodiscard]] unsigned executionCount(const std::string &Id) const;
  [[nodiscard]] bool isUndisturbed(TimePoint From, TimePoint To) const;
};

} // namespace mustardspoke::soak
