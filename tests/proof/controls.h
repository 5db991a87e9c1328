/// \file
/// Strategies with one mechanism taken out, for controls.
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
TicketVerdict claimAlways(TicketTable &Table, const Ticket &Shown,
                          TimePoint Now);
bool retryAlways(const Call &Of, AttemptResult End, RetryBudget &Budget);
bool adoptAny(const Bundle *InForce, const Bundle &Offered);
bool serveAlways(std::optional<Duration> Age, Duration Lease,
                 bool SeesMajority);
bool drainByBundle(const UpstreamState &Of, TimePoint Now,
                   const UpstreamTuning &Tuning);

/// \brief Takes the mechanism called \p Name out of \p From.
/// \returns False if there is none of that name.
[[nodiscard]] bool takeOut(Strategies &From, std::string_view Name);

} // namespace mustardspoke::test
