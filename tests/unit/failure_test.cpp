/// \file
/// Exceptions in coroutines and handlers that nobody waits for.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/task.h"
#include "platform/platform.h"
#include "support/cut_gateway.h"
#include "support/log_capture.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <stdexcept>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

Choice failToChoose(const ChoiceInput &, const UpstreamTable &,
                    const Placement &, const ChoiceTuning &) {
  throw std::runtime_error("injected");
}

ResponseMetadata failToRead(const HttpHead &) {
  throw std::runtime_error("injected");
}

RequestMetadata failToReadRequest(const HttpHead &) {
  throw std::runtime_error("injected");
}

void failToAdd(HeadWriter &, Duration, const std::string &) {
  throw std::runtime_error("injected");
}

/// \brief An upstream that answers everything and counts it.
Script countingUpstream(unsigned &Runs) {
  return [&Runs](ServerSide &Side) -> awaitable<void> {
    for (;;) {
      std::string Id = co_await Side.readRequest();
      if (Id.empty())
        co_return;
      ++Runs;
      co_await Side.respond(Id, Id);
    }
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Failures)

// Guards against requests without an answer, and failures without a line: an
// exception vanished together with the coroutine that served the request.
BOOST_AUTO_TEST_CASE(RequestIsAnsweredAfterAnExceptionBeforeItIsSent) {
  LogCapture Log;
  ExchangeRig R;
  unsigned Runs = 0;
  R.upstream("u", countingUpstream(Runs));
  UpstreamStrategy Sound =
      std::exchange(R.m_State.m_Strategies.m_Choose, failToChoose);
  HttpResponse Got = R.ask(unsafeRequest("a"));
  BOOST_TEST(Got.m_Head.m_Status == 503U);
  BOOST_TEST(Got.m_Head.find("Retry-After"));
  BOOST_TEST(Runs == 0U);
  BOOST_TEST(Log.contains("injected"));
  R.m_State.m_Strategies.m_Choose = Sound;
  BOOST_TEST(R.ask(unsafeRequest("b")).m_Head.m_Status == 200U);
  BOOST_TEST(R.m_State.m_InFlight == 0U);
}

// What may have run isn't said not to have run.
BOOST_AUTO_TEST_CASE(OutcomeIsUnknownAfterAnExceptionOnceItIsSent) {
  LogCapture Log;
  ExchangeRig R;
  unsigned Runs = 0;
  R.upstream("u", countingUpstream(Runs));
  WireFormat Failing = platform::wireFormat();
  Failing.m_ReadResponseMetadata = failToRead;
  GatewayState State(R.m_Io, GatewaySettings(), Failing, platform::decoder());
  State.m_Routes = R.m_State.m_Routes;
  (void)State.m_Upstreams.put(R.m_State.m_Upstreams.find("u")->m_Registration,
                              steadyNow());
  R.serveWith(State);
  HttpResponse Got = R.ask(unsafeRequest("a"));
  BOOST_TEST(Got.m_Head.m_Status == 502U);
  BOOST_TEST(Runs == 1U);
  BOOST_TEST(Log.contains("injected"));
  BOOST_TEST(State.m_InFlight == 0U);
  BOOST_TEST(State.m_Upstreams.find("u")->m_InFlight == 0U);
}

// Guards against a crash: the connection notified a request that had ended with
// an exception.
BOOST_AUTO_TEST_CASE(ConnectionEndsIfARequestHasNoAnswer) {
  LogCapture Log;
  ExchangeRig R;
  WireFormat Failing = platform::wireFormat();
  Failing.m_ReadRequestMetadata = failToReadRequest;
  GatewayState State(R.m_Io, GatewaySettings(), Failing, platform::decoder());
  R.serveWith(State);
  std::vector<HttpResponse> Responses;
  R.caller(safeRequest("a") + safeRequest("b"), 2, Responses);
  R.run();
  BOOST_TEST(Responses.empty());
  BOOST_TEST(Log.contains("injected"));
  BOOST_TEST(State.m_InFlight == 0U);
}

// A peer that asked for the attempt gets a statement, too.
BOOST_AUTO_TEST_CASE(RelayedAttemptHasAResultAfterAnException) {
  for (bool AfterSend : {false, true}) {
    LogCapture Log;
    WireFormat Failing = platform::wireFormat();
    if (AfterSend)
      Failing.m_ReadResponseMetadata = failToRead;
    else
      Failing.m_AddForwardFields = failToAdd;
    CutGateway G(Failing);
    unsigned Runs = 0;
    G.upstream("u", countingUpstream(Runs));
    G.cut();
    HttpResponse Got = G.m_Rig.ask(unsafeRequest("a"));
    BOOST_TEST(Runs == (AfterSend ? 1U : 0U));
    BOOST_TEST(Got.m_Head.m_Status == (AfterSend ? 502U : 503U));
    BOOST_TEST(Log.contains("injected"));
  }
}

BOOST_AUTO_TEST_CASE(ConnectionEndsIfItsHandlerFails) {
  LogCapture Log;
  asio::io_context Io;
  BufferBudget Buffers(1 << 20);
  Tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
  acceptEach(Io, Acceptor, [&](Tcp::socket Socket) {
    CallerConnectionPtr Connection(new CallerConnection(
        Io, std::move(Socket), CallerLimits(), Buffers,
        [](const CallerConnectionPtr &, const PendingRequestPtr &)
            -> awaitable<bool> { throw std::runtime_error("injected"); }));
    Connection->start();
  });
  Tcp::socket Caller(Io);
  Caller.connect(Acceptor.local_endpoint());
  asio::write(Caller, asio::buffer(safeRequest("a")));
  Io.run_for(std::chrono::milliseconds(100));
  BOOST_TEST((peek(Caller) == PeekResult::Closed));
  BOOST_TEST(Log.contains("injected"));
}

// Guards against a process that goes on without a part of it, such as the
// feeds of the store.
BOOST_AUTO_TEST_CASE(ServiceIsBegunAnewAfterAnException) {
  LogCapture Log;
  asio::io_context Io;
  unsigned Begins = 0;
  startService(Io, "service", [&]() -> awaitable<void> {
    ++Begins;
    co_await sleepFor(Io, 10ms);
    if (Begins == 1)
      throw std::runtime_error("injected");
    co_await sleepFor(Io, 1min);
  });
  Io.run_for(std::chrono::milliseconds(1300));
  BOOST_TEST(Begins == 2U);
  BOOST_TEST(Log.contains(R"("task":"service","cause":"injected")"));
}

// Guards against the end of the process by an exception of one handler.
BOOST_AUTO_TEST_CASE(EventLoopGoesOnAfterAnExceptionOfAHandler) {
  LogCapture Log;
  asio::io_context Io;
  bool IsReached = false;
  asio::post(Io, [] { throw std::runtime_error("injected"); });
  asio::post(Io, [&] {
    IsReached = true;
    Io.stop();
  });
  auto Work = asio::make_work_guard(Io);
  runEvents(Io);
  BOOST_TEST(IsReached);
  BOOST_TEST(Log.contains(R"("task":"handler","cause":"injected")"));
}

BOOST_AUTO_TEST_SUITE_END()
