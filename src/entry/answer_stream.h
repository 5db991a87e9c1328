/// \file
/// The connection below kj's HTTP client. That client takes every end of a
/// stream for an orderly one, and accepts lines of a head that aren't fields of
/// HTTP; both let a part of an answer, or other bytes, pass for the whole.
#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <span>

namespace mustardspoke {

/// \brief Checks the lines of an answer's head as its bytes arrive.
///
/// \details The name of each field must be a token that the colon follows at
/// once. No line may hold a control character other than a tab.
class HeadCheck {
public:
  /// \brief Checks more bytes; those after the head are ignored.
  /// \returns False if a line is malformed, from then on.
  [[nodiscard]] bool feed(std::span<const char> Bytes);

private:
  enum class State : std::uint8_t {
    StatusLine,
    LineStart,
    Name,
    Value,
    Done,
    Malformed
  };

  [[nodiscard]] State next(char Character);
  [[nodiscard]] State nextAtLineStart(char Character);

  State m_State = State::StatusLine;
  bool m_HasField = false; ///< A line may continue it.
  bool m_AfterCr = false;  ///< Only the end of the line may follow.
};

/// \brief A connection to an HTTP server, for one answer after the other.
///
/// Invariant: a read ends with fewer bytes than it asked for only if the server
/// has ended its stream in order; it fails after a reset or a timeout, and once
/// a line of a head is malformed.
class AnswerStream final : public kj::AsyncIoStream {
public:
  /// \param Socket Of TCP.
  explicit AnswerStream(kj::Own<kj::AsyncIoStream> Socket)
      : m_Socket(kj::mv(Socket)) {}

  /// \brief Expects the head of the next answer.
  void beginAnswer() { m_Head = HeadCheck(); }

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
  HeadCheck m_Head;              ///< Of the current answer.
};

} // namespace mustardspoke
