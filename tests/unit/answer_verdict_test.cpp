/// \file
/// What answers mean, decided from their heads.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/answer_verdict.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

/// \brief An answer that the upstream has signed.
ResponseMetadata signedAnswer() {
  ResponseMetadata Result;
  Result.m_RequestId = "a";
  Result.m_Signed = true;
  return Result;
}

/// \brief An answer with the upstream's statement "not run".
ResponseMetadata refusal() {
  ResponseMetadata Result;
  Result.m_NotRun = true;
  return Result;
}

ResponseMetadata encodedAnswer() {
  ResponseMetadata Result = signedAnswer();
  Result.m_ContentEncoded = true;
  return Result;
}

constexpr AnsweredRequest Repeatable{true, false};
constexpr AnsweredRequest Once{false, false};
constexpr AnsweredRequest Peers{false, true};
using enum AnswerVerdict;

struct Row {
  unsigned m_Status;
  ResponseMetadata m_Metadata;
  AnswerVerdict m_Repeatable;
  AnswerVerdict m_Once;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerVerdicts)

BOOST_AUTO_TEST_CASE(TableOfHeads) {
  const Row Rows[] = {{200, signedAnswer(), PassOn, PassOn},
                      {204, signedAnswer(), PassOn, PassOn},
                      {200, {}, UnprovedSuccess, UnprovedSuccess},
                      {200, encodedAnswer(), UnprovedSuccess, UnprovedSuccess},
                      {200, refusal(), UnprovedSuccess, UnprovedSuccess},
                      {304, {}, PassOn, PassOn},
                      {404, {}, PassOn, PassOn},
                      {400, refusal(), NotRun, NotRun},
                      {408, signedAnswer(), PassOn, UnprovedRefusal},
                      {421, signedAnswer(), PassOn, UnprovedRefusal},
                      {429, signedAnswer(), PassOn, UnprovedRefusal},
                      {500, signedAnswer(), TryAgain, PassOn},
                      {503, signedAnswer(), TryAgain, UnprovedRefusal},
                      {503, {}, TryAgain, UnprovedRefusal},
                      {504, {}, TryAgain, PassOn},
                      {408, refusal(), NotRun, NotRun},
                      {421, refusal(), NotRun, NotRun},
                      {429, refusal(), NotRun, NotRun},
                      {500, refusal(), NotRun, NotRun},
                      {503, refusal(), NotRun, NotRun}};
  for (const Row &Each : Rows) {
    BOOST_TEST_CONTEXT(Each.m_Status
                       << (Each.m_Metadata.m_NotRun ? ", refusal" : "")) {
      BOOST_TEST((judgeAnswer(Each.m_Status, Each.m_Metadata, Repeatable) ==
                  Each.m_Repeatable));
      BOOST_TEST(
          (judgeAnswer(Each.m_Status, Each.m_Metadata, Once) == Each.m_Once));
    }
  }
}

// The VM that asked for the attempt decides; the one that carries it has no
// configuration of the request.
BOOST_AUTO_TEST_CASE(PeersGetEveryAnswer) {
  for (unsigned Status = 200; Status < 600; ++Status)
    for (const ResponseMetadata &Each :
         {signedAnswer(), refusal(), ResponseMetadata()})
      BOOST_TEST((judgeAnswer(Status, Each, Peers) == PassOn));
}

// A caller that may send its request again elsewhere is told so by these alone.
BOOST_AUTO_TEST_CASE(OnlyTheUpstreamsStatementPromisesThatNothingRan) {
  for (unsigned Status : {408U, 421U, 429U, 503U})
    for (const ResponseMetadata &Each :
         {signedAnswer(), encodedAnswer(), ResponseMetadata()})
      BOOST_TEST((judgeAnswer(Status, Each, Once) == UnprovedRefusal));
}

BOOST_AUTO_TEST_SUITE_END()
