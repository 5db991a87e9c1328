/// \file
/// All upstreams that an entry VM knows, by service.
#pragma once

#include "steer/key_placement.h"
#include "steer/route_table.h"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace mustardspoke::steer {

/// \brief Effect of one change of the registrations.
struct UpstreamChange {
  enum class Kind : std::uint8_t {
    Added,
    Changed,
    Leaving,
    Removed,
    Restarted
  };
  Kind m_Kind;
  UpstreamPtr m_Upstream;
};

/// \brief Runs of upstreams about which something was learnt, and when. Keeps
/// the newest ones.
class RunLog {
public:
  /// \returns Whether the run is new; one that is known keeps its time.
  bool add(UpstreamRunKey Run, TimePoint Now);
  [[nodiscard]] bool contains(UpstreamRunKey Run) const {
    return m_LearntAt.contains(Run);
  }
  /// \brief Whether the run was added after \p Since.
  [[nodiscard]] bool containsSince(UpstreamRunKey Run, TimePoint Since) const;
  void erase(UpstreamRunKey Run);
  /// \brief The runs that were added after \p Since, newest first, up to
  /// \p MaxRuns.
  [[nodiscard]] std::vector<UpstreamRunKey> newest(TimePoint Since,
                                                   std::size_t MaxRuns) const;

private:
  static constexpr std::size_t MaxEntries = 4096;

  std::map<UpstreamRunKey, TimePoint> m_LearntAt;
  /// Keys of m_LearntAt in the order in which they were added.
  std::deque<UpstreamRunKey> m_Order;
};

/// \brief What was last known of an upstream whose registration was removed.
struct Departure {
  std::int64_t m_StartedMs = 0;
  std::int64_t m_Sequence = 0;
};

/// \brief Recent departures, by identifier. They tell the registration of a
/// running upstream from one that an older copy of the store still contains.
class DepartureLog {
public:
  void record(const Upstream &Removed);
  /// \returns The departure of the same incarnation, or null.
  [[nodiscard]] const Departure *
  find(const UpstreamRegistration &Registration) const;

private:
  static constexpr std::size_t MaxEntries = 4096;

  std::map<std::string, Departure> m_ById;
  std::deque<std::string> m_Order; ///< Keys of m_ById, oldest first.
};

/// \brief Why an upstream gets no new requests.
enum class Exclusion : std::uint8_t {
  None,
  NotRegistered,
  Leaving,   ///< It announced its end, or another one has its address.
  Evacuated, ///< Its failure domain is.
  Quiet,     ///< It asked this VM for a pause.
  InDoubt,   ///< It has probably left.
};
/// \brief Name of \p Reason in log lines.
[[nodiscard]] std::string_view exclusionName(Exclusion Reason);

/// \brief State of every registered upstream.
class UpstreamTable {
public:
  /// \brief Adds or updates a registration.
  /// \returns What changed; nothing if the registration is already known.
  [[nodiscard]] std::optional<UpstreamChange>
  put(const UpstreamRegistration &Registration, TimePoint Now);
  /// \brief Removes a registration; running requests keep the object alive.
  [[nodiscard]] std::optional<UpstreamChange> remove(const std::string &Id,
                                                     TimePoint Now);
  /// \brief Notes that a run announced its end, to this VM or to a peer. It
  /// gets no new requests, also if it registers again or isn't registered yet.
  /// \returns Whether this is new.
  bool announceLeaving(UpstreamRunKey Run, TimePoint Now);
  /// \brief Notes that a peer has removed a run, without any doubt.
  /// \returns The upstream, if its removal was in doubt here.
  [[nodiscard]] UpstreamPtr removedByPeer(UpstreamRunKey Run, TimePoint Now);
  /// \brief Whether the run was removed lately, here or by a peer.
  [[nodiscard]] bool wasRemoved(const UpstreamRegistration &Registration,
                                TimePoint Now) const {
    return m_Removals.containsSince(runKey(Registration), Now - NewsAge);
  }
  /// \brief Announcements and removals of which peers are told.
  [[nodiscard]] std::vector<UpstreamRunKey>
  recentAnnouncements(TimePoint Now) const {
    return m_Announcements.newest(Now - NewsAge, MaxNews);
  }
  [[nodiscard]] std::vector<UpstreamRunKey>
  recentRemovals(TimePoint Now) const {
    return m_Removals.newest(Now - NewsAge, MaxNews);
  }
  /// \brief Notes that the registration of \p Target is gone, but may only have
  /// expired. Its next registration or removal ends the doubt.
  void setRemovalInDoubt(Upstream &Target);

