/// \file
/// All upstreams that an entry VM knows, by service.
#pragma once

#include "steer/route_table.h"
#include "steer/upstream.h"

#include <map>
#include <set>
#include <span>
#include <vector>

namespace mustardspoke::steer {

/// \brief What one change of the registrations did.
struct UpstreamChange {
  enum class Kind : std::uint8_t { Added, Changed, Leaving, Removed, Reborn };
  Kind m_Kind;
  UpstreamPtr m_Upstream;
};

/// \brief Belief about every registered upstream.
class UpstreamTable {
public:
  /// \brief Takes over one registration.
  /// \returns What changed, or nothing if it says what was known.
  [[nodiscard]] std::optional<UpstreamChange> put(const UpstreamFacts &Facts,
                                                  TimePoint Now);
  /// \brief Takes a registration out; running requests keep the object.
  [[nodiscard]] std::optional<UpstreamChange> remove(const std::string &Id);

  /// \brief Registered identifiers.
  [[nodiscard]] std::vector<std::string> ids() const;

  [[nodiscard]] UpstreamPtr find(std::string_view Id) const;
  /// \brief Upstreams of \p Of in the order of their identifiers' hashes.
  [[nodiscard]] std::span<const UpstreamPtr> of(const ServiceName &Of) const;
  [[nodiscard]] std::size_t size() const noexcept { return m_ById.size(); }

  /// \brief Notes one answer's work at some upstream of \p Of.
  void worked(const ServiceName &Of, Duration Work);
  /// \brief Mean work over the service's upstreams; zero before any answer.
  [[nodiscard]] Duration meanWork(const ServiceName &Of) const;

  /// \brief Failure domains whose upstreams get nothing.
  void evacuate(std::set<FailureDomainName> Domains) {
    m_Evacuated = std::move(Domains);
  }
  [[nodiscard]] const std::set<FailureDomainName> &evacuated() const noexcept {
    return m_Evacuated;
  }
  /// \brief May get new work by registration and evacuation.
  [[nodiscard]] bool usable(const Upstream &One) const {
    return One.usable() && !m_Evacuated.contains(One.m_Facts.m_Domain);
  }

  template <class Visit> void each(Visit &&Each) const {
    for (const auto &[Id, One] : m_ById)
      Each(*One);
  }

private:
  void link(const UpstreamPtr &One);
  void unlink(const UpstreamPtr &One);

  /// Holds the same objects as m_ByService.
  std::map<std::string, UpstreamPtr, std::less<>> m_ById;
  std::map<ServiceName, std::vector<UpstreamPtr>> m_ByService;
  std::map<ServiceName, Duration> m_MeanWork;
  std::set<FailureDomainName> m_Evacuated;
};

} // namespace mustardspoke::steer
