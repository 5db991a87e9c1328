/// \file
/// Whether this VM's own links to the upstreams work, by what its attempts and
/// probes show.
#pragma once

#include "steer/choice.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardspoke::steer {

/// \brief Condition of a VM's own links to all upstreams.
enum class LinkState : std::uint8_t {
  Up,
  NewLost, ///< Open connections work, new ones can't be opened.
  Lost,    ///< Nothing gets through.
};
/// \brief Name of \p State in log lines.
[[nodiscard]] std::string_view linkStateName(LinkState State);

struct LinkTuning {
  /// Without contact for this multiple of the mean time between two contacts, a
  /// waiting request is a reason to probe.
  double m_SilenceFactor = 6;
  Duration m_MinSilence = 200ms;
  Duration m_MaxSilence = 1s;
  /// The same after a failure.
  Duration m_SilenceAfterFailure = 50ms;
  /// Distinct upstreams that must refuse connections, or not answer, before the
  /// links are lost.
  unsigned m_MinUpstreams = 3;
  /// In so many failure domains, or in all there are, and in every region.
  unsigned m_MinDomains = 3;
  /// Of so many services, or of all there are: a service may be down, or full
  /// so that its upstreams reset new connections, as a whole.
  unsigned m_MinServices = 3;
  /// Failed openings since the last connection was opened that are a reason to
  /// probe although there is contact.
  unsigned m_OpenFailuresBeforeProbe = 2;
  /// A timer that is later than this shows that the process stood still.
  Duration m_MaxTimerDelay = 150ms;
};

/// \brief Where the upstreams are that may be probed, and whether there are
/// peers.
struct LinkScope {
  std::set<RegionName> m_Regions;
  std::set<FailureDomainName> m_Domains;
  std::set<ServiceName> m_Services;
  /// A peer that could relay is known. Unless it is reached while upstreams
  /// aren't, the fault is one of all of this VM's traffic.
  bool m_HasPeers = false;
};
[[nodiscard]] LinkScope linkScope(const UpstreamTable &Table, TimePoint Now);

/// \brief Collects the evidence. A failure at one upstream is no evidence
/// of lost links; connections that can't be opened anywhere do, as long as
/// nothing comes through.
///
/// \details *Contact* is bytes of a response, or a connection for a probe that
/// was accepted and stayed open. An accepted connection alone isn't: something
/// before the upstream may accept and reset it. Requests without an answer are
/// a reason to probe, and no more: upstreams may be slow, or reset connections.
class UpstreamLinks {
public:
  explicit UpstreamLinks(TimePoint StartedAt, LinkTuning Tuning = {})
      : m_Tuning(Tuning), m_ContactAt(StartedAt), m_OpenedAt(StartedAt),
        m_ValidSince(StartedAt), m_Silence(Tuning.m_MinSilence) {}

  /// \brief Bytes of a response were received.
  void recordAnswer(TimePoint Now);
  /// \brief A probe's connection was accepted and is still open.
  void recordProbe(TimePoint Now);
  /// \brief A request was sent over an own connection, and its answer is
  /// awaited until endWait().
  void beginWait(TimePoint Now);
  void endWait() noexcept { --m_Waiting; }
  /// \brief A connection for a request was opened.
  void recordOpened(TimePoint Now);
  /// \brief A connection could not be opened, for a request or a probe.
  /// \param Began When the opening began.
  void recordOpenFailure(const UpstreamRegistration &Target, TimePoint Began,
                         bool IsProbe = false);
  /// \brief A connection to a peer was opened.
  void recordPeerReached(TimePoint Now) noexcept { m_PeerReachedAt = Now; }
  /// \brief A request got no answer over an own connection.
  /// \param SentAt When it was sent.
  void recordLoss(TimePoint SentAt);
  /// \brief The process stood still until \p Now: what it waited for meanwhile
  /// is no evidence.
  void recordStall(TimePoint Now);

  /// \brief Whether probes are needed to tell lost links from failing or slow
  /// upstreams, or to notice their return.
  [[nodiscard]] bool isInDoubt(TimePoint Now) const;
  /// \brief Whether doubt may arise without a further event.
  [[nodiscard]] bool mayComeIntoDoubt() const noexcept {
    return m_Waiting > 0 || m_LostRequest || failureCount() > 0;
  }
  [[nodiscard]] LinkState state(const LinkScope &Scope) const;
  /// \brief Upstreams that are best probed next: \p Count ones where no failure
  /// is known, those of regions, services and failure domains without one
  /// first.
  /// \param Round Selects among equals.
  [[nodiscard]] std::vector<UpstreamPtr>
  probeTargets(const UpstreamTable &Table, const Placement &Local,
               std::size_t Count, std::uint64_t Round, TimePoint Now) const;

  /// \brief The last contact, or the start if there was none yet.
  [[nodiscard]] TimePoint contactAt() const noexcept { return m_ContactAt; }
  [[nodiscard]] bool hadContact() const noexcept { return m_HadContact; }
  /// \brief Number of upstreams to which no connection could be opened, since
  /// the last contact or since one was opened.
  [[nodiscard]] std::size_t failureCount() const noexcept {
    return std::max(m_FailedSinceContact.m_Upstreams.size(),
                    m_FailedSinceOpened.m_Upstreams.size());
  }
  [[nodiscard]] const LinkTuning &tuning() const noexcept { return m_Tuning; }

private:
  /// \brief Where openings have failed.
  struct Failures {
    std::set<std::string> m_Upstreams; ///< Identifiers.
    std::set<FailureDomainName> m_Domains;
    std::set<RegionName> m_Regions;
    std::set<ServiceName> m_Services;
    TimePoint m_FirstBegan{}; ///< Begin of the first opening that failed.

    void add(const UpstreamRegistration &Target, TimePoint Began);
    [[nodiscard]] bool cover(const LinkScope &Scope,
                             const LinkTuning &Tuning) const;
  };

  void recordContact(TimePoint Now);

  LinkTuning m_Tuning;
  TimePoint m_ContactAt; ///< Last contact, or the start.
  bool m_HadContact = false;
  TimePoint m_OpenedAt;        ///< Last connection opened, or the start.
  TimePoint m_PeerReachedAt{}; ///< Last connection to a peer opened.
  /// Attempts that began earlier are no evidence.
  TimePoint m_ValidSince;
  // Connections that couldn't be opened.
  Failures m_FailedSinceContact;
  Failures m_FailedSinceOpened;
  /// Of these, the probes. Requests go where their keys are held, also if those
  /// upstreams have ended; while others are reached over open connections, few
  /// new ones are opened.
  Failures m_FailedProbes;
  bool m_LostRequest = false; ///< A request was lost since the last contact.
  unsigned m_Waiting = 0;     ///< Requests sent whose answers are awaited.
  /// First request sent since m_ContactAt.
  std::optional<TimePoint> m_SentAt;
  Duration m_Silence;   ///< See LinkTuning::m_SilenceFactor.
  double m_MeanGap = 0; ///< Between answers, in microseconds.
  std::optional<TimePoint> m_AnswerAt;
};

} // namespace mustardspoke::steer
