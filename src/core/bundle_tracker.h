/// \file
/// The active bundle of this VM and how recently it was confirmed as newest.
#pragma once

#include "core/bundle.h"
#include "core/members.h"

#include <memory>
#include <optional>

namespace mustardspoke {

using BundleRef = std::shared_ptr<const Bundle>;

/// \brief Decides whether \p Offered replaces \p Active (null at first).
using AdoptRule = bool (*)(const Bundle *Active, const Bundle &Offered);

/// \brief Adopts only a higher version.
[[nodiscard]] bool adoptNewer(const Bundle *Active, const Bundle &Offered);

/// \brief Decides whether calls may be served under the active bundle.
/// \param ConfirmationAge Time since it was confirmed as the newest, if ever.
using ServeRule = bool (*)(std::optional<Duration> ConfirmationAge,
                           Duration ConfirmationLease, bool SeesMajority);

/// \brief Confirmed within the lease, or this VM sees a majority of the fleet.
///
/// \details Accepting a bundle takes a majority too. Two majorities overlap in
/// at least one VM, from which a VM without a confirmation learns of a new
/// bundle.
[[nodiscard]] bool
serveConfirmedOrMajority(std::optional<Duration> ConfirmationAge,
                         Duration ConfirmationLease, bool SeesMajority);

/// \brief The active bundle and what is known of newer versions.
///
/// Invariants: the active version never decreases; a confirmation counts only
/// for the active version.
class BundleTracker {
public:
  BundleTracker(AdoptRule Adopt, Duration ConfirmationLease)
      : m_Adopt(Adopt), m_ConfirmationLease(ConfirmationLease) {}

  [[nodiscard]] const BundleRef &active() const noexcept { return m_Active; }
  [[nodiscard]] std::uint64_t version() const noexcept {
    return m_Active ? m_Active->m_Version : 0;
  }

  /// \brief Records that \p Version exists; it may be known already.
  void noteVersion(std::uint64_t Version) noexcept;

  /// \brief The newest known version if it is newer than the active bundle.
  [[nodiscard]] std::optional<std::uint64_t> versionToFetch() const noexcept;

  /// \brief Records that \p Version was the newest one at \p At.
  void recordConfirmation(std::uint64_t Version, TimePoint At) noexcept;

  /// \returns Whether \p Offered became the active bundle.
  bool adopt(BundleRef Offered);

  /// \brief Time since the active bundle was last confirmed as the newest.
  [[nodiscard]] std::optional<Duration>
  confirmationAge(TimePoint Now) const noexcept;

  [[nodiscard]] Duration confirmationLease() const noexcept {
    return m_ConfirmationLease;
  }

private:
  AdoptRule m_Adopt;
  Duration m_ConfirmationLease;
  BundleRef m_Active;
  std::uint64_t m_NewestKnownVersion = 0;
  std::uint64_t m_ConfirmedVersion = 0;
  TimePoint m_ConfirmedAt{};
};

} // namespace mustardspoke
