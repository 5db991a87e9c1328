/// \file
/// Sends a request to an upstream, its body while it arrives.
#pragma once

#include "gateway/caller_connection.h"
#include "gateway/upstream_pool.h"

#include <optional>
#include <string>

namespace mustardspoke::steer {

/// \brief The sender of one request, for one attempt on one connection.
///
/// Invariant: from start() until stop() has returned, it is the only one that
/// takes bytes of the request's body, and it takes them from the begin.
class RequestSender
    : public boost::intrusive_ref_counter<RequestSender,
                                          boost::thread_unsafe_counter> {
public:
  RequestSender(asio::io_context &Io, BufferBudget &Buffers,
                UpstreamConnectionPtr Connection, PendingRequestPtr Request,
                CallerConnectionPtr Caller);

  /// \brief Sends \p Head; a short body that has arrived goes with it. Any
  /// other body is sent beside the reading of the response.
  /// \returns The error of writing the head.
  /// \pre The body may be sent, and it isn't called twice.
  awaitable<NetError> start(std::string Head);
  /// \brief Waits until nothing more is sent. Aborts the connection unless the
  /// whole request has been sent: the upstream gets either all of it, or the
  /// end of its connection.
  awaitable<void> stop();
  /// \brief Whether all that the head announces has been written, so that
  /// another request may follow on the connection.
  [[nodiscard]] bool hasSentAll() const noexcept { return m_HasSentAll; }

private:
  void startBody();
  awaitable<void> run();
  void end();
  /// \returns Whether all of the body was sent.
  awaitable<bool> sendBody();
  void abort();

  asio::io_context &m_Io;
  BufferBudget &m_Buffers;
  UpstreamConnectionPtr m_Connection;
  PendingRequestPtr m_Request;
  CallerConnectionPtr m_Caller;
  std::optional<BodyReader> m_Body; ///< While bytes are taken.
  Notifier m_EndChanged;
  bool m_Stops = false;
  bool m_SendsBody = false; ///< A task sends the body.
  bool m_HasSentAll = false;
};

using RequestSenderPtr = boost::intrusive_ptr<RequestSender>;

} // namespace mustardspoke::steer
