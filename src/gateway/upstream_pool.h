/// \file
/// Connections to upstreams that are reused between requests.
#pragma once

#include "gateway/http_message.h"
#include "gateway/net.h"
#include "steer/upstream.h"

#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace mustardspoke::steer {

/// \brief One connection to an upstream, or to a peer that carries attempts to
/// upstreams.
///
/// Invariants: closing it while a request is unanswered aborts it, also when
/// the process ends, so that the request doesn't arrive after its caller has
/// been answered. While bytes of a request may be undelivered, the system
/// doesn't end it.
struct UpstreamConnection
    : boost::intrusive_ref_counter<UpstreamConnection,
                                   boost::thread_unsafe_counter> {
  explicit UpstreamConnection(asio::io_context &Io) : m_Socket(Io) {}
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection &) = delete;
  UpstreamConnection &operator=(const UpstreamConnection &) = delete;

  [[nodiscard]] bool isToPeer() const noexcept { return !m_Peer.empty(); }
  /// \brief Notes that the request with this hash of its identifier was
  /// refused.
  void noteRefusal(std::uint64_t RequestHash) {
    m_Refused.push_back(RequestHash);
  }
  /// \brief Whether a request may be sent. A faulty upstream may repeat an
  /// earlier refusal; for the same request it couldn't be told from an answer.
  [[nodiscard]] bool maySend(std::uint64_t RequestHash) const;
  [[nodiscard]] bool isReusable() const noexcept {
    return !m_PeerIsWatched && m_Refused.size() < MaxRefusals;
  }

  /// \brief Writes all of \p Bytes. A read may be pending meanwhile.
  awaitable<NetError> write(std::string_view Bytes);
  /// \brief Reads some bytes. A write may be pending meanwhile.
  /// \param Error Set if the stream has ended; asio::error::eof only if the
  /// other side has ended it in order, else why it broke off.
  /// \returns The number of bytes read.
  awaitable<std::size_t> read(std::span<char> Buffer, NetError &Error);

  /// \brief Lets the system end the connection if the other side vanishes. It
  /// isn't reused then.
  /// \pre The other side has received the request.
  void watchPeer();

  Tcp::socket m_Socket;
  VmName m_Peer;         ///< The peer that it leads to; empty: the upstream.
  std::string m_Input;   ///< Received, not yet parsed.
  bool m_Reused = false; ///< Has carried a request before.
  /// Bytes of a request may have been sent, and the response isn't complete.
  bool m_RequestUnanswered = false;
  Duration m_IdleTimeout{}; ///< May stay idle for this long.
  TimePoint m_IdleSince{};

private:
  /// A connection with more refusals isn't used again.
  static constexpr std::size_t MaxRefusals = 16;

  bool m_PeerIsWatched = false;
  /// Of a write. The system reports the cause of a broken connection to one
  /// call only; if that was a write, a read finds the end of the stream. Set
  /// before any other call on the socket.
  NetError m_WriteError;
  std::vector<std::uint64_t> m_Refused; ///< See noteRefusal().
};

using UpstreamConnectionPtr = boost::intrusive_ptr<UpstreamConnection>;

/// \brief Idle connections by upstream.
class UpstreamPool {
public:
  /// \param SourceIp Source address of the connections; may be empty.
  explicit UpstreamPool(asio::io_context &Io, std::string SourceIp = "")
      : m_Io(Io), m_SourceIp(std::move(SourceIp)) {}

  /// \brief Returns an idle connection without unread bytes, or null.
  /// \param MaxIdle Connections that were idle for longer are skipped, since
  /// the upstream may be closing them.
  /// \param RequestHash Of the identifier of the request that is to be sent.
  [[nodiscard]] UpstreamConnectionPtr acquire(const Upstream &Target,
                                              TimePoint Now, Duration MaxIdle,
                                              std::uint64_t RequestHash);

  /// \brief Opens a connection within \p Timeout.
  /// \returns Null with \p Error set on failure; nothing was sent then.
  awaitable<UpstreamConnectionPtr> open(UpstreamPtr Target, Duration Timeout,
                                        NetError &Error);

  /// \brief Returns a connection to the pool. Its last response must have been
  /// read completely.
  void release(const Upstream &Target, UpstreamConnectionPtr Connection,
               TimePoint Now);

  // The same for connections to a peer that carries attempts.
  [[nodiscard]] UpstreamConnectionPtr acquire(const VmName &Peer, TimePoint Now,
                                              std::uint64_t RequestHash);
  awaitable<UpstreamConnectionPtr> open(VmName Peer, std::string Address,
                                        Duration Timeout, NetError &Error);
  void release(UpstreamConnectionPtr Connection, TimePoint Now);

  /// \brief Closes connections that have been idle for too long.
  void closeExpired(TimePoint Now);
  void closeIdle(const Upstream &Target) { m_Idle.erase(&Target); }
  void closeAllIdle() {
    m_Idle.clear();
    m_IdleToPeers.clear();
  }

private:
  using Connections = std::vector<UpstreamConnectionPtr>; ///< Newest last.

  /// \brief Takes a usable connection out of \p Idle.
  static UpstreamConnectionPtr take(Connections &Idle, TimePoint Now,
                                    Duration MaxIdle,
                                    std::uint64_t RequestHash);
  static void put(Connections &Idle, UpstreamConnectionPtr Connection,
                  TimePoint Now);
  template <class Key>
  static void closeExpired(std::map<Key, Connections> &Idle, TimePoint Now);
  awaitable<UpstreamConnectionPtr> connect(std::string Address,
                                           Duration Timeout, NetError &Error);

  asio::io_context &m_Io;
  std::string m_SourceIp;
  /// Entries of removed upstreams are erased by the next closeExpired().
  std::map<const Upstream *, Connections> m_Idle;
  std::map<VmName, Connections> m_IdleToPeers;
};

} // namespace mustardspoke::steer
