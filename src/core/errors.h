/// \file
/// The closed list of error kinds and the table from kind to answer.
#pragma once

#include "core/time.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <system_error>

namespace mustardspoke {

/// \brief Everything that can go wrong with a request, as told to its sender.
enum class ErrorKind : std::uint8_t {
  None,
  BadRequest,
  UnknownService,
  BodyTooLarge,
  TicketRequired,
  TicketInvalid,
  TicketClosed,
  TicketInProgress,
  TicketForgotten,
  OwnerUnreachable,
  NoBundle,
  BundleUnconfirmed,
  NoCapacity,
  QueueFull,
  Leaving,
  DeadlineBeforeSend,
  DeadlineAfterSend,
  UpstreamUnreachable,
  UpstreamShed,
  UpstreamLost,
  CallerGone,
  Unauthorized,
  BundleRefused,
  BundleConflict,
  BundleNoMajority,
  StoreUnavailable,
  StoreOutcomeUnknown,
  Count
};

/// \brief What a caller may conclude about its request.
///
/// \details `NotRun` means that the request was not run and never will be.
enum class Outcome : std::uint8_t { Done, NotRun, Unknown };

/// \brief How one error kind is answered.
struct AnswerRule {
  ErrorKind m_Kind;
  std::string_view m_Name; ///< Stable, machine-readable.
  unsigned m_HttpStatus;
  Outcome m_Outcome;   ///< For a call of which no attempt was sent.
  Duration m_ComeBack; ///< Advice to the caller; zero means "don't repeat".
  std::string_view m_Text;
};

/// \brief The whole table, in the order of ErrorKind.
[[nodiscard]] std::span<const AnswerRule> answerRules() noexcept;

/// \brief The row of \p Kind.
[[nodiscard]] const AnswerRule &answerRule(ErrorKind Kind) noexcept;

/// \brief "done", "not-run" or "unknown".
[[nodiscard]] std::string_view outcomeName(Outcome Value) noexcept;

/// \brief Category whose values are ErrorKind.
[[nodiscard]] const std::error_category &errorCategory() noexcept;

[[nodiscard]] std::error_code make_error_code(ErrorKind Kind) noexcept;

} // namespace mustardspoke

template <>
struct std::is_error_code_enum<mustardspoke::ErrorKind> : std::true_type {};
