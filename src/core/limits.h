/// \file
/// Units of each limit that this VM holds, may use and uses.
#pragma once

#include "core/bundle.h"
#include "core/time.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <map>
#include <span>
#include <vector>

namespace mustardspoke {

/// \brief When this VM's leases on its shares expire, by its own clock.
///
/// \details Both leases start before the renewal was sent.
struct LeaseExpiry {
  TimePoint m_FloorExpiry{};   ///< Long lease, survives a store outage.
  TimePoint m_SurplusExpiry{}; ///< Short lease, lets units follow demand.
};

/// \brief Decides whether a lease that expires at \p Expiry is valid at \p Now.
using LeaseRule = bool (*)(TimePoint Expiry, TimePoint Now);

/// \brief One limit as seen by this VM.
///
/// Invariant: LimitTable raises m_Used only while it is below what the leases
/// allow; the expiry of a lease never takes back units already in use.
struct LimitEntry
    : boost::intrusive_ref_counter<LimitEntry, boost::thread_unsafe_counter> {
  Limit m_Limit;
  std::uint32_t m_Floor = 0;   ///< Units held under the long lease.
  std::uint32_t m_Surplus = 0; ///< Units held under the short lease.
  /// Units held by all VMs, as last read from the store.
  std::uint32_t m_TotalHeld = 0;
  static constexpr std::uint32_t NoUsageCap = ~std::uint32_t(0);
  /// Set while this VM has to give up units.
  std::uint32_t m_UsageCap = NoUsageCap;
  std::uint32_t m_Used = 0;
  std::uint32_t m_PeakUsed = 0; ///< Decaying maximum of m_Used.
  /// Decaying count of units that couldn't be acquired.
  std::uint32_t m_RefusedUnits = 0;

  /// \brief Units that this VM requests: recent demand plus some headroom.
  [[nodiscard]] std::uint32_t requestedUnits() const noexcept;
};

using LimitRef = boost::intrusive_ptr<LimitEntry>;

/// \brief Units of one limit that a call occupies.
struct LimitUse {
  LimitRef m_Entry;
  std::uint32_t m_Units = 1;
};

/// \brief All limits of the active bundle.
class LimitTable {
public:
  explicit LimitTable(LeaseRule Rule) noexcept : m_Rule(Rule) {}

  /// \brief Replaces the limits by those of \p Config.
  /// \details Limits whose names occur in both keep their state.
  void applyBundle(const Bundle &Config);

  [[nodiscard]] LimitRef find(const LimitName &Wanted) const;
  [[nodiscard]] const std::map<LimitName, LimitRef> &entries() const noexcept {
    return m_Entries;
  }

  /// \brief Units under a lease that is valid at \p Now.
  [[nodiscard]] std::uint32_t leased(const LimitEntry &Entry,
                                     TimePoint Now) const noexcept;

  /// \brief Leased units, without those that this VM has to give up.
  [[nodiscard]] std::uint32_t usable(const LimitEntry &Entry,
                                     TimePoint Now) const noexcept;

  /// \brief Usable units that aren't in use.
  [[nodiscard]] std::uint32_t headroom(const LimitEntry &Entry,
                                       TimePoint Now) const noexcept;

  /// \brief Acquires all of \p Uses or none.
  /// \returns Whether they were acquired.
  [[nodiscard]] bool acquire(std::span<const LimitUse> Uses, TimePoint Now);

  /// \brief Returns units that acquire() has taken.
  void release(std::span<const LimitUse> Uses) noexcept;

  /// \brief Whether valid leases still cover the units of \p Uses, in use now.
  [[nodiscard]] bool leasesCover(std::span<const LimitUse> Uses,
                                 TimePoint Now) const noexcept;

  /// \brief Decays the demand statistics; called once per second.
  void decayDemand() noexcept;

  void setLeases(LeaseExpiry Leases) noexcept { m_Leases = Leases; }
  [[nodiscard]] const LeaseExpiry &leases() const noexcept { return m_Leases; }

private:
  LeaseRule m_Rule;
  LeaseExpiry m_Leases;
  std::map<LimitName, LimitRef> m_Entries;
};

} // namespace mustardspoke
