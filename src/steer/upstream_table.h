/// \file
/// All upstreams that an entry VM knows, by service.
#pragma once

#include "steer/route_table.h"
#include "steer/upstream.h"

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

/// \brief What was last known of an upstream whose registration was removed.
struct Departure {
  std::int64_t m_StartedMs = 0;
  std::int64_t m_Sequence = 0;
  bool m_Leaving = false; ///< It had announced that it was shutting down.
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
  [[nodiscard]] std::optional<UpstreamChange> remove(const std::string &Id);
  /// \brief Notes that the registration of \p Target is gone, but may only have
  /// expired. Its next registration or removal ends the doubt.
  void setRemovalInDoubt(Upstream &Target);

  /// \brief Registered identifiers.
  [[nodiscard]] std::vector<std::string> ids() const;

  [[nodiscard]] UpstreamPtr find(std::string_view Id) const;
  /// \brief Upstreams of \p Service, ordered by the hash of their identifiers.
  [[nodiscard]] std::span<const UpstreamPtr>
  upstreamsOf(const ServiceName &Service) const;
  [[nodiscard]] std::size_t size() const noexcept { return m_ById.size(); }

  /// \brief Records the processing time of one answer of \p Service.
  void recordProcessingTime(const ServiceName &Service, Duration Elapsed);
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

  void clearDoubt(Upstream &Target);
  void addToService(const UpstreamPtr &Entry);
  void removeFromService(const UpstreamPtr &Entry);

  /// Holds the same objects as m_ByService.
  std::map<std::string, UpstreamPtr, std::less<>> m_ById;
  std::map<ServiceName, std::vector<UpstreamPtr>> m_ByService;
  /// Number of a service's upstreams with m_RemovalInDoubt.
  std::map<ServiceName, std::size_t> m_InDoubt;
  std::map<ServiceName, Duration> m_MeanProcessingTimes;
  std::set<FailureDomainName> m_Evacuated;
  DepartureLog m_Departures;
};

} // namespace mustardspoke::steer
