/// \file
/// Strategies of the controls: each disables one mechanism of the core.
#pragma once

#include "core/core.h"

#include <string_view>

namespace mustardspoke::test {

bool leaseNeverEnds(TimePoint End, TimePoint Now);
Duration reclaimIgnoringUse(const ShareTuning &Tuning, Duration Lease,
                            Duration LongestUse);
Duration reclaimAtOnce(const ShareTuning &Tuning, Duration Lease,
                       Duration LongestUse);
std::uint32_t pendingGreater(std::uint32_t Before, std::uint32_t After);
bool ownsEverything(const TicketTable &Table, const VmIncarnation &Owner);
TicketVerdict claimAlways(TicketTable &Table, const Ticket &Presented,
                          TimePoint Now);
bool retryAlways(const Call &Retried, AttemptResult End, RetryBudget &Budget);
bool adoptAny(const Bundle *InForce, const Bundle &Offered);
bool serveAlways(std::optional<Duration> Age, Duration Lease,
                 bool SeesMajority);
bool drainByBundle(const UpstreamState &Upstream, TimePoint Now,
                   const UpstreamTuning &Tuning);

/// \brief Disables the mechanism called \p Name in \p Target.
/// \returns False if no mechanism has this name.
[[nodiscard]] bool disableMechanism(Strategies &Target, std::string_view Name);

} // namespace mustardspoke::test
