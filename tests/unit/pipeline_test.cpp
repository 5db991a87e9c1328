/// \file
/// Requests of one connection behind an answer that breaks off.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/exchange_rig.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

/// More than is kept of an answer before it is passed on.
constexpr std::size_t LargeBytes = 900 << 10;

/// \brief Counts what it runs. Answers of requests whose path contains "large"
/// are streamed, after a short time.
struct PartlyFaultyUpstream {
  bool m_BreaksOff = false;
  unsigned m_Runs = 0; ///< Of other requests.

  [[nodiscard]] Script script() {
    return [this](ServerSide &Side) -> awaitable<void> {
      for (;;) {
        std::string Id = co_await Side.readRequest();
        if (Id.empty())
          co_return;
        if (Side.head().m_Target.find("large") == std::string::npos) {
          ++m_Runs;
          co_await Side.respond(Id, Id);
          continue;
        }
        co_await Side.sleep(50ms);
        if (!m_BreaksOff) {
          co_await Side.respond(Id, std::string(LargeBytes, 'x'));
          continue;
        }
        co_await Side.sendRaw(
            "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: " +
            Id + "\r\nContent-Length: " + std::to_string(2 * LargeBytes) +
            "\r\n\r\n" + std::string(LargeBytes, 'x'));
        co_await Side.sleep(50ms);
        Side.close();
        co_return;
      }
    };
  }
};

std::string get(const std::string &Path, const std::string &Id) {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
         "\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(Pipelines)

// Guards against requests that run for nobody: they were sent ahead of their
// turn, and a download in front of them broke off.
BOOST_AUTO_TEST_CASE(RequestsBehindADownloadArentSentIfItBreaksOff) {
  for (bool BreaksOff : {true, false}) {
    ExchangeRig R;
    PartlyFaultyUpstream Upstream{BreaksOff};
    R.upstream("u", Upstream.script());
    std::vector<HttpResponse> Responses;
    R.caller(get("/download/large", "a") + safeRequest("b") + safeRequest("c"),
             3, Responses);
    R.run();
    BOOST_TEST(Responses.size() == (BreaksOff ? 0U : 3U));
    BOOST_TEST(Upstream.m_Runs == (BreaksOff ? 0U : 2U));
  }
}

// A route that isn't declared as one of large answers, but has them.
BOOST_AUTO_TEST_CASE(RequestsBehindARouteThatStreamsWaitAsWell) {
  ExchangeRig R;
  PartlyFaultyUpstream Upstream;
  R.upstream("u", Upstream.script());
  BOOST_TEST(R.ask(get("/safe/large", "first")).m_Body.size() == LargeBytes);
  Upstream.m_BreaksOff = true;
  std::vector<HttpResponse> Responses;
  R.caller(get("/safe/large", "a") + safeRequest("b"), 2, Responses);
  R.run();
  BOOST_TEST(Responses.empty());
  BOOST_TEST(Upstream.m_Runs == 0U);
}

// Lookups behind each other still run at the same time, and those ahead of a
// download don't wait.
BOOST_AUTO_TEST_CASE(OtherRequestsAreStillSentAheadOfTheirTurn) {
  ExchangeRig R;
  unsigned Running = 0;
  unsigned Most = 0;
  R.upstream("u", [&](ServerSide &Side) -> awaitable<void> {
    for (;;) {
      std::string Id = co_await Side.readRequest();
      if (Id.empty())
        co_return;
      Most = std::max(Most, ++Running);
      co_await Side.sleep(100ms);
      --Running;
      co_await Side.respond(Id, Id);
    }
  });
  std::vector<HttpResponse> Responses;
  R.caller(safeRequest("a") + safeRequest("b") + get("/download/x", "c"), 3,
           Responses);
  R.run();
  BOOST_TEST(Responses.size() == 3U);
  BOOST_TEST(Most == 3U);
}

// What is refused ahead of a request doesn't hold it up.
BOOST_AUTO_TEST_CASE(RequestBehindARefusalIsServed) {
  ExchangeRig R;
  PartlyFaultyUpstream Upstream;
  R.upstream("u", Upstream.script());
  std::vector<HttpResponse> Responses;
  R.caller(get("/none", "a") + safeRequest("b"), 2, Responses);
  R.run();
  BOOST_REQUIRE(Responses.size() == 2U);
  BOOST_TEST(Responses[1].m_Body == "b");
}

BOOST_AUTO_TEST_SUITE_END()
