/// \file
/// Sends requests to other entry VMs.
#include "entry/peer_client.h"

namespace mustardspoke {

template <class T, class F>
kj::Promise<T> PeerClient::withConnection(const std::string &PeerAddress,
                                          F SendRequest) {
  auto Exchange =
      m_Network.parseAddress(PeerAddress)
          .then([](kj::Own<kj::NetworkAddress> Parsed) {
            auto Connecting = Parsed->connect();
            return Connecting.attach(kj::mv(Parsed));
          })
          .then(
              [SendRequest = kj::mv(SendRequest)](
                  kj::Own<kj::AsyncIoStream> Stream) mutable -> kj::Promise<T> {
                auto Client = kj::heap<capnp::TwoPartyClient>(*Stream);
                auto Reply =
                    SendRequest(Client->bootstrap().castAs<wire::Peer>());
                // Separate attach() calls destroy the client before the stream
                // that it uses.
                return Reply.attach(kj::mv(Client)).attach(kj::mv(Stream));
              });
  return m_Timer.timeoutAfter(RequestTimeout, kj::mv(Exchange));
}

kj::Promise<GossipReply> PeerClient::gossip(const std::string &PeerAddress,
                                            const GossipPush &Push) {
  return withConnection<GossipReply>(
      PeerAddress, [Push](wire::Peer::Client Client) {
        auto Request = Client.gossipRequest();
        encodeMembers(Push.m_Members,
                      Request.initMembers(unsigned(Push.m_Members.size())));
        return Request.send().then(
            [](capnp::Response<wire::Peer::GossipResults> &&Response) {
              GossipReply Reply;
              Reply.m_Members = decodeMembers(Response.getMembers());
              Reply.m_BundleVersion = Response.getBundleVersion();
              if (Response.getConfirmed())
                Reply.m_ConfirmationAge =
                    Duration(std::int64_t(Response.getConfirmAgeMicros()));
              return Reply;
            });
      });
}

kj::Promise<kj::Maybe<std::string>>
PeerClient::bundle(const std::string &PeerAddress, std::uint64_t MinVersion) {
  using Document = kj::Maybe<std::string>;
  return withConnection<Document>(PeerAddress, [MinVersion](
                                                   wire::Peer::Client Client) {
    auto Request = Client.bundleRequest();
    Request.setAtLeast(MinVersion);
    return Request.send().then(
        [](capnp::Response<wire::Peer::BundleResults> &&Response) -> Document {
          if (!Response.getFound())
            return nullptr;
          return std::string(Response.getDocument().cStr());
        });
  });
}

kj::Promise<void> PeerClient::takeOver(const std::string &PeerAddress,
                                       const TicketHandover &Batch) {
  return withConnection<void>(PeerAddress, [Batch](wire::Peer::Client Client) {
    auto Request = Client.takeOverRequest();
    encodeOwnedIncarnations(
        Batch.m_Incarnations,
        Request.initIncarnations(unsigned(Batch.m_Incarnations.size())));
    encodeTickets(Batch.m_Records,
                  Request.initTickets(unsigned(Batch.m_Records.size())));
    return Request.send().ignoreResult();
  });
}

} // namespace mustardspoke
