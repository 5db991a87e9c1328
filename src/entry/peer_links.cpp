/// \file
/// Requests to other entry VMs.
#include "entry/peer_links.h"

namespace mustardspoke {

template <class T, class F>
kj::Promise<T> PeerLinks::exchange(const std::string &Peer, F Ask) {
  auto Work =
      m_Network.parseAddress(Peer)
          .then([](kj::Own<kj::NetworkAddress> Parsed) {
            auto Connecting = Parsed->connect();
            return Connecting.attach(kj::mv(Parsed));
          })
          .then([Ask = kj::mv(Ask)](kj::Own<kj::AsyncIoStream> Stream) mutable
                -> kj::Promise<T> {
            auto Client = kj::heap<capnp::TwoPartyClient>(*Stream);
            auto Asking = Ask(Client->bootstrap().castAs<wire::Peer>());
            // One attach each: the client has to go before its stream.
            return Asking.attach(kj::mv(Client)).attach(kj::mv(Stream));
          });
  return m_Timer.timeoutAfter(ReplyWithin, kj::mv(Work));
}

kj::Promise<GossipReply> PeerLinks::gossip(const std::string &Peer,
                                           const GossipPush &Push) {
  return exchange<GossipReply>(Peer, [Push](wire::Peer::Client To) {
    auto Request = To.gossipRequest();
    encodeMembers(Push.m_Members,
                  Request.initMembers(unsigned(Push.m_Members.size())));
    return Request.send().then(
        [](capnp::Response<wire::Peer::GossipResults> &&Got) {
          GossipReply Reply;
          Reply.m_Members = decodeMembers(Got.getMembers());
          Reply.m_BundleVersion = Got.getBundleVersion();
          if (Got.getConfirmed())
            Reply.m_ConfirmationAge =
                Duration(std::int64_t(Got.getConfirmAgeMicros()));
          return Reply;
        });
  });
}

kj::Promise<kj::Maybe<std::string>> PeerLinks::bundle(const std::string &Peer,
                                                      std::uint64_t AtLeast) {
  using Document = kj::Maybe<std::string>;
  return exchange<Document>(Peer, [AtLeast](wire::Peer::Client To) {
    auto Request = To.bundleRequest();
    Request.setAtLeast(AtLeast);
    return Request.send().then(
        [](capnp::Response<wire::Peer::BundleResults> &&Got) -> Document {
          if (!Got.getFound())
            return nullptr;
          return std::string(Got.getDocument().cStr());
        });
  });
}

kj::Promise<void> PeerLinks::takeOver(const std::string &Peer,
                                      const TicketHandover &Batch) {
  return exchange<void>(Peer, [Batch](wire::Peer::Client To) {
    auto Request = To.takeOverRequest();
    encodeRuns(Batch.m_Incarnations,
               Request.initRuns(unsigned(Batch.m_Incarnations.size())));
    encodeTickets(Batch.m_Records,
                  Request.initTickets(unsigned(Batch.m_Records.size())));
    return Request.send().ignoreResult();
  });
}

} // namespace mustardspoke
