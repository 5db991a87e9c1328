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
  if (!m_State.m_Fleet.isSmall())
    return m_State.m_Settings.m_Fleet.m_LargeFleetHeartbeatInterval;
  return std::max(PerPeer * std::int64_t(m_State.m_Fleet.knownCount()),
                  FastestBeat);
}

Beat PeerLink::ownBeat(const RegionName &For) const {
  Beat Result;
  Result.m_From = m_State.m_Fleet.m_Self;
  Result.m_From.m_Ready = m_State.ready();
  Result.m_From.m_Leaving = m_State.m_Leaving;
  Result.m_From.m_FollowsStore = m_Beliefs.reading();
  Result.m_RoutesVersion = m_State.m_Routes ? m_State.m_Routes->m_Version : 0;
  Result.m_Reach = m_Beliefs.reach();
  bool All =
      For == m_State.m_Settings.m_Here.m_Region || m_State.m_Fleet.isSmall();
  Result.m_Ages = m_State.m_Fleet.agesToSend(steadyNow(), m_Round);
  m_State.m_Upstreams.forEach([&](const Upstream &One) {
    if (One.m_InFlight > 0 && (All || One.m_Registration.m_Region == For))
      Result.m_Loads.push_back({One.m_IdHash, One.ownActiveRequests()});
  });
  m_State.m_Shares.forEach(
      [&Result](std::uint64_t Service, double Local, double Busy) {
        Result.m_Shares.push_back({Service, Local, Busy});
      });
  return Result;
}

std::map<RegionName, std::string>
PeerLink::encodedBeats(std::span<const EntryVm> To) const {
  std::map<RegionName, std::string> Result;
  for (const EntryVm &One : To)
    if (std::string &Bytes = Result[One.m_Region]; Bytes.empty())
      Bytes = encodeBeat(ownBeat(One.m_Region));
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
    std::vector<EntryVm> Peers = m_State.m_Fleet.nextRecipients(m_Round);
    const RegionName &Here = m_State.m_Settings.m_Here.m_Region;
    auto Beats = encodedBeats(Peers);
    for (const EntryVm &One : Peers)
      send(Beats[One.m_Region], One.m_PeerAddress);
    // Without the store, seeds and whom they name are the only way to meet.
    if (!m_Beliefs.storeReached() && m_Round % 5 == 0) {
      Beat Mine = ownBeat(Here);
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
    co_await sleepFor(m_State.m_Io, Spent);
    TimePoint Now = steadyNow();
    auto Loads = m_State.m_Fleet.peerActiveRequests(Now);
    m_State.m_Upstreams.forEach([&Loads](Upstream &One) {
      auto Found = Loads.find(One.m_IdHash);
      One.m_PeerActiveRequests = Found == Loads.end() ? 0 : Found->second;
    });
    m_State.m_Shares.update(m_State.m_Upstreams, m_State.m_Settings.m_Here, Now,
                            m_State.m_Settings.m_LocalShare,
                            !m_State.m_Fleet.isSmall());
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
  if (m_State.m_Fleet.receivedHeartbeat(From.m_From, Now)) {
    logEvent(LogLevel::Info, "peer-changed",
             {{"peer", From.m_From.m_Vm.str()},
              {"incarnation", std::to_string(From.m_From.m_Incarnation)},
              {"ready", From.m_From.m_Ready ? "yes" : "no"},
              {"leaving", From.m_From.m_Leaving ? "yes" : "no"}});
    send(encodeBeat(ownBeat(From.m_From.m_Region)), From.m_From.m_PeerAddress);
  }
  for (const PeerAge &One : From.m_Ages)
    m_State.m_Fleet.receivedAge(One, Now);
  m_State.m_Fleet.setPeerLoads(From.m_From.m_Vm, From.m_Loads, Now);
  bool Near = From.m_From.m_Region == m_State.m_Settings.m_Here.m_Region;
  for (const PeerShare &One : From.m_Shares)
    if (Near)
      m_State.m_Shares.receivedLocalShare(One.m_ServiceHash, One.m_Local);
    else
      m_State.m_Shares.receivedRemoteUtilization(One.m_ServiceHash, One.m_Busy);
  // Whoever is named here will speak for itself once it is spoken to.
  for (const std::string &Other : From.m_Others)
    if (Other != m_State.m_Settings.m_PeerAddress)
      send(encodeBeat(ownBeat(From.m_From.m_Region)), Other);
  follow(From);
}

void PeerLink::follow(const Beat &From) {
  TimePoint Now = steadyNow();
  if (m_Fetching || m_Beliefs.reading() || Now - m_FetchedAt < FetchEvery)
    return;
  std::vector<std::uint64_t> Own = m_Beliefs.reach();
  bool Behind = false;
  for (std::size_t I = 0; I < Own.size() && I < From.m_Reach.size(); ++I)
    Behind = Behind || From.m_Reach[I] > Own[I];
  // In a large fleet few hear of a change from a reader itself; the others
  // have it from those.
  bool Carries = From.m_From.m_Region == m_State.m_Settings.m_Here.m_Region &&
                 (!m_State.m_Fleet.isSmall() ||
                  m_State.m_Fleet.isStoreReader(From.m_From.m_Vm, Now));
  // A VM that can't read the store takes any peer's word on routes.
  bool NewRoutes = From.m_RoutesVersion >
                   (m_State.m_Routes ? m_State.m_Routes->m_Version : 0);
  if (!(Carries && Behind) && !(NewRoutes && !m_Beliefs.storeReached()))
    return;
  m_Fetching = true;
  m_FetchedAt = Now;
  asio::co_spawn(
      m_State.m_Io,
      [this, Address = From.m_From.m_PeerAddress, Own]() {
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
    After = decodeQuestion(*Asked);
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
  std::optional<RelayedRows> Rows;
  if (auto To = endpointOf<Tcp>(Address)) {
    Socket.open(To->protocol(), Error);
    Timer.arm(Socket, steadyNow() + FetchWithin);
    if (!Error)
      co_await Socket.async_connect(*To, noThrow(Error));
    std::string Question = encodeQuestion(After);
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
