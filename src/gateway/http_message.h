/// \file
/// Incremental parsing and writing of HTTP/1.1 messages, independent of any
/// connection.
///
/// \details The parser is Boost.Beast's. This header hides it, as its templates
/// are slow to compile.
#pragma once

#include <boost/system/error_code.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardspoke::steer {

struct HttpField {
  std::string m_Name;
  std::string m_Value;
};

/// \brief Start line and fields of a message.
struct HttpHead {
  unsigned m_MinorVersion = 1;     ///< Minor version: the x of "HTTP/1.x".
  std::string m_Method;            ///< Requests only.
  std::string m_Target;            ///< Requests only; path and query.
  unsigned m_Status = 0;           ///< Responses only.
  std::string m_Reason;            ///< Responses only.
  std::vector<HttpField> m_Fields; ///< In the order of arrival.
  /// Of the body, if the Content-Length field is present.
  std::optional<std::uint64_t> m_ContentLength;
  bool m_Chunked = false;
  /// Derived from the version and the Connection field.
  bool m_KeepAlive = true;

  /// \returns The value of the first field \p Name, compared
  /// case-insensitively, or null.
  [[nodiscard]] const std::string *find(std::string_view Name) const noexcept;
};

/// \brief Compares ASCII text case-insensitively.
[[nodiscard]] bool equalIgnoringCase(std::string_view Left,
                                     std::string_view Right) noexcept;

/// \brief The fields of a head that concern one connection only, so that a
/// proxy must not forward them.
class HopByHopFields {
public:
  explicit HopByHopFields(const HttpHead &Head);
  [[nodiscard]] bool contains(std::string_view Name) const;

private:
  /// Names that the Connection field lists; in lower case, sorted.
  std::vector<std::string> m_Listed;
};

/// \brief The Host field without its port, in lower case.
[[nodiscard]] std::string hostWithoutPort(const HttpHead &Head);

/// \brief Whether \p Status is one of HTTP. What an answer with another one
/// says, and whether its request has run, is unknown.
[[nodiscard]] constexpr bool isValidStatus(unsigned Status) noexcept {
  return Status >= 100 && Status <= 599;
}
/// \brief Whether \p Status belongs to an interim response, which the answer
/// follows.
[[nodiscard]] constexpr bool isInterimStatus(unsigned Status) noexcept {
  return Status >= 100 && Status <= 199;
}

/// \brief Why a message can't be parsed.
enum class HttpParseError : std::uint8_t {
  None,
  Malformed,
  InvalidStatus, ///< See isValidStatus(); or a 101 that nobody asked for.
  HeadTooLarge,
  BodyTooLarge,
  Truncated, ///< The connection ended inside the message.
};

/// \brief Parses consecutive messages of a byte stream.
///
/// Invariant: feed() leaves no more than the limit of a head, or parsing has
/// failed. Neither a line of a head, nor the size of a chunk, nor a trailer
/// goes on without end.
class HttpParser {
public:
  enum class Role : std::uint8_t { Requests, Responses };

  /// \param MaxHeadBytes Limit of a head, of the line that begins a chunk, and
  /// of a trailer.
  HttpParser(Role MessageRole, std::uint32_t MaxHeadBytes,
             std::uint64_t MaxBodyBytes);
  ~HttpParser();
  HttpParser(HttpParser &&) noexcept;
  HttpParser &operator=(HttpParser &&) noexcept;

  /// \brief Starts parsing the next message.
  /// \param Bodiless The message is a response to a HEAD request.
  void nextMessage(bool Bodiless = false);

  /// \brief Parses bytes of the stream, at most up to the end of the message.
  /// \returns The number of bytes consumed. The others must be passed again,
  /// followed by more.
  std::size_t feed(std::string_view Bytes);
  /// \brief Tells the parser that the stream has ended.
  void endStream();

  [[nodiscard]] bool started() const noexcept;
  [[nodiscard]] bool headDone() const noexcept;
  [[nodiscard]] bool done() const noexcept;
  [[nodiscard]] HttpParseError parseError() const noexcept {
    return m_ParseError;
  }
  /// \brief Whether the body extends to the end of the connection.
  [[nodiscard]] bool endsAtConnectionClose() const noexcept;

  /// \pre headDone()
  [[nodiscard]] const HttpHead &head() const noexcept;
  /// \brief Body bytes parsed so far; the caller may remove them.
  [[nodiscard]] std::string &body() noexcept;

private:
  struct Impl;
  template <bool IsRequest> struct BeastParser;

  Role m_Role;
  std::uint32_t m_MaxHeadBytes;
  std::uint64_t m_MaxBodyBytes;
  HttpParseError m_ParseError = HttpParseError::None;
  std::unique_ptr<Impl> m_Impl; ///< Of the current message.
};

/// \brief Writes a start line and fields.
class HeadWriter {
public:
  static HeadWriter request(std::string_view Method, std::string_view Target);
  static HeadWriter response(unsigned Status, std::string_view Reason);
  HeadWriter &field(std::string_view Name, std::string_view Value);
  HeadWriter &field(std::string_view Name, std::uint64_t Value);
  /// \brief Returns the head, including the empty line at its end.
  [[nodiscard]] std::string finish();

private:
  std::string m_Text;
};

/// \brief The standard reason phrase of \p Status.
[[nodiscard]] std::string_view reasonPhrase(unsigned Status) noexcept;

/// \brief A response with its body, of the media type \p Type.
[[nodiscard]] std::string
completeResponse(unsigned Status, std::string_view Type, std::string_view Body);

/// \brief The line that begins a chunk of a chunked body; ChunkEnd follows its
/// bytes.
[[nodiscard]] std::string chunkHeader(std::size_t Bytes);
inline constexpr std::string_view ChunkEnd = "\r\n";
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// \brief Percent-encodes a value for the query of a target; any byte may
/// occur.
[[nodiscard]] std::string encodeQueryValue(std::string_view Value);

/// \brief The decoded value of the parameter \p Name in the query of \p Target.
[[nodiscard]] std::string queryValue(std::string_view Target,
                                     std::string_view Name);

} // namespace mustardspoke::steer
