/// \file
/// The inner protocol's sockets.
#include "gateway/peers.h"

#include "observe/log.h"

#include <boost/asio/write.hpp>

namespace mustardspoke::steer {
namespace {

/// Beats of a small fleet; in-flight counts turn over in about this time.
constexpr Duration FastestBeat = 100ms;
constexpr Duration SlowestBeat = 600ms;
/// Time between two datagrams to different peers, on average: it bounds the
/// traffic of a VM in a large fleet.
constexpr Duration PerPeer = 5ms;
/// Peers of other regions hear every so many beats in a large fleet.
constexpr unsigned FarEvery = 4;
constexpr std::size_t SmallFleet = 16; ///< All hear every beat.
constexpr std::size_t MostDatagram = 60000; // bytes
constexpr std::size_t MostRows = 8 << 20;   // bytes of a rows message
constexpr std::size_t MostOthers = 8;       ///< Peer addresses in one beat.
constexpr Duration FetchWithin = 2s;

} // namespace

PeerLink::PeerLink(GatewayState &State, Belief &Beliefs)
    : m_State(State), m_Beliefs(Beliefs), m_Socket(State.m_Io),
      m_Acceptor(State.m_Io) {}

NetError PeerLink::start() {
  NetError Error;
  auto Datagrams = endpointOf<Udp>(m_State.m_Settings.m_PeerAddress);
  auto Streams = endpointOf<Tcp>(m_State.m_Settings.m_PeerAddress);
  if (!Datagrams || !Streams)
    return asio::error::make_error_code(asio::error::invalid_argument);
  m_Socket.open(Datagrams->protocol(), Error);
  if (!Error)
    m_Socket.bind(*Datagrams, Error);
  if (!Error)
    m_Socket.non_blocking(true, Error);
  if (!Error)
    m_Acceptor.open(Streams->protocol(), Error);
  if (!Error)
    m_Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    m_Acceptor.bind(*Streams, Error);
  if (!Error)
    m_Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return Error;
  asio::co_spawn(
      m_State.m_Io, [this]() { return receiveLoop(); }, asio::detached);
  asio::co_spawn(
      m_State.m_Io, [this]() { return beatLoop(); }, asio::detached);
  asio::co_spawn(
      m_State.m_Io, [this]() { return serveRows(); }, asio::detached);
  return Error;
}

Duration PeerLink::period() const {
  Duration Fair = PerPeer * std::int64_t(m_State.m_Fleet.knownCount());
  return std::clamp(Fair, FastestBeat, SlowestBeat);
}

Beat PeerLink::ownBeat() const {
  Beat Result;
  Result.m_From = m_State.m_Fleet.m_Self;
  Result.m_From.m_Ready = m_State.ready();
  Result.m_From.m_Leaving = m_State.m_Leaving;
  Result.m_RoutesVersion = m_State.m_Routes ? m_State.m_Routes->m_Version : 0;
  m_State.m_Upstreams.each([&Result](const Upstream &One) {
    if (One.m_InFlight > 0)
      Result.m_Loads.push_back({One.m_Hash, One.busyHere()});
  });
  m_State.m_Shares.each([&Result](std::uint64_t Service, double Local) {
    Result.m_Shares.push_back({Service, Local});
  });
  return Result;
}

void PeerLink::send(const std::string &Bytes, const std::string &To) {
  auto Address = endpointOf<Udp>(To);
  if (!Address)
    return;
  // A datagram that can't be sent now is lost like any other; the next beat
  // says more.
  NetError Ignored;
  m_Socket.send_to(asio::buffer(Bytes), *Address, 0, Ignored);
}

void PeerLink::announce() {
  std::string Bytes = encodeBeat(ownBeat());
  for (const EntryVm &One : m_State.m_Fleet.peers())
    send(Bytes, One.m_PeerAddress);
}

awaitable<void> PeerLink::beatLoop() {
  asio::steady_timer Timer(m_State.m_Io);
  NetError Ignored;
  const std::string &Own = m_State.m_Settings.m_PeerAddress;
  std::string Port = Own.substr(Own.rfind(':'));
  for (;;) {
    std::vector<EntryVm> Peers = m_State.m_Fleet.peers();
    Beat Mine = ownBeat();
    std::string Bytes = encodeBeat(Mine);
    bool All = Peers.size() < SmallFleet || m_Round % FarEvery == 0;
    for (const EntryVm &One : Peers)
      if (All || One.m_Region == m_State.m_Settings.m_Here.m_Region)
        send(Bytes, One.m_PeerAddress);
    // Without the store, seeds and whom they name are the only way to meet.
    if (!m_Beliefs.storeReached() && m_Round % 5 == 0) {
      for (const EntryVm &One : Peers)
        if (Mine.m_Others.size() < MostOthers)
          Mine.m_Others.push_back(One.m_PeerAddress);
      std::string Asking = encodeBeat(Mine);
      for (const std::string &Ip : m_State.m_Settings.m_SeedIps)
        if (Ip + Port != Own)
          send(Asking, Ip + Port);
    }
    ++m_Round;
    Duration Spent = period();
    Timer.expires_after(Spent);
    co_await Timer.async_wait(noThrow(Ignored));
    TimePoint Now = steadyNow();
    auto Loads = m_State.m_Fleet.peersBusy(Now);
    m_State.m_Upstreams.each([&Loads](Upstream &One) {
      auto Found = Loads.find(One.m_Hash);
      One.m_PeersBusy = Found == Loads.end() ? 0 : Found->second;
    });
    m_State.m_Shares.update(m_State.m_Upstreams, m_State.m_Settings.m_Here, Now,
                            m_State.m_Settings.m_LocalShare);
  }
}

awaitable<void> PeerLink::receiveLoop() {
  std::string Bytes(MostDatagram, '\0');
  for (;;) {
    NetError Error;
    Udp::endpoint From;
    std::size_t Got = co_await m_Socket.async_receive_from(
        asio::buffer(Bytes), From, noThrow(Error));
    if (Error)
      continue; // A peer's port was closed; others still speak.
    auto One = decodeBeat(std::string_view(Bytes).substr(0, Got));
    if (One && !One->m_From.m_Vm.empty())
      received(*One);
    else
      logEvent(LogLevel::Warning, "beat-unreadable",
               {{"from", From.address().to_string()}});
  }
}

void PeerLink::received(const Beat &From) {
  TimePoint Now = steadyNow();
  if (m_State.m_Fleet.heard(From.m_From, Now)) {
    logEvent(LogLevel::Info, "peer-changed",
             {{"peer", From.m_From.m_Vm.str()},
              {"incarnation", std::to_string(From.m_From.m_Incarnation)},
              {"ready", From.m_From.m_Ready ? "yes" : "no"},
              {"leaving", From.m_From.m_Leaving ? "yes" : "no"}});
    send(encodeBeat(ownBeat()), From.m_From.m_PeerAddress);
  }
  m_State.m_Fleet.loads(From.m_From.m_Vm, From.m_Loads, Now);
  if (From.m_From.m_Region == m_State.m_Settings.m_Here.m_Region)
    for (const PeerShare &One : From.m_Shares)
      m_State.m_Shares.heard(One.m_ServiceHash, One.m_Local);
  // Whoever is named here will speak for itself once it is spoken to.
  for (const std::string &Other : From.m_Others)
    if (Other != m_State.m_Settings.m_PeerAddress)
      send(encodeBeat(ownBeat()), Other);
  std::uint64_t Own = m_State.m_Routes ? m_State.m_Routes->m_Version : 0;
  if (From.m_RoutesVersion > Own && !m_Beliefs.storeReached() && !m_Fetching) {
    m_Fetching = true;
    asio::co_spawn(
        m_State.m_Io,
        [this, Address = From.m_From.m_PeerAddress]() {
          return fetchRows(Address);
        },
        asio::detached);
  }
}

awaitable<void> PeerLink::serveRows() {
  for (;;) {
    NetError Error;
    Tcp::socket Peer = co_await m_Acceptor.async_accept(noThrow(Error));
    if (Error) {
      logEvent(LogLevel::Warning, "peer-accept-failed",
               {{"cause", Error.message()}});
      asio::steady_timer Timer(m_State.m_Io, FastestBeat);
      co_await Timer.async_wait(noThrow(Error));
      continue;
    }
    asio::co_spawn(
        m_State.m_Io,
        [this, Shared = std::make_shared<Tcp::socket>(std::move(Peer))]()
            -> awaitable<void> {
          std::string Bytes = encodeRows(m_Beliefs.carried());
          CloseTimer Timer(m_State.m_Io);
          Timer.arm(*Shared, steadyNow() + FetchWithin);
          NetError Ignored;
          co_await asio::async_write(*Shared, asio::buffer(Bytes),
                                     noThrow(Ignored));
        },
        asio::detached);
  }
}

awaitable<void> PeerLink::fetchRows(std::string Address) {
  Tcp::socket Socket(m_State.m_Io);
  CloseTimer Timer(m_State.m_Io);
  NetError Error;
  std::string Bytes;
  if (auto To = endpointOf<Tcp>(Address)) {
    Socket.open(To->protocol(), Error);
    Timer.arm(Socket, steadyNow() + FetchWithin);
    if (!Error)
      co_await Socket.async_connect(*To, noThrow(Error));
    std::string Piece(16384, '\0');
    while (!Error && Bytes.size() < MostRows) {
      std::size_t Got =
          co_await Socket.async_read_some(asio::buffer(Piece), noThrow(Error));
      Bytes.append(Piece, 0, Got);
    }
    Timer.disarm();
  }
  m_Fetching = false;
  std::optional<std::vector<CarriedRow>> Rows;
  if (Error == asio::error::eof)
    Rows = decodeRows(Bytes);
  logEvent(Rows ? LogLevel::Info : LogLevel::Warning, "rows-from-peer",
           {{"peer", Address},
            {"rows", Rows ? std::to_string(Rows->size()) : "none"},
            {"cause", Error ? Error.message() : "too long"}});
  if (Rows)
    m_Beliefs.takeOver(*Rows);
}

} // namespace mustardspoke::steer
