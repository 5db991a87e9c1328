/// \file
/// Forwards one request to an upstream and its response to the caller.
#pragma once

#include "gateway/caller_connection.h"
#include "gateway/state.h"
#include "gateway/upstream_pool.h"

namespace mustardspoke::steer {

/// \brief Result of one attempt at an upstream.
enum class AttemptResult : std::uint8_t {
  Delivered, ///< The caller has the whole response.
  NotSent,   ///< No connection; nothing was sent.
  NotRun,    ///< The upstream states that it did not run the request.
  Failed,    ///< The upstream answered with an error, which is kept for the
             ///< caller.
  Lost,      ///< Sent, but without a usable response: the request may have run.
  Aborted,   ///< The response broke off after a part of it had been forwarded.
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
  Exchange(GatewayState &State, UpstreamPool &Pool, CallerConnectionPtr Caller,
           PendingRequestPtr Request);
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
  awaitable<void> waitForFirstRead();
  awaitable<bool> runAttempts();
  [[nodiscard]] Choice choose() const;
  /// \param Excluded Upstreams that aren't selected.
  [[nodiscard]] Choice choose(UpstreamStrategy Strategy,
                              std::span<const Upstream *const> Excluded) const;
  /// \brief Whether another upstream may be tried after \p Result.
  [[nodiscard]] bool mayRetry(AttemptResult Result);
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
  void recordUpstreamAnswer(const HttpHead &Response);

  /// \param IsTrial See CrashVerdict::Trial.
  awaitable<AttemptResult> attempt(UpstreamPtr Target, bool IsTrial);
  awaitable<UpstreamConnectionPtr> connect(UpstreamPtr Target);
  [[nodiscard]] std::string requestHead(const Upstream &Target) const;
  awaitable<bool> sendRequest(UpstreamPtr Target);
  awaitable<AttemptResult> readResponse(UpstreamPtr Target);
  /// \brief Reads until \p Until holds. \returns Whether it does.
  template <class Condition>
  awaitable<bool> readUntil(HttpParser &Parser, Condition Until);
  awaitable<AttemptResult> forwardResponse(UpstreamPtr Target,
                                           HttpParser &Parser);
  awaitable<AttemptResult> streamResponse(UpstreamPtr Target,
                                          HttpParser &Parser);
  void applyMetadata(Upstream &Target, const ResponseMetadata &Metadata);
  void releaseConnection(Upstream &Target, HttpParser &Parser);

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
    m_LostCause = Cause;
    return AttemptResult::Lost;
  }
  [[nodiscard]] bool cancelled() const noexcept {
    return m_TimedOut || m_Caller->disconnected();
  }
  [[nodiscard]] Duration remaining() const { return m_Deadline - steadyNow(); }
  void record(ErrorKind Error, unsigned Status, std::string_view Reason);

  GatewayState &m_State;
  UpstreamPool &m_Pool;
  CallerConnectionPtr m_Caller;
  PendingRequestPtr m_Request;
  RequestMetadata m_Metadata;
  std::uint32_t m_HeadDigest = 0; ///< Of everything but the body.
  /// Attempts whose connection an upstream closed without an answer.
  unsigned m_EndedUpstreams = 0;
  RouteTablePtr m_Routes;         ///< Version that the request is served under.
  const Route *m_Route = nullptr; ///< Points into m_Routes.
  ServiceName m_TargetService;
  TimePoint m_Deadline;
  asio::steady_timer m_Timer;
  /// Lets the timer's handler detect that the exchange has ended: it may still
  /// be queued then. Points to this exchange, or to null afterwards.
  std::shared_ptr<Exchange *> m_SelfHandle = std::make_shared<Exchange *>(this);
  bool m_TimedOut = false;
  /// The response carries "Connection: close".
  bool m_ClosesConnection = false;
  /// Upstreams that may have started the request or that refused it.
  std::vector<UpstreamPtr> m_Tried;
  unsigned m_SentAttempts = 0; ///< Attempts of which bytes may have been sent.
  /// An attempt ended without proof that the request did not run.
  bool m_MayHaveRun = false;
  bool m_BodyDropped = false; ///< Body bytes were dropped after sending, so it
                              ///< can't be sent again.
  Choice m_Choice;            ///< Of the last attempt.
  UpstreamConnectionPtr m_Connection; ///< Of the current attempt.
  /// Set while the upstream has the request.
  std::optional<InFlightGuard> m_InFlightGuard;
  TimePoint m_SentAt{};
  /// A response to another request came first.
  bool m_StaleResponseSeen = false;
  std::shared_ptr<bool> m_BodySent; ///< Set when the whole body has been sent.
  std::string_view m_LostCause;     ///< Of the last lost attempt.
  NetError m_ReadError; ///< Error that ended reading in the last attempt.
  std::optional<BufferedResponse> m_BufferedResponse;
};

} // namespace mustardspoke::steer
