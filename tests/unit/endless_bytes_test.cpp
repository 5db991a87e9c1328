/// \file
/// Upstreams and callers that send bytes without end, through real sockets on
/// loopback.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/exchange_rig.h"
#include "support/floods.h"

#include <malloc.h>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

constexpr std::size_t PieceBytes = 64 << 10;
/// What an upstream sends at most; none of it is an answer.
constexpr std::size_t FloodBytes = 48 << 20;
/// Memory for one request whose upstream sends without end; far below what an
/// upstream sends.
constexpr std::size_t MaxGrowth = 4 << 20;

std::size_t heapBytes() {
  struct mallinfo2 Info = ::mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

/// \brief Plays a flood, and tracks the memory of this process.
class FloodingUpstream {
public:
  explicit FloodingUpstream(const Flood &Plan)
      : m_Plan(Plan), m_Piece(Plan.piece(PieceBytes)) {}

  awaitable<void> run(ServerSide &Side) {
    (void)co_await Side.readRequest();
    m_Before = heapBytes();
    co_await Side.sendRaw(m_Plan.m_Begin);
    while (m_Sent < FloodBytes && !Side.peerClosed()) {
      co_await Side.sendRaw(m_Piece);
      m_Sent += m_Piece.size();
      m_Peak = std::max(m_Peak, heapBytes());
    }
    m_EndedByOther = Side.peerClosed();
    m_Done = true;
  }

  [[nodiscard]] bool isDone() const { return m_Done; }

  [[nodiscard]] std::size_t growth() const {
    return m_Peak > m_Before ? m_Peak - m_Before : 0;
  }
  [[nodiscard]] bool endedByOther() const { return m_EndedByOther; }

private:
  const Flood &m_Plan;
  std::string m_Piece;
  std::size_t m_Sent = 0;
  std::size_t m_Before = 0;
  std::size_t m_Peak = 0;
  bool m_EndedByOther = false;
  bool m_Done = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessBytes)

// Guards against a faulty upstream that fills a VM's memory, and ends the
// requests of other callers with it.
BOOST_AUTO_TEST_CASE(BytesThatAreNoAnswerAreNotKept) {
  for (const Flood &Plan : upstreamFloods("a")) {
    BOOST_TEST_CONTEXT("flood: " << Plan.m_Name) {
      ExchangeRig R;
      FloodingUpstream Upstream(Plan);
      R.upstream("u", [&](ServerSide &Side) { return Upstream.run(Side); });
      HttpResponse Got = R.ask(unsafeRequest("a"));
      BOOST_TEST(Got.m_Head.m_Status >= 500U);
      while (!Upstream.isDone())
        R.m_Io.run_one();
      BOOST_TEST(Upstream.growth() < MaxGrowth);
      BOOST_TEST(Upstream.endedByOther());
    }
  }
}

// Guards against a caller that does the same.
BOOST_AUTO_TEST_CASE(BytesThatAreNoRequestAreNotKept) {
  for (const Flood &Plan :
       callerFloods("POST /unsafe/x HTTP/1.1\r\nHost: h\r\n"
                    "X-Request-Id: a\r\nX-Deadline-Ms: 500\r\n")) {
    BOOST_TEST_CONTEXT("flood: " << Plan.m_Name) {
      ExchangeRig R;
      R.upstream("u", [](ServerSide &Side) -> awaitable<void> {
        (void)co_await Side.readRequest();
      });
      std::string Text = Plan.m_Begin + Plan.piece(FloodBytes);
      std::vector<HttpResponse> Answers;
      R.caller(std::move(Text), 1, Answers);
      std::size_t Before = heapBytes();
      std::size_t Peak = Before;
      for (TimePoint End = steadyNow() + 5s;
           R.m_State.m_InFlight + R.pendingCallers() > 0 &&
           steadyNow() < End;) {
        R.m_Io.run_one_for(std::chrono::milliseconds(10));
        Peak = std::max(Peak, heapBytes());
      }
      BOOST_TEST(Peak - Before < MaxGrowth);
      BOOST_TEST(R.pendingCallers() == 0U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
