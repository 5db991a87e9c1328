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

/// Every test case is faster; a case that hangs fails after this time.
constexpr auto TestTimeout = std::chrono::seconds(10);

Tcp::endpoint loopback() { return {asio::ip::make_address("127.0.0.1"), 0}; }

awaitable<void> runScript(std::shared_ptr<ServerSide> Side, Script Behaviour) {
  co_await Behaviour(*Side);
}

} // namespace

std::string safeRequest(const std::string &Id, const std::string &ExtraFields) {
  return "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id + "\r\n" +
         ExtraFields + "\r\n";
}
std::string unsafeRequest(const std::string &Id,
                          const std::string &ExtraFields) {
  return "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id + "\r\n" +
         ExtraFields + "Content-Length: 2\r\n\r\nhi";
}

ExchangeRig::ExchangeRig(const GatewaySettings &Settings)
    : m_State(m_Io, Settings, platform::wireFormat(), platform::decoder()),
      m_Pool(m_Io), m_Callers(m_Io, loopback()) {
  auto Routes = std::make_shared<RouteTable>();
  Routes->m_Version = 1;
  for (const auto &[Name, Safety] :
       {std::pair("safe", RetrySafety::Safe),
        std::pair("unsafe", RetrySafety::Unsafe),
        std::pair("download", RetrySafety::Download),
        std::pair("upload", RetrySafety::Upload)}) {
    Route NewRoute;
    NewRoute.m_Name = Name;
    NewRoute.m_Prefix = "/" + std::string(Name) + "/";
    NewRoute.m_RetrySafety = Safety;
    NewRoute.m_TargetLatency = 1s;
    NewRoute.m_Timeout = 3s;
    NewRoute.m_MaxAttempts = 2;
    NewRoute.m_Targets = {{ServiceName("s"), 1}};
    Routes->add("h", NewRoute);
  }
  m_State.m_Routes = Routes;
  // Enough requests for the retry budget to allow a retry.
  for (int I = 0; I < 200; ++I)
    m_State.m_RetryBudgets[ServiceName("s")].recordRequest(steadyNow());
  acceptEach(m_Io, m_Callers, [this](Tcp::socket Socket) {
    CallerConnectionPtr Connection(new CallerConnection(
        m_Io, std::move(Socket), CallerLimits(), m_State.m_Buffers,
        [this](const CallerConnectionPtr &Caller,
               const PendingRequestPtr &Request) {
          return serve(Caller, Request);
        }));
    Connection->start();
  });
}

void ExchangeRig::upstream(const std::string &Id, const Script &Behaviour,
                           const std::string &Service) {
  m_Upstreams.push_back({Id, Tcp::acceptor(m_Io, loopback()), {}});
  RunningUpstream &Running = m_Upstreams.back();
  Tcp::acceptor &Acceptor = Running.m_Acceptor;
  UpstreamRegistration Facts;
  Facts.m_Id = Id;
  Facts.m_Service = ServiceName(Service);
  Facts.m_Slots = 8;
  Facts.m_Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  BOOST_REQUIRE(m_State.m_Upstreams.put(Facts, steadyNow()).has_value());
  acceptEach(m_Io, Acceptor, [this, Behaviour, &Running](Tcp::socket Socket) {
    auto Side = std::make_shared<ServerSide>(m_Io, std::move(Socket));
    Running.m_Connections.push_back(Side);
    spawn(m_Io, [Side, Behaviour]() { return runScript(Side, Behaviour); });
  });
}

void ExchangeRig::crashUpstream(const std::string &Id) {
  for (RunningUpstream &Running : m_Upstreams) {
    if (Running.m_Id != Id)
      continue;
    NetError Ignored;
    Running.m_Acceptor.close(Ignored);
    for (const std::weak_ptr<ServerSide> &Connection : Running.m_Connections)
      if (auto Side = Connection.lock())
        Side->close();
  }
}

void ExchangeRig::useSmallSegments(const std::string &Id) {
  for (RunningUpstream &Running : m_Upstreams)
    if (Running.m_Id == Id)
      test::useSmallSegments(Running.m_Acceptor.native_handle());
}

