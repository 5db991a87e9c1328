/// \file
/// Conversion between the core's types and the messages of the RPC protocol
/// between entry VMs.
#pragma once

#include "core/members.h"
#include "core/tickets.h"
#include "inner/peer.capnp.h"

#include <span>
#include <vector>

namespace mustardspoke {

void encodeIncarnation(const VmIncarnation &Incarnation,
                       wire::VmIncarnation::Builder Message);
[[nodiscard]] VmIncarnation
decodeIncarnation(wire::VmIncarnation::Reader Message);

void encodeMembers(std::span<const MemberInfo> Members,
                   capnp::List<wire::Member>::Builder List);
[[nodiscard]] std::vector<MemberInfo>
decodeMembers(capnp::List<wire::Member>::Reader List);

void encodeOwnedIncarnations(std::span<const OwnedIncarnation> Owned,
                             capnp::List<wire::OwnedIncarnation>::Builder List);
[[nodiscard]] std::vector<OwnedIncarnation>
decodeOwnedIncarnations(capnp::List<wire::OwnedIncarnation>::Reader List);

void encodeTickets(std::span<const TicketRecord> Records,
                   capnp::List<wire::Ticket>::Builder List);
[[nodiscard]] std::vector<TicketRecord>
decodeTickets(capnp::List<wire::Ticket>::Reader List);

} // namespace mustardspoke
