/// \file
/// Handling of one caller's request in a worker thread.
#pragma once

#include "entry/connections.h"
#include "entry/headers.h"
#include "entry/shared_node.h"

#include <kj/refcount.h>

#include <optional>
#include <string>

namespace mustardspoke {

/// \brief Resources shared by all calls of one worker thread.
struct WorkerContext {
  SharedNode &m_Shared;
  kj::Timer &m_Timer;
  const HeaderTable &m_Headers;
  ConnectionPool &m_Connections;
  kj::TaskSet &m_DetachedCalls; ///< Calls with tickets, which run on without
                                ///< their caller.
};

/// \brief A request as received from the caller.
struct InboundRequest {
  kj::HttpMethod m_Method = kj::HttpMethod::GET;
  std::string m_UpstreamUrl; ///< Path and query after the service's name.
  std::string m_Url;         ///< As received; used for relays.
  kj::Own<kj::HttpHeaders> m_Headers;
  kj::Array<kj::byte> m_Body;
  CallRequest m_Call;
};

/// \brief Executes one call: asks the core for the next step and carries it out
/// on the network until there is an answer.
///
/// \details produceAnswer() obtains the final answer, reply() sends it to the
/// caller. If the caller disconnects, a call without a ticket is cancelled; a
/// call with a ticket runs on, so that a retry with the same ticket gets its
/// answer.
///
/// Invariant: every call that the core has admitted is finished or abandoned
/// exactly once.
class CallFlow : public kj::Refcounted {
public:
  CallFlow(WorkerContext &Worker, InboundRequest Request);
  ~CallFlow() noexcept(false);

  /// \brief Executes the call and writes its answer to \p CallerResponse.
  [[nodiscard]] kj::Promise<void>
  run(kj::HttpService::Response &CallerResponse);

private:
  /// The answer to be sent to the caller.
  struct CallerAnswer {
    enum class Kind { None, Error, Stored, Streamed } m_Kind = Kind::None;
    CallStep m_Step;       ///< Set for Error and Stored.
    kj::uint m_Status = 0; ///< Set for Streamed, as are the members below.
    kj::String m_StatusText;
    kj::Own<kj::HttpHeaders> m_Headers;
    std::string m_ReadBody; ///< Part of the body read so far.
    kj::Maybe<std::uint64_t> m_BodyLength;
    kj::Own<Connection> m_Connection;
    /// Null if m_ReadBody is the whole body. It uses the connection.
    kj::Own<kj::AsyncInputStream> m_UnreadBody;
    bool m_Relayed = false;
  };

  /// A step of the core. If it is a Wait step, also the promise of the step
  /// that follows.
  struct PendingStep {
    CallStep m_Step;
    kj::Maybe<kj::Promise<CallStep>> m_NextStep;
  };

  [[nodiscard]] kj::Promise<void> produceAnswer();
  [[nodiscard]] PendingStep registerWait(const SharedNode::Access &Lock,
                                         CallStep Step);
  [[nodiscard]] kj::Promise<void> proceed(PendingStep Pending);
  [[nodiscard]] kj::Promise<void> execute(CallStep Step);
  [[nodiscard]] kj::Promise<void> finishAndProceed(AttemptResult End);
  [[nodiscard]] kj::Promise<void> send(CallStep Step);
  [[nodiscard]] kj::Promise<void> exchangeWithUpstream(kj::Own<Connection> Conn,
                                                       TimePoint Deadline);
  /// \param Conn A reference, as \p Response uses it until this returns.
  [[nodiscard]] kj::Promise<void> onResponse(kj::Own<Connection> &&Conn,
                                             kj::HttpClient::Response Response,
                                             Duration Latency,
                                             TimePoint Deadline);
  [[nodiscard]] kj::Promise<void> storeAnswer(TimePoint Deadline);
  [[nodiscard]] kj::Promise<void> relay(const CallStep &Step);
  [[nodiscard]] kj::Promise<void>
  reply(kj::HttpService::Response &CallerResponse);
  [[nodiscard]] kj::Promise<void>
  replyError(kj::HttpService::Response &CallerResponse);
  [[nodiscard]] kj::Promise<void>
  replyStored(kj::HttpService::Response &CallerResponse);
  [[nodiscard]] kj::Promise<void>
  replyStreamed(kj::HttpService::Response &CallerResponse);
  [[nodiscard]] kj::HttpHeaders upstreamHeaders(TimePoint Deadline) const;
  [[nodiscard]] kj::TimePoint toKjTime(TimePoint Deadline) const;
  [[nodiscard]] CallStep finishAttempt(AttemptResult End);
  [[nodiscard]] AttemptResult lostOrTimedOut(TimePoint Deadline) const;
  void setAnswer(CallStep Step);
  void dropAnswer();
  void recordMetrics(ErrorKind Error, Outcome Value);

  WorkerContext &m_Worker;
  InboundRequest m_Request;
  std::optional<CallId> m_Id; ///< Set while the core tracks the call.
  CallerAnswer m_Answer;
  UpstreamName m_Upstream;
  TimePoint m_StartedAt;
  TimePoint m_QueuedAt{};
  TimePoint m_Deadline{};
  Duration m_QueueTime{};
};

/// \brief Writes the error response that \p Step describes.
[[nodiscard]] kj::Promise<void>
replyWithError(kj::HttpService::Response &CallerResponse,
               const HeaderTable &Table, const CallStep &Step);

/// \brief Makes a final step with the outcome and the retry delay that
/// errorInfo() gives for \p Error.
[[nodiscard]] CallStep errorStep(ErrorKind Error);

} // namespace mustardspoke
