/// \file
/// Answers whose status isn't one of HTTP, through real sockets on loopback: to
/// callers' requests, relayed ones and calls of the store.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cli/caller.h"
#include "http/http.h"
#include "support/cut_gateway.h"
#include "support/raw_server.h"
#include "tables/client.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

constexpr const char *InvalidStatuses[] = {"000", "001", "099",  "101", "600",
                                           "999", "20",  "2000", "2x0", "abc"};

/// \brief How an answer goes on after its status line and identifier.
struct AnswerForm {
  const char *m_Name;
  std::string m_Rest;
  bool m_Closes = false; ///< The end of the connection ends the body.
};

std::string chunked(std::size_t Bytes) {
  std::string Body(Bytes, 'x');
  return "Transfer-Encoding: chunked\r\n\r\n" + chunkHeader(Bytes) + Body +
         std::string(ChunkEnd) + std::string(LastChunk);
}

std::vector<AnswerForm> answerForms() {
  return {
      {"empty", "Content-Length: 0\r\n\r\n"},
      {"with a body", "Content-Length: 4\r\n\r\nbody"},
      {"without a length", "\r\nbody", true},
      {"signed", "X-Response-Signature: s\r\nContent-Length: 4\r\n\r\nbody"},
      {"signed, without a length", "X-Response-Signature: s\r\n\r\n", true},
      {"claims not run", "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
      {"asks for a pause", "X-Not-Executed: 1\r\nX-Response-Signature: s\r\n"
                           "Retry-After: 3\r\nContent-Length: 0\r\n\r\n"},
      {"large", "X-Response-Signature: s\r\nContent-Length: 700000\r\n\r\n" +
                    std::string(700000, 'x')},
      {"large, in chunks", "X-Response-Signature: s\r\n" + chunked(700000)},
  };
}

/// \brief Two upstreams. The first request that is to fail is answered with an
/// invalid status, every other one well.
struct OddUpstreams {
  OddUpstreams(std::string Status, AnswerForm Form, unsigned GoodFirst,
               unsigned Count = 2)
      : m_Status(std::move(Status)), m_Form(std::move(Form)),
        m_GoodFirst(GoodFirst) {
    for (unsigned I = 0; I < Count; ++I)
      m_Gateway.upstream("u" + std::to_string(I),
                         [this](ServerSide &Side) { return serve(Side); });
  }

  awaitable<void> serve(ServerSide &Side) {
    for (bool SentOdd = false;;) {
      std::string Id = co_await Side.readRequest();
      if (Id.empty())
        co_return;
      m_WasReused = m_WasReused || SentOdd;
      ++m_Runs;
      if (m_GoodFirst > 0 || m_HasSentOdd) {
        m_GoodFirst -= m_GoodFirst > 0 ? 1 : 0;
        co_await Side.respond(Id, Id);
        continue;
      }
      m_HasSentOdd = SentOdd = true;
      co_await Side.sendRaw("HTTP/1.1 " + m_Status + " Odd\r\nX-Request-Id: " +
                            Id + "\r\n" + m_Form.m_Rest);
      if (m_Form.m_Closes)
        Side.close();
    }
  }

  CutGateway m_Gateway;
  std::string m_Status;
  AnswerForm m_Form;
  unsigned m_GoodFirst; ///< Answers that come before the invalid one.
  unsigned m_Runs = 0;
  bool m_HasSentOdd = false;
  bool m_WasReused = false; ///< A request came after the invalid answer.
};

/// \brief Calls \p Check with each status, form and state of the connection.
template <class Function> void forEachOddAnswer(Function Check) {
  for (const char *Status : InvalidStatuses)
    for (const AnswerForm &Form : answerForms())
      for (unsigned GoodFirst : {0U, 1U})
        BOOST_TEST_CONTEXT(Status << ", " << Form.m_Name
                                  << (GoodFirst ? ", on a reused connection"
                                                : ", on a new connection"))
  Check(Status, Form, GoodFirst);
}

/// \brief Calls a server that sends \p Bytes on each connection.
steer::HttpResponse callThatGets(const std::string &Bytes) {
  return callStore([&](ServerSide &Side) -> awaitable<void> {
    (void)co_await Side.readRequest();
    co_await Side.sendRaw(Bytes);
    (void)co_await Side.readRequest();
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(InvalidStatusAnswers)

// Guards against answers such as "HTTP/1.1 0" to callers, and against "not run"
// for a request that has run.
BOOST_AUTO_TEST_CASE(RequestThatMayRunOnceIsAnsweredWith502) {
  forEachOddAnswer(
      [](const char *Status, const AnswerForm &Form, unsigned GoodFirst) {
        OddUpstreams U(Status, Form, GoodFirst);
        ExchangeRig &R = U.m_Gateway.m_Rig;
        for (unsigned I = 0; I < GoodFirst; ++I)
          BOOST_TEST(R.ask(unsafeRequest("a")).m_Head.m_Status == 200U);
        U.m_Runs = 0;
        BOOST_TEST(R.ask(unsafeRequest("a")).m_Head.m_Status == 502U);
        BOOST_TEST(U.m_Runs == 1U);
        BOOST_TEST(R.ask(unsafeRequest("a")).m_Head.m_Status == 200U);
        BOOST_TEST(!U.m_WasReused);
      });
}

BOOST_AUTO_TEST_CASE(RepeatableRequestIsTriedElsewhere) {
  forEachOddAnswer(
      [](const char *Status, const AnswerForm &Form, unsigned GoodFirst) {
        OddUpstreams U(Status, Form, GoodFirst);
        ExchangeRig &R = U.m_Gateway.m_Rig;
        for (unsigned I = 0; I < GoodFirst; ++I)
          BOOST_TEST(R.ask(safeRequest("a")).m_Head.m_Status == 200U);
        U.m_Runs = 0;
        steer::HttpResponse Got = R.ask(safeRequest("a"));
        BOOST_TEST(Got.m_Head.m_Status == 200U);
        BOOST_TEST(Got.m_Body == "a");
        BOOST_TEST(U.m_Runs == 2U);
        BOOST_TEST(!U.m_WasReused);
      });
}

// A peer reports such an attempt as lost.
BOOST_AUTO_TEST_CASE(RelayedAttemptWithAnInvalidStatusIsLost) {
  forEachOddAnswer(
      [](const char *Status, const AnswerForm &Form, unsigned GoodFirst) {
        for (bool Repeatable : {false, true}) {
          OddUpstreams U(Status, Form, GoodFirst);
          U.m_Gateway.cut();
          ExchangeRig &R = U.m_Gateway.m_Rig;
          auto Ask = [&] {
            return R.ask(Repeatable ? safeRequest("a") : unsafeRequest("a"))
                .m_Head.m_Status;
          };
          for (unsigned I = 0; I < GoodFirst; ++I)
            BOOST_TEST(Ask() == 200U);
          U.m_Runs = 0;
          BOOST_TEST(Ask() == (Repeatable ? 200U : 502U));
          BOOST_TEST(U.m_Runs == (Repeatable ? 2U : 1U));
          BOOST_TEST(!U.m_WasReused);
          // The peer isn't to blame.
          BOOST_TEST(Ask() == 200U);
        }
      });
}

// Interim answers don't change what the status of the answer means.
BOOST_AUTO_TEST_CASE(StatusAfterInterimAnswersCounts) {
  for (const char *Interim : {"100 Continue", "103 Early Hints", "199 Other"})
    for (const char *Status : {"000", "600", "200"}) {
      ExchangeRig R;
      unsigned Runs = 0;
      R.upstream("u", [&](ServerSide &Side) -> awaitable<void> {
        std::string Id = co_await Side.readRequest();
        ++Runs;
        co_await Side.sendRaw(
            "HTTP/1.1 " + std::string(Interim) + "\r\n\r\nHTTP/1.1 " + Status +
            " Any\r\nX-Request-Id: " + Id +
            "\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n");
        (void)co_await Side.readRequest();
      });
      BOOST_TEST_CONTEXT(Interim << ", then " << Status) {
        bool IsValid = std::string_view(Status) == "200";
        BOOST_TEST(R.ask(unsafeRequest("a")).m_Head.m_Status ==
                   (IsValid ? 200U : 502U));
        BOOST_TEST(Runs == 1U);
      }
    }
}

// Control: the lowest and highest final statuses that are valid pass.
BOOST_AUTO_TEST_CASE(UnusualValidStatusesReachTheCaller) {
  for (unsigned Status : {200U, 299U, 418U, 499U, 500U, 599U}) {
    ExchangeRig R;
    R.upstream("u", [Status](ServerSide &Side) -> awaitable<void> {
      std::string Id = co_await Side.readRequest();
      co_await Side.sendRaw("HTTP/1.1 " + std::to_string(Status) +
                            " Any\r\nX-Request-Id: " + Id +
                            "\r\nX-Response-Signature: s\r\n"
                            "Content-Length: 0\r\n\r\n");
    });
    BOOST_TEST(R.ask(unsafeRequest("a")).m_Head.m_Status == Status);
  }
}

// Guards against calls of the store that count as done or refused though nobody
// knows what became of them.
BOOST_AUTO_TEST_CASE(CallOfTheStoreWithAnInvalidStatusHasNoAnswer) {
  for (const char *Status : InvalidStatuses) {
    std::string Bytes = "HTTP/1.1 " + std::string(Status) +
                        " Odd\r\nContent-Length: 2\r\n\r\n{}";
    BOOST_TEST(bool(callThatGets(Bytes).m_Error), Status);
  }
  std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  steer::HttpResponse Got =
      callThatGets("HTTP/1.1 103 Early Hints\r\n\r\n" + Ok);
  BOOST_TEST(!Got.m_Error);
  BOOST_TEST(Got.m_Head.m_Status == 200U);
  std::string Endless;
  for (int I = 0; I < 100; ++I)
    Endless += "HTTP/1.1 103 Early Hints\r\n\r\n";
  BOOST_TEST(bool(callThatGets(Endless + Ok).m_Error));
}

// The blocking client of operators' interface and of the table service.
BOOST_AUTO_TEST_CASE(TableCallWithAnInvalidStatusHasNoAnswer) {
  for (const char *Status : InvalidStatuses) {
    std::string Bytes = "HTTP/1.1 " + std::string(Status) +
                        " Odd\r\nContent-Length: 2\r\n\r\n{}";
    {
      RawServer Server(Bytes);
      HttpExchange Result =
          httpExchange(Server.address(), {"GET", "/x", "", "", ""}, 1000);
      BOOST_TEST((Result.m_Progress == HttpProgress::Unanswered), Status);
    }
    RawServer Server(Bytes);
    StoreRequest Commit;
    Commit.m_Body = CommitRequest();
    StoreReply Reply = PlatformClient(Server.address(), 1s).execute(Commit);
    BOOST_TEST((Reply.m_Status == StoreStatus::Unknown), Status);
  }
}

BOOST_AUTO_TEST_CASE(CallFromTheCommandLineWithAnInvalidStatusHasNoAnswer) {
  for (const char *Status : InvalidStatuses) {
    RawServer Server("HTTP/1.1 " + std::string(Status) +
                     " Odd\r\nContent-Length: 2\r\n\r\n{}");
    CallerResult Got = sendCall(Server.address(), "/x", "", "");
    BOOST_TEST(Got.m_Status == 0U, Status);
    BOOST_TEST(!Got.m_IsComplete, Status);
    BOOST_TEST(!Got.m_Error.empty(), Status);
  }
}

BOOST_AUTO_TEST_SUITE_END()
