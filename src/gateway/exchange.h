/// \file
/// Forwards one request to an upstream and its response to the caller.
#pragma once

#include "gateway/answer_verdict.h"
#include "gateway/caller_connection.h"
#include "gateway/relay_protocol.h"
#include "gateway/request_sender.h"
#include "gateway/state.h"
#include "gateway/upstream_pool.h"

namespace mustardspoke::steer {

/// \brief Result of one attempt at an upstream.
enum class AttemptResult : std::uint8_t {
  Answered, ///< The whole response is kept for the caller.
  Streamed, ///< The caller has the whole response.
  NotSent,  ///< No connection; nothing was sent to the upstream.
  NotRun,   ///< The upstream states that it did not run the request.
  /// The upstream answered with an error, and another one may do better. The
  /// answer is kept for the caller, unless it is long and a retry was granted.
  Failed,
  /// The upstream answered as if the request had not run, without stating so;
  /// see AnswerVerdict::UnprovedRefusal.
  UnprovedRefusal,
  Lost,    ///< Sent, but without a usable response: the request may have run.
  Aborted, ///< The response broke off after a part of it had been forwarded.
};

/// \brief What happened in one attempt.
struct AttemptOutcome {
  AttemptResult m_Result = AttemptResult::NotSent;
  /// Why there is no usable response; empty if there is one.
  std::string m_Cause;
  /// Error of opening the connection, or that ended it.
  NetError m_Error;
  TimePoint m_BeganAt{};
  TimePoint m_SentAt{}; ///< Zero if nothing was sent.
  /// Zero without a response that is complete, or that nobody gets.
  TimePoint m_AnsweredAt{};
  unsigned m_Status = 0;
  std::size_t m_BodyBytes = 0;
  bool m_IsSigned = false; ///< The response is an upstream's.
  /// The upstream reported that it had no free slot.
  bool m_ShowsAllSlotsInUse = false;
  VmName m_Peer;           ///< That carried the attempt; empty: the own link.
  RegionName m_PeerRegion; ///< Of m_Peer.
  /// Nothing was sent for a reason that isn't the upstream's; see
  /// Exchange::sendRefusal().
  bool m_IsOwnRefusal = false;
  /// The result is what the peer states, not the end of its connection.
  bool m_IsStated = false;
  /// The own link was left, as the links were lost meanwhile.
  bool m_LeftOwnLink = false;
  bool m_IsTrial = false;      ///< See CrashVerdict::Trial.
  bool m_RetryGranted = false; ///< By mayRetry().

  [[nodiscard]] bool isRelayed() const noexcept { return !m_Peer.empty(); }
};

/// \brief Counts a request as in flight at an upstream during its lifetime.
class InFlightGuard {
public:
  explicit InFlightGuard(UpstreamPtr Target) : m_Upstream(std::move(Target)) {
    ++m_Upstream->m_InFlight;
  }
  ~InFlightGuard() { --m_Upstream->m_InFlight; }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
  UpstreamPtr m_Upstream;
};

/// \brief Serves one request of a caller, from its head to the end of its
/// response.
class Exchange {
public:
  /// \brief Whom the request comes from.
  enum class Source : std::uint8_t {
    Caller,
    Peer, ///< It is to be sent to the upstream that the peer names, once.
  };

  Exchange(GatewayState &State, UpstreamPool &Pool, CallerConnectionPtr Caller,
           PendingRequestPtr Request, Source From = Source::Caller);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// \returns Whether the caller's connection may carry further requests.
  awaitable<bool> run();

private:
  /// \brief A complete response of an upstream.
  struct BufferedResponse {
    HttpHead m_Head;
    std::string m_Body;
  };

