/// \file
/// Requests under which upstreams ended: what the fleet knows of each, and
/// whether it may be sent once more.
#pragma once

#include "steer/upstream.h"

#include <array>
#include <map>
#include <span>
#include <vector>

namespace mustardspoke::steer {

/// \brief Names all requests with the same host, method, target, caller and
/// body; equal on all VMs. Its upper half doesn't depend on the body, which may
/// arrive later.
using RequestFingerprint = std::uint64_t;
[[nodiscard]] constexpr RequestFingerprint
makeFingerprint(std::uint32_t HeadDigest, std::uint32_t BodyDigest) {
  return (std::uint64_t(HeadDigest) << 32) | BodyDigest;
}

/// \brief Whether a request may be sent.
enum class CrashVerdict : std::uint8_t {
  Send,
  Wait,  ///< It is being checked whether upstreams have ended.
  Trial, ///< Once, by this VM, to an upstream with little load.
  Refuse,
};

/// \brief What a VM tells its peers of one request.
struct CrashReport {
  /// \brief One run of an upstream that ended while it had the request.
  struct End {
    UpstreamRunKey m_Run = 0;
    Duration m_Age{};
  };
  RequestFingerprint m_Request = 0;
  std::vector<End> m_Ends;
  /// Since an upstream last answered the request; none if it isn't known.
  std::optional<Duration> m_AnswerAge;
  std::optional<Duration> m_TrialAge; ///< Since the newest trial.
  /// 0: it was never tried; grows with each trial once enough upstreams ended.
  unsigned m_TrialStage = 0;
  Duration m_SeenAge{}; ///< Since the request last arrived at a VM.
};

/// \brief Number of live VMs that come before a VM in the order of a request;
/// see Fleet::turnOf(). The lower it is, the sooner the VM makes a trial.
struct TrialTurn {
  /// Among those that carry traffic, as far as this VM knows them: the first
  /// trial is made soon, by a VM that callers reach.
  unsigned m_AmongCarriers = 0;
  unsigned m_AmongAll = 0; ///< For later trials, of which few are allowed.
};

struct CrashTuning {
  /// Different runs that ended under a request, without an answer in between,
  /// until one VM only sends it (a trial), and until the number of trials is
  /// limited.
  unsigned m_EndsForTrial = 2;
  unsigned m_EndsForRefusal = 3;
  /// A VM makes a trial after this time for each VM before it in the order of
  /// the request, so that it has heard of an earlier one.
  Duration m_TrialStep = 500ms;
  /// The same where news take longer to reach all VMs.
  Duration m_LargeFleetTrialStep = 1s;
  /// A trial without a result is repeated after this time, doubled up to the
  /// second one.
  Duration m_TrialInterval = 5s;
  Duration m_MaxTrialInterval = 30s;
  /// Delays since the last end of the trials of a request with
  /// m_EndsForRefusal ends, by its stage. The first one tells a request that
  /// ends its upstreams from one that lost several which ended at the same time
  /// for another reason; until the later ones the upstreams may be repaired.
  std::array<Duration, 3> m_TrialDelays{Duration::zero(), 5min, 20min};
  /// Requests that haven't arrived at any VM for this long are forgotten.
  Duration m_Lifetime = 1h;
  std::size_t m_MaxRequests = 1024;
};

/// \brief Effect of new information on whether a request is sent.
enum class CrashChange : std::uint8_t {
  None,
  Suspected, ///< It is sent as a trial only.
  Confirmed, ///< It was tried, and is sent only after long delays.
  Cleared,   ///< It was suspected or confirmed, and is sent again.
};

/// \brief The requests under which upstreams ended, as one VM knows them.
///
/// \details All requests at an upstream are lost when it ends, and only one of
/// them caused it. What tells this one from the others is that upstreams end
/// under it again and again, and that none ever answers it: the evidence is the
/// number of different runs that ended since the request was last answered, at
/// any VM. VMs exchange the runs, not counts, so that nothing counts twice.
class CrashSuspects {
public:
  explicit CrashSuspects(CrashTuning Tuning = {}) : m_Tuning(Tuning) {}

  /// \brief Records that the connection of a request broke off. The end counts
  /// here until refuteEnd(), and is told to peers after confirmEnd().
  void recordLoss(RequestFingerprint Request, UpstreamRunKey Run,
                  TimePoint Now);
  /// \brief The upstream is alive: only a connection broke off.
  void refuteEnd(UpstreamRunKey Run, TimePoint Now);
  /// \brief The run has ended, also if that was refuted lately: it may have
  /// been replaced at once.
  /// \returns The requests that are confirmed by it.
  std::vector<RequestFingerprint> confirmEnd(UpstreamRunKey Run, TimePoint Now);
  /// \brief An upstream that ran the request has answered completely.
  CrashChange recordAnswer(RequestFingerprint Request, TimePoint Now);
  /// \brief Adds what a peer or the store says.
  CrashChange merge(const CrashReport &Report, TimePoint Now);

