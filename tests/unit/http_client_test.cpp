/// \file
/// The blocking client of operators' interface and of the table service.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "http/http.h"
#include "support/raw_server.h"

using namespace mustardspoke;
using namespace mustardspoke::test;

namespace {

constexpr std::size_t TimeoutMs = 1000;
/// From the last byte of an answer to a reset; the answer has arrived then.
constexpr std::chrono::milliseconds ResetDelay(30);

const std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n";
const std::string WholeAnswers[] = {
    Head + "Content-Length: 4\r\n\r\nbody",
    Head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
    Head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n"};
/// The end of its stream ends the body.
const std::string AnswerWithoutLength = Head + "\r\nbody";

HttpExchange ask(RawServer &Server, const std::string &Body = "") {
  return httpExchange(Server.address(), {"POST", "/x", "", "", Body},
                      TimeoutMs);
}

void checkIsWhole(const HttpExchange &Got) {
  BOOST_TEST((Got.m_Progress == HttpProgress::Answered));
  BOOST_TEST(Got.m_Response.m_Status == 200U);
  BOOST_TEST(Got.m_Response.m_Body == "body");
}

} // namespace

BOOST_AUTO_TEST_SUITE(SmallMessages)

// Guards against a success with an empty or short body for a response that
// breaks off.
BOOST_AUTO_TEST_CASE(AnswerThatBreaksOffIsNoAnswer) {
  for (const std::string &Whole : WholeAnswers)
    for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
      RawServer Server(Whole.substr(0, Size));
      HttpExchange Got = ask(Server);
      BOOST_TEST((Got.m_Progress == HttpProgress::Unanswered),
                 Whole << ", cut at " << Size);
    }
}

BOOST_AUTO_TEST_CASE(ResetInABodyWithoutLengthIsNoAnswer) {
  // A body of this size is still being sent at the reset.
  for (std::size_t BodyBytes : {std::size_t(0), std::size_t(8) << 20}) {
    RawServer Server([](steer::Tcp::socket &Socket) {
      RawServer::answer(Socket, AnswerWithoutLength);
      std::this_thread::sleep_for(ResetDelay);
      RawServer::reset(Socket);
    });
    HttpExchange Got = ask(Server, std::string(BodyBytes, 'u'));
    BOOST_TEST((Got.m_Progress == HttpProgress::Unanswered), BodyBytes);
  }
}

BOOST_AUTO_TEST_CASE(WholeAnswersAreRead) {
  for (const std::string &Whole : WholeAnswers) {
    RawServer Server(Whole);
    checkIsWhole(ask(Server));
  }
  RawServer Server(AnswerWithoutLength);
  checkIsWhole(ask(Server));
}

BOOST_AUTO_TEST_CASE(SilentServerIsGivenUpAfterTheTimeout) {
  RawServer Server([](steer::Tcp::socket &Socket) {
    char Request[4096];
    steer::NetError Error;
    while (!Error)
      (void)Socket.read_some(steer::asio::buffer(Request), Error);
  });
  auto Begin = std::chrono::steady_clock::now();
  HttpExchange Got = httpExchange(Server.address(), {"GET", "/x"}, 200);
  BOOST_TEST((Got.m_Progress == HttpProgress::Unanswered));
  BOOST_TEST((std::chrono::steady_clock::now() - Begin <
              std::chrono::milliseconds(TimeoutMs)));
}

BOOST_AUTO_TEST_CASE(RefusedConnectionMeansNotSent) {
  std::string Address;
  {
    RawServer Closed("");
    Address = Closed.address();
  }
  HttpExchange Got = httpExchange(Address, {"GET", "/x"}, TimeoutMs);
  BOOST_TEST((Got.m_Progress == HttpProgress::NotSent));
  BOOST_TEST(!Got.m_Error.empty());
}

// The fields of a request, as the server reads them.
BOOST_AUTO_TEST_CASE(RequestCarriesItsQueryAndAuthorization) {
  std::string Received;
  RawServer Server([&Received](steer::Tcp::socket &Socket) {
    char Request[4096];
    while (Received.find("{}") == std::string::npos)
      Received.append(Request, Socket.read_some(steer::asio::buffer(Request)));
    steer::asio::write(Socket, steer::asio::buffer(WholeAnswers[0]));
  });
  checkIsWhole(httpExchange(Server.address(),
                            {"PUT", "/x", "a=b", "Bearer t", "{}"}, TimeoutMs));
  BOOST_TEST(Received.starts_with("PUT /x?a=b HTTP/1.1\r\n"));
  for (const char *Field : {"\r\nAuthorization: Bearer t\r\n",
                            "\r\nContent-Length: 2\r\n", "\r\n\r\n{}"})
    BOOST_TEST((Received.find(Field) != std::string::npos), Field);
}

BOOST_AUTO_TEST_SUITE_END()
