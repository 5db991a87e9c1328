/// \file
/// Bodies that are sent on while they arrive: positions and memory, and uploads
/// through real sockets on loopback.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/cut_gateway.h"

#include <rapidcheck.h>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

/// \brief \p Size bytes of which each eight name their place.
std::string numbered(std::size_t Size) {
  std::string Result;
  Result.reserve(Size + 8);
  char Place[24];
  for (std::size_t At = 0; At < Size; At += 8) {
    std::snprintf(Place, sizeof Place, "%08zx", At / 8);
    Result.append(Place, 8);
  }
  Result.resize(Size);
  return Result;
}

std::string upload(const std::string &Id, const std::string &Body,
                   bool Chunked) {
  std::string Head =
      "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id + "\r\n";
  if (!Chunked)
    return Head + "Content-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  Head += "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t ChunkBytes = 50000;
  for (std::size_t At = 0; At < Body.size(); At += ChunkBytes) {
    std::string_view Part = std::string_view(Body).substr(At, ChunkBytes);
    Head.append(chunkHeader(Part.size())).append(Part).append(ChunkEnd);
  }
  return Head.append(LastChunk);
}

constexpr std::size_t UploadBytes = 8 << 20;
constexpr int Window = 64 << 10; // bytes

/// \brief Two upstreams: one rejects each request before its body is in and
/// reads on after a while, the other one begins to read late.
struct EarlyRejection {
  /// \param ByPeer A peer carries the attempts.
  EarlyRejection(Duration RejectingReadsAfter, Duration RunningReadsAfter,
                 bool ByPeer = false) {
    for (const char *Id : {"u1", "u2"})
      m_Gateway.upstream(
          Id, [this, RejectingReadsAfter, RunningReadsAfter](ServerSide &Side) {
            return serve(Side, RejectingReadsAfter, RunningReadsAfter);
          });
    if (ByPeer)
      m_Gateway.cut();
  }

  /// \brief The first request is rejected, whichever upstream gets it.
  awaitable<void> serve(ServerSide &Side, Duration RejectingReadsAfter,
                        Duration RunningReadsAfter) {
    Side.setWindow(Window);
    std::string Id = co_await Side.readHead();
    if (Id.empty())
      co_return;
    bool Rejects = !std::exchange(m_HasRejected, true);
    if (Rejects)
      co_await Side.sendRaw("HTTP/1.1 503 Busy\r\nX-Request-Id: " + Id +
                            "\r\nX-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n");
    co_await Side.sleep(Rejects ? RejectingReadsAfter : RunningReadsAfter);
    while (co_await Side.readMore()) {
    }
    std::string &Seen = Rejects ? m_SeenByRejecting : m_SeenByRunning;
    Seen = Side.body();
    if (Rejects || !Side.requestIsComplete())
      co_return;
    m_IsComplete = true;
    co_await Side.respond(Id, "done");
  }

  CutGateway m_Gateway; ///< Not cut unless a peer is to carry the attempts.
  ExchangeRig &m_Rig = m_Gateway.m_Rig;
  bool m_HasRejected = false;
  bool m_IsComplete = false; ///< At the upstream that runs it.
  std::string m_SeenByRejecting;
  std::string m_SeenByRunning;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestBodies)

// Guards against an upstream that runs an upload with other bytes, or gets
// other bytes where the rest of one is due: two attempts moved the same
// position.
BOOST_AUTO_TEST_CASE(RejectedUploadsGoOnUnchangedElsewhere) {
  const std::string Body = numbered(UploadBytes);
  struct Way {
    bool m_Chunked;
    bool m_ByPeer;
  };
  for (auto [Chunked, ByPeer] :
       {Way{true, false}, Way{false, false}, Way{true, true}, Way{false, true}})
    for (Duration RejectingReadsAfter : {Duration(0ms), Duration(300ms)})
      for (Duration RunningReadsAfter : {Duration(0ms), Duration(300ms)}) {
        BOOST_TEST_CONTEXT(
            (Chunked ? "chunks" : "length")
            << ", rejecting reads after " << toMillis(RejectingReadsAfter)
            << " ms, running after " << toMillis(RunningReadsAfter) << " ms") {
          EarlyRejection Play(RejectingReadsAfter, RunningReadsAfter, ByPeer);
          HttpResponse Got = Play.m_Rig.ask(upload("a", Body, Chunked));
          Play.m_Rig.m_Io.run_for(std::chrono::milliseconds(400));
          if (Got.m_Head.m_Status == 200U)
            BOOST_TEST(Play.m_IsComplete);
          if (Play.m_IsComplete)
            BOOST_TEST((Play.m_SeenByRunning == Body));
          BOOST_TEST(Body.starts_with(Play.m_SeenByRejecting));
          BOOST_TEST(Body.starts_with(Play.m_SeenByRunning));
        }
      }
}

