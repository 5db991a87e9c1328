/// \file
/// Conversion between the core's values and the inner protocol's messages.
#pragma once

#include "core/members.h"
#include "core/tickets.h"
#include "inner/peer.capnp.h"

#include <span>
#include <vector>

namespace mustardspoke {

void encodeRun(const VmIncarnation &From, wire::VmRun::Builder To);
[[nodiscard]] VmIncarnation decodeRun(wire::VmRun::Reader From);

void encodeMembers(std::span<const MemberInfo> From,
                   capnp::List<wire::Member>::Builder To);
[[nodiscard]] std::vector<MemberInfo>
decodeMembers(capnp::List<wire::Member>::Reader From);

void encodeRuns(std::span<const OwnedIncarnation> From,
                capnp::List<wire::OwnedRun>::Builder To);
[[nodiscard]] std::vector<OwnedIncarnation>
decodeRuns(capnp::List<wire::OwnedRun>::Reader From);

void encodeTickets(std::span<const TicketRecord> From,
                   capnp::List<wire::Ticket>::Builder To);
[[nodiscard]] std::vector<TicketRecord>
decodeTickets(capnp::List<wire::Ticket>::Reader From);

} // namespace mustardspoke
