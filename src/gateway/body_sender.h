/// \file
/// Sends the body of a request to an upstream while it arrives.
#pragma once

#include "gateway/caller_connection.h"
#include "gateway/upstream_pool.h"

namespace mustardspoke::steer {

/// \brief The sender of a body on one connection, beside the reading of the
/// response.
///
/// Invariant: from start() until stop() has returned, it is the only one that
/// takes bytes of the request's body.
class BodySender
    : public boost::intrusive_ref_counter<BodySender,
                                          boost::thread_unsafe_counter> {
public:
  BodySender(asio::io_context &Io, BufferBudget &Buffers,
             UpstreamConnectionPtr Connection, PendingRequestPtr Request,
             CallerConnectionPtr Caller);

  /// \pre The body may be sent.
  void start();
  /// \brief Waits until nothing more is sent. Aborts the connection unless the
  /// whole body has been sent: the upstream gets either all of it, or the end
  /// of its connection.
  awaitable<void> stop();
  [[nodiscard]] bool hasSentAll() const noexcept { return m_HasSentAll; }

private:
  awaitable<void> run();
  void end();
  /// \returns Whether all of it was sent.
  awaitable<bool> sendAll();
  void abort();

  asio::io_context &m_Io;
  BufferBudget &m_Buffers;
  UpstreamConnectionPtr m_Connection;
  PendingRequestPtr m_Request;
  CallerConnectionPtr m_Caller;
  Notifier m_EndChanged;
  bool m_Stops = false;
  bool m_HasEnded = false;
  bool m_HasSentAll = false;
};

using BodySenderPtr = boost::intrusive_ptr<BodySender>;

} // namespace mustardspoke::steer