  /// \brief Registered identifiers.
  [[nodiscard]] std::vector<std::string> ids() const;

  [[nodiscard]] UpstreamPtr find(std::string_view Id) const;
  /// \brief The registered upstream of this run, or null.
  [[nodiscard]] UpstreamPtr findRun(UpstreamRunKey Run) const;
  /// \brief Upstreams of \p Service, ordered by the hash of their identifiers.
  [[nodiscard]] std::span<const UpstreamPtr>
  upstreamsOf(const ServiceName &Service) const;
  [[nodiscard]] std::size_t size() const noexcept { return m_ById.size(); }

  /// \brief Records the processing time of one answer of \p Service.
  /// \param IsHeld Whether the upstream was known to hold the request's key;
  /// none for a request without a key.
  void recordProcessingTime(const ServiceName &Service, Duration Elapsed,
                            std::optional<bool> IsHeld = std::nullopt);
  /// \brief Mean times of requests whose keys were held, and of others.
  [[nodiscard]] ProcessingTimes
  processingTimes(const ServiceName &Service) const;
  /// \brief Mean over the service's upstreams; zero before the first answer.
  [[nodiscard]] Duration meanProcessingTime(const ServiceName &Service) const;

  /// \brief Replaces the failure domains whose upstreams get no requests.
  void setEvacuatedDomains(std::set<FailureDomainName> Domains) {
    m_Evacuated = std::move(Domains);
  }
  [[nodiscard]] const std::set<FailureDomainName> &
  evacuatedDomains() const noexcept {
    return m_Evacuated;
  }
  /// \brief Whether registration and evacuations allow new requests to
  /// \p Target.
  [[nodiscard]] bool isUsable(const Upstream &Target) const {
    return Target.isUsable() &&
           !m_Evacuated.contains(Target.m_Registration.m_Domain);
  }
  /// \brief Whether a new request may be sent to \p Target, for every part that
  /// chooses upstreams or sends to them. Ejection, load and the rate of a cold
  /// upstream are left to the choice.
  [[nodiscard]] Exclusion exclusion(const Upstream &Target,
                                    TimePoint Now) const;

  template <class Visitor> void forEach(Visitor &&Visit) const {
    for (const auto &[Id, Entry] : m_ById)
      Visit(*Entry);
  }

private:
  /// If more than this fraction of a service's registrations is in doubt, they
  /// have expired during an outage of the store, and their upstreams are used.
  static constexpr double MaxDoubtFraction = 0.3;

  /// For this long, peers are told of an announcement or a removal: longer than
  /// a removal stays in doubt, and enough for all VMs of a large fleet to hear.
  static constexpr Duration NewsAge = 5s;
  static constexpr std::size_t MaxNews = 32; ///< Of each kind, in a heartbeat.

  void clearDoubt(Upstream &Target);
  void addToService(const UpstreamPtr &Entry);
  void removeFromService(const UpstreamPtr &Entry);

  /// Holds the same objects as m_ByService.
  std::map<std::string, UpstreamPtr, std::less<>> m_ById;
  std::map<UpstreamRunKey, UpstreamPtr> m_ByRun; ///< The same objects.
  std::map<ServiceName, std::vector<UpstreamPtr>> m_ByService;
  /// Number of a service's upstreams with m_RemovalInDoubt.
  std::map<ServiceName, std::size_t> m_InDoubt;
  std::map<ServiceName, Duration> m_MeanProcessingTimes;
  std::map<ServiceName, ProcessingTimes> m_ProcessingTimes;
  std::set<FailureDomainName> m_Evacuated;
  DepartureLog m_Departures;
  /// Runs that announced their end, in an answer or their registration.
  RunLog m_Announcements;
  /// Runs whose registrations were removed, here or by a peer, and have not
  /// returned since.
  RunLog m_Removals;
};

} // namespace mustardspoke::steer
