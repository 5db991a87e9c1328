/// \file
/// Connections to upstreams, kept between requests.
#pragma once

#include "gateway/http_message.h"
#include "gateway/net.h"
#include "steer/upstream.h"

#include <map>
#include <memory>
#include <vector>

namespace mustardspoke::steer {

/// \brief One connection to an upstream.
struct UpstreamConnection
    : boost::intrusive_ref_counter<UpstreamConnection,
                                   boost::thread_unsafe_counter> {
  explicit UpstreamConnection(asio::io_context &Io) : m_Socket(Io) {}

  Tcp::socket m_Socket;
  std::string m_In;      ///< Read and not yet parsed.
  bool m_Used = false;   ///< Has carried a request before.
  Duration m_IdleLife{}; ///< May wait unused for so long.
  TimePoint m_IdleSince{};
};

using UpstreamConnectionPtr = boost::intrusive_ptr<UpstreamConnection>;

/// \brief Idle connections by upstream.
class UpstreamPool {
public:
  explicit UpstreamPool(asio::io_context &Io) : m_Io(Io) {}

  /// \brief A kept connection on which nothing is unread, or null.
  /// \param MostIdle Older ones are left out; the upstream may be closing
  /// them right now.
  [[nodiscard]] UpstreamConnectionPtr take(const Upstream &To, TimePoint Now,
                                           Duration MostIdle);

  /// \brief Opens a connection within \p Within.
  /// \returns Null with \p Error set on failure; nothing was sent then.
  awaitable<UpstreamConnectionPtr> open(UpstreamPtr To, Duration Within,
                                        NetError &Error);

  /// \brief Keeps \p One; its last answer was read to the end.
  void keep(const Upstream &To, UpstreamConnectionPtr One, TimePoint Now);

  /// \brief Closes connections that have waited too long.
  void sweep(TimePoint Now);
  void drop(const Upstream &To) { m_Idle.erase(&To); }
  void dropAll() { m_Idle.clear(); }

private:
  asio::io_context &m_Io;
  /// Newest last. Entries of removed upstreams go with the next sweep.
  std::map<const Upstream *, std::vector<UpstreamConnectionPtr>> m_Idle;
};

} // namespace mustardspoke::steer