  awaitable<bool> route();
  /// \brief Whether the caller may use m_Route; sets m_Customer.
  [[nodiscard]] bool identifyCustomer();
  /// \brief The customer's, else the route's.
  [[nodiscard]] Priority priority() const noexcept;
  /// \brief Decides on requests of which a part is refused.
  [[nodiscard]] std::uint64_t admissionHash() const;
  /// \brief Whether m_TargetService has capacity for requests of this priority;
  /// counts the request.
  [[nodiscard]] bool isAdmitted();
  /// \brief Whether the customer's quota admits the request; true without
  /// customer or quota.
  [[nodiscard]] bool takeQuota();
  /// \brief Returns what takeQuota() took, unless an upstream may have got a
  /// byte of the request.
  void returnUnusedQuota();
  /// \brief Where the request may go now: the newest configuration decides, as
  /// the regions may have changed since the request was accepted. Refers to
  /// m_Routes and GatewayState::m_Routes.
  [[nodiscard]] Residency residency() const;
  /// \brief After a pause of the process: waits for a short time until the
  /// configuration is confirmed.
  awaitable<void> waitForConfirmation();
  /// \brief Why the request can't be sent anywhere at present, whatever the
  /// state of the upstreams; empty if it can.
  [[nodiscard]] std::string_view residencyRefusal() const;
  /// \brief The last check before a request is sent to \p Target, over a
  /// peer of \p PeerRegion, if that is set.
  /// \returns Why it isn't to be sent; empty if it is.
  [[nodiscard]] std::string_view
  sendRefusal(const Upstream &Target, const RegionName &PeerRegion) const;
  /// \brief Whether the newest configuration still knows the caller's key. A
  /// request may have waited since it was accepted.
  [[nodiscard]] bool isKeyRevoked() const;
  /// \brief Whether the fields that name the caller are replaced by the
  /// customer's name.
  [[nodiscard]] bool hidesCredential() const noexcept {
    return m_Routes && m_Routes->m_Customers.requiresKeys();
  }
  /// \brief Gives the caller a final answer, or the end of its connection,
  /// after an exception.
  awaitable<bool> endAfterFailure(std::exception_ptr Thrown);
  /// \brief Whether a part of the answer may reach the caller before its end is
  /// known.
  [[nodiscard]] bool mayStream() const;
  /// \brief Refuses a request of which a part can't be read.
  awaitable<bool> refuseUnreadable();
  /// \brief Ends the exchange at m_Deadline.
  void armDeadline();
  /// \param Cause Why, for the log.
  void expire(std::string_view Cause);
  awaitable<void> waitForFirstRead();
  awaitable<bool> runAttempts();
  [[nodiscard]] Choice choose() const;
  /// \param Excluded Upstreams that aren't selected.
  [[nodiscard]] Choice choose(UpstreamStrategy Strategy,
                              std::span<const Upstream *const> Excluded) const;
  [[nodiscard]] PlacementKey placementKey() const;
  /// \brief Whether another upstream may be tried after \p Result; takes a
  /// retry from the service's budget, once for an attempt.
  [[nodiscard]] bool mayRetry(AttemptResult Result);
  /// \brief Whether another upstream will be tried after a failure of the
  /// current one, so that its answer needn't be kept.
  [[nodiscard]] bool retriesElsewhere();
  awaitable<bool> giveUp(AttemptResult Last, Duration RetryAfter,
                         std::string_view Reason);

  /// \returns Nothing until enough of the body has arrived.
  [[nodiscard]] std::optional<RequestFingerprint> fingerprint() const;
  awaitable<void> waitForFingerprint();
  [[nodiscard]] CrashVerdict crashVerdict() const;
  /// \brief The verdict once checks of upstreams have ended; never Wait, but if
  /// the exchange is cancelled.
  awaitable<CrashVerdict> settledCrashVerdict();
  /// \brief When a caller whose request isn't sent may return.
  [[nodiscard]] Duration crashRetryAfter() const;
  [[nodiscard]] Choice chooseForTrial() const;
  /// \brief The last check before a request is sent: others may have sent it,
  /// or more upstreams may have ended, since the upstream was chosen.
  [[nodiscard]] bool claimSend(bool ChosenForTrial);
  /// \brief Notes that an attempt got no complete answer, if the upstream
  /// closed the connection.
  awaitable<void> recordLostConnection(UpstreamPtr Target);
  /// \brief Notes that an upstream has run the request and answered.
  void recordUpstreamAnswer();

  /// \brief Sends the request of a peer to the upstream that it names.
  awaitable<bool> serveRelayed();
  /// \brief Answers a peer with a result of this VM.
  awaitable<bool> sendRelayOutcome(RelayResult Result, std::string_view Reason);
  /// \brief Why an attempt for a peer can't be made; empty if it can.
  [[nodiscard]] std::string_view relayRefusal(const UpstreamPtr &Target) const;
  /// \brief A connection to a peer that carries an attempt to \p Target.
  awaitable<UpstreamConnectionPtr> connectToPeer(UpstreamPtr Target);
  /// \brief Ends an attempt that hangs on an own link, if it may be repeated
  /// over a peer's.
  void leaveOwnLink();

