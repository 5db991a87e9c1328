/// \file
/// Binding of the process's own addresses at its start.
#pragma once

#include "gateway/net.h"

namespace mustardspoke::steer {

/// \brief Binds addresses. One that is still taken, as by a predecessor that is
/// about to exit, is waited for.
class AddressBinder {
public:
  /// \param MaxWait For all addresses together.
  explicit AddressBinder(Duration MaxWait)
      : m_WaitsUntil(steadyNow() + MaxWait) {}

  /// \brief Listens at "IP:port". Blocks while it waits.
  /// \returns The error if the address can't be used; it is logged.
  [[nodiscard]] NetError listen(Tcp::acceptor &Acceptor,
                                const std::string &Address) const;
  /// \brief The same for datagrams.
  [[nodiscard]] NetError bind(Udp::socket &Socket,
                              const std::string &Address) const;

private:
  TimePoint m_WaitsUntil;
};

} // namespace mustardspoke::steer
