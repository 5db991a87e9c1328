/// \file
/// A loopback proxy that harms the connections through it.
#pragma once

#include "gateway/net.h"

#include <memory>
#include <string>
#include <vector>

namespace mustardspoke::soak {

/// \brief What a proxy does to its connections.
enum class LinkMode : std::uint8_t {
  Pass,
  Delay,       ///< Each piece waits 80 ms.
  Reset,       ///< Resets open connections, and new ones as they come.
  CutRequests, ///< Bytes to the server stand still.
  CutAnswers,  ///< Bytes from the server stand still.
  Silent,      ///< Both stand still; new connections get no answer.
};

/// \brief Forwards bytes between one address and another.
///
/// \details Bytes that stand still are passed on once the link is whole again,
/// as after retransmissions.
class LinkProxy {
public:
  LinkProxy(steer::asio::io_context &Io, const std::string &Listen,
            std::string Target);

  void setMode(LinkMode To);

private:
  struct Pair {
    steer::Tcp::socket m_Caller;
    steer::Tcp::socket m_Server;
  };
  using PairPtr = std::shared_ptr<Pair>;

  void accepted(steer::Tcp::socket One);
  steer::awaitable<void> join(PairPtr Both);
  steer::awaitable<void> pump(PairPtr Both, bool Answers);
  /// \brief Waits while bytes of this direction stand still.
  steer::awaitable<void> untilFlowing(const Pair &Both, bool Answers);
  static void reset(steer::Tcp::socket &One);

  steer::asio::io_context &m_Io;
  steer::Tcp::acceptor m_On;
  std::string m_Target;
  LinkMode m_Mode = LinkMode::Pass;
  std::vector<std::weak_ptr<Pair>> m_Pairs;
};

} // namespace mustardspoke::soak