  /// \param IsTrial See CrashVerdict::Trial.
  awaitable<AttemptResult> attempt(UpstreamPtr Target, bool IsTrial);
  /// \brief Draws the conclusions from m_Outcome: health of the upstream and of
  /// the own links, peers that fail, requests that end their upstreams.
  awaitable<void> recordOutcome(UpstreamPtr Target);
  void recordAnswer(Upstream &Target);
  void recordUnsent(Upstream &Target);
  void recordLoss(Upstream &Target);
  /// \brief Whether an unsent attempt is a reason to select another upstream.
  [[nodiscard]] bool blamesUpstream() const;
  /// \brief Over an own link or a peer's, as the state of the links asks.
  awaitable<UpstreamConnectionPtr> connect(UpstreamPtr Target);
  awaitable<UpstreamConnectionPtr> openOwnConnection(UpstreamPtr Target);
  [[nodiscard]] std::string requestHead(const Upstream &Target) const;
  awaitable<bool> sendRequest(UpstreamPtr Target);
  /// \brief Ends the attempt if its request isn't acknowledged in time.
  void armAcknowledgement();
  /// \brief Has the system notice that the upstream vanishes, if that takes
  /// less time than is left.
  /// \pre The upstream has received the request.
  void watchPeer();
  awaitable<AttemptResult> readResponse(UpstreamPtr Target);
  /// \brief Reads until \p Until holds. \returns Whether it does.
  template <class Condition>
  awaitable<bool> readUntil(HttpParser &Parser, Condition Until);
  /// \brief Reads and drops the rest of a message.
  /// \returns Whether it was read to its end.
  awaitable<bool> discardRest(HttpParser &Parser);
  /// \brief Ends the attempt after a message of which only the head counts. The
  /// rest is awaited for a short time only, so that the connection can be
  /// reused.
  /// \returns False if the upstream broke the message off.
  awaitable<bool> finishMessage(Upstream &Target, HttpParser &Parser);
  /// \brief Handles an answer as \p Verdict requires.
  awaitable<AttemptResult> handleAnswer(UpstreamPtr Target, HttpParser &Parser,
                                        AnswerVerdict Verdict);
  /// \brief Ends the attempt after an answer that the caller must not get.
  awaitable<AttemptResult> withholdAnswer(UpstreamPtr Target,
                                          HttpParser &Parser);
  void recordWithheldAnswer(const Upstream &Target, unsigned Status);
  awaitable<AttemptResult> forwardResponse(UpstreamPtr Target,
                                           HttpParser &Parser,
                                           AnswerVerdict Verdict);
  awaitable<AttemptResult> streamResponse(HttpParser &Parser);
  void applyMetadata(Upstream &Target, const ResponseMetadata &Metadata);
  /// \brief How much of a response is read before the caller gets its first
  /// byte; in bytes.
  [[nodiscard]] std::size_t maxBufferedResponse() const noexcept;
  void releaseConnection(Upstream &Target, HttpParser &Parser);
  /// \brief Puts the connection back into the pool, or closes one on which
  /// nothing was sent yet.
  void returnUnusedConnection(Upstream &Target);

  awaitable<bool> deliver(BufferedResponse Response);
  awaitable<bool> refuse(ErrorKind Kind, Duration RetryAfter,
                         std::string_view Reason);
  /// \brief Copies the fields of an upstream's response that the caller gets.
  void copyResponseFields(HeadWriter &Head, const HttpHead &UpstreamHead);
  /// \brief Decides, while the response head is written, whether the connection
  /// closes after this response.
  void addConnectionField(HeadWriter &Head);

