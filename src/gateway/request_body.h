/// \file
/// The body of a request, which is sent on while it arrives.
#pragma once

#include "steer/buffer_budget.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardspoke::steer {

/// \brief Received bytes of a body, and the position up to which they have been
/// sent.
///
/// \details The connection to the caller appends; bytes are taken through a
/// BodyReader. Positions count from the begin of the body.
///
/// Invariants: dropped <= sent <= received. The bytes from "dropped" on are
/// kept. "sent" is the position of the reader, or of the last one.
class RequestBody {
public:
  /// Sent bytes that are kept for a retry, unless buffers are scarce.
  static constexpr std::uint64_t MaxRetained = 256 << 10;
  /// Bodies that begin with the same bytes have the same digest. Never dropped
  /// before the digest is known.
  static constexpr std::uint64_t DigestedBytes = 16 << 10;

  explicit RequestBody(const BufferBudget &Buffers) : m_Buffers(Buffers) {}
  RequestBody(const RequestBody &) = delete;
  RequestBody &operator=(const RequestBody &) = delete;

  // The receiver.
  void append(std::string_view Bytes);
  /// \brief Notes that all of it has arrived.
  void complete();
  /// \brief Whether the receiver is to wait until more has been sent.
  [[nodiscard]] bool isFull() const noexcept;

  [[nodiscard]] bool isComplete() const noexcept { return m_Complete; }
  [[nodiscard]] std::uint64_t received() const noexcept {
    return m_Dropped + kept();
  }
  /// \brief Hash of the first bytes; none until enough of them have arrived.
  [[nodiscard]] std::optional<std::uint32_t> digest() const noexcept {
    return m_Digest;
  }
  /// \brief Memory in use, in bytes.
  [[nodiscard]] std::size_t footprint() const noexcept {
    return m_Bytes.capacity();
  }

  /// \brief Whether it can be sent again: nothing has been dropped.
  [[nodiscard]] bool isWhole() const noexcept { return m_Dropped == 0; }

private:
  friend class BodyReader;

  [[nodiscard]] std::uint64_t kept() const noexcept {
    return m_Bytes.size() - m_Begin;
  }
  bool advance(std::size_t Bytes);
  void dropSent();

  const BufferBudget &m_Buffers;
  std::string m_Bytes; ///< The kept ones begin at m_Begin.
  std::size_t m_Begin = 0;
  std::uint64_t m_Dropped = 0;
  std::uint64_t m_Sent = 0;
  bool m_HasReader = false;
  bool m_Complete = false;
  std::optional<std::uint32_t> m_Digest;
};

/// \brief Takes the bytes of a body for one attempt, from the begin.
///
/// Invariant: a body has one reader at a time, so that no attempt can go on
/// where another one has stopped.
class BodyReader {
public:
  /// \param Body Outlives the reader.
  /// \pre \p Body is whole and has no reader.
  explicit BodyReader(RequestBody &Body);
  ~BodyReader() { m_Body.m_HasReader = false; }
  BodyReader(const BodyReader &) = delete;
  BodyReader &operator=(const BodyReader &) = delete;

  /// \brief The next bytes to send, at most \p MaxBytes; empty if they haven't
  /// arrived. Valid until the next change of the body.
  [[nodiscard]] std::string_view next(std::size_t MaxBytes) const noexcept;
  /// \brief Moves the position after \p Bytes that the system has taken.
  /// \returns Whether bytes were dropped that would have been kept, but that
  /// buffers are scarce.
  bool advance(std::size_t Bytes) { return m_Body.advance(Bytes); }
  /// \brief Whether all of the body has arrived and has been taken.
  [[nodiscard]] bool atEnd() const noexcept {
    return m_Body.m_Complete && m_Body.m_Sent == m_Body.received();
  }

private:
  RequestBody &m_Body;
};

} // namespace mustardspoke::steer
