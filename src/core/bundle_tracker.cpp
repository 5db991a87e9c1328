/// \file
/// Adoption and confirmation of bundles.
#include "core/bundle_tracker.h"

#include <algorithm>

namespace mustardspoke {

bool adoptNewer(const Bundle *Active, const Bundle &Offered) {
  return !Active || Offered.m_Version > Active->m_Version;
}

bool serveConfirmedOrMajority(std::optional<Duration> ConfirmationAge,
                              Duration ConfirmationLease, bool SeesMajority) {
  return SeesMajority ||
         (ConfirmationAge && *ConfirmationAge <= ConfirmationLease);
}

void BundleTracker::noteVersion(std::uint64_t Version) noexcept {
  m_NewestKnownVersion = std::max(m_NewestKnownVersion, Version);
}

std::optional<std::uint64_t> BundleTracker::versionToFetch() const noexcept {
  return m_NewestKnownVersion > version() ? std::optional(m_NewestKnownVersion)
                                          : std::nullopt;
}

void BundleTracker::recordConfirmation(std::uint64_t Version,
                                       TimePoint At) noexcept {
  noteVersion(Version);
  if (Version < m_ConfirmedVersion)
    return;
  if (Version > m_ConfirmedVersion)
    m_ConfirmedAt = At;
  m_ConfirmedVersion = Version;
  m_ConfirmedAt = std::max(m_ConfirmedAt, At);
}

bool BundleTracker::adopt(BundleRef Offered) {
  if (!m_Adopt(m_Active.get(), *Offered))
    return false;
  m_Active = std::move(Offered);
  noteVersion(version());
  return true;
}

std::optional<Duration>
BundleTracker::confirmationAge(TimePoint Now) const noexcept {
  if (!m_Active || m_ConfirmedVersion != version())
    return std::nullopt;
  return Now - m_ConfirmedAt;
}

} // namespace mustardspoke
