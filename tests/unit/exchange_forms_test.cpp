/// \file
/// Seeded exchanges through real sockets on loopback: when the parts of a
/// request and of its answers arrive, and how each attempt ends, is drawn.
///
/// Repeat one with FORMS_FIRST=SEED FORMS=1 in the environment; FORMS is the
/// number of seeds.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/cut_gateway.h"
#include "support/exchange_messages.h"
#include "support/log_capture.h"

#include <pcg_random.hpp>

#include <cstdlib>
#include <map>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

using Random = pcg32;

constexpr std::uint64_t DefaultSeeds = 300;
constexpr std::size_t RequestSizes[] = {1,     100,   12000,  16384,
                                        16385, 60000, 200000, 300000};
constexpr std::size_t AnswerSizes[] = {0, 10, 2000, 20000, 600000};
constexpr const char *Paths[] = {"/safe/x", "/unsafe/x", "/download/x",
                                 "/upload/x"};
/// Bodies up to this size can be sent again, answers kept until their end.
constexpr std::size_t MaxKept = 256 << 10;      // bytes
constexpr std::size_t MaxKeptScarce = 16 << 10; // bytes
constexpr const char *Signature = "X-Response-Signature: s\r\n";
constexpr const char *Deadline = "X-Deadline-Ms: 2500\r\n";

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

template <class Type, std::size_t Count>
const Type &pick(Random &Source, const Type (&Items)[Count]) {
  return Items[Source(Count)];
}

/// \brief What an upstream does with a request.
struct Attempt {
  enum class End : std::uint8_t {
    Served,
    Refused, ///< Stated as not run.
    Failed,  ///< A status of its own, after the request has run.
    CutOff,  ///< An answer that breaks off.
    Reset,   ///< No answer.
    Closed,
  };

  [[nodiscard]] bool hasAnswer() const {
    return m_End != End::Reset && m_End != End::Closed;
  }

  End m_End = End::Served;
  bool m_IsEarly = false; ///< Answers before the body, and reads it on.
  Duration m_Delay{};     ///< Of the answer.
  UpstreamAnswer m_Answer;
};

Attempt drawAttempt(Random &Source) {
  using End = Attempt::End;
  constexpr End Ends[] = {End::Served, End::Refused, End::Refused, End::Failed,
                          End::Failed, End::CutOff,  End::Reset,   End::Closed};
  constexpr unsigned Failures[] = {408, 429, 500, 503};
  Attempt Result;
  UpstreamAnswer &Answer = Result.m_Answer;
  Result.m_End = pick(Source, Ends);
  Answer.m_Fields = Signature;
  if (Result.m_End == End::Refused) {
    Answer.m_Status = 503;
    Answer.m_Fields += "X-Not-Executed: 1\r\n";
  } else if (Result.m_End == End::Failed) {
    Answer.m_Status = pick(Source, Failures);
  }
  Result.m_IsEarly = Result.m_End != End::Served && Source(2) == 0;
  Result.m_Delay = std::chrono::milliseconds(Source(25));
  Answer.m_Bytes = pick(Source, AnswerSizes);
  Answer.m_BreaksOff = Result.m_End == End::CutOff;
  if (Answer.m_BreaksOff)
    Answer.m_Bytes += 10;
  if (Source(2) == 0)
    Answer.m_Framing = BodyFraming::Chunks;
  Answer.m_Pause = std::chrono::milliseconds(Source(6));
  return Result;
}

/// \brief One seed's request, its attempts and how they are carried.
struct Form {
  std::string m_Path;
  bool m_IsOnce = false;
  bool m_ByPeer = false;
  bool m_IsScarce = false;
  ArrivingBody m_Body;
  std::vector<Attempt> m_Attempts; ///< Further ones are served.

  [[nodiscard]] Attempt attempt(std::size_t Index) const;
  /// \brief Whether the caller must be served by the second attempt.
  [[nodiscard]] bool secondServes() const;
};

Form drawForm(std::uint64_t Seed) {
  Random Source(Seed);
  Form Result;
  Result.m_Path = pick(Source, Paths);
  Result.m_IsOnce =
      Result.m_Path == "/unsafe/x" || Result.m_Path == "/upload/x";
  Result.m_ByPeer = Source(3) == 0;
  Result.m_IsScarce = Source(4) == 0;
  Result.m_Body.m_Bytes = pick(Source, RequestSizes);
  Result.m_Body.m_IsChunked = Source(3) == 0;
  Result.m_Body.m_Delays.resize(1 + Source(4));
  for (Duration &Each : Result.m_Body.m_Delays)
    Each = std::chrono::milliseconds(Source(15));
  Result.m_Attempts.push_back(drawAttempt(Source));
  if (Source(2) == 0)
    Result.m_Attempts.push_back(drawAttempt(Source));
  return Result;
}

Attempt Form::attempt(std::size_t Index) const {
  if (Index < m_Attempts.size())
    return m_Attempts[Index];
  Attempt Served;
  Served.m_Answer.m_Fields = Signature;
  return Served;
}

