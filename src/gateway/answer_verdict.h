/// \file
/// What an upstream's answer means for the request, decided from its head.
#pragma once

#include "gateway/wire_format.h"

namespace mustardspoke::steer {

[[nodiscard]] constexpr bool isSuccess(unsigned Status) noexcept {
  return Status >= 200 && Status < 300;
}
[[nodiscard]] constexpr bool isServerError(unsigned Status) noexcept {
  return Status >= 500;
}

/// \brief What is done with an answer. It is decided before any byte of the
/// answer goes on, so that it doesn't depend on the length of its body.
enum class AnswerVerdict : std::uint8_t {
  PassOn,   ///< The caller, or the peer that asked, gets it.
  TryAgain, ///< A failure that the caller gets if no other upstream does
            ///< better.
  NotRun,   ///< The upstream states that it did not run the request.
  /// A success without the marks of an upstream's own answer: it counts as
  /// lost.
  UnprovedSuccess,
  /// A status that means "not run" to callers, but without the upstream's
  /// statement of it. The request may have run, and must not be repeated: the
  /// caller gets another status.
  UnprovedRefusal,
};

/// \brief The request that was answered, as far as the verdict depends on it.
struct AnsweredRequest {
  bool m_IsIdempotent = false;
  /// A peer asked for the attempt, and decides itself.
  bool m_IsPeers = false;
};

/// \param Status Final status of the answer.
/// \pre The answer belongs to the request.
[[nodiscard]] AnswerVerdict judgeAnswer(unsigned Status,
                                        const ResponseMetadata &Metadata,
                                        const AnsweredRequest &Request);

} // namespace mustardspoke::steer
