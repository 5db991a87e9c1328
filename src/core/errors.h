/// \file
/// Error kinds and the table that maps each kind to its answer.
#pragma once

#include "core/time.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <system_error>

namespace mustardspoke {

/// \brief Every reason for which a request can fail, as reported to its sender.
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
  CrashesUpstreams,
  UnknownKey,
  OverQuota,
  CallerGone,
  InternalError,
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
/// \details `NotRun` guarantees that the request was not run and won't be.
enum class Outcome : std::uint8_t { Done, NotRun, Unknown };

/// \brief How one error kind is reported to the caller.
struct ErrorInfo {
  ErrorKind m_Kind;
  std::string_view m_Name; ///< Stable identifier on the wire.
  unsigned m_HttpStatus;
  Outcome m_Outcome;     ///< For a call without a sent attempt.
  Duration m_RetryAfter; ///< Delay before a retry; zero: don't retry.
  std::string_view m_Text;
};

/// \brief All rows, indexed by ErrorKind.
[[nodiscard]] std::span<const ErrorInfo> errorTable() noexcept;

/// \brief The row for \p Kind.
[[nodiscard]] const ErrorInfo &errorInfo(ErrorKind Kind) noexcept;

/// \brief "done", "not-run" or "unknown".
[[nodiscard]] std::string_view outcomeName(Outcome Value) noexcept;

/// \brief std::error_category whose values are ErrorKind.
[[nodiscard]] const std::error_category &errorCategory() noexcept;

[[nodiscard]] std::error_code make_error_code(ErrorKind Kind) noexcept;

} // namespace mustardspoke

template <>
struct std::is_error_code_enum<mustardspoke::ErrorKind> : std::true_type {};
