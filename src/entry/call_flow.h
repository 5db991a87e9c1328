/// \file
/// One caller's request on its way through a worker thread.
#pragma once

#include "entry/connections.h"
#include "entry/headers.h"
#include "entry/shared.h"

#include <kj/refcount.h>

#include <optional>
#include <string>

namespace mustardspoke {

/// \brief What the flows of one worker thread share.
struct WorkerContext {
  Shared &m_Shared;
  kj::Timer &m_Timer;
  const HeaderTable &m_Headers;
  ConnectionPool &m_Connections;
  kj::TaskSet &m_Detached; ///< Ticketed calls that outlive their caller.
};

/// \brief A request as it was read from the caller.
struct InboundRequest {
  kj::HttpMethod m_Method = kj::HttpMethod::GET;
  std::string m_UpstreamUrl; ///< Path and query behind the service's name.
  std::string m_Url;         ///< As received; for relays.
  kj::Own<kj::HttpHeaders> m_Headers;
  kj::Array<kj::byte> m_Body;
  CallRequest m_Call;
};

/// \brief Drives one call: core decisions in, network actions out.
///
/// \details decide() ends with a final answer, reply() writes it. A plain call
/// is cancelled with its caller; a ticketed one runs on, so that a repeat with
/// the same ticket gets its answer.
///
/// Invariant: every call that the core admitted is finished or abandoned
/// exactly once.
class CallFlow : public kj::Refcounted {
public:
  CallFlow(WorkerContext &Worker, InboundRequest Request);
  ~CallFlow() noexcept(false);

  /// \brief Carries the call out and answers it on \p To.
  [[nodiscard]] kj::Promise<void> run(kj::HttpService::Response &To);

private:
  /// The answer that will go to the caller.
  struct Final {
    enum class Kind { None, Error, Stored, Streamed } m_Kind = Kind::None;
    CallStep m_Step;       ///< For Error and Stored.
    kj::uint m_Status = 0; ///< For Streamed, with all that follows.
    kj::String m_StatusText;
    kj::Own<kj::HttpHeaders> m_Headers;
    std::string m_Prefix;                 ///< Read already.
    kj::Own<kj::AsyncInputStream> m_Rest; ///< Null when all is in m_Prefix.
    kj::Maybe<std::uint64_t> m_Length;
    kj::Own<Connection> m_Connection;
    bool m_Relayed = false;
  };

  /// A step, with the promise of its successor if it says to wait.
  struct Decision {
    CallStep m_Step;
    kj::Maybe<kj::Promise<CallStep>> m_Later;
  };

  [[nodiscard]] kj::Promise<void> decide();
  [[nodiscard]] Decision take(const Shared::Access &Held, CallStep Step);
  [[nodiscard]] kj::Promise<void> follow(Decision Next);
  [[nodiscard]] kj::Promise<void> act(CallStep Step);
  [[nodiscard]] kj::Promise<void> actAfter(AttemptResult End);
  [[nodiscard]] kj::Promise<void> send(CallStep Step);
  [[nodiscard]] kj::Promise<void> exchange(kj::Own<Connection> Over,
                                           TimePoint Deadline);
  [[nodiscard]] kj::Promise<void> answered(kj::Own<Connection> Over,
                                           kj::HttpClient::Response Response,
                                           Duration Latency,
                                           TimePoint Deadline);
  [[nodiscard]] kj::Promise<void> keepWhole(TimePoint Deadline);
  [[nodiscard]] kj::Promise<void> relay(const CallStep &Step);
  [[nodiscard]] kj::Promise<void> reply(kj::HttpService::Response &To);
  [[nodiscard]] kj::Promise<void> replyError(kj::HttpService::Response &To);
  [[nodiscard]] kj::Promise<void> replyStored(kj::HttpService::Response &To);
  [[nodiscard]] kj::Promise<void> replyStreamed(kj::HttpService::Response &To);
  [[nodiscard]] kj::Promise<kj::HttpClient::Response>
  request(Connection &Over, const kj::HttpHeaders &With,
          const std::string &Url);
  [[nodiscard]] kj::HttpHeaders upstreamHeaders(TimePoint Deadline) const;
  [[nodiscard]] kj::TimePoint atKj(TimePoint Deadline) const;
  [[nodiscard]] CallStep finishAttempt(AttemptResult End);
  [[nodiscard]] AttemptResult lostOrTimedOut(TimePoint Deadline) const;
  void setFinal(CallStep Step);
  void record(ErrorKind Error, Outcome Value);

  WorkerContext &m_Worker;
  InboundRequest m_Request;
  std::optional<CallId> m_Id; ///< Set while the core holds the call.
  Final m_Final;
  UpstreamName m_Upstream;
  TimePoint m_Begun;
  TimePoint m_WaitFrom{};
  TimePoint m_Deadline{};
  Duration m_Waited{};
};

/// \brief Writes the answer for an error that needed no call.
[[nodiscard]] kj::Promise<void> replyWithError(kj::HttpService::Response &To,
                                               const HeaderTable &Headers,
                                               const CallStep &Step);

/// \brief A final step that answers \p Error by its table row.
[[nodiscard]] CallStep errorStep(ErrorKind Error);

} // namespace mustardspoke
