/// \file
/// What callers and upstreams saw, and the invariants judged by it.
#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardspoke::soak {

/// \brief One time that an upstream began to work on a request.
struct Run {
  TimePoint m_At{};
  std::string m_Service;
  std::string m_Upstream;
};

/// \brief How a caller's attempt ended.
enum class Ending : std::uint8_t {
  Open,     ///< Still waiting.
  Answered, ///< A whole answer with a status came.
  Cut,      ///< The connection ended without one.
  Unread,   ///< Sent behind an answer that closed the connection.
  Left,     ///< The caller closed the connection before the answer.
};

/// \brief One attempt of a caller, with its own identifier.
struct Attempt {
  std::string m_Id;
  bool m_Repeatable = true;
  unsigned m_Vm = 0;
  TimePoint m_SentAt{};
  Duration m_IdleBefore{}; ///< Of its connection; zero on a new one.
  TimePoint m_EndedAt{};
  Ending m_Ending = Ending::Open;
  unsigned m_Status = 0;
  std::string m_Body;
};

/// \brief A span in which something was harmed, and what.
struct Harm {
  TimePoint m_From{};
  TimePoint m_To = TimePoint::max(); ///< Not over yet.
};

/// \brief What is known of one VM's process.
struct VmHistory {
  std::vector<Harm> m_Paused;
  std::vector<TimePoint> m_Killed;
  std::vector<TimePoint> m_Stopped; ///< When the stop signal was sent.
  std::vector<TimePoint> m_Started;
  std::vector<TimePoint> m_Ended; ///< When its end was seen.
};

/// \brief A change by the operator or an upstream that must be in force within
/// a bound.
struct Order {
  enum class Kind : std::uint8_t { Leaving, Evacuated, Edition };
  Kind m_Kind = Kind::Leaving;
  std::string m_What; ///< The upstream, or the service of the older edition.
  TimePoint m_At{};
  TimePoint m_Until = TimePoint::max(); ///< Taken back, or overtaken.
};

/// \brief Times within which an invariant holds.
struct Bounds {
  Duration m_Leaving = 2s; ///< Bound of the strictest deployment.
  Duration m_Evacuation = 5s;
  Duration m_Configuration = 6s; ///< docs/CAPACITY.md.
  /// An answer after its route's timeout; generous, as the machine may be busy.
  Duration m_Answer = 10s;
  /// After the end of a disruption until bounds hold again.
  Duration m_Contact = 4s;
  bool m_Timed = false; ///< Whether bounds of time are judged at all.
  double m_RetryRatio = 0.2;
  double m_RetrySlack = 50;
  Duration m_RetryWindow = 10s;
};

/// \brief Everything observed in one run of the soak.
class Ledger {
public:
  std::map<std::string, std::vector<Run>> m_Runs; ///< By request.
  std::vector<Attempt> m_Attempts;
  std::vector<VmHistory> m_Vms;
  std::vector<Harm> m_StoreHarms; ///< The store or any way to it.
  std::vector<Harm> m_LinkHarms;  ///< Ways to upstreams.
  std::vector<Order> m_Orders;
  std::vector<std::string> m_Violations; ///< Found while running.

  /// \brief Judges everything. \returns A line for each violation.
  [[nodiscard]] std::vector<std::string> judge(const Bounds &By) const;

private:
  using Lines = std::vector<std::string>;
  void judgeAttempt(const Attempt &One, const Bounds &By, Lines &Into) const;
  void judgeCut(const Attempt &One, Lines &Into) const;
  void judgeOrders(const Bounds &By, Lines &Into) const;
  void judgeRetries(const Bounds &By, Lines &Into) const;
  void judgeEditions(Lines &Into) const;
  [[nodiscard]] unsigned runsOf(const std::string &Id) const;
  [[nodiscard]] bool calm(TimePoint From, TimePoint To) const;
};

} // namespace mustardspoke::soak
