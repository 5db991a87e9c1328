/// \file
/// Statuses that promise "not run" and that the upstream hasn't proved, with
/// bodies of all lengths, through real sockets on loopback.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/cut_gateway.h"
#include "support/exchange_messages.h"
#include "support/log_capture.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

/// An answer that isn't longer is kept until its end.
constexpr std::size_t MaxKept = 512 << 10; // bytes
/// The same while buffers are scarce.
constexpr std::size_t MaxKeptScarce = 16 << 10;

constexpr std::pair<const char *, BodyFraming> Framings[] = {
    {"with a length", BodyFraming::Length},
    {"in chunks", BodyFraming::Chunks},
    {"without a length", BodyFraming::Close},
    {"without end", BodyFraming::Endless}};

/// \brief An upstream that gives each request the same answer.
Script answering(const UpstreamAnswer &Given, unsigned &Runs) {
  return [Given, &Runs](ServerSide &Side) -> awaitable<void> {
    for (;;) {
      std::string Id = co_await Side.readRequest();
      if (Id.empty())
        co_return;
      ++Runs;
      co_await Given.send(Side, Id);
    }
  };
}

std::string order(const std::string &Path) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nContent-Length: 2\r\n\r\n"
         "hi";
}

/// \brief Calls \p Check(Given, Path) for each status that promises "not run",
/// form of the body and route whose requests may run once.
template <class Function>
void forEachPromise(std::span<const std::size_t> Sizes, Function Check) {
  for (unsigned Status : {408U, 429U, 503U})
    for (const auto &[Name, Form] : Framings)
      for (std::size_t Size : Sizes)
        for (const char *Path : {"/unsafe/x", "/upload/x"}) {
          if (Form == BodyFraming::Endless && Size != Sizes.front())
            continue;
          BOOST_TEST_CONTEXT(Path << ", " << Status << " " << Name << ", "
                                  << Size << " bytes")
          Check(UpstreamAnswer{Status, Form, Size, {}}, Path);
        }
}

constexpr std::size_t Sizes[] = {2000, MaxKept, MaxKept + 1, 700000};

void checkIsNoPromise(const HttpResponse &Got, const LogCapture &Log) {
  BOOST_TEST(Got.m_Head.m_Status == 502U);
  BOOST_TEST(Log.contains("\"status\":\"502\",\"outcome\":\"unknown\""));
  BOOST_TEST(Log.contains("\"why\":\"unproved-refusal\""));
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnprovedRefusals)

// Guards against "not run" for a request that has run: the check of buffered
// answers was missing where longer ones are streamed.
BOOST_AUTO_TEST_CASE(NoLengthOfItsBodyMakesItAPromise) {
  forEachPromise(Sizes, [](const UpstreamAnswer &Given, const char *Path) {
    LogCapture Log;
    ExchangeRig R;
    unsigned Runs = 0;
    R.upstream("u", answering(Given, Runs));
    checkIsNoPromise(R.ask(order(Path)), Log);
    BOOST_TEST(Runs == 1U);
  });
}

BOOST_AUTO_TEST_CASE(NoLengthOfItsBodyMakesItAPromiseOverAPeer) {
  forEachPromise(Sizes, [](const UpstreamAnswer &Given, const char *Path) {
    LogCapture Log;
    CutGateway G;
    unsigned Runs = 0;
    G.upstream("u", answering(Given, Runs));
    G.cut();
    checkIsNoPromise(G.m_Rig.ask(order(Path)), Log);
    BOOST_TEST(Runs == 1U);
  });
}

BOOST_AUTO_TEST_CASE(NoLengthOfItsBodyMakesItAPromiseWhileBuffersAreScarce) {
  constexpr std::size_t ScarceSizes[] = {2000, MaxKeptScarce + 1};
  forEachPromise(ScarceSizes,
                 [](const UpstreamAnswer &Given, const char *Path) {
                   LogCapture Log;
                   ExchangeRig R;
                   unsigned Runs = 0;
                   R.upstream("u", answering(Given, Runs));
                   BufferCharge Others(R.m_State.m_Buffers);
                   Others.set(R.m_State.m_Buffers.limit());
                   checkIsNoPromise(R.ask(order(Path)), Log);
                 });
}

