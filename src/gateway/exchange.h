/// \file
/// One request carried to an upstream, and its answer back.
#pragma once

#include "gateway/caller_connection.h"
#include "gateway/state.h"
#include "gateway/upstream_pool.h"

namespace mustardspoke::steer {

/// \brief How one attempt at an upstream ended.
enum class AttemptEnd : std::uint8_t {
  Answered, ///< The caller has the whole answer.
  NotSent,  ///< No connection; nothing left this VM.
  NotRun,   ///< The upstream states that it did not run the request.
  Failed,   ///< The upstream's own failure; kept for the caller.
  Lost,     ///< Sent, and no usable answer: it may have run.
  Aborted,  ///< The answer broke off after a part had been passed on.
};

/// \brief Counts a request at an upstream while it is there.
class InFlightCount {
public:
  explicit InFlightCount(UpstreamPtr At) : m_At(std::move(At)) {
    ++m_At->m_InFlight;
  }
  ~InFlightCount() { --m_At->m_InFlight; }
  InFlightCount(const InFlightCount &) = delete;
  InFlightCount &operator=(const InFlightCount &) = delete;

private:
  UpstreamPtr m_At;
};

/// \brief Serves one caller's request from its head to the end of its answer.
class Exchange {
public:
  Exchange(GatewayState &State, UpstreamPool &Pool, CallerConnectionPtr From,
           PendingRequestPtr Request);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// \returns Whether the caller's connection may carry further requests.
  awaitable<bool> run();

private:
  /// \brief An answer read whole from an upstream.
  struct HeldAnswer {
    HttpHead m_Head;
    std::string m_Body;
  };

  awaitable<bool> route();
  awaitable<bool> attempts();
  [[nodiscard]] Choice choose() const;
  /// \brief Whether another upstream may be asked after \p End.
  [[nodiscard]] bool mayGoOn(AttemptEnd End);
  awaitable<bool> giveUp(AttemptEnd Last, Duration ComeBack,
                         std::string_view Why);

  awaitable<AttemptEnd> attempt(UpstreamPtr To);
  awaitable<UpstreamConnectionPtr> connect(UpstreamPtr To);
  [[nodiscard]] std::string requestHead(const Upstream &To) const;
  awaitable<bool> sendRequest(UpstreamPtr To);
  awaitable<AttemptEnd> readAnswer(UpstreamPtr To);
  /// \brief Reads on until \p Until holds. \returns Whether it does.
  template <class Condition>
  awaitable<bool> readUntil(HttpReader &Reader, Condition Until);
  awaitable<AttemptEnd> passOn(UpstreamPtr To, HttpReader &Reader);
  awaitable<AttemptEnd> stream(HttpReader &Reader);
  void noteMarks(Upstream &To, const AnswerMarks &Marks);
  void finish(Upstream &To, HttpReader &Reader);

  awaitable<bool> deliver(HeldAnswer Held);
  awaitable<bool> refuse(ErrorKind Kind, Duration ComeBack,
                         std::string_view Why);
  /// \brief Fields of an upstream's answer that the caller gets.
  void copyAnswerFields(HeadWriter &To, const HttpHead &From);
  /// \brief Decides, as the answer's head is written, whether the connection
  /// closes behind it.
  void endConnection(HeadWriter &Head);

  void stop();
  /// \brief Ends an attempt without a usable answer.
  AttemptEnd lost(std::string_view Cause) {
    m_LostCause = Cause;
    return AttemptEnd::Lost;
  }
  [[nodiscard]] bool stopped() const noexcept {
    return m_TimedOut || m_From->gone();
  }
  [[nodiscard]] Duration left() const { return m_Deadline - steadyNow(); }
  void record(ErrorKind Error, unsigned Status, std::string_view Why);

  GatewayState &m_State;
  UpstreamPool &m_Pool;
  CallerConnectionPtr m_From;
  PendingRequestPtr m_Request;
  CallerMarks m_Marks;
  RouteTablePtr m_Routes;         ///< Version that the request is served under.
  const Route *m_Route = nullptr; ///< Points into m_Routes.
  ServiceName m_To;
  TimePoint m_Deadline;
  asio::steady_timer m_Timer;
  /// Null once the exchange is over; an expiry may be queued by then.
  std::shared_ptr<Exchange *> m_Self = std::make_shared<Exchange *>(this);
  bool m_TimedOut = false;
  bool m_Closes = false; ///< The answer says that the connection closes.
  /// Upstreams that may have begun to work on it or that refused it.
  std::vector<UpstreamPtr> m_Tried;
  unsigned m_Sent = 0;       ///< Attempts of which bytes may have left.
  bool m_MayHaveRun = false; ///< An attempt ended without a "not run".
  bool m_BodyLost = false;   ///< Body bytes were dropped after sending.
  double m_ChosenLoad = 0;   ///< Estimated before the request was sent.
  UpstreamConnectionPtr m_Connection;     ///< Of the attempt under way.
  std::optional<InFlightCount> m_Counted; ///< While the upstream has it.
  TimePoint m_SentAt{};
  bool m_StrayAnswer = false;       ///< Another request's answer came first.
  std::shared_ptr<bool> m_BodySent; ///< Set when the body went out whole.
  std::string_view m_LostCause;     ///< Of the last attempt that was lost.
  NetError m_ReadError;             ///< That ended the last attempt's reading.
  std::optional<HeldAnswer> m_Held;
};

} // namespace mustardspoke::steer
