/// \file
/// Failures of upstreams, with bodies of all lengths, through real sockets on
/// loopback: how they are logged, whether another upstream is tried, and when
/// the upstream is ejected.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/cut_gateway.h"
#include "support/exchange_messages.h"
#include "support/log_capture.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

/// Shorter ones are kept until their end, longer ones are streamed.
constexpr std::size_t Sizes[] = {0, 2000, 512 << 10, (512 << 10) + 1, 700000};

constexpr const char *Signature = "X-Response-Signature: s\r\n";

std::string request(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n\r\n";
}

/// \brief Upstreams that answer the first requests with a failure.
struct FailingUpstreams {
  FailingUpstreams(unsigned Status, std::size_t Size, unsigned Failures)
      : m_Failures(Failures) {
    for (const char *Id : {"u1", "u2"})
      m_Gateway.upstream(
          Id, [this, Status, Size](ServerSide &Side) -> awaitable<void> {
            const UpstreamAnswer Failure{Status, BodyFraming::Length, Size,
                                         Signature};
            for (;;) {
              std::string RequestId = co_await Side.readRequest();
              if (RequestId.empty())
                co_return;
              if (++m_Runs <= m_Failures)
                co_await Failure.send(Side, RequestId);
              else
                co_await Side.respond(RequestId, "served");
            }
          });
  }

  CutGateway m_Gateway; ///< Not cut unless a peer is to carry the attempts.
  ExchangeRig &m_Rig = m_Gateway.m_Rig;
  unsigned m_Failures;
  unsigned m_Runs = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LongFailures)

// Guards against a failure that the log and the metrics count as served.
BOOST_AUTO_TEST_CASE(FailureIsLoggedAsOneWhateverItsLength) {
  for (const char *Path : {"/safe/x", "/unsafe/x", "/download/x", "/upload/x"})
    for (unsigned Status : {404U, 500U})
      for (std::size_t Size : Sizes) {
        BOOST_TEST_CONTEXT(Path << ", " << Status << ", " << Size << " bytes") {
          LogCapture Log;
          FailingUpstreams Upstreams(Status, Size, 2);
          HttpResponse Got = Upstreams.m_Rig.ask(request(Path));
          BOOST_TEST(Got.m_Head.m_Status == Status);
          BOOST_TEST(Got.m_Body.size() == Size);
          BOOST_TEST(Log.contains("\"outcome\":\"unknown\",\"error\":"
                                  "\"upstream-lost\",\"why\":"
                                  "\"upstream-status\""));
        }
      }
}

// Control: a success is logged as served whatever its length.
BOOST_AUTO_TEST_CASE(SuccessIsLoggedAsServed) {
  for (std::size_t Size : Sizes) {
    LogCapture Log;
    FailingUpstreams Upstreams(200, Size, 1);
    BOOST_TEST(Upstreams.m_Rig.ask(request("/safe/x")).m_Body.size() == Size);
    BOOST_TEST(Log.contains("\"outcome\":\"done\",\"error\":\"none\""));
  }
}

// Guards against an upstream that is ejected after few failures among many long
// answers, none of which counted as a success.
BOOST_AUTO_TEST_CASE(RareFailuresAmongSuccessesOfAnyLengthDoNotEject) {
  for (bool ByPeer : {false, true})
    for (std::size_t Size : Sizes) {
      BOOST_TEST_CONTEXT(Size << " bytes" << (ByPeer ? ", over a peer" : "")) {
        CutGateway G;
        unsigned Requests = 0;
        const UpstreamAnswer Success{200, BodyFraming::Length, Size, Signature};
        G.upstream("u", [&](ServerSide &Side) -> awaitable<void> {
          for (;;) {
            std::string Id = co_await Side.readRequest();
            if (Id.empty())
              co_return;
            if (++Requests % 10 == 0)
              Side.reset();
            else
              co_await Success.send(Side, Id);
          }
        });
        if (ByPeer)
          G.cut();
        unsigned Served = 0;
        for (int I = 0; I < 30; ++I)
          Served +=
              isSuccess(G.m_Rig.ask(request("/unsafe/x")).m_Head.m_Status);
        BOOST_TEST(Served == 27U);
        Upstream &Target = *G.m_Rig.m_State.m_Upstreams.find("u");
        BOOST_TEST(!Target.isEjected(steadyNow()));
      }
    }
}

constexpr const char *RepeatablePaths[] = {"/safe/x", "/download/x"};

// Guards against callers who get a failure that a second attempt would have
// spared them, only because it is long.
BOOST_AUTO_TEST_CASE(FailureIsRepairedElsewhereWhateverItsLength) {
  for (bool ByPeer : {false, true})
    for (const char *Path : RepeatablePaths)
      for (unsigned Status : {500U, 503U})
        for (std::size_t Size : Sizes) {
          BOOST_TEST_CONTEXT(Path << ", " << Status << ", " << Size << " bytes"
                                  << (ByPeer ? ", over a peer" : "")) {
            FailingUpstreams Upstreams(Status, Size, 1);
            if (ByPeer)
              Upstreams.m_Gateway.cut();
            HttpResponse Got = Upstreams.m_Rig.ask(request(Path));
            BOOST_TEST(Got.m_Head.m_Status == 200U);
            BOOST_TEST((Got.m_Body == "served"));
          }
        }
}

// A long failure can't be kept: without a retry, it is the caller's at once.
BOOST_AUTO_TEST_CASE(FailureReachesTheCallerIfThereIsNoRetry) {
  for (const char *Path : RepeatablePaths)
    for (std::size_t Size : Sizes) {
      BOOST_TEST_CONTEXT(Path << ", " << Size << " bytes") {
        FailingUpstreams Upstreams(500, Size, 1);
        RetryBudget &Budget =
            Upstreams.m_Rig.m_State.m_RetryBudgets[ServiceName("s")];
        while (Budget.takeRetry(steadyNow(), 1, {})) {
        }
        HttpResponse Got = Upstreams.m_Rig.ask(request(Path));
        BOOST_TEST(Got.m_Head.m_Status == 500U);
        BOOST_TEST(Got.m_Body.size() == Size);
        BOOST_TEST(Upstreams.m_Runs == 1U);
      }
    }
}

// One failure takes one retry from the budget.
BOOST_AUTO_TEST_CASE(LongFailureTakesOneRetry) {
  auto RetriesLeftAfter = [](std::size_t Size) {
    FailingUpstreams Upstreams(500, Size, 1);
    (void)Upstreams.m_Rig.ask(request("/safe/x"));
    unsigned Left = 0;
    while (Upstreams.m_Rig.m_State.m_RetryBudgets[ServiceName("s")].takeRetry(
        steadyNow(), 1, {}))
      ++Left;
    return Left;
  };
  BOOST_TEST(RetriesLeftAfter(700000) == RetriesLeftAfter(2000));
}

BOOST_AUTO_TEST_SUITE_END()
