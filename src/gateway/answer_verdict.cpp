/// \file
/// What an upstream's answer means for the request, decided from its head.
#include "gateway/answer_verdict.h"

namespace mustardspoke::steer {
namespace {

/// \brief Whether \p Status means to callers that their request has not run.
bool meansNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

AnswerVerdict judgeAnswer(unsigned Status, const ResponseMetadata &Metadata,
                          const AnsweredRequest &Request) {
  if (Request.m_IsPeers)
    return AnswerVerdict::PassOn;
  bool IsUpstreamsOwn = Metadata.m_Signed && !Metadata.m_ContentEncoded &&
                        !Metadata.m_RequestId.empty();
  if (isSuccess(Status) && !IsUpstreamsOwn)
    return AnswerVerdict::UnprovedSuccess;
  if (Metadata.m_NotRun)
    return AnswerVerdict::NotRun;
  if (Request.m_IsIdempotent)
    return isServerError(Status) ? AnswerVerdict::TryAgain
                                 : AnswerVerdict::PassOn;
  return meansNotRun(Status) ? AnswerVerdict::UnprovedRefusal
                             : AnswerVerdict::PassOn;
}

} // namespace mustardspoke::steer
