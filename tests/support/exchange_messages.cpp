/// \file
/// Requests that arrive in parts, and answers of any length and framing.
#include "support/exchange_messages.h"

namespace mustardspoke::test {

using namespace steer;

namespace {

constexpr std::size_t EndlessPiece = 16 << 10; // bytes

/// \brief \p Part as a chunk, unless it is empty, which would end the body.
std::string inChunk(const std::string &Part) {
  return Part.empty() ? Part
                      : chunkHeader(Part.size()).append(Part).append(ChunkEnd);
}

} // namespace

std::string markedBytes(const std::string &Message, std::size_t Size) {
  std::string Result;
  while (Result.size() < Size)
    Result += Message + "@" + std::to_string(Result.size()) + " ";
  Result.resize(Size);
  return Result;
}

std::vector<TimedBytes> postRequest(const std::string &Path,
                                    const std::string &Id,
                                    const ArrivingBody &Body,
                                    const std::string &ExtraFields) {
  std::string Head =
      "POST " + Path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id + "\r\n" +
      ExtraFields +
      (Body.m_IsChunked ? "Transfer-Encoding: chunked"
                        : "Content-Length: " + std::to_string(Body.m_Bytes)) +
      "\r\n\r\n";
  std::vector<TimedBytes> Result{{Duration::zero(), Head}};
  std::string Bytes = markedBytes(Id, Body.m_Bytes);
  std::size_t Parts = Body.m_Delays.size();
  if (Parts == 0)
    Result.front().m_Bytes += Body.m_IsChunked ? inChunk(Bytes) : Bytes;
  for (std::size_t I = 0; I < Parts; ++I) {
    std::size_t Begin = Bytes.size() * I / Parts;
    std::size_t End = Bytes.size() * (I + 1) / Parts;
    std::string Part = Bytes.substr(Begin, End - Begin);
    Result.push_back(
        {Body.m_Delays[I], Body.m_IsChunked ? inChunk(Part) : Part});
  }
  if (Body.m_IsChunked)
    Result.back().m_Bytes += LastChunk;
  return Result;
}

std::string UpstreamAnswer::head(const std::string &Id) const {
  std::string Result = "HTTP/1.1 " + std::to_string(m_Status) +
                       " S\r\nX-Request-Id: " + Id + "\r\n" + m_Fields;
  if (m_Framing == BodyFraming::Length)
    Result += "Content-Length: " + std::to_string(m_Bytes) + "\r\n";
  if (m_Framing == BodyFraming::Chunks)
    Result += "Transfer-Encoding: chunked\r\n";
  return Result + "\r\n";
}

awaitable<void> UpstreamAnswer::send(ServerSide &Side, std::string Id) const {
  if (m_Framing == BodyFraming::Endless) {
    co_await Side.sendRaw(head(Id));
    const std::string Piece(EndlessPiece, 'e');
    while (!Side.peerClosed()) {
      co_await Side.sendRaw(Piece);
      co_await Side.sleep(1ms);
    }
    co_return;
  }
  const std::string Body = markedBytes(Id, m_Bytes);
  std::string First = Body.substr(0, m_Bytes / 2);
  std::string Second = Body.substr(m_Bytes / 2);
  if (m_BreaksOff && !Second.empty())
    Second.pop_back();
  if (m_Framing == BodyFraming::Chunks) {
    First = inChunk(First);
    Second = inChunk(Second);
    if (!m_BreaksOff)
      Second += LastChunk;
  }
  co_await Side.sendRaw(head(Id).append(First));
  co_await Side.sleep(m_Pause);
  co_await Side.sendRaw(Second);
  if (m_BreaksOff || m_Framing == BodyFraming::Close)
    Side.close();
}

} // namespace mustardspoke::test
