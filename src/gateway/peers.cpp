/// \file
/// Sockets of the inner protocol.
#include "gateway/peers.h"

#include "gateway/crash_report.h"
#include "gateway/limit_report.h"
#include "gateway/task.h"
#include "observe/log.h"

#include <boost/asio/write.hpp>

namespace mustardspoke::steer {
namespace {

/// Heartbeat interval of a small fleet. In-flight counts change completely in
/// about this time.
constexpr Duration MinHeartbeatInterval = 100ms;
/// A small fleet's heartbeat interval grows with its size.
constexpr Duration IntervalPerPeer = 8ms;
/// Every n-th heartbeat contains the sender's names and addresses.
constexpr unsigned FullHeartbeatInterval = 8;
/// Every n-th heartbeat goes to the seeds as well, without the store.
constexpr unsigned SeedContactInterval = 5;
constexpr std::size_t MaxDatagramSize = 60000;  // bytes
constexpr std::size_t MaxRowsMessage = 8 << 20; // bytes
/// Peer addresses in one heartbeat.
constexpr std::size_t MaxPeerAddresses = 8;
constexpr Duration FetchTimeout = 2s;
/// A fetch that takes longer doesn't keep others from being begun.
constexpr Duration SlowFetchTime = 500ms;
constexpr std::size_t MaxFetches = 4;
/// News that arrive within this time are sent together.
constexpr Duration NewsDelay = 10ms;
/// Minimum time between fetches, so that a series of changes takes few
/// messages.
constexpr Duration MinFetchInterval = 250ms;
constexpr std::size_t ReadBufferSize = 16384; // bytes

/// \brief Reads until the other side closes. \returns Nothing on an error.
awaitable<std::optional<std::string>> readAll(Tcp::socket &Socket,
                                              std::size_t MaxBytes) {
  std::string Bytes;
  std::string Buffer(ReadBufferSize, '\0');
  NetError Error;
  while (!Error && Bytes.size() < MaxBytes) {
    std::size_t BytesRead =
        co_await Socket.async_read_some(asio::buffer(Buffer), noThrow(Error));
    Bytes.append(Buffer, 0, BytesRead);
  }
  if (Error != asio::error::eof)
    co_return std::nullopt;
  co_return Bytes;
}

} // namespace

PeerService::PeerService(GatewayState &State, StoreReplica &Replica)
    : m_State(State), m_Replica(Replica), m_Socket(State.m_Io),
      m_Acceptor(State.m_Io) {}

NetError PeerService::start(const AddressBinder &Binder) {
  const std::string &Address = m_State.m_Settings.m_PeerAddress;
  NetError Error = Binder.bind(m_Socket, Address);
  if (!Error)
    m_Socket.non_blocking(true, Error);
  if (!Error)
    Error = Binder.listen(m_Acceptor, Address);
  if (Error)
    return Error;
  m_State.m_OnNews = [this] { sendNewsSoon(); };
  m_State.m_OwnLinks.m_OnChange = [this] {
    m_State.m_Fleet.m_Self.m_Links = m_State.m_OwnLinks.state();
    sendNewsSoon();
  };
  startService(m_State.m_Io, "peers-receive",
               [this]() { return receiveLoop(); });
  startService(m_State.m_Io, "peers-send",
               [this]() { return heartbeatLoop(); });
  startService(m_State.m_Io, "peers-rows", [this]() { return serveRows(); });
  return Error;
}

Duration PeerService::heartbeatInterval() const {
  if (!m_State.m_Fleet.isSmall())
    return m_State.m_Settings.m_Fleet.m_LargeFleetHeartbeatInterval;
  return std::max(IntervalPerPeer * std::int64_t(m_State.m_Fleet.knownCount()),
                  MinHeartbeatInterval);
}

Heartbeat PeerService::ownHeartbeat(const RegionName &Region) const {
  Heartbeat Result;
  Result.m_Sender = m_State.m_Fleet.m_Self;
  Result.m_Sender.m_Ready = m_State.ready();
  Result.m_Sender.m_Leaving = m_State.m_Leaving;
  Result.m_Sender.m_FollowsStore = m_Replica.readsStore();
  Result.m_Sender.m_Links = m_State.m_OwnLinks.state();
  Result.m_Sender.m_ContactAge = m_State.m_OwnLinks.contactAge();
  if (Region == m_State.m_Settings.m_Placement.m_Region)
    Result.m_ReaderAges = m_State.m_Fleet.readerAgesToSend(steadyNow());
  // A version in a heartbeat confirms that of peers that were paused.
  bool InDoubt =
      m_State.m_Freshness.isInDoubt(m_State.routesVersion(), steadyNow());
  Result.m_ConfigVersion = InDoubt ? 0 : m_State.routesVersion();
  Result.m_SyncedVersions = m_Replica.syncedVersions();
  Result.m_AnnouncedRuns = m_State.m_Upstreams.recentAnnouncements(steadyNow());
  Result.m_RemovedRuns = m_State.m_Upstreams.recentRemovals(steadyNow());
  Result.m_Limits = limitsToSend(m_State.m_Upstreams, steadyNow());
  Result.m_Crashes =
      m_State.m_CrashSuspects.reportsToSend(steadyNow(), m_Round);
  bool AllUpstreams = Region == m_State.m_Settings.m_Placement.m_Region ||
                      m_State.m_Fleet.isSmall();
  Result.m_PeerAges = m_State.m_Fleet.agesToSend(steadyNow(), m_Round);
  m_State.m_Upstreams.forEach([&](const Upstream &Target) {
    if (Target.m_InFlight > 0 &&
        (AllUpstreams || Target.m_Registration.m_Region == Region))
      Result.m_UpstreamLoads.push_back(
          {loadKey(Target.m_IdHash), Target.ownActiveRequests()});
  });
  Result.m_CustomerLoads = m_State.m_Quotas.loadsToSend(
      Region == m_State.m_Settings.m_Placement.m_Region, steadyNow());
  m_State.m_LocalShares.forEach([&](const ServiceName &Service,
                                    const LocalShareState &State) {
    // The own region needs the share, the others the utilization.
    if (Region != m_State.m_Settings.m_Placement.m_Region || State.m_IsAdjusted)
      Result.m_ServiceShares.push_back(
          {stableHash(Service.str()), State.m_Share, State.m_Utilization});
  });
  if (Region == m_State.m_Settings.m_Placement.m_Region)
    m_State.m_Admission.forEach(
        [&](const ServiceName &Service, const AdmissionControl &Control) {
          if (auto Fraction = Control.fractionToSend()) {
            ServiceShare Entry;
            Entry.m_ServiceHash = AdmissionControls::messageKey(Service);
            Entry.m_RefusedFraction = *Fraction;
            Result.m_ServiceShares.push_back(Entry);
          }
        });
  return Result;
}

const std::string &
PeerService::HeartbeatCache::bytesFor(const RegionName &Region, bool Brief) {
  std::string &Bytes = m_Bytes[{Region, Brief}];
  if (Bytes.empty()) {
    Heartbeat Message = m_Owner.ownHeartbeat(Region);
    if (Brief)
      Message.m_BriefSenderHash = stableHash(Message.m_Sender.m_Vm.str());
    Bytes = encodeHeartbeat(Message);
  }
  return Bytes;
}

void PeerService::send(const std::string &Bytes, const std::string &Address) {
  auto Endpoint = parseEndpoint<Udp>(Address);
  if (!Endpoint)
    return;
  // A datagram that can't be sent now is simply lost; the next heartbeat
  // replaces it.
  NetError Ignored;
  m_Socket.send_to(asio::buffer(Bytes), *Endpoint, 0, Ignored);
}

void PeerService::broadcastHeartbeat() {
  HeartbeatCache Heartbeats(*this);
  for (const EntryVm &Peer : m_State.m_Fleet.peers())
    send(Heartbeats.bytesFor(Peer.m_Region, false), Peer.m_PeerAddress);
}

void PeerService::sendNewsSoon() {
  if (std::exchange(m_NewsPending, true))
    return;
  startTask(m_State.m_Io, "peers-news", [this]() { return sendNews(); });
}

awaitable<void> PeerService::sendNews() {
  co_await sleepFor(m_State.m_Io, NewsDelay);
  m_NewsPending = false;
  if (m_State.m_Fleet.isSmall())
    broadcastHeartbeat();
  else
    (void)sendHeartbeats();
}

std::vector<Fleet::Recipient> PeerService::sendHeartbeats() {
  HeartbeatCache Heartbeats(*this);
  std::vector<Fleet::Recipient> Peers = m_State.m_Fleet.nextRecipients(
      m_Round, steadyNow(), m_State.m_InFlight > 0);
  for (const Fleet::Recipient &Peer : Peers) {
    bool Brief = !Peer.m_FirstContact && m_Round % FullHeartbeatInterval != 0;
    send(Heartbeats.bytesFor(Peer.m_State.m_Region, Brief),
         Peer.m_State.m_PeerAddress);
  }
  ++m_Round;
  return Peers;
}

void PeerService::refreshQuotas() {
  if (m_State.m_Quotas.size() == 0)
    return;
  TimePoint Now = steadyNow();
  m_State.m_Quotas.refresh(quotaFleet(m_State.m_Fleet, Now), Now);
  m_QuotaLog.logChanges(m_State.m_Quotas, Now);
}

awaitable<void> PeerService::heartbeatLoop() {
  const std::string &OwnAddress = m_State.m_Settings.m_PeerAddress;
  std::string Port = OwnAddress.substr(OwnAddress.rfind(':'));
  for (;;) {
    const RegionName &LocalRegion = m_State.m_Settings.m_Placement.m_Region;
    m_State.noticePause();
    refreshQuotas();
    bool ContactsSeeds = m_Round % SeedContactInterval == 0;
    std::vector<Fleet::Recipient> Peers = sendHeartbeats();
    // Without the store, peers are found only through the seeds and the
    // addresses that they name.
    if (!m_Replica.storeReachable() && ContactsSeeds) {
      Heartbeat OwnState = ownHeartbeat(LocalRegion);
      for (const Fleet::Recipient &Peer : Peers)
        if (OwnState.m_KnownPeerAddresses.size() < MaxPeerAddresses)
          OwnState.m_KnownPeerAddresses.push_back(Peer.m_State.m_PeerAddress);
      std::string Bytes = encodeHeartbeat(OwnState);
      for (const std::string &Ip : m_State.m_Settings.m_SeedIps)
        if (Ip + Port != OwnAddress)
          send(Bytes, Ip + Port);
    }
    Duration Interval = heartbeatInterval();
    co_await sleepFor(m_State.m_Io, Interval);
    TimePoint Now = steadyNow();
    auto Loads = m_State.m_Fleet.peerActiveRequests(Now);
    const UpstreamHealthTuning &Tuning =
        m_State.m_Settings.m_Choice.m_HealthTuning;
    m_State.m_Upstreams.forEach([&](Upstream &Target) {
      auto Found = Loads.find(loadKey(Target.m_IdHash));
      Target.m_PeerActiveRequests = Found == Loads.end() ? 0 : Found->second;
      Target.sampleLoad(Now, Tuning);
    });
    // What a VM sees of the upstreams is no reason to move keys while its own
    // links may be to blame.
    if (!m_State.m_Fleet.m_Self.m_DoubtsLinks)
      m_State.m_LocalShares.update(
          m_State.m_Upstreams, m_State.m_Settings.m_Placement, Now,
          m_State.m_Settings.m_LocalShare, !m_State.m_Fleet.isSmall());
    m_State.m_Admission.update(m_State.m_LocalShares,
                               !m_State.m_Fleet.m_Self.m_DoubtsLinks, Now,
                               m_State.m_Settings.m_Admission);
    m_ShareLog.logChanges(m_State.m_LocalShares);
    m_AdmissionLog.logChanges(m_State.m_Admission, Now);
  }
}

awaitable<void> PeerService::receiveLoop() {
  std::string Bytes(MaxDatagramSize, '\0');
  for (;;) {
    NetError Error;
    Udp::endpoint Sender;
    std::size_t BytesRead = co_await m_Socket.async_receive_from(
        asio::buffer(Bytes), Sender, noThrow(Error));
    if (Error)
      continue; // A peer's port was closed; other peers may still send.
    m_State.noticePause();
    auto Heartbeat =
        decodeHeartbeat(std::string_view(Bytes).substr(0, BytesRead));
    // A brief heartbeat of a sender that isn't known yet is of no use; a full
    // one follows.
    if (Heartbeat && Heartbeat->m_BriefSenderHash &&
        !completeIdentity(*Heartbeat))
      continue;
    if (Heartbeat && !Heartbeat->m_Sender.m_Vm.empty())
      handleHeartbeat(*Heartbeat);
    else
      logEvent(LogLevel::Warning, "beat-unreadable",
               {{"from", Sender.address().to_string()}});
  }
}

bool PeerService::completeIdentity(Heartbeat &Brief) const {
  EntryVm &Sender = Brief.m_Sender;
  const EntryVm *Known =
      m_State.m_Fleet.findPeer(*Brief.m_BriefSenderHash, Sender.m_Incarnation);
  if (!Known)
    return false;
  Sender.m_Vm = Known->m_Vm;
  Sender.m_Region = Known->m_Region;
  Sender.m_Domain = Known->m_Domain;
  Sender.m_CallerAddress = Known->m_CallerAddress;
  Sender.m_PeerAddress = Known->m_PeerAddress;
  return true;
}

void PeerService::handleHeartbeat(const Heartbeat &Heartbeat) {
  TimePoint Now = steadyNow();
  if (m_State.m_Fleet.receivedHeartbeat(Heartbeat.m_Sender, Now)) {
    logEvent(
        LogLevel::Info, "peer-changed",
        {{"peer", Heartbeat.m_Sender.m_Vm.str()},
         {"incarnation", std::to_string(Heartbeat.m_Sender.m_Incarnation)},
         {"ready", Heartbeat.m_Sender.m_Ready ? "yes" : "no"},
         {"leaving", Heartbeat.m_Sender.m_Leaving ? "yes" : "no"},
         {"links", std::string(linkStateName(Heartbeat.m_Sender.m_Links))}});
    send(encodeHeartbeat(ownHeartbeat(Heartbeat.m_Sender.m_Region)),
         Heartbeat.m_Sender.m_PeerAddress);
  }
  if (Heartbeat.m_Sender.m_DoubtsLinks)
    m_State.m_OwnLinks.notifyChange();
  noteReportedRoutes(Heartbeat);
  m_Replica.receivedDepartures(Heartbeat.m_AnnouncedRuns,
                               Heartbeat.m_RemovedRuns,
                               Heartbeat.m_Sender.m_Vm);
  applyPeerLimits(m_State.m_Upstreams, Heartbeat.m_Limits,
                  Heartbeat.m_Sender.m_Vm, Now);
  applyCrashReports(m_State, Heartbeat.m_Crashes,
                    Heartbeat.m_Sender.m_Vm.str());
  for (const PeerAge &Age : Heartbeat.m_PeerAges)
    m_State.m_Fleet.receivedAge(Age, Now);
  m_State.m_Fleet.setPeerLoads(Heartbeat.m_Sender.m_Vm,
                               Heartbeat.m_UpstreamLoads, Now);
  bool IsLocal =
      Heartbeat.m_Sender.m_Region == m_State.m_Settings.m_Placement.m_Region;
  m_State.m_Quotas.receivedLoads(
      Heartbeat.m_Sender.m_Vm,
      IsLocal ? std::nullopt : std::optional(Heartbeat.m_Sender.m_Region),
      Heartbeat.m_CustomerLoads, Now);
  if (IsLocal)
    for (const PeerAge &Age : Heartbeat.m_ReaderAges)
      m_State.m_Fleet.receivedReaderAge(Age, Now);
  for (const ServiceShare &Share : Heartbeat.m_ServiceShares)
    if (IsLocal) {
      m_State.m_LocalShares.receivedLocalShare(Share.m_ServiceHash,
                                               Share.m_LocalShare);
      m_State.m_Admission.receivedPeerFraction(Share.m_ServiceHash,
                                               Share.m_RefusedFraction);
    } else {
      m_State.m_LocalShares.receivedRemoteUtilization(Share.m_ServiceHash,
                                                      Share.m_Utilization);
    }
  // A VM that is named here answers with a heartbeat of its own.
  for (const std::string &Address : Heartbeat.m_KnownPeerAddresses)
    if (Address != m_State.m_Settings.m_PeerAddress)
      send(encodeHeartbeat(ownHeartbeat(Heartbeat.m_Sender.m_Region)), Address);
  fetchRowsIfBehind(Heartbeat);
}

void PeerService::noteReportedRoutes(const Heartbeat &Heartbeat) {
  std::uint64_t Own = m_State.routesVersion();
  if (m_State.m_Freshness.recordReport(Heartbeat.m_ConfigVersion, Own,
                                       steadyNow()))
    logEvent(LogLevel::Info, "configuration-behind",
             {{"version", std::to_string(Own)},
              {"newest", std::to_string(Heartbeat.m_ConfigVersion)},
              {"peer", Heartbeat.m_Sender.m_Vm.str()},
              {"peerRegion", Heartbeat.m_Sender.m_Region.str()}});
}

bool PeerService::mayFetch(const std::string &Address, TimePoint Now) const {
  Duration Age = Now - m_LastFetchAt;
  if (m_FetchingFrom.empty())
    return Age >= MinFetchInterval;
  // A peer that has vanished or is suspended must not hold up the rows of
  // others.
  return Age >= SlowFetchTime && m_FetchingFrom.size() < MaxFetches &&
         !m_FetchingFrom.contains(Address);
}

void PeerService::fetchRowsIfBehind(const Heartbeat &Heartbeat) {
  TimePoint Now = steadyNow();
  if (!mayFetch(Heartbeat.m_Sender.m_PeerAddress, Now))
    return;
  std::vector<std::uint64_t> OwnVersions = m_Replica.syncedVersions();
  // In a large fleet only a few VMs get heartbeats from a store reader itself;
  // the others fetch rows from those VMs.
  bool SenderRelays =
      Heartbeat.m_Sender.m_Region == m_State.m_Settings.m_Placement.m_Region &&
      (!m_State.m_Fleet.isSmall() ||
       m_State.m_Fleet.isStoreReader(Heartbeat.m_Sender.m_Vm, Now));
  // A VM that can't read the store, whose reads are old, or that was paused,
  // takes the rows of any peer with a newer configuration.
  std::uint64_t OwnRoutes = m_State.routesVersion();
  Duration Lag =
      m_State.m_Freshness.lag(OwnRoutes, Now).value_or(Duration::zero());
  bool MayWait = m_Replica.storeReachable() &&
                 !m_State.m_Freshness.isUnconfirmed() &&
                 Lag < RowLag::ReaderDelay;
  bool WantsRoutes = Heartbeat.m_ConfigVersion > OwnRoutes && !MayWait;
  bool IsBehind = SenderRelays &&
                  m_RowLag.mustFetch(OwnVersions, Heartbeat.m_SyncedVersions,
                                     m_Replica.readsStore(), Now);
  if (!IsBehind && !WantsRoutes)
    return;
  m_FetchingFrom.insert(Heartbeat.m_Sender.m_PeerAddress);
  m_LastFetchAt = Now;
  std::string From = Heartbeat.m_Sender.m_PeerAddress;
  startTask(
      m_State.m_Io, "peers-fetch",
      [this, From, OwnVersions]() { return fetchRows(From, OwnVersions); },
      [this, From] { m_FetchingFrom.erase(From); });
}

awaitable<void> PeerService::serveRows() {
  for (;;) {
    NetError Error;
    Tcp::socket Peer = co_await m_Acceptor.async_accept(noThrow(Error));
    if (Error) {
      logEvent(LogLevel::Warning, "peer-accept-failed",
               {{"cause", Error.message()}});
      co_await sleepFor(m_State.m_Io, MinHeartbeatInterval);
      continue;
    }
    startTask(m_State.m_Io, "peers-rows-request",
              [this, PeerSocket = std::make_shared<Tcp::socket>(std::move(
                         Peer))]() { return serveRowsRequest(PeerSocket); });
  }
}

awaitable<void>
PeerService::serveRowsRequest(std::shared_ptr<Tcp::socket> Peer) {
  CloseTimer Timer(m_State.m_Io);
  Timer.arm(*Peer, steadyNow() + FetchTimeout);
  auto Request = co_await readAll(*Peer, ReadBufferSize);
  std::optional<std::vector<std::uint64_t>> After;
  if (Request)
    After = decodeRowsRequest(*Request);
  if (!After) {
    logEvent(LogLevel::Warning, "rows-question-unreadable");
    co_return;
  }
  if (m_State.m_Buffers.room() == BufferRoom::None) {
    logEvent(LogLevel::Warning, "rows-not-sent", {{"why", "buffers-full"}});
    co_return; // The peer asks again, this VM or another one.
  }
  std::string Bytes = encodeRows(m_Replica.relayedRows(*After));
  BufferCharge Charge(m_State.m_Buffers);
  Charge.set(Bytes.capacity());
  NetError Ignored; // On an error the peer asks again.
  co_await asio::async_write(*Peer, asio::buffer(Bytes), noThrow(Ignored));
}

awaitable<void> PeerService::fetchRows(std::string Address,
                                       std::vector<std::uint64_t> After) {
  Tcp::socket Socket(m_State.m_Io);
  CloseTimer Timer(m_State.m_Io);
  NetError Error = asio::error::make_error_code(asio::error::invalid_argument);
  std::optional<RelayedRows> Rows;
  if (auto Endpoint = parseEndpoint<Tcp>(Address)) {
    Socket.open(Endpoint->protocol(), Error);
    Timer.arm(Socket, steadyNow() + FetchTimeout);
    if (!Error)
      co_await Socket.async_connect(*Endpoint, noThrow(Error));
    std::string Request = encodeRowsRequest(After);
    if (!Error)
      co_await asio::async_write(Socket, asio::buffer(Request), noThrow(Error));
    if (!Error)
      Socket.shutdown(Tcp::socket::shutdown_send, Error);
    if (!Error)
      if (auto Bytes = co_await readAll(Socket, MaxRowsMessage))
        Rows = decodeRows(*Bytes);
    Timer.disarm();
  }
  m_FetchingFrom.erase(Address);
  if (!Rows) {
    logEvent(LogLevel::Warning, "rows-from-peer-failed",
             {{"peer", Address},
              {"cause", Error ? Error.message() : "no readable answer"}});
    co_return;
  }
  std::optional<Duration> ReaderAge = m_State.m_Fleet.readerAge(steadyNow());
  logEvent(
      LogLevel::Info, "rows-from-peer",
      {{"peer", Address},
       {"rows", std::to_string(Rows->m_Rows.size())},
       {"readerAgeMs", ReaderAge ? std::to_string(toMillis(*ReaderAge)) : ""}});
  m_Replica.applyRelayedRows(*Rows);
}

} // namespace mustardspoke::steer
