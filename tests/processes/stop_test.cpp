/// \file
/// Requests that reach a gateway process while it stops.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "soak/table_standin.h"
#include "support/gateway_process.h"

#include <boost/asio/write.hpp>

#include <array>
#include <csignal>
#include <map>
#include <sys/wait.h>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

/// Requests below /long/ may take 2.9 s, those below /short/ 0.4 s.
constexpr const char *Configuration =
    R"({"version":"r1","limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":1048576,"headerTimeout":"3s","idleTimeout":"4s"},)"
    R"("listeners":[{"host":"h","rules":[)"
    R"({"name":"long","type":"unsafe","targetLatency":"300ms","priority":0,)"
    R"("match":{"prefix":"/long/"},)"
    R"("action":{"service":"s","timeout":"2900ms","maxAttempts":2}},)"
    R"({"name":"short","type":"unsafe","targetLatency":"300ms","priority":0,)"
    R"("match":{"prefix":"/short/"},)"
    R"("action":{"service":"s","timeout":"400ms","maxAttempts":2}}]}],)"
    R"("clusters":[{"name":"s","healthPath":"/health","maxConnections":200,)"
    R"("warmup":"1s","warmupPerS":50}]})";
constexpr const char *Registration =
    R"({"address":"127.0.10.8:18198","born":1,)"
    R"("info":{"service":"s","version":"1","zone":"z","slots":50},)"
    R"("status":{"state":"ready","sequence":1,"warmupLeft":"0ms"}})";

/// \brief A gateway process with a store and one upstream, which works on a
/// request for as many milliseconds as the last part of its path says.
class StopScene {
public:
  struct Reply {
    unsigned m_Status = 0; ///< 0: the connection ended without an answer.
    bool m_HasRetryAfter = false;
    Duration m_Time{};
  };

  StopScene()
      : m_Table(m_Io, GatewayProcess::StoreAddress),
        m_Upstream(m_Io, {asio::ip::make_address("127.0.10.8"), 18198}) {
    m_Table.put("op", "config", Configuration);
    m_Table.put("servers", "u", Registration);
    acceptEach(m_Io, m_Upstream, [this](Tcp::socket Socket) {
      auto Side = std::make_shared<ServerSide>(m_Io, std::move(Socket));
      spawn(m_Io, [this, Side]() { return serve(Side); });
    });
    m_Gateway = std::make_unique<GatewayProcess>();
    TimePoint End = steadyNow() + 20s;
    while (!m_Gateway->hasLogged(R"("event":"ready")") && steadyNow() < End)
      runFor(20ms);
    BOOST_REQUIRE(m_Gateway->hasLogged(R"("event":"ready")"));
  }

  void runFor(Duration Span) { m_Io.run_for(Span); }
  void send(const std::string &Target) {
    spawn(m_Io, [this, Target]() { return call(Target); });
  }
  void signal(int Number) { m_Gateway->process().signal(Number); }
  /// \returns The exit status, or nothing if the process doesn't end in time.
  std::optional<int> waitForExit() {
    return m_Gateway->process().waitForExit(5s);
  }

  std::map<std::string, Reply> m_Replies; ///< By target.
  std::map<std::string, unsigned> m_Runs; ///< By target.

private:
  awaitable<void> serve(std::shared_ptr<ServerSide> Side) {
    while (!(co_await Side->readRequest()).empty()) {
      std::string Target = Side->head().m_Target;
      if (Target != "/health") {
        ++m_Runs[Target];
        co_await Side->sleep(std::stoi(Target.substr(Target.rfind('/') + 1)) *
                             1ms);
      }
      co_await Side->respond(Target, Target);
    }
  }
  awaitable<void> call(std::string Target) {
    TimePoint SentAt = steadyNow();
    Reply &Result = m_Replies[Target];
    Tcp::socket Socket(m_Io);
    NetError Error;
    co_await Socket.async_connect({asio::ip::make_address(GatewayProcess::Ip),
                                   GatewayProcess::CallerPort},
                                  noThrow(Error));
    std::string Text = "POST " + Target +
                       " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Target +
                       "\r\nContent-Length: 2\r\n\r\nhi";
    co_await asio::async_write(Socket, asio::buffer(Text), noThrow(Error));
    HttpParser Parser(HttpParser::Role::Responses, 65536, 65536);
    std::string Input;
    std::array<char, 4096> Buffer{};
    while (!Error && !Parser.done()) {
      std::size_t BytesRead =
          co_await Socket.async_read_some(asio::buffer(Buffer), noThrow(Error));
      Input.append(Buffer.data(), BytesRead);
      Input.erase(0, Parser.feed(Input));
    }
    if (Parser.done())
      Result = {Parser.head().m_Status,
                Parser.head().find("Retry-After") != nullptr,
                steadyNow() - SentAt};
  }

  asio::io_context m_Io;
  soak::TableStandIn m_Table;
  Tcp::acceptor m_Upstream;
  std::unique_ptr<GatewayProcess> m_Gateway;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Stop)

// Guards against requests that are accepted late in a planned stop, sent, and
// cut off at its end: the grace period is 3 s, requests end after 2.4 s.
BOOST_AUTO_TEST_CASE(RequestsThatMayOutlastTheStopAreRefusedUnsent) {
  StopScene Scene;
  Scene.send("/long/before/1200");
  Scene.runFor(100ms);
  Scene.signal(SIGTERM);
  Scene.runFor(100ms);
  Scene.send("/long/at-once/2700");
  Scene.runFor(900ms);
  Scene.send("/long/late/1800");
  Scene.runFor(800ms);
  Scene.send("/short/in-time/50");
  Scene.runFor(1500ms);
  StopScene::Reply Before = Scene.m_Replies["/long/before/1200"];
  BOOST_TEST(Before.m_Status == 200U);
  for (const char *Target : {"/long/at-once/2700", "/long/late/1800"}) {
    BOOST_TEST_CONTEXT(Target) {
      StopScene::Reply Got = Scene.m_Replies[Target];
      BOOST_TEST(Got.m_Status == 503U);
      BOOST_TEST(Got.m_HasRetryAfter);
      BOOST_TEST((Got.m_Time < 500ms));
      BOOST_TEST(Scene.m_Runs[Target] == 0U);
    }
  }
  // What ends in time is served, however late it comes.
  BOOST_TEST(Scene.m_Replies["/short/in-time/50"].m_Status == 200U);
  auto Status = Scene.waitForExit();
  BOOST_TEST((Status && WIFEXITED(*Status)));
}

BOOST_AUTO_TEST_SUITE_END()
