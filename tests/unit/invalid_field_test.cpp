/// \file
/// Answers with a field whose name isn't a token, through real sockets on
/// loopback, to each client that reads answers. A server may mean the field, or
/// the line may hide the one that delimits the body.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cli/caller.h"
#include "entry/connections.h"
#include "http/http.h"
#include "support/cut_gateway.h"
#include "support/raw_server.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

using namespace std::string_literals;

/// Lines of a head or a trailer that no answer may hold.
const std::string InvalidLines[] = {"X-A : 1",
                                    "X-A\t: 1",
                                    "X A: 1",
                                    "X\tA: 1",
                                    "X\0A: 1"s,
                                    "X-A\0: 1"s,
                                    "X\001A: 1",
                                    "X-A\001: 1",
                                    "X\013A: 1",
                                    "X-A\014: 1",
                                    "X\rA: 1",
                                    "X-A\r: 1",
                                    "X\037A: 1",
                                    "X\177A: 1",
                                    "X\200A: 1",
                                    ": 1",
                                    "X-A",
                                    "X(A): 1",
                                    "X@A: 1",
                                    "Content-Length : 2",
                                    "Content-Length\t: 2",
                                    "Content-Length\001: 2",
                                    "Content-Length\r: 2",
                                    "Transfer-Encoding : chunked",
                                    "Transfer-Encoding\013: chunked",
                                    "X-A: b\0c"s,
                                    "X-A: b\001c",
                                    "X-A: b\177c",
                                    "X-A: b\rContent-Length: 2"};
/// As the first line after the status line, where it continues nothing.
const std::string IndentedLines[] = {" X-A: 1", "\tX-A: 1",
                                     " Content-Length: 2"};
/// Valid ones, as a control.
const std::string ValidLines[] = {
    "!#$%&'*+-.^_`|~09Az: 1", "X-A:1",           "X-A:",
    "X-A: \t b\tc \x80\xff ", "X-A: b\r\n c: d", "X-A: b : c"};

constexpr const char *Ok = "HTTP/1.1 200 OK\r\n";
/// Fields that the gateway expects of an upstream's answer.
constexpr const char *Proof = "X-Request-Id: a\r\nX-Response-Signature: s\r\n";
constexpr const char *Length = "Content-Length: 4\r\n";

/// \brief Calls \p Check with an answer for each invalid line, before and after
/// the other fields.
template <class Function> void forEachInvalidAnswer(Function Check) {
  auto CheckOne = [&Check](const std::string &Line, const std::string &Answer) {
    BOOST_TEST_CONTEXT("line: " << Line) { Check(Answer); }
  };
  for (const std::string &Line : InvalidLines) {
    CheckOne(Line, Ok + Line + "\r\n" + Proof + Length + "\r\nbody");
    CheckOne(Line, std::string(Ok) + Proof + Length + Line + "\r\n\r\nbody");
  }
  for (const std::string &Line : IndentedLines)
    CheckOne(Line, Ok + Line + "\r\n" + Proof + Length + "\r\nbody");
}

template <class Function> void forEachValidAnswer(Function Check) {
  for (const std::string &Line : ValidLines)
    BOOST_TEST_CONTEXT("line: " << Line)
  Check(Ok + Line + "\r\n" + Proof + Length + "\r\nbody");
}

/// \brief An upstream that answers each request with \p Answer.
Script answerWith(std::string Answer, unsigned &Runs) {
  return
      [Answer = std::move(Answer), &Runs](ServerSide &Side) -> awaitable<void> {
        while (!(co_await Side.readRequest()).empty()) {
          ++Runs;
          co_await Side.sendRaw(Answer);
        }
      };
}

/// \brief Sends a request that may run once to such an upstream.
steer::HttpResponse askUpstream(const std::string &Answer) {
  unsigned Runs = 0;
  ExchangeRig R;
  R.upstream("u", answerWith(Answer, Runs));
  steer::HttpResponse Got = R.ask(unsafeRequest("a"));
  BOOST_TEST(Runs == 1U);
  return Got;
}
steer::HttpResponse askUpstreamOverPeer(const std::string &Answer) {
  unsigned Runs = 0;
  CutGateway G;
  G.upstream("u", answerWith(Answer, Runs));
  G.cut();
  steer::HttpResponse Got = G.m_Rig.ask(unsafeRequest("a"));
  BOOST_TEST(Runs == 1U);
  return Got;
}

void checkIsWhole(const steer::HttpResponse &Got) {
  BOOST_TEST(Got.m_Head.m_Status == 200U);
  BOOST_TEST(Got.m_Body == "body");
}

steer::HttpResponse askStore(const std::string &Answer) {
  unsigned Runs = 0;
  return callStore(answerWith(Answer, Runs));
}

HttpExchange callBlocking(const std::string &Answer) {
  RawServer Server(Answer);
  return httpExchange(Server.address(), {"GET", "/x", "", "", ""}, 1000);
}

