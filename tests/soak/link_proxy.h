/// \file
/// A loopback proxy that disturbs the connections through it.
#pragma once

#include "gateway/net.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardspoke::soak {

/// \brief Disturbance of the proxied connections.
enum class LinkMode : std::uint8_t {
  Pass,
  Delay,         ///< Each chunk of data is delayed by 80 ms.
  Reset,         ///< Resets open and new connections.
  StallRequests, ///< Holds back data to the server.
  StallAnswers,  ///< Holds back data from the server.
  StallAll,      ///< Holds back data in both directions.
};

/// \brief How one caller is cut off from the server.
enum class CutForm : std::uint8_t {
  None,
  Hang,      ///< Packets are dropped in both directions.
  Reset,     ///< Resets open and new connections.
  RefuseNew, ///< Resets new connections; open ones live on.
};

/// \brief Forwards connections from one address to another.
///
/// \details Data that was held back is forwarded once the disturbance ends, as
/// TCP would do by retransmissions, unless the sender has aborted the
/// connection by then.
class LinkProxy {
public:
  LinkProxy(steer::asio::io_context &Io, const std::string &Listen,
            std::string Target);

  void setMode(LinkMode Mode);
  /// \brief Has data delivered also if its sender has aborted the connection,
  /// as a control of what the abort is for.
  void deliverAborted() { m_DeliversAborted = true; }
  /// \brief Disturbs the connections of one caller only, whatever the mode.
  void setCut(const std::string &CallerIp, CutForm Form);

private:
  struct ConnectionPair {
    steer::Tcp::socket m_CallerSocket;
    steer::Tcp::socket m_ServerSocket;
    std::string m_CallerIp;
  };
  using ConnectionPairPtr = std::shared_ptr<ConnectionPair>;

  void accept(steer::Tcp::socket Caller);
  steer::awaitable<void> connectAndForward(ConnectionPairPtr Connection);
  steer::awaitable<void> forward(ConnectionPairPtr Connection, bool ToCaller);
  /// \brief Waits while data in this direction is held back.
  steer::awaitable<void> waitWhileStalled(const ConnectionPair &Connection,
                                          bool ToCaller);
  [[nodiscard]] CutForm cutOf(const std::string &CallerIp) const;
  /// \brief Makes the system drop all packets for \p Socket that come from
  /// callers whose cut is CutForm::Hang.
  void dropPackets(steer::Tcp::socket::native_handle_type Socket) const;
  [[nodiscard]] static bool wasAborted(steer::Tcp::socket &Socket);
  static void reset(steer::Tcp::socket &Socket);

  steer::asio::io_context &m_Io;
  steer::Tcp::acceptor m_Acceptor;
  std::string m_Target;
  LinkMode m_Mode = LinkMode::Pass;
  bool m_DeliversAborted = false;
  std::map<std::string, CutForm> m_Cuts; ///< By IP of the caller.
  std::vector<std::weak_ptr<ConnectionPair>> m_Connections;
};

} // namespace mustardspoke::soak
