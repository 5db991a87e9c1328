/// \file
/// A caller's HTTP connection: reads pipelined requests and sends the responses
/// in order.
#pragma once

#include "gateway/http_message.h"
#include "gateway/net.h"
#include "gateway/request_body.h"
#include "steer/route_table.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <deque>
#include <functional>
#include <optional>

namespace mustardspoke::steer {

/// \brief A request whose head has been read.
struct PendingRequest
    : boost::intrusive_ref_counter<PendingRequest,
                                   boost::thread_unsafe_counter> {
  explicit PendingRequest(BufferBudget &Buffers)
      : m_Body(Buffers), m_Charge(Buffers) {}

  HttpHead m_Head;
  TimePoint m_ReadAt; ///< When its head had been read.
  /// The first one of its connection: the connection waited for the event loop
  /// before it.
  bool m_IsFirst = false;
  /// The request can't be served if set, which may show inside the body.
  HttpParseError m_ParseError = HttpParseError::None;
  /// The head didn't arrive within the header timeout.
  bool m_HeadTimedOut = false;

  RequestBody m_Body;

  /// Its answer may break off, which ends the connection. Set until the handler
  /// knows better (CallerConnection::noteWholeAnswer()).
  bool m_MayBreakConnection = true;
  bool m_HandlerStarted = false; ///< A handler has been started for it.
  bool m_HandlerDone = false;    ///< The handler has returned.
  bool m_KeepConnection = false; ///< Value that the handler returned.
  /// Called once if the caller disconnects before the handler has returned.
  std::function<void()> m_OnDisconnect;
  BufferCharge m_Charge; ///< Of the head and the kept part of the body.

  /// \brief Adapts the charge to the size of the message.
  void updateCharge();
};
using PendingRequestPtr = boost::intrusive_ptr<PendingRequest>;

class CallerConnection;
using CallerConnectionPtr = boost::intrusive_ptr<CallerConnection>;

/// \brief Serves one request.
/// \returns Whether the connection may carry further requests.
using RequestHandler = std::function<awaitable<bool>(
    CallerConnectionPtr Connection, PendingRequestPtr Request)>;

/// \brief Reads pipelined requests, serves several of them concurrently and
/// sends the responses in the order of the requests. Reading continues while
/// requests are served, so that a disconnect of the caller is noticed at once.
class CallerConnection
    : public boost::intrusive_ref_counter<CallerConnection,
                                          boost::thread_unsafe_counter> {
public:
  /// \param Buffers Outlives the connection.
  CallerConnection(asio::io_context &Io, Tcp::socket Socket,
                   CallerLimits Limits, BufferBudget &Buffers,
                   RequestHandler Handler);

  /// \brief Starts reading and serving. The connection keeps itself alive.
  void start();

  /// \brief Waits until all earlier requests have been answered.
  /// \returns Whether the caller is still connected.
  awaitable<bool> waitForTurn(PendingRequestPtr Request);
  /// \brief Waits until no earlier request may end the connection with an
  /// answer that breaks off: the answer to \p Request would be lost.
  /// \returns Whether the caller is still connected.
  awaitable<bool> waitForWholeAnswers(PendingRequestPtr Request);
  /// \brief Notes that the caller gets the answer to \p Request whole, or none
  /// of it.
  void noteWholeAnswer(const PendingRequestPtr &Request);
  /// \brief Sends bytes of the response to \p Request once all earlier requests
  /// have been answered.
  /// \param MoreBytes Sent after \p Bytes.
  /// \returns Whether the caller is still connected.
  awaitable<bool> send(PendingRequestPtr Request, std::string Bytes,
                       std::string MoreBytes = {});

  /// \brief Waits until more of a body or its end has arrived, or the caller
  /// has disconnected.
  awaitable<void> waitForBody() { return m_BodyChanged.wait(); }
  void wakeBodyWaiters() { m_BodyChanged.notify(); }
  /// \brief Lets the read loop continue after body bytes were dropped.
  void notifyBodyConsumed() { m_SpaceAvailable.notify(); }

  /// \brief Notes that the current response carries "Connection: close".
  /// Requests that arrive later are not served.
  void announceClose() noexcept { m_CloseAnnounced = true; }
  /// \brief Whether no request has arrived after \p Request.
  [[nodiscard]] bool isLast(const PendingRequestPtr &Request) const {
    return !m_Queue.empty() && m_Queue.back() == Request;
  }
  /// \brief Whether no further response can reach the caller.
  [[nodiscard]] bool disconnected() const noexcept {
    return m_Disconnected || m_Finished;
  }

  /// \brief Closes immediately, which leaves the current response visibly
  /// incomplete.
  void abort();

private:
  awaitable<void> readLoop();
  awaitable<void> serveLoop();
  awaitable<void> handle(PendingRequestPtr Request);
  /// \brief Starts handlers for requests that have arrived.
  void startHandlers();
  void cancelHandlers();
  awaitable<void> closeGracefully();
  /// \brief Whether reading is to wait until requests have been served or more
  /// of a body has been sent.
  [[nodiscard]] bool buffersFull() const;
  /// \brief Parses the received bytes. \returns Whether parsing can continue.
  bool parse();
  void markDisconnected();
  void armTimeout();
  void startTimer(Duration Span);
  void onTimeout();

  asio::io_context &m_Io;
  Tcp::socket m_Socket;
  CallerLimits m_Limits;
  BufferBudget &m_Buffers;
  RequestHandler m_Handler;
  HttpParser m_Parser;
  bool m_HasRead = false; ///< A request.
  std::string m_Input;    ///< Received, not yet parsed.
  BufferCharge m_InputCharge;
  /// Requests in order of arrival; only the first one may send its response.
  std::deque<PendingRequestPtr> m_Queue;
  /// The request whose body is being read.
  PendingRequestPtr m_ReceivingRequest;
  Notifier m_RequestArrived;
  Notifier m_SpaceAvailable;
  Notifier m_BodyChanged;
  /// A handler returned, m_Queue has a new first request, or
  /// m_MayBreakConnection of a request has changed.
  Notifier m_TurnChanged;
  asio::steady_timer m_TimeoutTimer; ///< Enforces the idle and header timeouts.
  /// Distinguishes the current wait from cancelled ones.
  std::uint64_t m_TimeoutGeneration = 0;
  /// The caller closed the connection, or it failed.
  bool m_Disconnected = false;
  bool m_CloseAnnounced = false;
  bool m_Finished = false; ///< No further request will be answered.
};

} // namespace mustardspoke::steer
