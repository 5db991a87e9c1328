/// \file
/// Bodies of requests that are sent to a second upstream, through real sockets
/// on loopback. They arrive after their heads, in pieces.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/cut_gateway.h"
#include "support/exchange_messages.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

/// Bodies up to this size that have arrived are sent with their heads.
constexpr std::size_t SmallBody = 16384; // bytes
constexpr Duration RefusalDelay = 20ms;
constexpr const char *Deadline = "X-Deadline-Ms: 1500\r\n";

constexpr std::size_t ShortBody = 12000;
struct NamedBody {
  const char *m_Name;
  ArrivingBody m_Body;
};
const NamedBody Bodies[] = {
    {"after the head", {ShortBody, {5ms}}},
    {"in two parts", {ShortBody, {5ms, 7ms}}},
    {"in two parts around the refusal", {ShortBody, {5ms, 30ms}}},
    {"the longest that goes with a head", {SmallBody, {5ms}}},
    {"one byte", {1, {5ms}}},
    {"in ten parts", {10, std::vector<Duration>(10, 1ms)}},
    {"with the head", {ShortBody, {}}},
    {"longer than goes with a head", {SmallBody + 1, {5ms}}},
    {"long", {200000, {5ms, 5ms}}},
    {"in chunks", {ShortBody, {5ms, 7ms}, true}}};

/// \brief How an attempt fails.
enum class Failure : std::uint8_t {
  EarlyRefusal, ///< The body is read on.
  Refusal,      ///< After the whole body.
  Reset,        ///< The same, without an answer.
  Close,
};
constexpr std::pair<const char *, Failure> Failures[] = {
    {"early refusal", Failure::EarlyRefusal},
    {"refusal", Failure::Refusal},
    {"reset", Failure::Reset},
    {"close", Failure::Close}};

bool isRefusal(Failure Kind) {
  return Kind == Failure::EarlyRefusal || Kind == Failure::Refusal;
}

/// \brief Two upstreams that fail the first requests and check the bodies of
/// all.
class FailingUpstreams {
public:
  FailingUpstreams(Failure Kind, unsigned Failures, std::size_t BodyBytes)
      : m_Kind(Kind), m_FailuresLeft(Failures), m_BodyBytes(BodyBytes) {
    for (const char *Id : {"u1", "u2"})
      m_Gateway.upstream(Id, [this](ServerSide &Side) { return serve(Side); });
  }

  CutGateway m_Gateway; ///< Not cut unless a peer is to carry the attempts.
  ExchangeRig &m_Rig = m_Gateway.m_Rig;
  std::vector<std::string> m_Run; ///< Requests that were answered.
  unsigned m_OtherBodies = 0;     ///< Bodies with other bytes.

private:
  awaitable<void> serve(ServerSide &Side) {
    for (;;) {
      std::string Id = co_await Side.readHead();
      if (Id.empty())
        co_return;
      bool Fails = m_FailuresLeft > 0;
      if (Fails)
        --m_FailuresLeft;
      if (Fails && m_Kind == Failure::EarlyRefusal) {
        co_await Side.sleep(RefusalDelay);
        co_await refuse(Side, Id);
      }
      while (co_await Side.readMore()) {
      }
      if (!markedBytes(Id, m_BodyBytes).starts_with(Side.body()))
        ++m_OtherBodies;
      if (!Side.requestIsComplete())
        co_return;
      if (!Fails) {
        m_Run.push_back(Id);
        co_await Side.respond(Id, Id);
      } else if (m_Kind == Failure::Refusal) {
        co_await refuse(Side, Id);
      } else if (m_Kind == Failure::Reset) {
        Side.reset();
      } else if (m_Kind == Failure::Close) {
        Side.close();
      }
    }
  }
  static awaitable<void> refuse(ServerSide &Side, const std::string &Id) {
    co_await Side.sendRaw("HTTP/1.1 503 Busy\r\nX-Request-Id: " + Id +
                          "\r\nX-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n");
  }

  Failure m_Kind;
  unsigned m_FailuresLeft;
  std::size_t m_BodyBytes;
};

/// \brief Calls \p Check(Path, Kind, Body) for each failure after which a
/// request of the route is sent again.
template <class Function> void forEachRetry(Function Check) {
  for (const char *Path : {"/safe/x", "/unsafe/x"})
    for (const auto &[Name, Kind] : Failures)
      for (const auto &[Form, Body] : Bodies) {
        bool IsRepeated = isRefusal(Kind) || std::string(Path) == "/safe/x";
        if (IsRepeated)
          BOOST_TEST_CONTEXT(Path << ", " << Name << ", body " << Form)
        Check(Path, Kind, Body);
      }
}

