/// \file
/// The connection below kj's HTTP client. That client takes every end of a
/// stream for an orderly one, which lets a part of an answer pass for the
/// whole.
#pragma once

#include <kj/async-io.h>

#include <cstdint>

namespace mustardspoke {

/// \brief A connection to an HTTP server, for one answer after the other.
///
/// Invariant: a read ends with fewer bytes than it asked for only if the server
/// has ended its stream in order; it fails after a reset or a timeout.
class AnswerStream final : public kj::AsyncIoStream {
public:
  /// \param Socket Of TCP.
  explicit AnswerStream(kj::Own<kj::AsyncIoStream> Socket)
      : m_Socket(kj::mv(Socket)) {}

  kj::Promise<std::size_t> tryRead(void *Buffer, std::size_t MinBytes,
                                   std::size_t MaxBytes) override;

  kj::Promise<void> write(const void *Buffer, std::size_t Size) override {
    return m_Socket->write(Buffer, Size);
  }
  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override {
    return m_Socket->write(Pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return m_Socket->whenWriteDisconnected();
  }
  void shutdownWrite() override { m_Socket->shutdownWrite(); }
  void abortRead() override { m_Socket->abortRead(); }
  void setsockopt(int Level, int Option, const void *Value,
                  kj::uint Length) override {
    m_Socket->setsockopt(Level, Option, Value, Length);
  }

private:
  /// \brief Throws unless the server has ended its stream in order.
  void checkEnd();

  kj::Own<kj::AsyncIoStream> m_Socket;
  std::uint64_t m_BytesRead = 0; ///< Since the connection was opened.
};

} // namespace mustardspoke
