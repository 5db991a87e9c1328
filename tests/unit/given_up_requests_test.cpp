/// \file
/// Requests that a VM gives up, as their time is over, the caller has left or
/// the process ends: what their callers get and what still reaches upstreams.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/http_client.h"
#include "support/cut_gateway.h"
#include "support/linked_upstream.h"

#include <map>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

/// \brief Whether the system may end the connection by itself, without a reset,
/// because the other side doesn't acknowledge anything.
bool systemMayEnd(int Socket) {
  int KeepsAlive = 0;
  unsigned UserTimeout = 0;
  socklen_t Size = sizeof KeepsAlive;
  BOOST_REQUIRE(
      ::getsockopt(Socket, SOL_SOCKET, SO_KEEPALIVE, &KeepsAlive, &Size) == 0);
  Size = sizeof UserTimeout;
  BOOST_REQUIRE(::getsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                             &UserTimeout, &Size) == 0);
  return KeepsAlive != 0 || UserTimeout != 0;
}

/// \brief An upstream that notes, for each request, whether the system may end
/// its connection while the request is unanswered.
Script noteOwner(std::map<std::string, bool> &SystemMayEnd) {
  return [&SystemMayEnd](ServerSide &Side) -> awaitable<void> {
    for (;;) {
      std::string Id = co_await Side.readRequest();
      if (Id.empty())
        co_return;
      SystemMayEnd[Id] = systemMayEnd(socketAt(Side.otherEnd()));
      co_await Side.respond(Id, Id);
    }
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenUpRequests)

// Guards against requests that reached an upstream after it had left, seconds
// after their callers were answered: keep-alive probes ended a kept connection
// to which a request had just been written, and nothing withdrew the request.
BOOST_AUTO_TEST_CASE(SystemDoesNotEndAConnectionWithAnUnansweredRequest) {
  ExchangeRig R;
  std::map<std::string, bool> SystemMayEnd;
  R.upstream("u", noteOwner(SystemMayEnd));
  BOOST_TEST(R.ask(safeRequest("new")).m_Head.m_Status == 200U);
  BOOST_TEST(R.ask(unsafeRequest("kept")).m_Head.m_Status == 200U);
  R.m_Pool.closeExpired(steadyNow() + 1s);
  BOOST_TEST(R.ask(safeRequest("idle-before")).m_Head.m_Status == 200U);
  std::string Body(100000, 'x');
  BOOST_TEST(R.ask("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: body"
                   "\r\nContent-Length: 100000\r\n\r\n" +
                   Body)
                 .m_Head.m_Status == 200U);
  BOOST_TEST(SystemMayEnd.size() == 4U);
  for (const auto &[Id, MayEnd] : SystemMayEnd)
    BOOST_TEST(!MayEnd, Id);
}

// Control of the case above: what such a connection looks like.
BOOST_AUTO_TEST_CASE(SystemMayEndAConnectionThatItWatches) {
  ExchangeRig R;
  std::map<std::string, bool> SystemMayEnd;
  R.upstream("u", noteOwner(SystemMayEnd));
  HttpClientConnection Client(
      R.m_Io, R.m_State.m_Upstreams.find("u")->m_Registration.m_Address, 1s);
  bool Done = false;
  spawn(R.m_Io, [&]() -> awaitable<void> {
    (void)co_await Client.call("GET", "/x", "", 1s);
    Done = true;
  });
  while (!Done)
    R.m_Io.run_one();
  BOOST_TEST(SystemMayEnd.at("none"));
}

BOOST_AUTO_TEST_CASE(SystemDoesNotEndAConnectionWithARelayedRequest) {
  CutGateway G;
  std::map<std::string, bool> SystemMayEnd;
  Script Note = noteOwner(SystemMayEnd);
  bool SystemMayEndRelay = false;
  G.upstream("u", [&](ServerSide &Side) -> awaitable<void> {
    SystemMayEndRelay |= systemMayEnd(socketAt(G.m_EndsAtPeer.back()));
    co_await Note(Side);
  });
  G.cut();
  for (const char *Id : {"a", "b"}) {
    BOOST_TEST(G.m_Rig.ask(unsafeRequest(Id)).m_Head.m_Status == 200U);
    BOOST_TEST(!SystemMayEnd.at(Id), Id);
  }
  BOOST_TEST(G.m_ConnectionsToPeer > 0U);
  BOOST_TEST(!SystemMayEndRelay);
}

// Guards against the same for a body: it isn't delivered, and the system gave
// the connection up before the deadline.
BOOST_AUTO_TEST_CASE(BodyThatIsNotDeliveredIsAbortedAtTheDeadline) {
  ExchangeRig R;
  UpstreamBehindALink Upstream(R);
  BOOST_TEST(R.ask(safeRequest("before")).m_Head.m_Status == 200U);
  Upstream.dropPackets(true);
  TimePoint Begin = steadyNow();
  HttpResponse Response =
      R.ask("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
            "Content-Length: 100000\r\n\r\n" +
            std::string(100000, 'x'));
  BOOST_TEST(Response.m_Head.m_Status == 504U);
  BOOST_TEST((steadyNow() - Begin > 2900ms));
}

// Guards against writes to the store that take effect seconds after the VM gave
// them up: the system ended the connection.
BOOST_AUTO_TEST_CASE(SystemDoesNotEndAConnectionWithAnUnansweredWrite) {
  ExchangeRig R;
  std::map<std::string, bool> SystemMayEnd;
  R.upstream("store", noteOwner(SystemMayEnd));
  std::unique_ptr<RowStore> Store = platform::makeStore(
      R.m_Io, R.m_State.m_Upstreams.find("store")->m_Registration.m_Address);
  for (int I = 0; I < 2; ++I) {
    // Reads don't matter: they change nothing, whenever they arrive.
    bool Done = false;
    spawn(R.m_Io, [&]() -> awaitable<void> {
      (void)co_await Store->read("t");
      SystemMayEnd.clear();
      StoreWrite Write;
      (void)co_await Store->write(Write);
      Done = true;
    });
    while (!Done)
      R.m_Io.run_one();
    BOOST_TEST(!SystemMayEnd.at("none"));
  }
}

// Guards against requests that reached an upstream seconds after their callers
// had been answered: the VM had given them up while its link was cut, and the
// system delivered what had been written once the link was back.
BOOST_AUTO_TEST_CASE(RequestGivenUpDuringACutDoesNotArriveAfterIt) {
  ExchangeRig R;
  UpstreamBehindALink Upstream(R);
  BOOST_TEST(R.ask(safeRequest("before")).m_Head.m_Status == 200U);
  Upstream.cut();
  for (const std::string &Text :
       {safeRequest("safe", "X-Deadline-Ms: 150\r\n"),
        unsafeRequest("unsafe", "X-Deadline-Ms: 150\r\n")})
    BOOST_TEST(R.ask(Text).m_Head.m_Status == 504U);
  std::vector<HttpResponse> Responses;
  R.caller(safeRequest("caller-left"), 1, Responses, 100ms);
  R.run();
  Upstream.restore();
  BOOST_TEST(Upstream.hasReceived("before"));
  BOOST_TEST(!Upstream.hasReceived("safe"));
  BOOST_TEST(!Upstream.hasReceived("unsafe"));
  BOOST_TEST(!Upstream.hasReceived("caller-left"));
  BOOST_TEST(R.ask(safeRequest("after")).m_Head.m_Status == 200U);
}

// Guards against writes that reached the store seconds after the VM had given
// them up.
BOOST_AUTO_TEST_CASE(StoreCallGivenUpDuringACutDoesNotArriveAfterIt) {
  ExchangeRig R;
  UpstreamBehindALink Store(R);
  Store.cut();
  HttpClientConnection Connection(R.m_Io, Store.address(), 1s);
  bool Ended = false;
  spawn(R.m_Io, [&]() -> awaitable<void> {
    HttpResponse Response =
        co_await Connection.call("POST", "/write", "{}", 100ms);
    BOOST_TEST(bool(Response.m_Error));
    Ended = true;
  });
  R.m_Io.run_for(std::chrono::milliseconds(200));
  BOOST_TEST(Ended);
  Store.restore();
  BOOST_TEST(!Store.hasReceived("none")); // The call bears no identifier.
}

// Guards against requests of a killed process that the system goes on
// delivering: the option is set before anything is sent, so that the system
// aborts the connection itself.
BOOST_AUTO_TEST_CASE(EndOfTheProcessAbortsAnUnansweredRequest) {
  ExchangeRig R;
  UpstreamBehindALink Upstream(R);
  UpstreamConnectionPtr Opened;
  spawn(R.m_Io, [&]() -> awaitable<void> {
    NetError Error;
    Opened = co_await R.m_Pool.open(R.m_State.m_Upstreams.find("u"), 1s, Error);
  });
  R.m_Io.run_for(std::chrono::milliseconds(50));
  BOOST_REQUIRE(Opened);
  asio::socket_base::linger Option;
  Opened->m_Socket.get_option(Option);
  BOOST_TEST(Option.enabled());
  BOOST_TEST(Option.timeout() == 0);
}

// Guards against requests that end with a closed connection, as the process
// ends while their upstreams are silent.
BOOST_AUTO_TEST_CASE(RequestsThatRunWhenTheProcessEndsAreAnswered) {
  ExchangeRig R;
  UpstreamBehindALink Upstream(R);
  BOOST_TEST(R.ask(safeRequest("before")).m_Head.m_Status == 200U);
  Upstream.cut();
  std::vector<HttpResponse> Responses;
  R.caller(safeRequest("safe"), 1, Responses);
  R.caller(unsafeRequest("unsafe"), 1, Responses);
  R.m_Io.run_for(std::chrono::milliseconds(50));
  BOOST_TEST(R.m_State.m_InFlight == 2U);
  TimePoint Begin = steadyNow();
  R.m_State.m_Leaving = true;
  R.m_State.endRequests();
  R.run();
  BOOST_TEST((steadyNow() - Begin < 100ms));
  BOOST_TEST(R.m_State.m_InFlight == 0U);
  BOOST_REQUIRE(Responses.size() == 2U);
  // They were sent, so their outcome is unknown.
  for (const HttpResponse &Response : Responses)
    BOOST_TEST(Response.m_Head.m_Status == 504U);
  Upstream.restore();
  BOOST_TEST(!Upstream.hasReceived("unsafe"));
}

BOOST_AUTO_TEST_SUITE_END()