void checkIsServedWhole(FailingUpstreams &Upstreams, const char *Path,
                        const ArrivingBody &Body) {
  HttpResponse Got =
      Upstreams.m_Rig.ask(postRequest(Path, "a", Body, Deadline));
  BOOST_TEST(Got.m_Head.m_Status == 200U);
  BOOST_TEST(Upstreams.m_Run.size() == 1U);
  BOOST_TEST(Upstreams.m_OtherBodies == 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetriedBodies)

// Guards against a second attempt without the body: it began where the sender
// of the first one had stopped.
BOOST_AUTO_TEST_CASE(SecondUpstreamGetsTheWholeBody) {
  forEachRetry([](const char *Path, Failure Kind, const ArrivingBody &Body) {
    FailingUpstreams Upstreams(Kind, 1, Body.m_Bytes);
    checkIsServedWhole(Upstreams, Path, Body);
  });
}

BOOST_AUTO_TEST_CASE(SecondUpstreamGetsTheWholeBodyOverAPeer) {
  forEachRetry([](const char *Path, Failure Kind, const ArrivingBody &Body) {
    FailingUpstreams Upstreams(Kind, 1, Body.m_Bytes);
    Upstreams.m_Gateway.cut();
    checkIsServedWhole(Upstreams, Path, Body);
  });
}

// What was sent is kept for a retry up to this size.
BOOST_AUTO_TEST_CASE(SecondUpstreamGetsTheWholeBodyWhileBuffersAreScarce) {
  forEachRetry([](const char *Path, Failure Kind, const ArrivingBody &Body) {
    if (Body.m_Bytes > SmallBody)
      return;
    FailingUpstreams Upstreams(Kind, 1, Body.m_Bytes);
    BufferBudget &Buffers = Upstreams.m_Rig.m_State.m_Buffers;
    BufferCharge Others(Buffers);
    Others.set(Buffers.limit());
    checkIsServedWhole(Upstreams, Path, Body);
  });
}

// An attempt that hangs on a lost link goes on over a peer.
BOOST_AUTO_TEST_CASE(BodyOfAnAttemptThatLeavesItsLinkReachesThePeerWhole) {
  for (const auto &[Form, Body] : Bodies) {
    BOOST_TEST_CONTEXT("body " << Form) {
      CutGateway G;
      unsigned Requests = 0;
      std::string Seen;
      G.upstream("u", [&](ServerSide &Side) -> awaitable<void> {
        std::string Id = co_await Side.readRequest();
        if (++Requests == 1) {
          asio::post(G.m_Rig.m_Io, [&G] { G.cut(); });
          co_await Side.sleep(1s);
          co_return;
        }
        Seen = Side.body();
        co_await Side.respond(Id, Id);
      });
      HttpResponse Got =
          G.m_Rig.ask(postRequest("/safe/x", "a", Body, Deadline));
      BOOST_TEST(Got.m_Head.m_Status == 200U);
      BOOST_TEST((Seen == markedBytes("a", Body.m_Bytes)));
    }
  }
}

// A peer may state that it has sent nothing after it got the whole request.
BOOST_AUTO_TEST_CASE(BodyThatAPeerDidNotSendGoesToTheNextUpstreamWhole) {
  for (const auto &[Form, Body] : Bodies) {
    BOOST_TEST_CONTEXT("body " << Form) {
      FailingUpstreams Upstreams(Failure::Refusal, 0, Body.m_Bytes);
      CutGateway &G = Upstreams.m_Gateway;
      G.cut();
      (void)G.m_Peer.m_Upstreams.announceLeaving(
          runKey(G.m_Peer.m_Upstreams.find("u1")->m_Registration), steadyNow());
      for (const char *Id : {"a", "b", "c", "d"}) {
        HttpResponse Got =
            G.m_Rig.ask(postRequest("/unsafe/x", Id, Body, Deadline));
        BOOST_TEST(Got.m_Head.m_Status == 200U);
      }
      BOOST_TEST(Upstreams.m_Run.size() == 4U);
      BOOST_TEST(Upstreams.m_OtherBodies == 0U);
    }
  }
}

// Guards against another request's head where the rest of a body is due: a
// connection with an incomplete request was used again.
BOOST_AUTO_TEST_CASE(ConnectionsOfRefusedRequestsCarryTheNextOnesWhole) {
  for (bool ByPeer : {false, true})
    for (Failure Kind : {Failure::EarlyRefusal, Failure::Refusal})
      for (const auto &[Form, Body] : Bodies) {
        BOOST_TEST_CONTEXT("body " << Form << (ByPeer ? ", over a peer" : "")) {
          FailingUpstreams Upstreams(Kind, 2, Body.m_Bytes);
          if (ByPeer)
            Upstreams.m_Gateway.cut();
          ExchangeRig &R = Upstreams.m_Rig;
          HttpResponse Refused =
              R.ask(postRequest("/unsafe/x", "a", Body, Deadline));
          BOOST_TEST(Refused.m_Head.m_Status == 503U);
          for (const char *Id : {"b", "c", "d"}) {
            HttpResponse Got =
                R.ask(postRequest("/unsafe/x", Id, Body, Deadline));
            BOOST_TEST(Got.m_Head.m_Status == 200U);
          }
          BOOST_TEST(Upstreams.m_Run.size() == 3U);
          BOOST_TEST(Upstreams.m_OtherBodies == 0U);
        }
      }
}

BOOST_AUTO_TEST_SUITE_END()