// A body of which nothing was dropped goes to the next upstream whole.
BOOST_AUTO_TEST_CASE(SmallRejectedUploadsAreServedElsewhere) {
  for (std::size_t Size : {std::size_t(0), std::size_t(1), std::size_t(16384),
                           std::size_t(16385), std::size_t(200 << 10)})
    for (bool Chunked : {true, false}) {
      BOOST_TEST_CONTEXT(Size << (Chunked ? " bytes in chunks" : " bytes")) {
        const std::string Body = numbered(Size);
        EarlyRejection Play(0ms, 0ms);
        HttpResponse Got = Play.m_Rig.ask(upload("a", Body, Chunked));
        BOOST_TEST(Got.m_Head.m_Status == 200U);
        BOOST_TEST((Play.m_SeenByRunning == Body));
      }
    }
}

// Guards against a wait until the deadline for a body that can't be read.
BOOST_AUTO_TEST_CASE(BodyThatCantBeReadIsRefusedAtOnce) {
  ExchangeRig R;
  bool IsComplete = false;
  R.upstream("u", [&IsComplete](ServerSide &Side) -> awaitable<void> {
    IsComplete = !(co_await Side.readRequest()).empty();
  });
  std::string Text = upload("a", std::string(100000, 'x'), true);
  Text.resize(Text.size() - LastChunk.size());
  TimePoint Begin = steadyNow();
  HttpResponse Got = R.ask(Text + "not a chunk\r\n");
  BOOST_TEST(Got.m_Head.m_Status == 400U);
  BOOST_TEST((steadyNow() - Begin < 1s));
  BOOST_TEST(!IsComplete);
  BOOST_TEST(!R.m_State.m_Upstreams.find("u")->isEjected(steadyNow()));
}

// Random pieces, readers that stop anywhere, and scarce buffers.
BOOST_AUTO_TEST_CASE(ReadersTakeEveryByteOnceFromTheBegin) {
  BOOST_TEST(rc::check([] {
    BufferBudget Buffers(1000);
    BufferCharge Others(Buffers);
    RequestBody Body(Buffers);
    const std::string All =
        numbered(*rc::gen::inRange<std::size_t>(0, 1 << 20));
    std::size_t Received = 0;
    std::string Taken;
    std::optional<BodyReader> Reader;
    for (int I = 0; I < 400; ++I) {
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1: {
        if (Body.isFull())
          break;
        std::string Piece =
            All.substr(Received, *rc::gen::inRange<std::size_t>(0, 40000));
        Body.append(Piece);
        Received += Piece.size();
        break;
      }
      case 2:
        Others.set(*rc::gen::element<std::size_t>(0, 2000));
        break;
      case 3:
        Reader.reset();
        break;
      default:
        if (!Reader && Body.isWhole()) {
          Reader.emplace(Body);
          Taken.clear();
        }
        if (!Reader)
          break;
        std::string_view Next =
            Reader->next(*rc::gen::inRange<std::size_t>(1, 40000));
        Taken += Next;
        (void)Reader->advance(Next.size());
      }
      if (Reader)
        RC_ASSERT(!Reader->atEnd());
      RC_ASSERT(Body.received() == Received);
      RC_ASSERT(All.starts_with(Taken));
      RC_ASSERT(Body.digest().has_value() ==
                (Received >= RequestBody::DigestedBytes));
      // The receiver may go on once everything has been taken.
      if (Reader && Taken.size() == Received)
        RC_ASSERT(!Body.isFull());
      RC_ASSERT(Body.footprint() <= 4 * RequestBody::MaxRetained);
    }
    Body.complete();
    if (Reader)
      RC_ASSERT(Reader->atEnd() == (Taken.size() == Received));
  }));
}

BOOST_AUTO_TEST_SUITE_END()
