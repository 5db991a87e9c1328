/// \file
/// Checks of heads and of the end of a stream.
#include "entry/answer_stream.h"

#include <kj/debug.h>

#include <string_view>
#include <utility>

#include <linux/tcp.h>
#include <netinet/in.h>

namespace mustardspoke {
namespace {

/// TCP_CLOSE of <netinet/tcp.h>, whose tcp_info lacks the number of bytes.
constexpr unsigned StateClosed = 7;

bool isTokenCharacter(char Character) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return (Character >= '0' && Character <= '9') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= 'a' && Character <= 'z') ||
         Marks.find(Character) != std::string_view::npos;
}

bool isControlCharacter(char Character) {
  auto Byte = static_cast<unsigned char>(Character);
  return (Byte < 0x20 && Character != '\t') || Byte == 0x7f;
}

} // namespace

bool HeadCheck::feed(std::span<const char> Bytes) {
  for (char Character : Bytes) {
    if (m_State == State::Done || m_State == State::Malformed)
      break;
    m_State = next(Character);
  }
  return m_State != State::Malformed;
}

HeadCheck::State HeadCheck::next(char Character) {
  // A CR may stand only before the LF that ends the line.
  bool EndsLine = Character == '\n';
  if (std::exchange(m_AfterCr, Character == '\r') && !EndsLine)
    return State::Malformed;
  if (m_AfterCr)
    return m_State == State::Name ? State::Malformed : m_State;
  if (m_State == State::LineStart)
    return nextAtLineStart(Character);
  if (m_State == State::Name && Character == ':')
    return State::Value;
  if (m_State == State::Name)
    return isTokenCharacter(Character) ? State::Name : State::Malformed;
  if (EndsLine)
    return State::LineStart;
  return isControlCharacter(Character) ? State::Malformed : m_State;
}

HeadCheck::State HeadCheck::nextAtLineStart(char Character) {
  if (Character == '\n')
    return State::Done;
  bool ContinuesField = Character == ' ' || Character == '\t';
  if (ContinuesField)
    return m_HasField ? State::Value : State::Malformed;
  m_HasField = true;
  return isTokenCharacter(Character) ? State::Name : State::Malformed;
}

kj::Promise<std::size_t> AnswerStream::tryRead(void *Buffer,
                                               std::size_t MinBytes,
                                               std::size_t MaxBytes) {
  return m_Socket->tryRead(Buffer, MinBytes, MaxBytes)
      .then([this, Buffer, MinBytes](std::size_t Count) {
        bool IsHttp = m_Head.feed({static_cast<const char *>(Buffer), Count});
        // NOLINTNEXTLINE(bugprone-suspicious-semicolon)
        KJ_REQUIRE(IsHttp, "answer with a malformed head");
        m_BytesRead += Count;
        if (Count < MinBytes)
          checkEnd();
        return Count;
      });
}

void AnswerStream::checkEnd() {
  // The system reports a reset or a timeout to one call only. If that was a
  // write, a read finds the end of the stream; the state of the connection is
  // what is left.
  tcp_info Info{};
  kj::uint Length = sizeof Info;
  m_Socket->getsockopt(IPPROTO_TCP, TCP_INFO, &Info, &Length);
  // A server that closes without reading all of a request ends its stream in
  // order, and resets the connection later. The end counts as a byte.
  bool EndedBefore = Info.tcpi_bytes_received > m_BytesRead;
  if (Info.tcpi_state == StateClosed && !EndedBefore)
    kj::throwRecoverableException(KJ_EXCEPTION(
        DISCONNECTED, "the connection broke off before the answer's end"));
}

} // namespace mustardspoke
