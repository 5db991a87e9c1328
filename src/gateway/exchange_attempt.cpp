/// \file
/// One attempt at an upstream: its connection and the request.
#include "gateway/exchange.h"

#include "observe/log.h"

namespace mustardspoke::steer {
namespace {

/// A request that is sent at once is acknowledged within a round trip. Twice
/// the first retransmissions on the longest path, so that single packet losses
/// don't end an attempt.
constexpr Duration AcknowledgementTimeout = 1500ms;
/// A connection takes one round trip, which is at most 110 ms.
constexpr Duration ConnectTimeout = 400ms;
/// A request that must not be retried uses recently used connections only: a
/// reset of an older one would leave its outcome unknown.
constexpr Duration MaxIdleUnsafe = 3s;

} // namespace

awaitable<UpstreamConnectionPtr> Exchange::connect(UpstreamPtr Target) {
  LinkState Links = m_State.m_OwnLinks.state();
  // What a peer asks for goes over this VM's own link, never to a third VM.
  bool UsesPeers =
      Links != LinkState::Up && !servesPeer() && m_State.hasRelay();
  if (Links != LinkState::Lost || !UsesPeers) {
    Duration MaxIdle = m_Route->idempotent() ? Duration::max() : MaxIdleUnsafe;
    if (mayReuseConnection())
      if (UpstreamConnectionPtr Kept =
              m_Pool.acquire(*Target, steadyNow(), MaxIdle, requestHash()))
        co_return Kept;
  }
  if (UsesPeers)
    co_return co_await connectToPeer(Target);
  co_return co_await openOwnConnection(Target);
}

awaitable<UpstreamConnectionPtr>
Exchange::openOwnConnection(UpstreamPtr Target) {
  UpstreamConnectionPtr Connection = co_await m_Pool.open(
      Target, std::min(ConnectTimeout, remaining()), m_Outcome.m_Error);
  if (Connection)
    m_State.m_OwnLinks.recordOpened();
  else
    m_Outcome.m_Cause = AttemptCause::Unreachable;
  co_return Connection;
}

std::string Exchange::requestHead(const Upstream &Target) const {
  const HttpHead &CallerHead = m_Request->m_Head;
  HeadWriter ForwardedHead =
      HeadWriter::request(CallerHead.m_Method, CallerHead.m_Target);
  HopByHopFields HopByHop(CallerHead);
  for (const HttpField &Field : CallerHead.m_Fields)
    if (!HopByHop.contains(Field.m_Name) &&
        !m_State.m_WireFormat.m_IsGatewayRequestField(Field.m_Name) &&
        !isRelayField(Field.m_Name) &&
        !(hidesCredential() &&
          m_State.m_WireFormat.m_IsCustomerField(Field.m_Name)))
      ForwardedHead.field(Field.m_Name, Field.m_Value);
  m_State.m_WireFormat.m_AddForwardFields(ForwardedHead, remaining(),
                                          Target.m_Registration.m_Id);
  if (m_Customer)
    m_State.m_WireFormat.m_AddCustomerField(ForwardedHead, m_Customer->m_Name);
  if (m_Connection->isToPeer())
    addRelayFields(ForwardedHead,
                   {runKey(Target.m_Registration), m_Route->idempotent()});
  if (CallerHead.m_Chunked)
    ForwardedHead.field("Transfer-Encoding", "chunked");
  else if (CallerHead.m_ContentLength)
    ForwardedHead.field("Content-Length", *CallerHead.m_ContentLength);
  return ForwardedHead.finish();
}

awaitable<bool> Exchange::sendRequest(UpstreamPtr Target) {
  std::string Head = requestHead(*Target);
  ++m_SentAttempts;
  m_Outcome.m_SentAt = steadyNow();
  if (!m_Connection->isToPeer())
    m_WaitGuard.emplace(m_State.m_OwnLinks);
  m_Connection->m_RequestUnanswered = true;
  m_Sender = new RequestSender(m_State.m_Io, m_State.m_Buffers, m_Connection,
                               m_Request, m_Caller);
  if (NetError Error = co_await m_Sender->start(std::move(Head))) {
    m_Outcome.m_Error = Error;
    co_return false;
  }
  if (requestIsSent())
    armAcknowledgement();
  co_return true;
}

void Exchange::armAcknowledgement() {
  m_AcknowledgementTimer.expires_at(
      toSteady(m_Outcome.m_SentAt + AcknowledgementTimeout));
  m_AcknowledgementTimer.async_wait(
      [Self = m_SelfHandle, Connection = m_Connection](const NetError &Error) {
        if (Error || !*Self || (*Self)->m_Connection != Connection)
          return;
        auto Undelivered = unacknowledgedBytes(Connection->m_Socket);
        if (Undelivered == 0U)
          (*Self)->watchPeer();
        else if (Undelivered)
          (*Self)->closeUpstream();
      });
}

void Exchange::watchPeer() {
  if (remaining() > KeepAliveTime)
    m_Connection->watchPeer();
}

void Exchange::returnUnusedConnection(Upstream &Target) {
  if (m_Connection->m_Reused && m_Connection->isToPeer())
    m_Pool.release(m_Connection, steadyNow());
  else if (m_Connection->m_Reused)
    m_Pool.release(Target, m_Connection, steadyNow());
  m_Connection.reset();
}

awaitable<AttemptResult> Exchange::attempt(UpstreamPtr Target, bool IsTrial) {
  m_Outcome = {};
  m_Outcome.m_BeganAt = steadyNow();
  m_Outcome.m_IsTrial = IsTrial;
  m_BufferedResponse.reset();
  // The load that a peer causes for this VM is counted by this VM only.
  if (!servesPeer())
    m_InFlightGuard.emplace(Target);
  // The upstream may start again elsewhere while the connection is opened.
  std::string Address = Target->m_Registration.m_Address;
  m_Connection = co_await connect(Target);
  if (m_Connection) {
    m_Outcome.m_Peer = m_Connection->m_Peer;
    // While the connection was opened, the upstream may have announced its end
    // or asked for a pause, and the configuration may have changed.
    std::string_view Refusal = sendRefusal(*Target, m_Outcome.m_PeerRegion);
    m_Outcome.m_IsOwnRefusal = !Refusal.empty();
    if (Refusal.empty() && Target->m_Registration.m_Address != Address)
      Refusal = "moved";
    Exclusion Excluded = m_State.m_Upstreams.exclusion(*Target, steadyNow());
    if (Refusal.empty() && Excluded != Exclusion::None)
      Refusal = exclusionName(Excluded);
    if (cancelled() ||
        (Refusal.empty() && !servesPeer() && !claimSend(IsTrial)))
      Refusal = "withheld";
    if (!Refusal.empty()) {
      m_Outcome.m_Cause = Refusal;
      returnUnusedConnection(*Target);
    } else {
      m_Outcome.m_Result = co_await sendRequest(Target)
                               ? co_await readResponse(Target)
                               : lostAttempt("send-failed");
    }
  }
  if (RequestSenderPtr Sender = std::exchange(m_Sender, nullptr))
    co_await Sender->stop();
  m_Connection.reset();
  m_AcknowledgementTimer.cancel();
  m_InFlightGuard.reset();
  m_WaitGuard.reset();
  co_await recordOutcome(Target);
  co_return m_Outcome.m_Result;
}

} // namespace mustardspoke::steer