  /// \brief Whether any request with this head is suspected, so that the body
  /// matters.
  [[nodiscard]] bool knowsHead(std::uint32_t HeadDigest) const;
  /// \param Turn Place of this VM in the order of the request.
  /// \param IsSmallFleet Whether news reach all VMs in m_TrialStep.
  [[nodiscard]] CrashVerdict verdict(RequestFingerprint Request, TimePoint Now,
                                     TrialTurn Turn, bool IsSmallFleet) const;
  /// \brief Notes that the request arrived and was refused.
  void recordRefusal(RequestFingerprint Request, TimePoint Now);
  /// \brief Notes that this VM sends the request as a trial.
  void beginTrial(RequestFingerprint Request, TimePoint Now);
  /// \brief Whether any request was lost with this run.
  [[nodiscard]] bool knowsRun(UpstreamRunKey Run) const;
  /// \brief Whether it takes a verdict to send the request.
  [[nodiscard]] bool isSuspected(RequestFingerprint Request) const {
    return endsOf(Request) >= m_Tuning.m_EndsForTrial;
  }
  /// \brief Different runs that ended under the request.
  [[nodiscard]] unsigned endsOf(RequestFingerprint Request) const;
  /// \brief Whether enough upstreams ended, and a trial was made.
  [[nodiscard]] bool isConfirmed(RequestFingerprint Request) const;

  /// \brief What to tell peers: recent changes, and some of the confirmed
  /// requests, which a VM that starts has yet to learn.
  [[nodiscard]] std::vector<CrashReport> reportsToSend(TimePoint Now,
                                                       unsigned Round) const;
  /// \brief All that is known of a request, for the store.
  [[nodiscard]] CrashReport report(RequestFingerprint Request,
                                   TimePoint Now) const;

  [[nodiscard]] std::size_t size() const noexcept { return m_Entries.size(); }
  [[nodiscard]] std::vector<RequestFingerprint> confirmedRequests() const;

private:
  enum class EndState : std::uint8_t {
    Unverified, ///< The connection broke off; counts, but isn't passed on.
    Refuted,    ///< The upstream was reachable afterwards; doesn't count.
    Verified,
  };
  struct End {
    UpstreamRunKey m_Run = 0;
    TimePoint m_At{};
    EndState m_State = EndState::Unverified;
  };
  struct Entry {
    std::vector<End> m_Ends; ///< Since the last answer; different runs.
    TimePoint m_AnsweredAt{};
    TimePoint m_TrialAt{};
    unsigned m_Trials = 0;     ///< Since the number of ends last changed.
    unsigned m_TrialStage = 0; ///< See CrashReport.
    TimePoint m_SeenAt{};
    TimePoint m_ChangedAt{}; ///< Peers are told of recent changes.

    [[nodiscard]] unsigned count() const;
    [[nodiscard]] unsigned verified() const;
    [[nodiscard]] TimePoint lastEndAt() const;
  };

  /// Ages that pass through other VMs are inexact by this much; an answer also
  /// removes ends that are this much later.
  static constexpr Duration AgeSlack = 200ms;
  /// A refuted end may be confirmed within this time.
  static constexpr Duration RefutedLifetime = 10s;
  /// Answers are remembered for this long, as peers may still tell of earlier
  /// ends.
  static constexpr Duration AnswerLifetime = 30s;
  static constexpr Duration NewsAge = 10s;
  static constexpr std::size_t MaxNews = 12;     ///< In one heartbeat.
  static constexpr std::size_t MaxReminders = 4; ///< Confirmed, in addition.
  /// More ends say nothing new.
  static constexpr std::size_t MaxEnds = 8;

  Entry &entryFor(RequestFingerprint Request, TimePoint Now);
  bool addEnd(Entry &Known, const End &Added);
  /// \brief Removes the ends that an answer outdates.
  static void dropAnswered(Entry &Known);
  [[nodiscard]] bool isConfirmed(const Entry &Known) const;
  [[nodiscard]] bool isExpired(const Entry &Known, TimePoint Now) const;
  void makeRoom(TimePoint Now);
  [[nodiscard]] CrashChange changeSince(const Entry &Before,
                                        const Entry &Known) const;
  [[nodiscard]] CrashReport makeReport(RequestFingerprint Request,
                                       const Entry &Known, TimePoint Now) const;

  CrashTuning m_Tuning;
  /// At most m_Tuning.m_MaxRequests entries.
  std::map<RequestFingerprint, Entry> m_Entries;
};

} // namespace mustardspoke::steer