void ExchangeRig::caller(std::string Text, std::size_t Count,
                         std::vector<HttpResponse> &Responses,
                         std::optional<Duration> CloseAfter) {
  caller({TimedBytes{Duration::zero(), std::move(Text)}}, Count, Responses,
         CloseAfter);
}

void ExchangeRig::caller(std::vector<TimedBytes> Parts, std::size_t Count,
                         std::vector<HttpResponse> &Responses,
                         std::optional<Duration> CloseAfter) {
  ++m_PendingCallers;
  auto Shared =
      std::make_shared<const std::vector<TimedBytes>>(std::move(Parts));
  spawn(m_Io, [this, Shared, Count, &Responses, CloseAfter]() {
    return call(Shared, Count, Responses, CloseAfter);
  });
}

void ExchangeRig::run() {
  auto End = std::chrono::steady_clock::now() + TestTimeout;
  while (m_PendingCallers > 0 && std::chrono::steady_clock::now() < End)
    m_Io.run_one_for(std::chrono::milliseconds(50));
  BOOST_TEST(m_PendingCallers == 0U);
}

HttpResponse ExchangeRig::ask(const std::string &Text) {
  return ask(std::vector<TimedBytes>{{Duration::zero(), Text}});
}

HttpResponse ExchangeRig::ask(std::vector<TimedBytes> Parts) {
  std::vector<HttpResponse> Responses;
  caller(std::move(Parts), 1, Responses);
  run();
  BOOST_REQUIRE(Responses.size() == 1);
  return Responses.front();
}

awaitable<bool> ExchangeRig::serve(CallerConnectionPtr Caller,
                                   PendingRequestPtr Request) {
  Exchange Served(*m_Serving, m_Pool, Caller, Request);
  co_return co_await Served.run();
}

awaitable<void>
ExchangeRig::call(std::shared_ptr<const std::vector<TimedBytes>> Parts,
                  std::size_t Count, std::vector<HttpResponse> &Responses,
                  std::optional<Duration> CloseAfter) {
  Tcp::socket Socket(m_Io);
  CloseTimer Timer(m_Io);
  NetError Error;
  co_await Socket.async_connect(m_Callers.local_endpoint(), noThrow(Error));
  // Each part is to arrive by itself.
  NetError Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  NetError WriteError;
  for (const TimedBytes &Part : *Parts) {
    if (Part.m_Delay > Duration::zero())
      co_await sleepFor(m_Io, Part.m_Delay);
    co_await asio::async_write(Socket, asio::buffer(Part.m_Bytes),
                               noThrow(WriteError));
    // A further write would wait for ever. An answer may have arrived.
    if (WriteError)
      break;
  }
  if (CloseAfter)
    Timer.arm(Socket, steadyNow() + *CloseAfter);
  HttpParser Parser(HttpParser::Role::Responses, 65536, 1 << 24);
  std::string Input;
  char Buffer[4096];
  while (!Error && Count > 0) {
    std::size_t BytesRead =
        co_await Socket.async_read_some(asio::buffer(Buffer), noThrow(Error));
    Input.append(Buffer, BytesRead);
    for (;;) {
      Input.erase(0, Parser.feed(Input));
      if (!Parser.done())
        break;
      HttpResponse Response;
      Response.m_Head = Parser.head();
      Response.m_Body = Parser.body();
      Responses.push_back(Response);
      --Count;
      Parser.nextMessage();
      if (Input.empty())
        break;
    }
  }
  --m_PendingCallers;
}

HttpResponse callStore(const Script &Behaviour, std::string Body) {
  ExchangeRig Rig;
  Rig.upstream("store", Behaviour);
  Rig.useSmallSegments("store");
  HttpClientConnection Client(
      Rig.m_Io, Rig.m_State.m_Upstreams.find("store")->m_Registration.m_Address,
      1s);
  std::optional<HttpResponse> Response;
  spawn(Rig.m_Io, [&]() -> awaitable<void> {
    Response = co_await Client.call("POST", "/x", std::move(Body), 2s);
  });
  while (!Response)
    Rig.m_Io.run_one();
  return *Response;
}

} // namespace mustardspoke::test