  void closeUpstream();
  /// \brief Ends an attempt without a usable response.
  AttemptResult lostAttempt(std::string_view Cause) {
    m_Outcome.m_Cause = Cause;
    return AttemptResult::Lost;
  }
  [[nodiscard]] bool servesPeer() const noexcept {
    return m_Source == Source::Peer;
  }
  [[nodiscard]] bool cancelled() const noexcept {
    return m_TimedOut || m_Caller->disconnected() || requestBroke();
  }
  /// \brief Whether the rest of the request can't be read, so that no upstream
  /// gets all of it.
  [[nodiscard]] bool requestBroke() const noexcept {
    return m_Request->m_ParseError != HttpParseError::None;
  }
  /// \brief Whether the current attempt has written all of its request.
  [[nodiscard]] bool requestIsSent() const noexcept {
    return m_Sender && m_Sender->hasSentAll();
  }
  /// \brief Of the identifier that tells answers to this request from others.
  [[nodiscard]] std::uint64_t requestHash() const {
    return stableHash(m_Metadata.m_RequestId);
  }
  /// \brief Whether an answer can be told from those to earlier requests of a
  /// connection.
  [[nodiscard]] bool mayReuseConnection() const noexcept {
    return !m_Metadata.m_RequestId.empty();
  }
  /// \brief Whether a response on m_Connection answers this attempt.
  [[nodiscard]] bool isOwnAnswer(const ResponseMetadata &Metadata) const;
  [[nodiscard]] Duration remaining() const { return m_Deadline - steadyNow(); }
  /// \brief The regions that route and customer allow, for the log; empty if
  /// both allow every region.
  [[nodiscard]] std::string boundRegions() const;
  void record(ErrorKind Error, unsigned Status, std::string_view Reason);
  /// \brief The same for an answer of an upstream that was passed on.
  /// \param Reason Of a success.
  void recordAnswered(unsigned Status, std::string_view Reason);

  GatewayState &m_State;
  UpstreamPool &m_Pool;
  CallerConnectionPtr m_Caller;
  PendingRequestPtr m_Request;
  Source m_Source;
  /// When the request arrived at this VM, as far as can be told: a busy event
  /// loop reads it later.
  TimePoint m_ArrivedAt;
  RequestMetadata m_Metadata;
  std::uint32_t m_HeadDigest = 0; ///< Of everything but the body.
  /// Attempts whose connection an upstream closed without an answer.
  unsigned m_EndedUpstreams = 0;
  RouteTablePtr m_Routes; ///< Version that the request is served under.
  /// Points into m_Routes, or to m_PeersRoute.
  const Route *m_Route = nullptr;
  /// On whose behalf the caller sends. Points into m_Routes; null if callers
  /// need no key.
  const Customer *m_Customer = nullptr;
  /// Of m_Customer's name; set while the request counts against its quota.
  std::optional<std::uint64_t> m_QuotaHash;
  Route m_PeersRoute; ///< What is known of the route of a peer's request.
  ServiceName m_TargetService;
  TimePoint m_Deadline;
  asio::steady_timer m_Timer;
  asio::steady_timer m_AcknowledgementTimer;
  /// Lets the timer's handler detect that the exchange has ended: it may still
  /// be queued then. Points to this exchange, or to null afterwards.
  std::shared_ptr<Exchange *> m_SelfHandle = std::make_shared<Exchange *>(this);
  bool m_TimedOut = false;
  std::string_view m_ExpiryCause; ///< See expire().
  /// The response carries "Connection: close".
  bool m_ClosesConnection = false;
  /// Upstreams that may have started the request or that refused it.
  std::vector<UpstreamPtr> m_Tried;
  unsigned m_SentAttempts = 0; ///< Attempts of which bytes may have been sent.
  /// The first choice found all upstreams full, or one without a free slot
  /// rejected the request.
  bool m_FoundNoRoom = false;
  /// An attempt ended without proof that the request did not run.
  bool m_MayHaveRun = false;
  Choice m_Choice;                    ///< Of the last attempt.
  UpstreamConnectionPtr m_Connection; ///< Of the current attempt.
  /// Set while the upstream has the request.
  std::optional<InFlightGuard> m_InFlightGuard;
  std::optional<WaitGuard> m_WaitGuard; ///< The same over an own link.
  AttemptOutcome m_Outcome;             ///< Of the current or last attempt.
  std::string m_Peers;                  ///< That carried attempts, for the log.
  LinkListener m_LinkListener;
  StopListener m_StopListener;
  /// Bytes of a response may have been sent to the caller.
  bool m_ResponseStarted = false;
  /// A response to another request came first.
  bool m_StaleResponseSeen = false;
  RequestSenderPtr m_Sender; ///< Of the current attempt.
  std::optional<BufferedResponse> m_BufferedResponse;
  BufferCharge m_ResponseCharge; ///< Of the response, while it is buffered.
};

} // namespace mustardspoke::steer