CallerResult callFromCommandLine(const std::string &Answer) {
  RawServer Server(Answer);
  return sendCall(Server.address(), "/x", "", "");
}

/// \brief A call of an entry VM to an upstream. \returns The body, or nothing
/// without a whole answer.
std::optional<std::string> callFromEntry(const std::string &Answer) {
  RawServer Server(Answer);
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  kj::HttpHeaderTable Table;
  ConnectionPool Pool(Io.provider->getNetwork(), Io.provider->getTimer(),
                      Table);
  std::optional<std::string> Body;
  (void)kj::runCatchingExceptions([&] {
    kj::Own<Connection> Conn =
        Pool.connect(Server.address(), true).wait(Io.waitScope);
    kj::HttpClient::Response Response =
        Conn->m_Client
            ->request(kj::HttpMethod::GET, "/x", kj::HttpHeaders(Table),
                      std::uint64_t(0))
            .response.wait(Io.waitScope);
    Body = Response.body->readAllText().wait(Io.waitScope).cStr();
  });
  return Body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(InvalidFields)

BOOST_AUTO_TEST_CASE(UpstreamsAnswerIsAnsweredWith502) {
  forEachInvalidAnswer([](const std::string &Answer) {
    BOOST_TEST(askUpstream(Answer).m_Head.m_Status == 502U);
    BOOST_TEST(askUpstreamOverPeer(Answer).m_Head.m_Status == 502U);
  });
  forEachValidAnswer([](const std::string &Answer) {
    checkIsWhole(askUpstream(Answer));
    checkIsWhole(askUpstreamOverPeer(Answer));
  });
}

BOOST_AUTO_TEST_CASE(InvalidInterimAnswerIsAnsweredWith502) {
  for (const std::string &Line : InvalidLines) {
    std::string Answer = "HTTP/1.1 103 Early Hints\r\n" + Line + "\r\n\r\n" +
                         Ok + Proof + Length + "\r\nbody";
    BOOST_TEST(askUpstream(Answer).m_Head.m_Status == 502U, Line);
    BOOST_TEST(askUpstreamOverPeer(Answer).m_Head.m_Status == 502U, Line);
  }
}

BOOST_AUTO_TEST_CASE(InvalidTrailerBreaksTheAnswer) {
  std::string Begin = std::string(Ok) + Proof +
                      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
  for (const std::string &Line : InvalidLines) {
    std::string Answer = Begin + Line + "\r\n\r\n";
    BOOST_TEST(askUpstream(Answer).m_Head.m_Status == 502U, Line);
    BOOST_TEST(askUpstreamOverPeer(Answer).m_Head.m_Status == 502U, Line);
  }
  std::string Valid = Begin + "X-A: 1\r\n\r\n";
  checkIsWhole(askUpstream(Valid));
  // A field of the trailer isn't passed on.
  BOOST_TEST(!askUpstream(Valid).m_Head.find("X-A"));
}

BOOST_AUTO_TEST_CASE(CallOfTheStoreHasNoAnswer) {
  forEachInvalidAnswer([](const std::string &Answer) {
    BOOST_TEST(bool(askStore(Answer).m_Error));
  });
  forEachValidAnswer([](const std::string &Answer) {
    steer::HttpResponse Got = askStore(Answer);
    BOOST_TEST(!Got.m_Error);
    checkIsWhole(Got);
  });
}

BOOST_AUTO_TEST_CASE(BlockingCallHasNoAnswer) {
  forEachInvalidAnswer([](const std::string &Answer) {
    HttpExchange Got = callBlocking(Answer);
    BOOST_TEST((Got.m_Progress == HttpProgress::Unanswered));
  });
  forEachValidAnswer([](const std::string &Answer) {
    HttpExchange Got = callBlocking(Answer);
    BOOST_TEST((Got.m_Progress == HttpProgress::Answered));
    BOOST_TEST(Got.m_Response.m_Body == "body");
  });
}

BOOST_AUTO_TEST_CASE(CallOfEntryHasNoAnswer) {
  forEachInvalidAnswer([](const std::string &Answer) {
    BOOST_TEST(!callFromEntry(Answer).has_value());
  });
  forEachValidAnswer([](const std::string &Answer) {
    BOOST_TEST(callFromEntry(Answer).value_or("none") == "body");
  });
}

BOOST_AUTO_TEST_CASE(CallFromTheCommandLineHasNoAnswer) {
  forEachInvalidAnswer([](const std::string &Answer) {
    CallerResult Got = callFromCommandLine(Answer);
    BOOST_TEST(Got.m_Status == 0U);
    BOOST_TEST(!Got.m_IsComplete);
    BOOST_TEST(!Got.m_Error.empty());
  });
  forEachValidAnswer([](const std::string &Answer) {
    CallerResult Got = callFromCommandLine(Answer);
    BOOST_TEST(Got.m_IsComplete);
    BOOST_TEST(Got.m_BodyStart == "body");
  });
}

BOOST_AUTO_TEST_SUITE_END()
