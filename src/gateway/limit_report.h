/// \file
/// Rate limits of upstreams: applying and logging what answers and peers say of
/// them, and what peers are told.
#pragma once

#include "inner/heartbeat_codec.h"
#include "steer/steer.h"

namespace mustardspoke::steer {

/// \brief Applies a statement of \p Target and logs what it changes.
/// \param Source Identifier of the answered request, or name of the peer.
void applyStatedLimit(Upstream &Target, const StatedLimit &Statement,
                      std::string_view Source);

/// \brief Applies what a peer knows of rate limits.
void applyPeerLimits(const UpstreamTable &Upstreams,
                     std::span<const PeerLimit> Limits, const VmName &Peer,
                     TimePoint Now);

/// \brief The statements of which peers are told: those that are young enough,
/// up to a number of them.
[[nodiscard]] std::vector<PeerLimit>
limitsToSend(const UpstreamTable &Upstreams, TimePoint Now);

/// \brief Metrics of the limits in the Prometheus text exposition format.
[[nodiscard]] std::string limitExposition(const UpstreamTable &Upstreams,
                                          TimePoint Now);

} // namespace mustardspoke::steer
