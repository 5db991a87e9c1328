/// \file
/// Retries of addresses that are still taken.
#include "gateway/address_binder.h"

#include "observe/log.h"

#include <thread>

namespace mustardspoke::steer {
namespace {

constexpr Duration RetryInterval = 50ms;

/// \brief Whether the address may be free in a moment.
bool mayPass(const NetError &Error) {
  return Error == asio::error::address_in_use ||
         Error == boost::system::errc::address_not_available;
}

template <class Socket, class Endpoint>
NetError bindOnce(Socket &Bound, const Endpoint &Where) {
  NetError Error;
  NetError Ignored;
  Bound.close(Ignored);
  Bound.open(Where.protocol(), Error);
  if constexpr (std::is_same_v<Socket, Tcp::acceptor>) {
    if (!Error)
      Bound.set_option(asio::socket_base::reuse_address(true), Error);
    if (!Error)
      Bound.bind(Where, Error);
    if (!Error)
      Bound.listen(asio::socket_base::max_listen_connections, Error);
  } else if (!Error) {
    Bound.bind(Where, Error);
  }
  return Error;
}

template <class Protocol, class Socket>
NetError bindInTime(Socket &Bound, const std::string &Address,
                    TimePoint WaitsUntil) {
  auto Where = parseEndpoint<Protocol>(Address);
  NetError Error =
      Where ? bindOnce(Bound, *Where)
            : asio::error::make_error_code(asio::error::invalid_argument);
  if (mayPass(Error))
    logEvent(LogLevel::Warning, "address-taken",
             {{"address", Address}, {"cause", Error.message()}});
  while (mayPass(Error) && steadyNow() < WaitsUntil) {
    std::this_thread::sleep_for(RetryInterval);
    Error = bindOnce(Bound, *Where);
  }
  if (Error)
    logEvent(LogLevel::Error, "listen-failed",
             {{"address", Address}, {"cause", Error.message()}});
  return Error;
}

} // namespace

NetError AddressBinder::listen(Tcp::acceptor &Acceptor,
                               const std::string &Address) const {
  return bindInTime<Tcp>(Acceptor, Address, m_WaitsUntil);
}

NetError AddressBinder::bind(Udp::socket &Socket,
                             const std::string &Address) const {
  return bindInTime<Udp>(Socket, Address, m_WaitsUntil);
}

} // namespace mustardspoke::steer
