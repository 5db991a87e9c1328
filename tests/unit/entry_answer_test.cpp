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

#include <algorithm>

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

constexpr kj::Duration CallTimeout = 2 * kj::SECONDS;

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
        m_Address(Address) {}

  /// \param IsLate The event loop stands still meanwhile.
  /// \returns The size of the answer's body, or nothing if it is incomplete.
  std::optional<std::size_t> upload(bool IsLate) {
    std::string Body(UploadBytes, 'u');
    std::optional<std::size_t> Received;
    auto Used = m_Pool.connect(m_Address, true).wait(m_Io.waitScope);
    (void)kj::runCatchingExceptions([&] {
      auto Sent = Used->m_Client->request(
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

  /// \brief Makes a call on a connection of the pool.
  /// \returns The answer's body, or the error.
  std::string call(std::size_t BodyBytes) {
    std::string Result;
    auto Failure = kj::runCatchingExceptions([&] {
      auto Used = m_Pool.connect(m_Address, false).wait(m_Io.waitScope);
      Result = m_Io.provider->getTimer()
                   .timeoutAfter(CallTimeout, exchange(*Used, BodyBytes))
                   .wait(m_Io.waitScope)
                   .cStr();
      m_Pool.release(kj::mv(Used));
    });
    KJ_IF_MAYBE (Thrown, Failure)
      Result = Thrown->getDescription().cStr();
    return Result;
  }

private:
  kj::Promise<kj::String> exchange(Connection &Used, std::size_t BodyBytes) {
    auto Body = kj::heapArray<kj::byte>(BodyBytes);
    std::fill(Body.begin(), Body.end(), kj::byte('u'));
    return Used
        .request(kj::HttpMethod::POST, "/x", kj::HttpHeaders(m_Table), Body)
        .then([](kj::HttpClient::Response &&Response) {
          auto Reading = Response.body->readAllText();
          return Reading.attach(kj::mv(Response.body));
        })
        .attach(kj::mv(Body));
  }

  kj::AsyncIoContext m_Io = kj::setupAsyncIo();
  kj::HttpHeaderTable m_Table;
  ConnectionPool m_Pool;
  std::string m_Address;
};

/// \brief Reads \p Bytes, or less if the connection ends.
void readBytes(steer::Tcp::socket &Socket, std::size_t Bytes) {
  char Buffer[65536];
  steer::NetError Error;
  while (!Error && Bytes > 0)
    Bytes -= Socket.read_some(
        steer::asio::buffer(Buffer, std::min(Bytes, sizeof Buffer)), Error);
}

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

// Guards against a call whose head is never sent, as the request before it is
// incomplete.
BOOST_AUTO_TEST_CASE(ConnectionOfAnEarlyAnswerCarriesNoOtherCall) {
  RawServer Server([](steer::Tcp::socket &Socket) {
    RawServer::answer(Socket,
                      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly");
    std::this_thread::sleep_for(FillTime);
    readBytes(Socket, 2 * UploadBytes);
  });
  useSmallSegments(Server.listeningFd());
  EntryClient Client(Server.address());
  BOOST_TEST(Client.call(UploadBytes) == "early");
  BOOST_TEST(Client.call(UploadBytes) == "early");
}

// Guards against an upstream that waits for the rest of a body in vain.
BOOST_AUTO_TEST_CASE(ServerThatBeginsItsAnswerEarlyGetsTheRestOfTheBody) {
  RawServer Server([](steer::Tcp::socket &Socket) {
    RawServer::answer(Socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    readBytes(Socket, UploadBytes - RawServer::MaxFirstRead);
    steer::NetError Ignored;
    steer::asio::write(Socket, steer::asio::buffer("whole", 5), Ignored);
    readBytes(Socket, UploadBytes);
  });
  useSmallSegments(Server.listeningFd());
  BOOST_TEST(EntryClient(Server.address()).call(UploadBytes) == "whole");
}

// Control: a connection whose request has been sent is used again.
BOOST_AUTO_TEST_CASE(ConnectionOfAWholeCallCarriesTheNext) {
  RawServer Server([](steer::Tcp::socket &Socket) {
    for (const char *Body : {"1", "2"}) {
      RawServer::answer(
          Socket,
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n") + Body);
    }
    readBytes(Socket, UploadBytes);
  });
  EntryClient Client(Server.address());
  BOOST_TEST(Client.call(0) == "1");
  BOOST_TEST(Client.call(0) == "2");
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
