/// \file
/// A connection that HTTP requests arrive on.
#pragma once

#include "gateway/http_message.h"
#include "gateway/net.h"
#include "steer/route_table.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <deque>
#include <functional>

namespace mustardspoke::steer {

/// \brief A request whose head has been read.
struct PendingRequest
    : boost::intrusive_ref_counter<PendingRequest,
                                   boost::thread_unsafe_counter> {
  HttpHead m_Head;
  TimePoint m_ArrivedAt;
  HttpFault m_Fault = HttpFault::None; ///< Can't be served if set.
  bool m_HeadLate = false; ///< The head did not come within its time limit.

  /// Body bytes received, without the first m_Dropped ones.
  std::string m_Body;
  std::uint64_t m_Dropped = 0;
  bool m_Complete = false; ///< The body has arrived whole.

  bool m_Started = false; ///< A handler serves it.
  bool m_Done = false;    ///< The handler has ended.
  bool m_Keep = false;    ///< What the handler returned.
  /// Called once when the caller leaves before the handler has ended.
  std::function<void()> m_WhenGone;
};
using PendingRequestPtr = boost::intrusive_ptr<PendingRequest>;

class CallerConnection;
using CallerConnectionPtr = boost::intrusive_ptr<CallerConnection>;

/// \brief Serves one request.
/// \returns Whether the connection may carry further requests.
using RequestHandler = std::function<awaitable<bool>(
    CallerConnectionPtr From, PendingRequestPtr Request)>;

/// \brief Reads requests ahead and serves several at a time; answers go out in
/// the order of the requests. Reading goes on all the while, so that a caller's
/// leaving is noticed at once.
class CallerConnection
    : public boost::intrusive_ref_counter<CallerConnection,
                                          boost::thread_unsafe_counter> {
public:
  CallerConnection(asio::io_context &Io, Tcp::socket Socket,
                   CallerLimits Limits, RequestHandler Serve);

  /// \brief Starts reading and serving; the connection keeps itself alive.
  void start();

  /// \brief Waits until all earlier requests are answered.
  /// \returns Whether the caller is still there.
  awaitable<bool> turn(PendingRequestPtr Of);
  /// \brief Sends bytes of the answer to \p Of when its turn has come.
  /// \returns Whether the caller is still there.
  awaitable<bool> send(PendingRequestPtr Of, std::string Bytes);

  /// \brief Waits until more of a body or its end has arrived, or the caller
  /// has left.
  awaitable<void> bodyChanged() { return m_BodyChanged.wait(); }
  /// \brief Lets the reader go on after body bytes were dropped.
  void bodyTaken() { m_Taken.notify(); }

  /// \brief The answer under way says that the connection closes; requests
  /// that arrive from now on are not served.
  void announceClose() noexcept { m_CloseAnnounced = true; }
  /// \brief No request has arrived behind \p Of.
  [[nodiscard]] bool isLast(const PendingRequestPtr &Of) const {
    return !m_Queue.empty() && m_Queue.back() == Of;
  }
  /// \brief No further answer can reach the caller.
  [[nodiscard]] bool gone() const noexcept { return m_Gone || m_Ended; }

  /// \brief Closes at once; the last answer stays visibly incomplete.
  void abort();

private:
  awaitable<void> readLoop();
  awaitable<void> serveLoop();
  awaitable<void> handle(PendingRequestPtr Request);
  /// \brief Starts handlers for requests that have arrived.
  void startHandlers();
  void cancelHandlers();
  awaitable<void> closeGently();
  /// \brief Parses what has arrived. \returns Whether reading goes on.
  bool parse();
  void noteGone();
  void armGuard();
  void guardFired();

  asio::io_context &m_Io;
  Tcp::socket m_Socket;
  CallerLimits m_Limits;
  RequestHandler m_Serve;
  HttpReader m_Reader;
  std::string m_In; ///< Read and not yet parsed.
  /// Requests in order of arrival; only the first one's answer is sent.
  std::deque<PendingRequestPtr> m_Queue;
  PendingRequestPtr m_Arriving; ///< Its body is still being read.
  Signal m_Arrived;
  Signal m_Taken;
  Signal m_BodyChanged;
  Signal m_Turn; ///< A handler ended, or the first request changed.
  asio::steady_timer m_Guard;     ///< Limits on idling and on slow heads.
  std::uint64_t m_GuardRound = 0; ///< Tells an old expiry from the last one.
  bool m_Gone = false; ///< The caller closed, or the connection broke.
  bool m_CloseAnnounced = false;
  bool m_Ended = false; ///< No further request will be answered.
};

} // namespace mustardspoke::steer
