/// \file
/// Answers whose connection is reset or ends in order, through real sockets on
/// loopback, to calls of entry VMs and of the command line.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cli/caller.h"
#include "entry/connections.h"
#include "support/raw_server.h"
#include "support/server_side.h"

#include <kj/async-io.h>

using namespace mustardspoke;
using namespace mustardspoke::test;

namespace {

constexpr std::size_t UploadBytes = 8 << 20;
constexpr std::size_t PartBytes = 2000;
const std::string AnswerPart =
    "HTTP/1.1 200 OK\r\n\r\n" + std::string(PartBytes, 'x');
/// Until an upload has filled the buffers between client and server.
constexpr std::chrono::milliseconds FillTime(50);
/// From the last byte of an answer to the end of its connection.
constexpr std::chrono::milliseconds EndDelay(20);
/// After which a client whose event loop is late finds answer and end at once.
constexpr std::chrono::milliseconds LateBy(150);

using End = void (*)(steer::Tcp::socket &Socket);

void endInOrder(steer::Tcp::socket &Socket) {
  steer::NetError Error;
  Socket.shutdown(steer::Tcp::socket::shutdown_send, Error);
  char Buffer[65536];
  while (!Error)
    (void)Socket.read_some(steer::asio::buffer(Buffer), Error);
}

/// \brief As the system does for a server that closes without having read all.
void endInOrderThenReset(steer::Tcp::socket &Socket) {
  steer::NetError Ignored;
  Socket.shutdown(steer::Tcp::socket::shutdown_send, Ignored);
  RawServer::reset(Socket);
}

/// \brief Answers an upload early with a body that ends with the connection.
class EarlyAnswer : public RawServer {
public:
  explicit EarlyAnswer(End EndStream)
      : RawServer([EndStream](steer::Tcp::socket &Socket) {
          std::this_thread::sleep_for(FillTime);
          RawServer::answer(Socket, AnswerPart);
          std::this_thread::sleep_for(EndDelay);
          EndStream(Socket);
        }) {
    useSmallSegments(listeningFd());
  }
};

/// \brief A client that sends an upload as an entry VM does.
class EntryClient {
public:
  explicit EntryClient(const std::string &Address)
      : m_Pool(m_Io.provider->getNetwork(), m_Io.provider->getTimer(), m_Table),
        m_Connection(m_Pool.connect(Address, true).wait(m_Io.waitScope)) {}

  /// \param IsLate The event loop stands still meanwhile.
  /// \returns The size of the answer's body, or nothing if it is incomplete.
  std::optional<std::size_t> upload(bool IsLate) {
    std::string Body(UploadBytes, 'u');
    std::optional<std::size_t> Received;
    (void)kj::runCatchingExceptions([&] {
      auto Sent = m_Connection->m_Client->request(
          kj::HttpMethod::POST, "/x", kj::HttpHeaders(m_Table), Body.size());
      auto &Stream = *Sent.body;
      auto Writing = Stream.write(Body.data(), Body.size())
                         .attach(kj::mv(Sent.body))
                         .eagerlyEvaluate([](kj::Exception &&) {});
      auto Answer = Sent.response.attach(kj::mv(Writing));
      m_Io.provider->getTimer()
          .afterDelay(10 * kj::MILLISECONDS)
          .wait(m_Io.waitScope);
      if (IsLate)
        std::this_thread::sleep_for(LateBy);
      kj::HttpClient::Response Response = Answer.wait(m_Io.waitScope);
      Received = Response.body->readAllBytes().wait(m_Io.waitScope).size();
    });
    return Received;
  }

private:
  kj::AsyncIoContext m_Io = kj::setupAsyncIo();
  kj::HttpHeaderTable m_Table;
  ConnectionPool m_Pool;
  kj::Own<Connection> m_Connection;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EntryAnswers)

// Guards against a part of an answer that is passed on, or kept for a ticket,
// as the whole.
BOOST_AUTO_TEST_CASE(ResetBreaksTheAnswerToACallOfEntry) {
  for (bool IsLate : {false, true}) {
    EarlyAnswer Server(RawServer::reset);
    BOOST_TEST(!EntryClient(Server.address()).upload(IsLate).has_value(),
               (IsLate ? "late" : "in time"));
  }
}

BOOST_AUTO_TEST_CASE(EarlyAnswerToACallOfEntryIsWhole) {
  for (End EndStream : {endInOrder, endInOrderThenReset})
    for (bool IsLate : {false, true}) {
      EarlyAnswer Server(EndStream);
      BOOST_TEST(EntryClient(Server.address()).upload(IsLate).value_or(0) ==
                     PartBytes,
                 (IsLate ? "late" : "in time"));
    }
}

BOOST_AUTO_TEST_CASE(CommandLineTakesNoPartForTheWhole) {
  for (std::size_t BodyBytes : {std::size_t(0), UploadBytes}) {
    EarlyAnswer Server(RawServer::reset);
    CallerResult Got =
        sendCall(Server.address(), "/x", "", std::string(BodyBytes, 'u'));
    BOOST_TEST(!Got.m_IsComplete, BodyBytes << " bytes");
    BOOST_TEST(!Got.m_Error.empty(), BodyBytes << " bytes");
  }
}

BOOST_AUTO_TEST_CASE(CommandLineReadsAnEarlyAnswerToItsEnd) {
  for (std::size_t BodyBytes : {std::size_t(0), UploadBytes}) {
    EarlyAnswer Server(endInOrder);
    CallerResult Got =
        sendCall(Server.address(), "/x", "", std::string(BodyBytes, 'u'));
    BOOST_TEST(Got.m_IsComplete, Got.m_Error);
    BOOST_TEST(Got.m_BodyBytes == PartBytes);
  }
}

BOOST_AUTO_TEST_SUITE_END()
