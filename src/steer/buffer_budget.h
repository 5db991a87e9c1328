/// \file
/// Memory of one process for bytes that it holds for callers and upstreams.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace mustardspoke::steer {

/// \brief How much more a process may buffer.
enum class BufferRoom : std::uint8_t {
  Ample,  ///< Bytes may be kept for later use.
  Scarce, ///< Only what a request needs to go on is buffered.
  None,   ///< Requests that have not been sent yet are refused.
};

/// \brief Adds up the bytes of all buffers of a process.
///
/// \details Nothing that runs is dropped: a buffer may grow beyond the limit
/// while a request needs it. At the limit the users of buffers keep less, and
/// half as much above it no new request is taken.
class BufferBudget {
public:
  /// \brief What was done for lack of room, since the start.
  struct Counters {
    std::uint64_t m_Streamed = 0;   ///< Answers that would have been kept.
    std::uint64_t m_Unretained = 0; ///< Bodies not kept for a retry.
    std::uint64_t m_Refused = 0;    ///< Requests.
  };

  /// \param Limit In bytes.
  explicit BufferBudget(std::size_t Limit) : m_Limit(Limit) {}
  BufferBudget(const BufferBudget &) = delete;
  BufferBudget &operator=(const BufferBudget &) = delete;

  [[nodiscard]] BufferRoom room() const noexcept {
    if (m_Used < m_Limit)
      return BufferRoom::Ample;
    return m_Used < m_Limit + m_Limit / 2 ? BufferRoom::Scarce
                                          : BufferRoom::None;
  }
  [[nodiscard]] std::size_t used() const noexcept { return m_Used; }
  [[nodiscard]] std::size_t limit() const noexcept { return m_Limit; }
  /// \brief The largest value of used() since the start.
  [[nodiscard]] std::size_t peak() const noexcept { return m_Peak; }

  Counters m_Counters;

private:
  friend class BufferCharge;

  std::size_t m_Limit;
  std::size_t m_Used = 0; ///< Sum of all charges.
  std::size_t m_Peak = 0;
};

/// \brief The bytes of one buffer or message, counted by a budget until it is
/// destroyed.
class BufferCharge {
public:
  /// \param Budget Outlives the charge.
  explicit BufferCharge(BufferBudget &Budget) : m_Budget(&Budget) {}
  BufferCharge(BufferCharge &&Other) noexcept
      : m_Budget(Other.m_Budget), m_Bytes(std::exchange(Other.m_Bytes, 0)) {}
  BufferCharge &operator=(BufferCharge &&) = delete;
  ~BufferCharge() { set(0); }

  /// \brief Replaces the number of bytes.
  void set(std::size_t Bytes) noexcept {
    m_Budget->m_Used += Bytes - m_Bytes;
    m_Budget->m_Peak = std::max(m_Budget->m_Peak, m_Budget->m_Used);
    m_Bytes = Bytes;
  }
  [[nodiscard]] std::size_t bytes() const noexcept { return m_Bytes; }

private:
  BufferBudget *m_Budget;
  std::size_t m_Bytes = 0;
};

} // namespace mustardspoke::steer
