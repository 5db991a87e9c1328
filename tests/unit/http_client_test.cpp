/// \file
/// The blocking client of operators' interface and of the table service.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/net.h"
#include "http/http.h"

#include <boost/asio/write.hpp>

#include <thread>

using namespace mustardspoke;
using steer::Tcp;
namespace asio = boost::asio;

BOOST_AUTO_TEST_SUITE(SmallMessages)

// Guards against a success with an empty or short body for a response whose
// head breaks off.
BOOST_AUTO_TEST_CASE(HeadThatBreaksOffIsNoAnswer) {
  std::string Whole = "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n"
                      "Content-Length: 4\r\n\r\nbody";
  for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
    asio::io_context Io;
    Tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
    std::string Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    std::jthread Server([&] {
      Tcp::socket Socket = Acceptor.accept();
      char Request[1024];
      (void)Socket.read_some(asio::buffer(Request));
      asio::write(Socket, asio::buffer(Whole.substr(0, Size)));
    });
    HttpExchange Result =
        httpExchange(Address, {"GET", "/x", "", "", ""}, 1000);
    BOOST_TEST((Result.m_Progress == HttpProgress::Unanswered),
               "cut at " << Size);
  }
}

BOOST_AUTO_TEST_SUITE_END()
