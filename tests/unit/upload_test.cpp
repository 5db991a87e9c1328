/// \file
/// Uploads through real sockets on loopback: callers and upstreams that stop,
/// reject or break off in the middle of a body.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/exchange_rig.h"
#include "support/two_regions.h"

#include <boost/asio/write.hpp>

#include <list>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

constexpr std::size_t BufferLimit = 4 << 20; // bytes
constexpr std::size_t UploadSizes[] = {60 << 10, 150 << 10, 360 << 10};
constexpr std::size_t LargestUpload = 360 << 10;
/// Ends the uploads that nobody goes on with.
constexpr const char *ShortDeadline = "X-Deadline-Ms: 400\r\n";
/// Connections close within a second after their last answer.
constexpr Duration SettleTime = 1500ms;

GatewaySettings smallBuffers() {
  GatewaySettings Settings;
  Settings.m_BufferBytes = BufferLimit;
  return Settings;
}

std::string uploadHead(const std::string &Id, std::size_t Bytes,
                       const std::string &Fields = "") {
  return "PUT /upload/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id + "\r\n" +
         Fields + "Content-Length: " + std::to_string(Bytes) + "\r\n\r\n";
}

std::string upload(const std::string &Id, std::size_t Bytes,
                   const std::string &Fields = "") {
  return uploadHead(Id, Bytes, Fields) + std::string(Bytes, 'x');
}

/// \brief A caller that sends a part of its request and no more.
class PartialCaller {
public:
  PartialCaller(ExchangeRig &Rig, const std::string &Text)
      : m_Rig(Rig), m_Socket(Rig.m_Io) {
    m_Socket.connect(Rig.callerAddress());
    send(Text);
  }

  void send(const std::string &Text) {
    asio::write(m_Socket, asio::buffer(Text));
  }
  /// \brief Waits for the answer. \returns Its status, or 0 after \p Timeout.
  unsigned waitForStatus(Duration Timeout) {
    for (TimePoint End = steadyNow() + Timeout;
         steadyNow() < End && !m_Parser.headDone();) {
      m_Rig.m_Io.run_one_for(std::chrono::milliseconds(5));
      if (peek(m_Socket) != PeekResult::Bytes)
        continue;
      char Buffer[4096];
      m_Input.append(Buffer, m_Socket.read_some(asio::buffer(Buffer)));
      m_Input.erase(0, m_Parser.feed(m_Input));
    }
    return m_Parser.headDone() ? m_Parser.head().m_Status : 0;
  }
  [[nodiscard]] const HttpHead &head() const { return m_Parser.head(); }

private:
  ExchangeRig &m_Rig;
  Tcp::socket m_Socket;
  std::string m_Input;
  HttpParser m_Parser{HttpParser::Role::Responses, 65536, 1 << 20};
};

/// \brief Checks that nothing is left of the requests of \p Rig.
void checkNothingIsHeld(ExchangeRig &Rig) {
  for (TimePoint End = steadyNow() + SettleTime;
       steadyNow() < End &&
       (Rig.m_State.m_InFlight > 0 || Rig.m_State.m_Buffers.used() > 0);)
    Rig.m_Io.run_one_for(std::chrono::milliseconds(5));
  BOOST_TEST(Rig.m_State.m_InFlight == 0U);
  BOOST_TEST(Rig.m_State.m_Buffers.used() == 0U);
  Rig.m_State.m_Upstreams.forEach(
      [](const Upstream &Target) { BOOST_TEST(Target.m_InFlight == 0U); });
}

/// \brief Two upstreams with the same behaviour, which count the requests that
/// arrive.
struct TwoUpstreams {
  using Behaviour =
      std::function<awaitable<void>(ServerSide &Side, std::string Id)>;

  explicit TwoUpstreams(const Behaviour &Serve) : m_Serve(Serve) {
    for (const char *Id : {"u1", "u2"}) {
      m_Rig.upstream(Id, [this](ServerSide &Side) { return serve(Side); });
      m_Rig.useSmallSegments(Id);
      m_Rig.m_State.m_Upstreams.find(Id)->m_Registration.m_Slots = 100;
    }
  }
  awaitable<void> serve(ServerSide &Side) {
    std::string Id = co_await Side.readHead();
    if (Id.empty())
      co_return;
    ++m_Arrived[Id];
    co_await m_Serve(Side, Id);
  }

  ExchangeRig m_Rig{smallBuffers()};
  Behaviour m_Serve;
  std::map<std::string, unsigned> m_Arrived; ///< Sends, by request.
};

