/// \file
/// The inner protocol's sockets.
#include "gateway/peers.h"

#include "observe/log.h"

#include <boost/asio/write.hpp>

namespace mustardspoke::steer {
namespace {

/// Beats of a small fleet; in-flight counts turn over in about this time.
constexpr Duration FastestBeat = 100ms;
/// A small fleet's beats slow down with its size.
constexpr Duration PerPeer = 8ms;
constexpr std::size_t MostDatagram = 60000; // bytes
constexpr std::size_t MostRows = 8 << 20;   // bytes of a rows message
constexpr std::size_t MostOthers = 8;       ///< Peer addresses in one beat.
constexpr Duration FetchWithin = 2s;
/// Fetches from one VM follow each other at this distance at least, so that a
/// series of changes comes in few messages.
constexpr Duration FetchEvery = 250ms;
constexpr std::size_t ReadPiece = 16384; // bytes

/// \brief Reads until the other side closes. \returns Nothing on an error.
awaitable<std::optional<std::string>> readAll(Tcp::socket &From,
                                              std::size_t Most) {
  std::string Bytes;
  std::string Piece(ReadPiece, '\0');
  NetError Error;
  while (!Error && Bytes.size() < Most) {
    std::size_t Got =
        co_await From.async_read_some(asio::buffer(Piece), noThrow(Error));
    Bytes.append(Piece, 0, Got);
  }
  if (Error != asio::error::eof)
    co_return std::nullopt;
  co_return Bytes;
}

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
  if (!m_State.m_Fleet.small())
    return m_State.m_Settings.m_Fleet.m_CrowdBeat;
  return std::max(PerPeer * std::int64_t(m_State.m_Fleet.knownCount()),
                  FastestBeat);
}

Heartbeat PeerLink::ownBeat(const RegionName &For) const {
  Heartbeat Result;
  Result.m_Sender = m_State.m_Fleet.m_Self;
  Result.m_Sender.m_Ready = m_State.ready();
  Result.m_Sender.m_Leaving = m_State.m_Leaving;
  Result.m_Sender.m_Reading = m_Beliefs.reading();
  Result.m_ConfigVersion = m_State.m_Routes ? m_State.m_Routes->m_Version : 0;
  Result.m_SyncedVersions = m_Beliefs.reach();
  bool All =
      For == m_State.m_Settings.m_Here.m_Region || m_State.m_Fleet.small();
  Result.m_PeerAges = m_State.m_Fleet.ages(steadyNow(), m_Round);
  m_State.m_Upstreams.each([&](const Upstream &One) {
    if (One.m_InFlight > 0 && (All || One.m_Facts.m_Region == For))
      Result.m_UpstreamLoads.push_back({One.m_Hash, One.busyHere()});
  });
  m_State.m_Shares.each(
      [&Result](std::uint64_t Service, double Local, double Busy) {
        Result.m_ServiceShares.push_back({Service, Local, Busy});
      });
  return Result;
}

std::map<RegionName, std::string>
PeerLink::encodedBeats(std::span<const EntryVm> To) const {
  std::map<RegionName, std::string> Result;
  for (const EntryVm &One : To)
    if (std::string &Bytes = Result[One.m_Region]; Bytes.empty())
      Bytes = encodeHeartbeat(ownBeat(One.m_Region));
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
  std::vector<EntryVm> All = m_State.m_Fleet.peers();
  auto Beats = encodedBeats(All);
  for (const EntryVm &One : All)
    send(Beats[One.m_Region], One.m_PeerAddress);
}

awaitable<void> PeerLink::beatLoop() {
  const std::string &Own = m_State.m_Settings.m_PeerAddress;
  std::string Port = Own.substr(Own.rfind(':'));
  for (;;) {
    std::vector<EntryVm> Peers = m_State.m_Fleet.audience(m_Round);
    const RegionName &Here = m_State.m_Settings.m_Here.m_Region;
    auto Beats = encodedBeats(Peers);
    for (const EntryVm &One : Peers)
      send(Beats[One.m_Region], One.m_PeerAddress);
    // Without the store, seeds and whom they name are the only way to meet.
    if (!m_Beliefs.storeReached() && m_Round % 5 == 0) {
      Heartbeat Mine = ownBeat(Here);
      for (const EntryVm &One : Peers)
        if (Mine.m_KnownPeerAddresses.size() < MostOthers)
          Mine.m_KnownPeerAddresses.push_back(One.m_PeerAddress);
      std::string Asking = encodeHeartbeat(Mine);
      for (const std::string &Ip : m_State.m_Settings.m_SeedIps)
        if (Ip + Port != Own)
          send(Asking, Ip + Port);
    }
    ++m_Round;
    Duration Spent = period();
    co_await sleepFor(m_State.m_Io, Spent);
    TimePoint Now = steadyNow();
    auto Loads = m_State.m_Fleet.peersBusy(Now);
    m_State.m_Upstreams.each([&Loads](Upstream &One) {
      auto Found = Loads.find(One.m_Hash);
      One.m_PeersBusy = Found == Loads.end() ? 0 : Found->second;
    });
    m_State.m_Shares.update(m_State.m_Upstreams, m_State.m_Settings.m_Here, Now,
                            m_State.m_Settings.m_LocalShare,
                            !m_State.m_Fleet.small());
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
    auto One = decodeHeartbeat(std::string_view(Bytes).substr(0, Got));
    if (One && !One->m_Sender.m_Vm.empty())
      received(*One);
    else
      logEvent(LogLevel::Warning, "beat-unreadable",
               {{"from", From.address().to_string()}});
  }
}

void PeerLink::received(const Heartbeat &From) {
  TimePoint Now = steadyNow();
  if (m_State.m_Fleet.heard(From.m_Sender, Now)) {
    logEvent(LogLevel::Info, "peer-changed",
             {{"peer", From.m_Sender.m_Vm.str()},
              {"incarnation", std::to_string(From.m_Sender.m_Incarnation)},
              {"ready", From.m_Sender.m_Ready ? "yes" : "no"},
              {"leaving", From.m_Sender.m_Leaving ? "yes" : "no"}});
    send(encodeHeartbeat(ownBeat(From.m_Sender.m_Region)),
         From.m_Sender.m_PeerAddress);
  }
  for (const PeerAge &One : From.m_PeerAges)
    m_State.m_Fleet.heardOf(One, Now);
  m_State.m_Fleet.loads(From.m_Sender.m_Vm, From.m_UpstreamLoads, Now);
  bool Near = From.m_Sender.m_Region == m_State.m_Settings.m_Here.m_Region;
  for (const ServiceShare &One : From.m_ServiceShares)
    if (Near)
      m_State.m_Shares.heardNear(One.m_ServiceHash, One.m_LocalShare);
    else
      m_State.m_Shares.heardFar(One.m_ServiceHash, One.m_Utilization);
  // Whoever is named here will speak for itself once it is spoken to.
  for (const std::string &Other : From.m_KnownPeerAddresses)
    if (Other != m_State.m_Settings.m_PeerAddress)
      send(encodeHeartbeat(ownBeat(From.m_Sender.m_Region)), Other);
  follow(From);
}

void PeerLink::follow(const Heartbeat &From) {
  TimePoint Now = steadyNow();
  if (m_Fetching || m_Beliefs.reading() || Now - m_FetchedAt < FetchEvery)
    return;
  std::vector<std::uint64_t> Own = m_Beliefs.reach();
  bool Behind = false;
  for (std::size_t I = 0; I < Own.size() && I < From.m_SyncedVersions.size();
       ++I)
    Behind = Behind || From.m_SyncedVersions[I] > Own[I];
  // In a large fleet few hear of a change from a reader itself; the others
  // have it from those.
  bool Carries = From.m_Sender.m_Region == m_State.m_Settings.m_Here.m_Region &&
                 (!m_State.m_Fleet.small() ||
                  m_State.m_Fleet.isReader(From.m_Sender.m_Vm, Now));
  // A VM that can't read the store takes any peer's word on routes.
  bool NewRoutes = From.m_ConfigVersion >
                   (m_State.m_Routes ? m_State.m_Routes->m_Version : 0);
  if (!(Carries && Behind) && !(NewRoutes && !m_Beliefs.storeReached()))
    return;
  m_Fetching = true;
  m_FetchedAt = Now;
  asio::co_spawn(
      m_State.m_Io,
      [this, Address = From.m_Sender.m_PeerAddress, Own]() {
        return fetchRows(Address, Own);
      },
      asio::detached);
}

awaitable<void> PeerLink::serveRows() {
  for (;;) {
    NetError Error;
    Tcp::socket Peer = co_await m_Acceptor.async_accept(noThrow(Error));
    if (Error) {
      logEvent(LogLevel::Warning, "peer-accept-failed",
               {{"cause", Error.message()}});
      co_await sleepFor(m_State.m_Io, FastestBeat);
      continue;
    }
    asio::co_spawn(
        m_State.m_Io,
        [this, Shared = std::make_shared<Tcp::socket>(std::move(Peer))]() {
          return answerQuestion(Shared);
        },
        asio::detached);
  }
}

awaitable<void> PeerLink::answerQuestion(std::shared_ptr<Tcp::socket> Peer) {
  CloseTimer Timer(m_State.m_Io);
  Timer.arm(*Peer, steadyNow() + FetchWithin);
  auto Asked = co_await readAll(*Peer, ReadPiece);
  std::optional<std::vector<std::uint64_t>> After;
  if (Asked)
    After = decodeRowsRequest(*Asked);
  if (!After) {
    logEvent(LogLevel::Warning, "rows-question-unreadable");
    co_return;
  }
  std::string Bytes = encodeRows(m_Beliefs.carried(*After));
  NetError Ignored; // The peer asks again.
  co_await asio::async_write(*Peer, asio::buffer(Bytes), noThrow(Ignored));
}

awaitable<void> PeerLink::fetchRows(std::string Address,
                                    std::vector<std::uint64_t> After) {
  Tcp::socket Socket(m_State.m_Io);
  CloseTimer Timer(m_State.m_Io);
  NetError Error = asio::error::make_error_code(asio::error::invalid_argument);
  std::optional<CarriedRows> Rows;
  if (auto To = endpointOf<Tcp>(Address)) {
    Socket.open(To->protocol(), Error);
    Timer.arm(Socket, steadyNow() + FetchWithin);
    if (!Error)
      co_await Socket.async_connect(*To, noThrow(Error));
    std::string Question = encodeRowsRequest(After);
    if (!Error)
      co_await asio::async_write(Socket, asio::buffer(Question),
                                 noThrow(Error));
    if (!Error)
      Socket.shutdown(Tcp::socket::shutdown_send, Error);
    if (!Error)
      if (auto Bytes = co_await readAll(Socket, MostRows))
        Rows = decodeRows(*Bytes);
    Timer.disarm();
  }
  m_Fetching = false;
  if (!Rows) {
    logEvent(LogLevel::Warning, "rows-from-peer-failed",
             {{"peer", Address},
              {"cause", Error ? Error.message() : "no readable answer"}});
    co_return;
  }
  logEvent(LogLevel::Info, "rows-from-peer",
           {{"peer", Address}, {"rows", std::to_string(Rows->m_Rows.size())}});
  m_Beliefs.takeOver(*Rows);
}

} // namespace mustardspoke::steer
