/// \file
/// The gateway's request path between scripted upstreams and callers.
#include "support/exchange_rig.h"

#include "platform/platform.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace mustardspoke::test {

using namespace steer;

namespace {

/// No case takes longer; one that would hang fails instead.
constexpr auto Patience = std::chrono::seconds(10);

Tcp::endpoint loopback() { return {asio::ip::make_address("127.0.0.1"), 0}; }

awaitable<void> runScript(std::shared_ptr<ServerSide> Side, Script Serve) {
  co_await Serve(*Side);
}

} // namespace

ExchangeRig::ExchangeRig()
    : m_State(m_Io, GatewaySettings(), platform::dialect(),
              platform::decoder()),
      m_Pool(m_Io), m_Callers(m_Io, loopback()) {
  auto Routes = std::make_shared<RouteTable>();
  Routes->m_Version = 1;
  for (const char *Name : {"safe", "unsafe"}) {
    Route One;
    One.m_Name = Name;
    One.m_Prefix = "/" + std::string(Name) + "/";
    One.m_RetrySafety =
        One.m_Name == "safe" ? RetrySafety::Safe : RetrySafety::Unsafe;
    One.m_TargetLatency = 1s;
    One.m_Timeout = 3s;
    One.m_MaxAttempts = 2;
    One.m_Targets = {{ServiceName("s"), 1}};
    Routes->add("h", One);
  }
  m_State.m_Routes = Routes;
  // Enough requests that the retry budget allows a repeat.
  for (int I = 0; I < 200; ++I)
    m_State.m_Budgets[ServiceName("s")].recordRequest(steadyNow());
  acceptEach(m_Io, m_Callers, [this](Tcp::socket One) {
    CallerConnectionPtr Connection(
        new CallerConnection(m_Io, std::move(One), CallerLimits(),
                             [this](const CallerConnectionPtr &From,
                                    const PendingRequestPtr &Request) {
                               return serve(From, Request);
                             }));
    Connection->start();
  });
}

void ExchangeRig::upstream(const std::string &Id, const Script &Serve) {
  m_Upstreams.emplace_back(m_Io, loopback());
  Tcp::acceptor &On = m_Upstreams.back();
  UpstreamRegistration Facts;
  Facts.m_Id = Id;
  Facts.m_Service = ServiceName("s");
  Facts.m_Slots = 8;
  Facts.m_Address = "127.0.0.1:" + std::to_string(On.local_endpoint().port());
  BOOST_REQUIRE(m_State.m_Upstreams.put(Facts, steadyNow()).has_value());
  acceptEach(m_Io, On, [this, Serve](Tcp::socket One) {
    auto Side = std::make_shared<ServerSide>(m_Io, std::move(One));
    spawn(m_Io, [Side, Serve]() { return runScript(Side, Serve); });
  });
}

void ExchangeRig::caller(const std::string &Text, std::size_t Answers,
                         std::vector<HttpReply> &Into,
                         std::optional<Duration> LeaveAfter) {
  ++m_Open;
  spawn(m_Io, [this, Text, Answers, &Into, LeaveAfter]() {
    return call(Text, Answers, Into, LeaveAfter);
  });
}

void ExchangeRig::run() {
  auto End = std::chrono::steady_clock::now() + Patience;
  while (m_Open > 0 && std::chrono::steady_clock::now() < End)
    m_Io.run_one_for(std::chrono::milliseconds(50));
  BOOST_TEST(m_Open == 0U);
}

HttpReply ExchangeRig::ask(const std::string &Text) {
  std::vector<HttpReply> Answers;
  caller(Text, 1, Answers);
  run();
  BOOST_REQUIRE(Answers.size() == 1);
  return Answers.front();
}

awaitable<bool> ExchangeRig::serve(CallerConnectionPtr From,
                                   PendingRequestPtr Request) {
  Exchange One(m_State, m_Pool, From, Request);
  co_return co_await One.run();
}

awaitable<void> ExchangeRig::call(std::string Text, std::size_t Answers,
                                  std::vector<HttpReply> &Into,
                                  std::optional<Duration> LeaveAfter) {
  Tcp::socket Socket(m_Io);
  CloseTimer Timer(m_Io);
  NetError Error;
  co_await Socket.async_connect(m_Callers.local_endpoint(), noThrow(Error));
  co_await asio::async_write(Socket, asio::buffer(Text), noThrow(Error));
  if (LeaveAfter)
    Timer.arm(Socket, steadyNow() + *LeaveAfter);
  HttpReader Reader(HttpReader::Role::Responses, 65536, 1 << 24);
  std::string In;
  char Piece[4096];
  while (!Error && Answers > 0) {
    std::size_t Got =
        co_await Socket.async_read_some(asio::buffer(Piece), noThrow(Error));
    In.append(Piece, Got);
    for (;;) {
      In.erase(0, Reader.feed(In));
      if (!Reader.done())
        break;
      HttpReply One;
      One.m_Head = Reader.head();
      One.m_Body = Reader.body();
      Into.push_back(One);
      --Answers;
      Reader.next();
      if (In.empty())
        break;
    }
  }
  --m_Open;
}

} // namespace mustardspoke::test
