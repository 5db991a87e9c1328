/// \file
/// A gateway whose own links are cut, beside a peer that carries its attempts.
#pragma once

#include "platform/platform.h"
#include "support/exchange_rig.h"

#include <boost/test/unit_test.hpp>

namespace mustardspoke::test {

using namespace steer;

/// \brief Loses the own links of \p State: nothing can be opened.
inline void loseLinks(GatewayState &State) {
  State.m_Upstreams.forEach([&State](Upstream &Target) {
    State.m_OwnLinks.recordOpenFailure(Target, steadyNow());
  });
  BOOST_REQUIRE((State.m_OwnLinks.state() == LinkState::Lost));
}

/// \brief A gateway without own links, and a peer that has them. Both know the
/// same upstreams.
class CutGateway {
public:
  explicit CutGateway(const WireFormat &PeersFormat = platform::wireFormat())
      : m_Peer(m_Rig.m_Io, GatewaySettings(), PeersFormat, platform::decoder()),
        m_PeerPool(m_Rig.m_Io),
        m_RelayPort(m_Rig.m_Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    acceptEach(m_Rig.m_Io, m_RelayPort, [this](Tcp::socket Socket) {
      ++m_ConnectionsToPeer;
      m_EndsAtPeer.push_back(Socket.remote_endpoint());
      CallerConnectionPtr Connection(
          new CallerConnection(m_Rig.m_Io, std::move(Socket), CallerLimits(),
                               m_Rig.m_State.m_Buffers,
                               [this](const CallerConnectionPtr &Caller,
                                      const PendingRequestPtr &Request) {
                                 return serve(Caller, Request);
                               }));
      Connection->start();
    });
    m_Rig.m_State.m_Settings.m_RelayAddress =
        "127.0.0.1:" + std::to_string(m_RelayPort.local_endpoint().port());
  }

  void upstream(const std::string &Id, const Script &Behaviour) {
    m_Rig.upstream(Id, Behaviour);
    (void)m_Peer.m_Upstreams.put(
        m_Rig.m_State.m_Upstreams.find(Id)->m_Registration, steadyNow());
  }
  void answering(const std::string &Id) {
    upstream(Id, [this](ServerSide &Side) -> awaitable<void> {
      for (;;) {
        std::string RequestId = co_await Side.readRequest();
        if (RequestId.empty())
          co_return;
        m_Ran.push_back(RequestId);
        co_await Side.respond(RequestId, RequestId);
      }
    });
  }

  /// \brief Loses the gateway's own links; the peer's heartbeat is fresh.
  void cut() {
    EntryVm Peer;
    Peer.m_Vm = VmName("peer");
    Peer.m_Incarnation = 1;
    Peer.m_PeerAddress = "127.0.0.1:1";
    Peer.m_Ready = true;
    Peer.m_ContactAge = Duration(1ms);
    (void)m_Rig.m_State.m_Fleet.receivedHeartbeat(Peer, steadyNow());
    // Upstreams that are known by their registrations only.
    for (const char *Id : {"x1", "x2", "x3"}) {
      UpstreamRegistration Facts;
      Facts.m_Id = Id;
      Facts.m_Service = ServiceName("unused");
      (void)m_Rig.m_State.m_Upstreams.put(Facts, steadyNow());
    }
    loseLinks(m_Rig.m_State);
  }

  ExchangeRig m_Rig;
  GatewayState m_Peer;
  UpstreamPool m_PeerPool;
  Tcp::acceptor m_RelayPort;
  unsigned m_ConnectionsToPeer = 0;
  /// The gateway's addresses of these connections.
  std::vector<Tcp::endpoint> m_EndsAtPeer;
  std::vector<std::string> m_Ran;
  bool m_PeerDies = false; ///< In the middle of each attempt.

private:
  awaitable<bool> serve(CallerConnectionPtr Caller, PendingRequestPtr Request) {
    if (m_PeerDies)
      spawn(m_Rig.m_Io, [this, Caller]() { return abortSoon(Caller); });
    Exchange Served(m_Peer, m_PeerPool, Caller, Request,
                    Exchange::Source::Peer);
    co_return co_await Served.run();
  }
  awaitable<void> abortSoon(CallerConnectionPtr Caller) {
    co_await sleepFor(m_Rig.m_Io, 50ms);
    Caller->abort();
  }
};

} // namespace mustardspoke::test
