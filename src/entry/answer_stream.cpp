/// \file
/// The check of the end of a stream.
#include "entry/answer_stream.h"

#include <kj/debug.h>

#include <linux/tcp.h>
#include <netinet/in.h>

namespace mustardspoke {
namespace {

/// TCP_CLOSE of <netinet/tcp.h>, whose tcp_info lacks the number of bytes.
constexpr unsigned StateClosed = 7;

} // namespace

kj::Promise<std::size_t> AnswerStream::tryRead(void *Buffer,
                                               std::size_t MinBytes,
                                               std::size_t MaxBytes) {
  return m_Socket->tryRead(Buffer, MinBytes, MaxBytes)
      .then([this, MinBytes](std::size_t Count) {
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
