/// \file
/// Handles heartbeats, bundle requests and ticket handovers.
#include "entry/peer_server.h"

namespace mustardspoke {

kj::Promise<void> PeerServer::gossip(GossipContext Context) {
  GossipPush Push{decodeMembers(Context.getParams().getMembers())};
  GossipReply Reply = m_Core.access()->onGossipPush(Push, monotonicNow());
  auto Results = Context.getResults();
  encodeMembers(Reply.m_Members,
                Results.initMembers(unsigned(Reply.m_Members.size())));
  Results.setBundleVersion(Reply.m_BundleVersion);
  Results.setConfirmed(Reply.m_ConfirmationAge.has_value());
  if (Reply.m_ConfirmationAge)
    Results.setConfirmAgeMicros(
        std::uint64_t(Reply.m_ConfirmationAge->count()));
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::bundle(BundleContext Context) {
  std::string Text;
  {
    auto Core = m_Core.access();
    bool IsNewEnough = Core->bundle() && Core->bundle()->m_Version >=
                                             Context.getParams().getAtLeast();
    Context.getResults().setFound(IsNewEnough);
    if (!IsNewEnough)
      return kj::READY_NOW;
  }
  // The lock may be released in between: document() returns this version or a
  // newer one.
  Context.getResults().setDocument(m_Core.document());
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::takeOver(TakeOverContext Context) {
  TicketHandover Batch{
      decodeOwnedIncarnations(Context.getParams().getIncarnations()),
      decodeTickets(Context.getParams().getTickets())};
  for (const OwnedIncarnation &Owned : Batch.m_Incarnations)
    logEvent(LogLevel::Info, "tickets-taken-over",
             {{"from", Owned.m_Owner.m_Vm.str()}});
  m_Core.access()->takeOverTickets(std::move(Batch), monotonicNow());
  return kj::READY_NOW;
}

} // namespace mustardspoke
