/// \file
/// Routing, attempts and final response of one request.
#include "gateway/exchange.h"

#include "gateway/crash_report.h"
#include "gateway/request_routing.h"
#include "gateway/task.h"
#include "observe/log.h"

namespace mustardspoke::steer {
namespace {

/// Retry-After of refusals for a missing configuration or service; both arrive
/// within seconds.
constexpr Duration MissingConfigRetryAfter = 500ms;
/// Callers that don't read hold most of the buffers; the system ends their
/// connections within seconds.
constexpr Duration BuffersFullRetryAfter = 500ms;
/// Lost links are probed more often than this.
constexpr Duration LostLinksRetryAfter = 500ms;
/// After the start of the process, requests wait this long for the first read
/// of the store, which usually takes some milliseconds: a refusal would cost
/// their callers a retry.
constexpr Duration FirstReadWait = 500ms;
constexpr Duration FirstReadPollInterval = 10ms;
/// Attempts of one request that may fail before anything is sent: enough to
/// skip a handful of upstreams that have just vanished.
constexpr unsigned MaxUnsentAttempts = 6;
/// A retry with less time than this can't be answered before the deadline.
constexpr Duration MinRetryTime = 60ms;
/// A request under which so many upstreams have ended isn't sent to another one
/// for the same caller.
constexpr unsigned MaxEndedUpstreams = 2;
/// A route whose answers were streamed is expected to go on so for this time.
constexpr Duration StreamMemory = 1min;
/// Reason of the end of a request after an exception.
constexpr std::string_view Failed = "failed";
/// Reason of refusals of requests without a valid key.
constexpr std::string_view UnknownKey = "unknown-key";
/// Reason of refusals of requests over their customer's quota.
constexpr std::string_view OverQuota = "over-quota";
/// Reason of refusals of requests that no region may serve.
constexpr std::string_view NoRegion = "no-region";
/// Retry-After of the latter: only a new configuration helps.
constexpr Duration NoRegionRetryAfter = 5s;
/// Reason of refusals of the least urgent requests while their service is short
/// of capacity.
constexpr std::string_view Shortage = "shortage";
/// Reason of refusals of requests that the end of a shutdown may cut off.
constexpr std::string_view Leaving = "leaving";
/// Reason of refusals of requests that end their upstreams.
constexpr std::string_view CrashesUpstreams = "crashes-upstreams";

Duration residencyRetryAfter(std::string_view Reason) {
  return Reason == NoRegion ? NoRegionRetryAfter : MissingConfigRetryAfter;
}

} // namespace

Exchange::Exchange(GatewayState &State, UpstreamPool &Pool,
                   CallerConnectionPtr Caller, PendingRequestPtr Request,
                   Source From)
    : m_State(State), m_Pool(Pool), m_Caller(std::move(Caller)),
      m_Request(std::move(Request)), m_Source(From), m_Timer(State.m_Io),
      m_AcknowledgementTimer(State.m_Io), m_ResponseCharge(State.m_Buffers) {
  Duration ReadDelay = State.m_ReadDelay.estimate(steadyNow());
  m_ArrivedAt =
      m_Request->m_ReadAt - (m_Request->m_IsFirst ? 2 : 1) * ReadDelay;
  ++m_State.m_InFlight;
  m_LinkListener.m_OnLinksLost = [this] { leaveOwnLink(); };
  m_State.m_OwnLinks.addListener(m_LinkListener);
  m_StopListener.m_OnStop = [this] { expire("stopped"); };
  m_State.m_StopListeners.push_back(m_StopListener);
}

Exchange::~Exchange() {
  *m_SelfHandle = nullptr;
  m_Request->m_OnDisconnect = nullptr;
  --m_State.m_InFlight;
}

void Exchange::closeUpstream() {
  if (!m_Connection)
    return;
  NetError Ignored;
  m_Connection->m_Socket.close(Ignored);
}

awaitable<bool> Exchange::run() {
  m_State.m_LastRequest = steadyNow();
  m_Request->m_OnDisconnect = [this] { closeUpstream(); };
  m_Metadata = m_State.m_WireFormat.m_ReadRequestMetadata(m_Request->m_Head);
  m_HeadDigest = digestHead(m_Request->m_Head, m_Metadata);
  bool Keep = false;
  std::exception_ptr Thrown;
  try {
    if (servesPeer())
      Keep = co_await serveRelayed();
    else
      Keep = co_await route();
  } catch (...) {
    Thrown = std::current_exception();
  }
  if (Thrown)
    Keep = co_await endAfterFailure(Thrown);
  m_Timer.cancel();
  returnUnusedQuota(); // Requests may end without an answer.
  co_return Keep;
}

awaitable<bool> Exchange::endAfterFailure(std::exception_ptr Thrown) {
  logFailure("request " + m_Metadata.m_RequestId, Thrown);
  closeUpstream();
  if (RequestSenderPtr Sender = std::exchange(m_Sender, nullptr))
    co_await Sender->stop();
  m_Connection.reset();
  m_InFlightGuard.reset();
  m_WaitGuard.reset();
  if (m_ResponseStarted || m_Caller->disconnected()) {
    m_Caller->abort();
    co_return false;
  }
  bool MayHaveRun = m_SentAttempts > 0;
  m_MayHaveRun = m_MayHaveRun || MayHaveRun;
  if (servesPeer())
    co_return co_await sendRelayOutcome(
        MayHaveRun ? RelayResult::Lost : RelayResult::NotSent, Failed);
  co_return co_await refuse(
      MayHaveRun ? ErrorKind::UpstreamLost : ErrorKind::InternalError,
      errorInfo(ErrorKind::InternalError).m_RetryAfter, Failed);
}

awaitable<bool> Exchange::route() {
  if (m_Request->m_HeadTimedOut || requestBroke())
    co_return co_await refuseUnreadable();
  if (m_State.m_Buffers.room() == BufferRoom::None) {
    ++m_State.m_Buffers.m_Counters.m_Refused;
    co_return co_await refuse(ErrorKind::NoCapacity, BuffersFullRetryAfter,
                              "buffers-full");
  }
  co_await waitForFirstRead();
  co_await waitForConfirmation();
  m_Routes = m_State.m_Routes;
  if (!m_Routes)
    co_return co_await refuse(ErrorKind::NoBundle, MissingConfigRetryAfter,
                              "no-configuration");
  m_Route = findRoute(*m_Routes, m_Request->m_Head);
  if (!m_Route)
    co_return co_await refuse(ErrorKind::UnknownService, Duration::zero(),
                              "no-route");
  if (!identifyCustomer())
    co_return co_await refuse(ErrorKind::UnknownKey, Duration::zero(),
                              UnknownKey);
  if (std::string_view Reason = residencyRefusal(); !Reason.empty())
    co_return co_await refuse(ErrorKind::NoCapacity,
                              residencyRetryAfter(Reason), Reason);
  Duration CallerTimeout =
      m_Metadata.m_CallerTimeout.value_or(m_Route->m_Timeout);
  m_Deadline = m_ArrivedAt + std::min(CallerTimeout, m_Route->m_Timeout);
  if (m_State.mayCutOff(m_Deadline))
    co_return co_await refuse(ErrorKind::Leaving,
                              errorInfo(ErrorKind::Leaving).m_RetryAfter,
                              Leaving);
  if (!takeQuota())
    co_return co_await refuse(
        ErrorKind::OverQuota,
        m_State.m_Quotas.retryAfter(stableHash(m_Customer->m_Name.str()),
                                    steadyNow()),
        OverQuota);
  if (!mayStream())
    m_Caller->noteWholeAnswer(m_Request);
  // If an earlier response closes the connection, the caller sends this request
  // again, so it must not have been started by then.
  bool IsConnected = m_Route->idempotent()
                         ? co_await m_Caller->waitForWholeAnswers(m_Request)
                         : co_await m_Caller->waitForTurn(m_Request);
  if (!IsConnected)
    co_return false;
  m_TargetService = m_State.m_TrafficSplit.next(*m_Route);
  if (!isAdmitted())
    co_return co_await refuse(ErrorKind::NoCapacity,
                              m_State.m_Admission.of(m_TargetService)
                                  .retryAfter(priority(), admissionHash(),
                                              m_State.m_Settings.m_Admission),
                              Shortage);
  m_State.m_RetryBudgets[m_TargetService].recordRequest(steadyNow());
  const GatewaySettings &Settings = m_State.m_Settings;
  m_State.m_LocalShares.deriveMissing(m_TargetService, m_State.m_Upstreams,
                                      Settings.m_Placement, steadyNow(),
                                      Settings.m_LocalShare);
  m_State.m_LocalShares.recordRequest(m_TargetService, Settings.m_LocalShare);
  armDeadline();
  co_return co_await runAttempts();
}

bool Exchange::identifyCustomer() {
  if (!hidesCredential())
    return true;
  m_Customer = m_Routes->m_Customers.findByKey(m_Metadata.m_CustomerKey);
  return m_Customer || m_Route->m_IsPublic;
}

Priority Exchange::priority() const noexcept {
  return m_Customer ? m_Customer->m_Priority.value_or(m_Route->m_Priority)
                    : m_Route->m_Priority;
}

std::uint64_t Exchange::admissionHash() const {
  // Requests without an identifier must not all be decided alike.
  return m_Metadata.m_RequestId.empty()
             ? stableHash("",
                          std::uint64_t(m_ArrivedAt.time_since_epoch().count()))
             : requestHash();
}

bool Exchange::isAdmitted() {
  AdmissionControl &Control = m_State.m_Admission.of(m_TargetService);
  Control.recordOffered(priority(), steadyNow());
  if (Control.admits(priority(), admissionHash()))
    return true;
  Control.recordRefused(priority());
  return false;
}

bool Exchange::takeQuota() {
  if (!m_Customer || !m_Customer->m_Quota.isLimited())
    return true;
  std::uint64_t Hash = stableHash(m_Customer->m_Name.str());
  if (!m_State.m_Quotas.admit(Hash, steadyNow()))
    return false;
  m_QuotaHash = Hash;
  return true;
}

void Exchange::returnUnusedQuota() {
  std::optional<std::uint64_t> Hash = std::exchange(m_QuotaHash, std::nullopt);
  if (Hash && m_SentAttempts == 0)
    m_State.m_Quotas.giveBack(*Hash, steadyNow());
}

Residency Exchange::residency() const {
  const RouteTablePtr &Newest = m_State.m_Routes;
  if (!Newest || Newest == m_Routes)
    return m_Route ? Residency(*m_Route, m_Customer) : Residency::anywhere();
  const Route *Current = findRoute(*Newest, m_Request->m_Head);
  // A peer names the customer and keeps the key to itself, unless it knows of
  // no customers.
  const Customer *Owner =
      servesPeer() && m_Metadata.m_CustomerKey.empty()
          ? Newest->m_Customers.find(CustomerName(m_Metadata.m_CustomerName))
          : Newest->m_Customers.findByKey(m_Metadata.m_CustomerKey);
  return Residency(Current ? *Current : *m_Route, Owner ? Owner : m_Customer);
}

awaitable<void> Exchange::waitForConfirmation() {
  m_State.noticePause();
  while (m_State.m_Freshness.isAwaited(steadyNow()) && !cancelled())
    co_await sleepFor(m_State.m_Io, FirstReadPollInterval);
}

std::string_view Exchange::residencyRefusal() const {
  Residency Bounds = residency();
  if (!Bounds.isSatisfiable())
    return NoRegion;
  bool InDoubt =
      m_State.m_Freshness.isInDoubt(m_State.routesVersion(), steadyNow());
  return InDoubt && Bounds.isRestricted() ? AttemptCause::InDoubt : "";
}

std::string_view Exchange::sendRefusal(const Upstream &Target,
                                       const RegionName &PeerRegion) const {
  m_State.noticePause();
  if (m_State.m_Freshness.isAwaited(steadyNow()))
    return AttemptCause::InDoubt;
  if (isKeyRevoked())
    return UnknownKey;
  if (std::string_view Reason = residencyRefusal(); !Reason.empty())
    return Reason;
  Residency Bounds = residency();
  bool MayGo = Bounds.allows(Target.m_Registration.m_Region) &&
               (PeerRegion.empty() || Bounds.allows(PeerRegion));
  return MayGo ? "" : "region-not-allowed";
}

bool Exchange::isKeyRevoked() const {
  const RouteTablePtr &Newest = m_State.m_Routes;
  if (!m_Customer || m_Route->m_IsPublic || Newest == m_Routes)
    return false;
  const Customer *Owner =
      Newest->m_Customers.findByKey(m_Metadata.m_CustomerKey);
  return Newest->m_Customers.requiresKeys() &&
         (!Owner || Owner->m_Name != m_Customer->m_Name);
}

bool Exchange::mayStream() const {
  if (m_Route->m_RetrySafety == RetrySafety::Download)
    return true;
  auto Last = m_State.m_LastStreamed.find(m_Route->m_Name);
  return Last != m_State.m_LastStreamed.end() &&
         steadyNow() - Last->second < StreamMemory;
}

awaitable<bool> Exchange::refuseUnreadable() {
  bool TooLarge = m_Request->m_ParseError == HttpParseError::BodyTooLarge;
  co_await refuse(TooLarge ? ErrorKind::BodyTooLarge : ErrorKind::BadRequest,
                  Duration::zero(), "unreadable");
  co_return false;
}

void Exchange::armDeadline() {
  m_Timer.expires_at(toSteady(m_Deadline));
  m_Timer.async_wait([Self = m_SelfHandle](const NetError &Error) {
    if (!Error && *Self)
      (*Self)->expire("deadline");
  });
}

void Exchange::expire(std::string_view Cause) {
  m_TimedOut = true;
  m_ExpiryCause = Cause;
  closeUpstream();
}

awaitable<void> Exchange::waitForFirstRead() {
  TimePoint End = m_State.m_StartedAt + FirstReadWait;
  while (!m_State.ready() && !m_State.m_Leaving && steadyNow() < End &&
         !m_Caller->disconnected())
    co_await sleepFor(m_State.m_Io, FirstReadPollInterval);
}

Choice Exchange::choose() const {
  std::vector<const Upstream *> Tried;
  for (const UpstreamPtr &Target : m_Tried)
    Tried.push_back(Target.get());
  return choose(m_State.m_Strategies.m_Choose, Tried);
}

Choice Exchange::choose(UpstreamStrategy Strategy,
                        std::span<const Upstream *const> Excluded) const {
  ChoiceInput Input = choiceInput(
      m_State, m_State.m_LocalShares,
      {*m_Routes, *m_Route, residency(), m_TargetService,
       requestKeyHash(m_Metadata.m_AffinityKey, m_Metadata.m_RequestId),
       m_ArrivedAt, placementKey()},
      steadyNow());
  Input.m_Tried = Excluded;
  return Strategy(Input, m_State.m_Upstreams, m_State.m_Settings.m_Placement,
                  m_State.m_Settings.m_Choice);
}

awaitable<bool> Exchange::runAttempts() {
  AttemptResult Last = AttemptResult::NotSent;
  for (unsigned UnsentAttempts = 0; UnsentAttempts < MaxUnsentAttempts;) {
    if (cancelled())
      co_return co_await giveUp(Last, MissingConfigRetryAfter, "deadline");
    // The shutdown has begun since the request was accepted.
    if (m_State.mayCutOff(m_Deadline))
      co_return co_await giveUp(
          Last, errorInfo(ErrorKind::Leaving).m_RetryAfter, Leaving);
    CrashVerdict Verdict = co_await settledCrashVerdict();
    co_await waitForConfirmation();
    if (isKeyRevoked())
      co_return co_await giveUp(Last, Duration::zero(), UnknownKey);
    if (std::string_view Reason = residencyRefusal(); !Reason.empty())
      co_return co_await giveUp(Last, residencyRetryAfter(Reason), Reason);
    if (Verdict == CrashVerdict::Refuse)
      co_return co_await giveUp(Last, crashRetryAfter(), CrashesUpstreams);
    if (Verdict == CrashVerdict::Wait)
      continue; // The exchange is cancelled.
    // Neither this VM nor a peer can reach an upstream.
    if (m_State.m_OwnLinks.state() == LinkState::Lost && !m_State.hasRelay())
      co_return co_await giveUp(Last, LostLinksRetryAfter, "links-lost");
    bool IsTrial = Verdict == CrashVerdict::Trial;
    Choice Selected = IsTrial ? chooseForTrial() : choose();
    m_State.m_LocalShares.recordChoice(m_TargetService, Selected);
    if (!Selected.m_Upstream) {
      m_Choice.m_IsLocalKey = Selected.m_IsLocalKey;
      // After a failed attempt, the others may be full only because the holder
      // of the key is left out.
      if (Selected.m_RefusalReason == RefusalReason::AllFull &&
          m_Tried.empty() && !IsTrial)
        m_FoundNoRoom = true;
      if (Selected.m_RefusalReason == RefusalReason::AllLimited)
        Selected.m_RetryAfter =
            m_State.m_LimitedReturns[m_TargetService].reserve(
                steadyNow(), Selected.m_LimitedRate);
      co_return co_await giveUp(Last, Selected.m_RetryAfter,
                                refusalName(Selected.m_RefusalReason));
    }
    m_Choice = Selected;
    UpstreamPtr Target = m_Choice.m_Upstream;
    m_Tried.push_back(Target);
    m_State.m_KeyPlacement.recordSent(placementKey(), *Target, steadyNow());
    Last = co_await attempt(Target, IsTrial);
    switch (Last) {
    case AttemptResult::Answered:
      (void)co_await deliver(std::move(*m_BufferedResponse));
      co_return !m_ClosesConnection;
    case AttemptResult::Streamed:
      co_return !m_ClosesConnection;
    case AttemptResult::Aborted:
      m_Caller->abort();
      co_return false;
    case AttemptResult::UnprovedRefusal:
      co_return co_await refuse(ErrorKind::UpstreamLost, Duration::zero(),
                                "unproved-refusal");
    case AttemptResult::NotSent:
      ++UnsentAttempts;
      if (!blamesUpstream())
        m_Tried.pop_back();
      if (!m_Request->m_Body.isWhole())
        co_return co_await giveUp(Last, 200ms, "unreachable");
      continue;
    case AttemptResult::NotRun:
      m_FoundNoRoom = m_FoundNoRoom || m_Outcome.m_ShowsAllSlotsInUse;
      [[fallthrough]];
    case AttemptResult::Failed:
    case AttemptResult::Lost:
      if (cancelled() || !mayRetry(Last))
        co_return co_await giveUp(Last, 200ms, "attempts");
      // The same upstream holds the key, and a peer may reach it.
      if (m_Outcome.m_LeftOwnLink)
        m_Tried.pop_back();
    }
  }
  co_return co_await giveUp(Last, 200ms, "unreachable");
}

PlacementKey Exchange::placementKey() const {
  return requestPlacementKey(*m_Route, m_TargetService,
                             m_Metadata.m_AffinityKey);
}

bool Exchange::mayRetry(AttemptResult Result) {
  if (m_Outcome.m_RetryGranted)
    return true;
  if (Result != AttemptResult::NotRun && !m_Route->idempotent())
    return false;
  if (m_Outcome.m_IsTrial || m_EndedUpstreams >= MaxEndedUpstreams)
    return false;
  if (!m_Request->m_Body.isWhole() ||
      m_SentAttempts >= m_Route->m_MaxAttempts || remaining() < MinRetryTime)
    return false;
  m_Outcome.m_RetryGranted = m_State.m_RetryBudgets[m_TargetService].takeRetry(
      steadyNow(), m_State.m_Fleet.limitFraction(), m_State.m_Settings.m_Retry);
  return m_Outcome.m_RetryGranted;
}

bool Exchange::retriesElsewhere() {
  return !cancelled() && choose().m_Upstream && mayRetry(AttemptResult::Failed);
}

awaitable<bool> Exchange::giveUp(AttemptResult Last, Duration RetryAfter,
                                 std::string_view Reason) {
  if (m_Caller->disconnected()) {
    record(ErrorKind::CallerGone, 0, Reason);
    co_return false;
  }
  if (requestBroke())
    co_return co_await refuseUnreadable();
  // A request that another upstream has run or may have run found room.
  if (m_FoundNoRoom && !m_MayHaveRun)
    m_State.m_Admission.of(m_TargetService).recordNoRoom(priority());
  // The upstream's error response is more informative than one of our own.
  if (m_BufferedResponse && !m_TimedOut)
    co_return co_await deliver(std::move(*m_BufferedResponse));
  if (m_MayHaveRun)
    co_return co_await refuse(m_TimedOut ? ErrorKind::DeadlineAfterSend
                                         : ErrorKind::UpstreamLost,
                              Duration::zero(), Reason);
  if (Reason == Leaving)
    co_return co_await refuse(ErrorKind::Leaving, RetryAfter, Reason);
  if (Reason == UnknownKey)
    co_return co_await refuse(ErrorKind::UnknownKey, RetryAfter, Reason);
  if (Reason == CrashesUpstreams)
    co_return co_await refuse(ErrorKind::CrashesUpstreams, RetryAfter, Reason);
  co_return co_await refuse(Last == AttemptResult::NotRun
                                ? ErrorKind::UpstreamShed
                                : ErrorKind::NoCapacity,
                            RetryAfter, Reason);
}

void Exchange::addConnectionField(HeadWriter &Head) {
  // A leaving VM closes after the last request that has arrived, as the ones
  // behind this request may already be running.
  m_ClosesConnection = (m_State.m_Leaving && m_Caller->isLast(m_Request)) ||
                       !m_Request->m_Head.m_KeepAlive ||
                       !m_Request->m_Body.isComplete();
  if (!m_ClosesConnection)
    return;
  m_Caller->announceClose();
  Head.field("Connection", "close");
}

awaitable<bool> Exchange::refuse(ErrorKind Kind, Duration RetryAfter,
                                 std::string_view Reason) {
  const ErrorInfo &Rule = errorInfo(Kind);
  unsigned Status = Rule.m_HttpStatus;
  if (m_Request->m_HeadTimedOut)
    Status = 408;
  else if (m_Request->m_ParseError == HttpParseError::HeadTooLarge)
    Status = 431;
  HeadWriter Head = HeadWriter::response(Status, reasonPhrase(Status));
  m_State.m_WireFormat.m_AddGatewayResponseFields(Head, m_Metadata.m_RequestId,
                                                  RetryAfter);
  std::string Body = std::string(Rule.m_Text) + "\n";
  Head.field("Content-Type", "text/plain");
  Head.field("Content-Length", std::uint64_t(Body.size()));
  addConnectionField(Head);
  if (m_Request->m_Head.m_Method == "HEAD")
    Body.clear();
  record(Kind, Status, Reason);
  m_ResponseStarted = true;
  bool StillConnected =
      co_await m_Caller->send(m_Request, Head.finish() + Body);
  co_return StillConnected && !m_ClosesConnection;
}

std::string Exchange::boundRegions() const {
  std::string Text;
  auto Add = [&Text](std::string_view Owner,
                     std::span<const RegionName> Regions) {
    if (Regions.empty())
      return;
    Text.append(Text.empty() ? "" : " ").append(Owner);
    for (const RegionName &Region : Regions)
      Text.append(&Region == &Regions.front() ? ":" : ",").append(Region.str());
  };
  if (m_Route)
    Add("route", m_Route->m_AllowedRegions);
  if (m_Customer)
    Add("customer", m_Customer->m_AllowedRegions);
  return Text;
}

void Exchange::record(ErrorKind Error, unsigned Status,
                      std::string_view Reason) {
  returnUnusedQuota();
  Duration Elapsed = steadyNow() - m_ArrivedAt;
  CallSample Sample;
  Sample.m_Service = m_TargetService;
  Sample.m_Error = Error;
  Sample.m_Outcome = Error == ErrorKind::None ? Outcome::Done
                     : m_MayHaveRun           ? Outcome::Unknown
                                              : Outcome::NotRun;
  Sample.m_Latency = Elapsed;
  // A peer's request is counted by the peer.
  if (!servesPeer())
    m_State.m_Metrics.recordCall(Sample);
  std::string UpstreamIds;
  for (const UpstreamPtr &Target : m_Tried)
    UpstreamIds +=
        (UpstreamIds.empty() ? "" : " ") + Target->m_Registration.m_Id;
  TimePoint Now = steadyNow();
  std::optional<Duration> StoreAge = m_State.storeAge(Now);
  logEvent(
      Error == ErrorKind::None ? LogLevel::Info : LogLevel::Warning,
      servesPeer() ? "relayed-attempt" : "request",
      {{"id", m_Metadata.m_RequestId},
       {"route", m_Route ? m_Route->m_Name : ""},
       {"routes", std::to_string(m_Routes ? m_Routes->m_Version : 0)},
       {"newestRoutes",
        std::to_string(m_State.m_Routes ? m_State.m_Routes->m_Version : 0)},
       {"newestAgeMs",
        std::to_string(toMillis(Now - m_State.m_RoutesAdoptedAt))},
       {"storeAgeMs", StoreAge ? std::to_string(toMillis(*StoreAge)) : ""},
       {"allowedRegions", boundRegions()},
       {"service", m_TargetService.str()},
       {"customer", m_Customer ? m_Customer->m_Name.str() : ""},
       {"priority", m_Route && !servesPeer() ? std::to_string(priority()) : ""},
       {"key", m_Metadata.m_AffinityKey},
       {"request",
        Reason == CrashesUpstreams ? formatFingerprint(*fingerprint()) : ""},
       {"upstreams", UpstreamIds},
       {"region",
        m_Tried.empty() ? "" : m_Tried.back()->m_Registration.m_Region.str()},
       {"localKey", m_Choice.m_IsLocalKey ? "yes" : "no"},
       {"overflow", m_Choice.m_IsOverflow ? "yes" : "no"},
       {"load", std::to_string(int(m_Choice.m_Load))},
       {"sent", std::to_string(m_SentAttempts)},
       {"relay", m_Peers},
       {"status", std::to_string(Status)},
       {"outcome", std::string(outcomeName(Sample.m_Outcome))},
       {"error", std::string(errorInfo(Error).m_Name)},
       {"why", std::string(Reason)},
       {"ms", std::to_string(toMillis(Elapsed))}});
}

} // namespace mustardspoke::steer