std::string answer(const std::string &StatusLine, const std::string &Id,
                   const std::string &Fields = "") {
  return "HTTP/1.1 " + StatusLine + "\r\nX-Request-Id: " + Id + "\r\n" +
         Fields + "Content-Length: 0\r\n\r\n";
}

/// \brief Two regions whose route is for uploads.
TwoRegions withUploads() {
  TwoRegions System;
  System.m_Route.m_RetrySafety = RetrySafety::Upload;
  return System;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Uploads)

// Guards against uploads that are kept until their end: an upstream gets the
// first bytes while the caller still has the others.
BOOST_AUTO_TEST_CASE(BodiesAreSentOnWhileTheyArrive) {
  for (std::size_t Size : UploadSizes) {
    std::size_t Seen = 0;
    bool IsComplete = false;
    TwoUpstreams U([&](ServerSide &Side, std::string Id) -> awaitable<void> {
      while (co_await Side.readMore())
        Seen = Side.body().size();
      Seen = Side.body().size();
      IsComplete = Side.requestIsComplete();
      co_await Side.respond(Id, "done");
    });
    std::size_t FirstPart = Size / 2;
    PartialCaller Caller(U.m_Rig,
                         uploadHead("a", Size) + std::string(FirstPart, 'x'));
    U.m_Rig.m_Io.run_for(std::chrono::milliseconds(200));
    BOOST_TEST(Seen == FirstPart);
    BOOST_TEST(!IsComplete);
    Caller.send(std::string(Size - FirstPart, 'x'));
    BOOST_TEST(Caller.waitForStatus(2s) == 200U);
    BOOST_TEST(IsComplete);
    BOOST_TEST(Seen == Size);
    BOOST_TEST(U.m_Rig.m_State.m_Buffers.peak() < 2 * LargestUpload);
  }
}

// An upstream that says that it has not run an upload before the body is in.
BOOST_AUTO_TEST_CASE(EarlyRejectionIsPassedOnAsNotRun) {
  for (std::size_t Size : UploadSizes) {
    TwoUpstreams U([](ServerSide &Side, std::string Id) -> awaitable<void> {
      co_await Side.sendRaw(answer("503 Busy", Id, "X-Not-Executed: 1\r\n"));
      while (co_await Side.readMore()) {
      }
    });
    HttpResponse Got = U.m_Rig.ask(upload("a", Size));
    BOOST_TEST(Got.m_Head.m_Status == 503U);
    BOOST_TEST(Got.m_Head.find("Retry-After"));
    BOOST_TEST(U.m_Arrived["a"] <= 2U);
    checkNothingIsHeld(U.m_Rig);
  }
}

// Guards against "not run" without the upstream's word for it, and against a
// second run after any answer.
BOOST_AUTO_TEST_CASE(UnprovedRejectionIsAnsweredWith502) {
  for (const char *StatusLine : {"429 Busy", "503 Busy", "000 Odd", "408 Slow"})
    for (const char *Signature : {"", "X-Response-Signature: s\r\n"}) {
      TwoUpstreams U([&](ServerSide &Side, std::string Id) -> awaitable<void> {
        co_await Side.sendRaw(answer(StatusLine, Id, Signature));
        while (co_await Side.readMore()) {
        }
      });
      BOOST_TEST_CONTEXT(StatusLine << " " << Signature) {
        HttpResponse Got = U.m_Rig.ask(upload("a", LargestUpload));
        BOOST_TEST(Got.m_Head.m_Status == 502U);
        BOOST_TEST(!Got.m_Head.find("Retry-After"));
        BOOST_TEST(U.m_Arrived["a"] == 1U);
        checkNothingIsHeld(U.m_Rig);
      }
    }
}

BOOST_AUTO_TEST_CASE(UploadThatAnUpstreamBreaksOffIsNotSentAgain) {
  for (std::size_t ReadBytes : {std::size_t(0), std::size_t(30 << 10)}) {
    TwoUpstreams U([&](ServerSide &Side, std::string) -> awaitable<void> {
      while (Side.body().size() < ReadBytes && co_await Side.readMore()) {
      }
      Side.reset();
    });
    for (std::size_t Size : UploadSizes) {
      std::string Id = std::to_string(Size);
      BOOST_TEST(U.m_Rig.ask(upload(Id, Size)).m_Head.m_Status == 502U);
      BOOST_TEST(U.m_Arrived[Id] == 1U);
    }
    checkNothingIsHeld(U.m_Rig);
  }
}

