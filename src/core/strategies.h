/// \file
/// Replaceable decision functions and the tuning parameters of a node.
#pragma once

#include "core/bundle_tracker.h"
#include "core/calls.h"
#include "core/limits.h"
#include "core/members.h"
#include "core/shares.h"
#include "core/tickets.h"
#include "core/upstreams.h"

namespace mustardspoke {

/// \brief Decides whether an upstream must get no new calls at \p Now.
using DrainRule = bool (*)(const UpstreamState &State, TimePoint Now,
                           const UpstreamTuning &Tuning);

/// \brief Whether the bundle marks the upstream as leaving, or its load report,
/// an answer or a gossip peer reported it as draining.
[[nodiscard]] bool drainByAnySignal(const UpstreamState &State, TimePoint Now,
                                    const UpstreamTuning &Tuning);

/// \brief Whether the lease hasn't expired on the monotonic clock.
[[nodiscard]] bool leaseByClock(TimePoint Expiry, TimePoint Now);

/// \brief The decision functions of a node.
///
/// \details Tests replace each of them by a faulty one to check that the
/// violation of its invariant is detected.
struct Strategies {
  ChooseRule m_Choose = chooseByLatency;
  DrainRule m_Drain = drainByAnySignal;
  LeaseRule m_Lease = leaseByClock;
  ReclaimRule m_Reclaim = reclaimAfterExpiry;
  PendingRule m_Pending = assumeLesser;
  DivideRule m_Divide = homeFirstShares;
  OwnerRule m_Owner = TicketTable::ownsIncarnation;
  ClaimRule m_Claim = TicketTable::claimOnce;
  RetryRule m_Retry = retryUnsentOrRepeatable;
  AdoptRule m_Adopt = adoptNewer;
  ServeRule m_Serve = serveConfirmedOrMajority;
};

/// \brief Tuning parameters of one entry VM's decisions.
struct Tuning {
  UpstreamTuning m_Upstreams;
  GossipTuning m_Gossip;
  ShareTuning m_Shares;
  /// How long a confirmation of the bundle is valid.
  Duration m_ConfirmLease = 4s;
  Duration m_LookupLife = 5s; ///< How long callers may cache a look-up.
  std::size_t m_VmsPerLookup = 3;
  std::uint64_t m_TicketLifeSeconds = 60;
  std::size_t m_MaxTickets = 200000;
  /// VMs that poll one upstream's load report.
  std::size_t m_PollersPerUpstream = 2;
  std::uint32_t m_ShiftStepPercent = 10;
  Duration m_ShiftStepEvery = 5s;
  std::size_t m_MaxTraces = 512;
};

} // namespace mustardspoke
