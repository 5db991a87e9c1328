/// \file
/// Positions and memory of a body that is sent on while it arrives.
#include "gateway/request_body.h"

#include "core/ids.h"

#include <cassert>
#include <utility>

namespace mustardspoke::steer {

void RequestBody::append(std::string_view Bytes) {
  m_Bytes += Bytes;
  if (!m_Digest && received() >= DigestedBytes)
    m_Digest = std::uint32_t(
        stableHash(std::string_view(m_Bytes).substr(0, DigestedBytes)));
}

void RequestBody::complete() {
  m_Complete = true;
  if (!m_Digest)
    m_Digest = m_Bytes.empty() ? 0 : std::uint32_t(stableHash(m_Bytes));
}

bool RequestBody::isFull() const noexcept {
  // What is kept for a retry only doesn't hold up the receiver while buffers
  // are scarce, as the sender drops it with the next bytes.
  return kept() >= MaxRetained || (m_Buffers.room() != BufferRoom::Ample &&
                                   received() - m_Sent >= DigestedBytes);
}

bool RequestBody::advance(std::size_t Bytes) {
  m_Sent += Bytes;
  assert(m_Sent <= received());
  if (m_Sent >= MaxRetained) {
    dropSent();
    return false;
  }
  if (m_Buffers.room() == BufferRoom::Ample || m_Sent <= DigestedBytes)
    return false;
  bool IsFirst = m_Dropped == 0;
  dropSent();
  return IsFirst;
}

void RequestBody::dropSent() {
  m_Begin += std::size_t(m_Sent - m_Dropped);
  m_Dropped = m_Sent;
  // Moving less than half of the bytes each time bounds the total.
  if (m_Begin < m_Bytes.size() / 2)
    return;
  m_Bytes.erase(0, std::exchange(m_Begin, 0));
  if (m_Bytes.capacity() > 4 * DigestedBytes &&
      m_Bytes.capacity() / 4 > m_Bytes.size())
    m_Bytes.shrink_to_fit();
}

BodyReader::BodyReader(RequestBody &Body) : m_Body(Body) {
  assert(Body.isWhole() && !Body.m_HasReader);
  Body.m_HasReader = true;
  Body.m_Sent = 0;
}

std::string_view BodyReader::next(std::size_t MaxBytes) const noexcept {
  return std::string_view(m_Body.m_Bytes)
      .substr(m_Body.m_Begin + std::size_t(m_Body.m_Sent - m_Body.m_Dropped),
              MaxBytes);
}

} // namespace mustardspoke::steer