// The request's body is still being sent when the answer comes.
BOOST_AUTO_TEST_CASE(EarlyOneIsNoPromise) {
  for (std::size_t Size : Sizes) {
    BOOST_TEST_CONTEXT(Size << " bytes") {
      LogCapture Log;
      ExchangeRig R;
      const UpstreamAnswer Given{503, BodyFraming::Length, Size, {}};
      R.upstream("u", [&Given](ServerSide &Side) -> awaitable<void> {
        std::string Id = co_await Side.readHead();
        co_await Given.send(Side, Id);
        while (co_await Side.readMore()) {
        }
      });
      std::vector<TimedBytes> Parts{
          {Duration::zero(), "PUT /upload/x HTTP/1.1\r\nHost: h\r\n"
                             "X-Request-Id: a\r\nContent-Length: 20\r\n\r\n"},
          {300ms, std::string(20, 'u')}};
      checkIsNoPromise(R.ask(Parts), Log);
    }
  }
}

// An upstream that answers isn't lost, and its link works.
BOOST_AUTO_TEST_CASE(UpstreamIsNotBlamedForIt) {
  for (const auto &[Name, Form] : Framings) {
    BOOST_TEST_CONTEXT(Name) {
      LogCapture Log;
      ExchangeRig R;
      unsigned Runs = 0;
      R.upstream("u", answering(UpstreamAnswer{503, Form, 700000, {}}, Runs));
      for (int I = 0; I < 4; ++I)
        BOOST_TEST(R.ask(order("/unsafe/x")).m_Head.m_Status == 502U);
      BOOST_TEST(Runs == 4U);
      BOOST_TEST(!R.m_State.m_Upstreams.find("u")->isEjected(steadyNow()));
      BOOST_TEST((R.m_State.m_OwnLinks.state() == LinkState::Up));
      BOOST_TEST(!Log.contains("answer-lost"));
    }
  }
}

// One that breaks off is a lost answer, as any other.
BOOST_AUTO_TEST_CASE(OneThatBreaksOffIsALostAnswer) {
  for (std::size_t Size : Sizes) {
    LogCapture Log;
    UpstreamAnswer Given{503, BodyFraming::Length, Size, {}};
    Given.m_BreaksOff = true;
    unsigned Runs = 0;
    ExchangeRig R;
    R.upstream("u", answering(Given, Runs));
    BOOST_TEST(R.ask(order("/unsafe/x")).m_Head.m_Status == 502U);
    BOOST_TEST(Log.contains("answer-lost"), Size << " bytes");
  }
}

// The caller needn't wait for the end of the body.
BOOST_AUTO_TEST_CASE(CallerIsAnsweredBeforeASlowBodyEnds) {
  const UpstreamAnswer Given{503, BodyFraming::Length, 2000, {}};
  ExchangeRig R;
  R.upstream("u", [&Given](ServerSide &Side) -> awaitable<void> {
    std::string Id = co_await Side.readRequest();
    co_await Side.sendRaw(Given.head(Id));
    co_await Side.sleep(2s);
  });
  TimePoint Begin = steadyNow();
  BOOST_TEST(R.ask(order("/unsafe/x")).m_Head.m_Status == 502U);
  BOOST_TEST((steadyNow() - Begin < 1s));
}

// Controls: what an upstream states is passed on, whatever its body.
BOOST_AUTO_TEST_CASE(ProvedRefusalIsAPromise) {
  for (unsigned Status : {408U, 421U, 429U, 503U})
    for (std::size_t Size : Sizes) {
      BOOST_TEST_CONTEXT(Status << ", " << Size << " bytes") {
        std::string Fields = Status == 421 ? "" : "X-Not-Executed: 1\r\n";
        unsigned Runs = 0;
        ExchangeRig R;
        R.upstream(
            "u", answering({Status, BodyFraming::Length, Size, Fields}, Runs));
        BOOST_TEST(R.ask(order("/unsafe/x")).m_Head.m_Status == 503U);
        CutGateway G;
        G.upstream(
            "u", answering({Status, BodyFraming::Length, Size, Fields}, Runs));
        G.cut();
        BOOST_TEST(G.m_Rig.ask(order("/unsafe/x")).m_Head.m_Status == 503U);
      }
    }
}

// Callers of routes that may run again get the last answer as it is.
BOOST_AUTO_TEST_CASE(FailureOfARepeatableRequestIsPassedOn) {
  for (unsigned Status : {408U, 429U, 500U, 503U})
    for (std::size_t Size : Sizes)
      for (const char *Path : {"/safe/x", "/download/x"}) {
        BOOST_TEST_CONTEXT(Path << ", " << Status << ", " << Size << " bytes") {
          unsigned Runs = 0;
          ExchangeRig R;
          R.upstream("u",
                     answering({Status, BodyFraming::Length, Size, {}}, Runs));
          HttpResponse Got = R.ask(order(Path));
          BOOST_TEST(Got.m_Head.m_Status == Status);
          BOOST_TEST(Got.m_Body.size() == Size);
        }
      }
}

BOOST_AUTO_TEST_SUITE_END()