// Guards against memory and slots that uploads hold for good when upstreams
// stop reading, and against "not run" for them.
BOOST_AUTO_TEST_CASE(UpstreamsThatStopReadingLeaveMemoryBounded) {
  constexpr unsigned Count = 60;
  TwoUpstreams U([](ServerSide &Side, std::string) -> awaitable<void> {
    co_await Side.sleep(2s);
  });
  std::vector<HttpResponse> Answers;
  for (unsigned I = 0; I < Count; ++I)
    U.m_Rig.caller(
        upload("a" + std::to_string(I), LargestUpload, ShortDeadline), 1,
        Answers);
  U.m_Rig.run();
  BOOST_TEST(Answers.size() == Count);
  unsigned NotRun = 0;
  for (const HttpResponse &Answer : Answers) {
    unsigned Status = Answer.m_Head.m_Status;
    BOOST_TEST((Status == 504U || Status == 502U || Status == 503U));
    NotRun += Status == 503U ? 1 : 0;
  }
  // Each upload arrived at one upstream, or its caller was told "not run".
  BOOST_TEST(U.m_Arrived.size() + NotRun == Count);
  for (const auto &[Id, Sends] : U.m_Arrived)
    BOOST_TEST(Sends == 1U, Id);
  BOOST_TEST(U.m_Rig.m_State.m_Buffers.peak() < 2 * BufferLimit);
  checkNothingIsHeld(U.m_Rig);
}

// Guards against a slot and memory that a silent caller holds for longer than
// its request may take.
BOOST_AUTO_TEST_CASE(CallerThatStopsSendingFreesWhatItHolds) {
  for (std::size_t Sent : {std::size_t(0), std::size_t(1000),
                           std::size_t(50 << 10), LargestUpload - 1}) {
    bool IsComplete = false;
    TwoUpstreams U([&](ServerSide &Side, std::string) -> awaitable<void> {
      while (co_await Side.readMore()) {
      }
      IsComplete = Side.requestIsComplete();
    });
    PartialCaller Caller(U.m_Rig,
                         uploadHead("a", LargestUpload, ShortDeadline) +
                             std::string(Sent, 'x'));
    TimePoint Begin = steadyNow();
    unsigned Status = Caller.waitForStatus(2s);
    BOOST_TEST_CONTEXT(Sent << " bytes sent") {
      BOOST_TEST((Status == 504U || Status == 502U));
      BOOST_TEST((steadyNow() - Begin < 1s));
      BOOST_REQUIRE(Caller.head().find("Connection"));
      BOOST_TEST(*Caller.head().find("Connection") == "close");
      checkNothingIsHeld(U.m_Rig);
      BOOST_TEST(!IsComplete);
      BOOST_TEST(U.m_Arrived["a"] == 1U);
    }
  }
}

// Guards against uploads that cross the network for a refusal.
BOOST_AUTO_TEST_CASE(RefusedUploadIsAnsweredBeforeItsBody) {
  struct Refusal {
    const char *m_Name;
    void (*m_Cause)(ExchangeRig &Rig);
    unsigned m_Status;
  };
  const Refusal Refusals[] = {
      {"full",
       [](ExchangeRig &Rig) {
         Rig.m_State.m_Upstreams.forEach(
             [](Upstream &Target) { Target.m_PeerActiveRequests = 10000; });
       },
       503},
      {"pause asked for",
       [](ExchangeRig &Rig) {
         Rig.m_State.m_Upstreams.forEach(
             [](Upstream &Target) { Target.m_QuietUntil = steadyNow() + 10s; });
       },
       503},
      {"no upstream",
       [](ExchangeRig &Rig) {
         for (const std::string &Id : Rig.m_State.m_Upstreams.ids())
           (void)Rig.m_State.m_Upstreams.remove(Id, steadyNow());
         // A VM that has just started waits for the first ones.
         UpstreamRegistration Other;
         Other.m_Id = "other";
         Other.m_Service = ServiceName("other");
         (void)Rig.m_State.m_Upstreams.put(Other, steadyNow());
       },
       503},
      {"no route",
       [](ExchangeRig &Rig) {
         Rig.m_State.m_Routes = std::make_shared<RouteTable>();
       },
       404},
      {"leaving", [](ExchangeRig &Rig) { Rig.m_State.beginStop(steadyNow()); },
       503}};
  for (const Refusal &Each : Refusals)
    for (std::size_t Sent : {std::size_t(0), std::size_t(1000)}) {
      TwoUpstreams U([](ServerSide &, std::string) -> awaitable<void> {
        BOOST_ERROR("an upstream got a refused upload");
        co_return;
      });
      Each.m_Cause(U.m_Rig);
      PartialCaller Caller(U.m_Rig, uploadHead("a", LargestUpload) +
                                        std::string(Sent, 'x'));
      BOOST_TEST_CONTEXT(Each.m_Name << ", " << Sent << " bytes sent") {
        BOOST_TEST(Caller.waitForStatus(500ms) == Each.m_Status);
        BOOST_TEST(U.m_Arrived.empty());
        // What still arrives is dropped.
        Caller.send(std::string(LargestUpload - Sent, 'x'));
        checkNothingIsHeld(U.m_Rig);
        BOOST_TEST(U.m_Rig.m_State.m_Buffers.peak() < 32U << 10);
      }
    }
}

