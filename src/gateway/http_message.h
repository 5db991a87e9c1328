/// \file
/// HTTP/1.1 messages read piece by piece, apart from any connection.
///
/// \details The parser is Boost.Beast's; this header hides it, as its
/// templates are slow to compile.
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
  unsigned m_Minor = 1;                  ///< Of the version "HTTP/1.x".
  std::string m_Method;                  ///< Requests only.
  std::string m_Target;                  ///< Requests only; path and query.
  unsigned m_Status = 0;                 ///< Responses only.
  std::string m_Reason;                  ///< Responses only.
  std::vector<HttpField> m_Fields;       ///< In the order of arrival.
  std::optional<std::uint64_t> m_Length; ///< Of the body, if stated.
  bool m_Chunked = false;
  bool m_KeepAlive = true; ///< By version and Connection field.

  /// \returns The first value of the field \p Name, compared without case, or
  /// null.
  [[nodiscard]] const std::string *find(std::string_view Name) const noexcept;
};

/// \brief Equal without regard to the case of ASCII letters.
[[nodiscard]] bool sameName(std::string_view Left,
                            std::string_view Right) noexcept;

/// \brief Concerns one connection only and is never passed on.
[[nodiscard]] bool isConnectionField(const HttpHead &Of,
                                     std::string_view Name) noexcept;

/// \brief The Host field without its port, in lower case.
[[nodiscard]] std::string hostOf(const HttpHead &Of);

/// \brief Why a message can't be read.
enum class HttpFault : std::uint8_t {
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
  Truncated, ///< The connection ended inside the message.
};

/// \brief Reads one message after the other from a stream of bytes.
class HttpReader {
public:
  enum class Role : std::uint8_t { Requests, Responses };

  HttpReader(Role As, std::uint32_t MostHeadBytes, std::uint64_t MostBodyBytes);
  ~HttpReader();
  HttpReader(HttpReader &&) noexcept;
  HttpReader &operator=(HttpReader &&) noexcept;

  /// \brief Starts the next message.
  /// \param Bodiless The response answers a HEAD request.
  void next(bool Bodiless = false);

  /// \brief Takes bytes of the stream, at most up to the end of the message.
  /// \returns How many were taken; the others must be offered again, with
  /// more behind them.
  std::size_t feed(std::string_view Bytes);
  /// \brief The stream ended.
  void end();

  [[nodiscard]] bool started() const noexcept;
  [[nodiscard]] bool headDone() const noexcept;
  [[nodiscard]] bool done() const noexcept;
  [[nodiscard]] HttpFault fault() const noexcept { return m_Fault; }
  /// \brief The body ends with the connection.
  [[nodiscard]] bool endsWithConnection() const noexcept;

  /// \pre headDone()
  [[nodiscard]] const HttpHead &head() const noexcept;
  /// \brief Body bytes read and not yet taken.
  [[nodiscard]] std::string &body() noexcept;

private:
  struct Impl;
  template <bool IsRequest> struct Parser;

  Role m_Role;
  std::uint32_t m_MostHeadBytes;
  std::uint64_t m_MostBodyBytes;
  HttpFault m_Fault = HttpFault::None;
  std::unique_ptr<Impl> m_Impl; ///< Of the message being read.
};

/// \brief Writes a start line and fields.
class HeadWriter {
public:
  static HeadWriter request(std::string_view Method, std::string_view Target);
  static HeadWriter response(unsigned Status, std::string_view Reason);
  HeadWriter &field(std::string_view Name, std::string_view Value);
  HeadWriter &field(std::string_view Name, std::uint64_t Value);
  /// \brief The head with its closing empty line.
  [[nodiscard]] std::string finish();

private:
  std::string m_Text;
};

/// \brief The usual reason phrase of \p Status.
[[nodiscard]] std::string_view reasonOf(unsigned Status) noexcept;

/// \brief An answer with its body, of the media type \p Type.
[[nodiscard]] std::string wholeAnswer(unsigned Status, std::string_view Type,
                                      std::string_view Body);

/// \brief One chunk of a chunked body.
[[nodiscard]] std::string chunkOf(std::string_view Bytes);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// \brief The value of parameter \p Name in the query of \p Target, decoded.
[[nodiscard]] std::string queryValue(std::string_view Target,
                                     std::string_view Name);

} // namespace mustardspoke::steer