bool Form::secondServes() const {
  using End = Attempt::End;
  const Attempt &First = m_Attempts.front();
  std::size_t Limit = m_IsScarce ? MaxKeptScarce : MaxKept;
  bool MayRepeat =
      First.m_End == End::Refused ||
      (!m_IsOnce && First.m_End != End::Served &&
       !(First.m_End == End::Failed && First.m_Answer.m_Status < 500));
  // The caller may have a part of a long one already.
  bool IsCutShort =
      First.m_End != End::CutOff || First.m_Answer.m_Bytes <= Limit;
  return MayRepeat && IsCutShort && m_Body.m_Bytes <= Limit &&
         attempt(1).m_End == End::Served;
}

/// \brief Plays a form and checks what upstreams and callers get.
class Play {
public:
  explicit Play(const Form &Drawn) : m_Form(Drawn) {
    for (const char *Id : {"u1", "u2"})
      m_Gateway.upstream(Id, [this](ServerSide &Side) { return serve(Side); });
    if (Drawn.m_ByPeer)
      m_Gateway.cut();
    if (Drawn.m_IsScarce)
      m_Others.set(m_Rig.m_State.m_Buffers.limit());
  }

  void run() {
    check("a");
    // The connections of these attempts are used again.
    check("b");
    check("c");
    BOOST_TEST(m_OtherBodies == 0U);
  }

private:
  void check(const std::string &Id) {
    LogCapture Log;
    std::vector<HttpResponse> Got;
    m_Rig.caller(postRequest(m_Form.m_Path, Id, m_Form.m_Body, Deadline), 1,
                 Got);
    m_Rig.run();
    BOOST_TEST_CONTEXT("request " << Id) {
      if (m_Form.m_IsOnce)
        BOOST_TEST(m_Runs[Id] <= 1U);
      if (Got.empty())
        BOOST_TEST(!(Id == "a" && m_Form.secondServes()));
      else
        checkAnswer(Id, Got.front(), Log);
    }
  }
  void checkAnswer(const std::string &Id, const HttpResponse &Got,
                   const LogCapture &Log) {
    unsigned Status = Got.m_Head.m_Status;
    bool PromisesNotRun = Status == 408 || Status == 429 || Status == 503;
    if (m_Form.m_IsOnce && PromisesNotRun)
      BOOST_TEST(m_Runs[Id] == 0U, "status " << Status);
    if (isSuccess(Status))
      BOOST_TEST((Got.m_Body == m_Whole[Id]));
    if (Id == "a" && m_Form.secondServes())
      BOOST_TEST(Status == 200U);
    std::string Expected = "\"status\":\"" + std::to_string(Status) +
                           "\",\"outcome\":\"" +
                           (isSuccess(Status) ? "done" : "");
    BOOST_TEST(Log.contains(Expected), Expected);
  }

  awaitable<void> serve(ServerSide &Side) {
    for (;;) {
      std::string Id = co_await Side.readHead();
      if (Id.empty())
        co_return;
      const Attempt Now = m_Form.attempt(m_Arrived++);
      if (Now.m_End != Attempt::End::Refused)
        ++m_Runs[Id];
      if (Now.m_IsEarly)
        co_await answer(Side, Id, Now);
      while (co_await Side.readMore()) {
      }
      std::string Body = markedBytes(Id, m_Form.m_Body.m_Bytes);
      if (!Body.starts_with(Side.body()))
        ++m_OtherBodies;
      if (!Side.requestIsComplete())
        co_return;
      if (Side.body().size() != Body.size())
        ++m_OtherBodies;
      if (!Now.m_IsEarly)
        co_await answer(Side, Id, Now);
    }
  }
  awaitable<void> answer(ServerSide &Side, std::string Id, Attempt Now) {
    co_await Side.sleep(Now.m_Delay);
    if (Now.m_End == Attempt::End::Reset)
      Side.reset();
    if (Now.m_End == Attempt::End::Closed)
      Side.close();
    if (Now.m_End == Attempt::End::Served)
      m_Whole[Id] = markedBytes(Id, Now.m_Answer.m_Bytes);
    if (Now.hasAnswer())
      co_await Now.m_Answer.send(Side, Id);
  }

  const Form &m_Form;
  CutGateway m_Gateway; ///< Not cut unless a peer is to carry the attempts.
  ExchangeRig &m_Rig = m_Gateway.m_Rig;
  BufferCharge m_Others{m_Rig.m_State.m_Buffers};
  std::size_t m_Arrived = 0;
  std::map<std::string, unsigned> m_Runs;     ///< By request.
  std::map<std::string, std::string> m_Whole; ///< Answers that are served.
  unsigned m_OtherBodies = 0;                 ///< Bodies with other bytes.
};

} // namespace

BOOST_AUTO_TEST_SUITE(ExchangeForms)

// Guards against second attempts without their bodies, against promises "not
// run" of what has run, and against parts that pass for whole messages, in
// forms that no other test names.
BOOST_AUTO_TEST_CASE(EveryFormIsAnsweredTruthfully) {
  std::uint64_t First = fromEnvironment("FORMS_FIRST", 1);
  std::uint64_t Count = fromEnvironment("FORMS", DefaultSeeds);
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) {
      Form Drawn = drawForm(Seed);
      Play(Drawn).run();
    }
}

BOOST_AUTO_TEST_SUITE_END()