// Guards against bodies that cross regions while the own one has capacity.
BOOST_AUTO_TEST_CASE(UploadsLeaveTheRegionOnlyWhenItIsFull) {
  for (double LocalShare : {0.0, 0.5, 1.0}) {
    TwoRegions System = withUploads();
    unsigned Elsewhere = 0;
    for (int Key = 0; Key < 40; ++Key) {
      ChoiceInput Input = System.input(Key);
      Input.m_TimeToTarget = 200ms; // No time for a queue.
      Input.m_LocalShare = LocalShare;
      bool HasRoom = false;
      System.m_Table.forEach([&HasRoom](const Upstream &Target) {
        HasRoom =
            HasRoom || (Target.m_Registration.m_Region == Small.m_Region &&
                        Target.m_InFlight < 4);
      });
      Choice Selected =
          chooseByKeyLocalFirst(Input, System.m_Table, Small, System.m_Tuning);
      if (HasRoom)
        BOOST_REQUIRE(Selected.m_Upstream);
      if (!Selected.m_Upstream)
        continue;
      bool IsLocal =
          Selected.m_Upstream->m_Registration.m_Region == Small.m_Region;
      BOOST_TEST(IsLocal >= HasRoom, "request " << Key);
      Elsewhere += IsLocal ? 0 : 1;
      ++Selected.m_Upstream->m_InFlight;
    }
    BOOST_TEST(Elsewhere > 0U);
  }
  // Control: other requests follow the share of keys.
  TwoRegions System;
  BOOST_TEST((System.choose(1, Small, 0).m_Upstream->m_Registration.m_Region ==
              Large.m_Region));
}

BOOST_AUTO_TEST_CASE(UploadsRespectAllowedRegionsAndTriedUpstreams) {
  TwoRegions System = withUploads();
  System.m_Route.m_AllowedRegions = {Large.m_Region};
  ChoiceInput Input = System.input(1);
  Choice Selected =
      chooseByKeyLocalFirst(Input, System.m_Table, Small, System.m_Tuning);
  BOOST_REQUIRE(Selected.m_Upstream);
  BOOST_TEST((Selected.m_Upstream->m_Registration.m_Region == Large.m_Region));
  System.m_Route.m_AllowedRegions.clear();
  std::vector<const Upstream *> Tried{System.m_Table.find("s0").get(),
                                      System.m_Table.find("s1").get()};
  Input.m_Tried = Tried;
  Selected =
      chooseByKeyLocalFirst(Input, System.m_Table, Small, System.m_Tuning);
  BOOST_REQUIRE(Selected.m_Upstream);
  BOOST_TEST((Selected.m_Upstream->m_Registration.m_Region == Large.m_Region));
}

// Guards against uploads, which may run once only, at failing upstreams of the
// own region while others work.
BOOST_AUTO_TEST_CASE(UploadsLeaveARegionWhoseUpstreamsFail) {
  TwoRegions System = withUploads();
  for (const char *Id : {"s0", "s1"})
    System.m_Table.find(Id)->recordEnd(Start, System.m_Tuning.m_HealthTuning);
  ChoiceInput Input = System.input(1);
  Input.m_Now = Start + 1ms;
  Choice Selected =
      chooseByKeyLocalFirst(Input, System.m_Table, Small, System.m_Tuning);
  BOOST_REQUIRE(Selected.m_Upstream);
  BOOST_TEST((Selected.m_Upstream->m_Registration.m_Region == Large.m_Region));
}

BOOST_AUTO_TEST_SUITE_END()
