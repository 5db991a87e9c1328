/// \file
/// What an entry VM believes of one upstream.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace mustardspoke::steer {

/// \brief An upstream as it registered itself.
struct UpstreamFacts {
  std::string m_Id; ///< Names one run of the upstream, or several in a row.
  ServiceName m_Service;
  std::string m_Address; ///< "IP:port".
  FailureDomainName m_Domain;
  RegionName m_Region;
  unsigned m_Slots = 1;      ///< Requests that it works on at once.
  bool m_Leaving = false;    ///< Announced its end; takes no new request.
  Duration m_ColdFor{};      ///< Left of its warm-up when it registered.
  std::int64_t m_BornMs = 0; ///< Unix time of its start; 0 if unknown.

  friend bool operator==(const UpstreamFacts &,
                         const UpstreamFacts &) = default;
};

/// \brief Load that an upstream states in an answer.
struct LoadReport {
  unsigned m_Running = 0;
  unsigned m_Waiting = 0;
  unsigned m_Slots = 0;
};

/// \brief Constants for judging one upstream.
struct UpstreamJudgement {
  /// Reports older than this say nothing; loads turn over in half a second.
  Duration m_ReportLife = 400ms;
  /// Weight of a new sample in the running means.
  double m_Blend = 0.15;
  /// A sample counts at most so many times the mean: work on a key that the
  /// upstream had not seen takes several times as long.
  double m_MostSample = 1.6;
  /// An upstream whose mean work takes so many times its service's is slow.
  double m_SlowFactor = 2.5;
  unsigned m_SlowSamples = 4; ///< Needed before the mean is trusted.
  /// Failures in a row that eject an upstream.
  unsigned m_EjectAfter = 2;
  Duration m_EjectFor = 700ms; ///< First ejection; doubles up to the most.
  Duration m_EjectMost = 5600ms;
  /// A share of failed requests above this also ejects.
  double m_EjectShare = 0.4;
};

/// \brief Belief about one upstream; shared by the table and its exchanges.
class Upstream
    : public boost::intrusive_ref_counter<Upstream,
                                          boost::thread_unsafe_counter> {
public:
  explicit Upstream(UpstreamFacts From) : m_Facts(std::move(From)) {}

  UpstreamFacts m_Facts;
  std::uint64_t m_Hash = 0; ///< Of the identifier; equal on all VMs.

  bool m_Listed = true;       ///< Registered now; false after removal.
  bool m_SaidLeaving = false; ///< Its own answer said so; never taken back.
  TimePoint m_ColdUntil{};

  unsigned m_InFlight = 0; ///< Sent by this VM and not yet answered.
  double m_PeersBusy = 0;  ///< Sum of busyHere() of all other VMs.

  /// \brief Notes a report that came with an answer.
  void report(const LoadReport &Load, TimePoint Now);
  /// \brief Notes a complete answer.
  /// \param LoadBefore Estimated load when it was sent; what it waited for.
  /// \returns The work on it by estimate, without wait and way.
  Duration succeeded(TimePoint Now, Duration Took, double LoadBefore,
                     const UpstreamJudgement &By);
  /// \brief Notes a failure that is the upstream's own.
  /// \param AnswersOthers It has answered requests meanwhile, so that it is
  /// not gone: ejected only if it fails a large share of them.
  /// \returns Whether it is ejected by this.
  bool failed(TimePoint Now, const UpstreamJudgement &By,
              bool AnswersOthers = false);
  /// \brief Whether it has answered any request since \p When.
  [[nodiscard]] bool answeredSince(TimePoint When) const noexcept {
    return m_LastAnswerAt >= When;
  }

  /// \brief Notes how long a new connection took: one round trip.
  void connected(Duration Took) noexcept;
  [[nodiscard]] Duration path() const noexcept { return m_Path; }
  /// \brief Mean work on a request, without the way there and back.
  [[nodiscard]] Duration meanWork() const noexcept;

  /// \brief Own requests in flight that are at the upstream, not on the way.
  [[nodiscard]] double busyHere() const noexcept;
  /// \brief Requests that it works on or holds waiting, best estimate.
  [[nodiscard]] double load(TimePoint Now,
                            const UpstreamJudgement &By) const noexcept;
  [[nodiscard]] bool cold(TimePoint Now) const noexcept {
    return Now < m_ColdUntil;
  }
  [[nodiscard]] bool ejected(TimePoint Now) const noexcept {
    return Now < m_EjectedUntil;
  }
  /// \brief May get new work, apart from ejection and load.
  [[nodiscard]] bool usable() const noexcept {
    return m_Listed && !m_SaidLeaving && !m_Facts.m_Leaving;
  }
  /// \brief Mean time to an answer without waiting there; zero before the
  /// first.
  [[nodiscard]] Duration meanLatency() const noexcept { return m_MeanLatency; }
  [[nodiscard]] unsigned samples() const noexcept { return m_Samples; }
  /// \brief Forgets what was measured of an earlier run under the same name.
  void bornAgain();

  // Rate of requests while it is cold, as a bucket of at most one request.
  double m_ColdTokens = 1;
  TimePoint m_ColdFilledAt{};

private:
  LoadReport m_Load;
  std::optional<TimePoint> m_LoadAt; ///< None before the first report.
  unsigned m_SentSince = 0;          ///< Own in-flight count at the report.
  Duration m_MeanLatency{};
  Duration m_Path{}; ///< Shortest round trip seen; zero before the first.
  unsigned m_Samples = 0;
  TimePoint m_LastAnswerAt{};
  unsigned m_FailuresInRow = 0;
  double m_FailedShare = 0; ///< Running mean, 0 to 1.
  TimePoint m_EjectedUntil{};
  Duration m_LastEjection{};
};

using UpstreamPtr = boost::intrusive_ptr<Upstream>;

} // namespace mustardspoke::steer
