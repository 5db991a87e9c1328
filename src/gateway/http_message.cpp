/// \file
/// Parsing with Boost.Beast, and serialization.
#include "gateway/http_message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>

namespace mustardspoke::steer {
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

char lower(char Character) noexcept {
  return Character >= 'A' && Character <= 'Z' ? char(Character + ('a' - 'A'))
                                              : Character;
}

std::string_view view(beast::string_view Text) noexcept {
  return {Text.data(), Text.size()};
}

std::string toLower(std::string_view Text) {
  std::string Result(Text);
  std::ranges::transform(Result, Result.begin(), lower);
  return Result;
}

/// \brief Appends the items of a comma-separated list, in lower case.
void appendListItems(std::string_view List, std::vector<std::string> &Items) {
  while (!List.empty()) {
    std::size_t Comma = std::min(List.find(','), List.size());
    std::string_view Item = List.substr(0, Comma);
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    if (!Item.empty())
      Items.push_back(toLower(Item));
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
}

/// What follows it isn't HTTP any more.
constexpr unsigned StatusSwitchingProtocols = 101;

HttpParseError parseErrorOf(const beast::error_code &Error) {
  if (Error == http::error::bad_status)
    return HttpParseError::InvalidStatus;
  if (Error == http::error::header_limit)
    return HttpParseError::HeadTooLarge;
  if (Error == http::error::body_limit)
    return HttpParseError::BodyTooLarge;
  if (Error == http::error::partial_message)
    return HttpParseError::Truncated;
  return HttpParseError::Malformed;
}

} // namespace

bool equalIgnoringCase(std::string_view Left, std::string_view Right) noexcept {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return lower(A) == lower(B); });
}

const std::string *HttpHead::find(std::string_view Name) const noexcept {
  for (const HttpField &Field : m_Fields)
    if (equalIgnoringCase(Field.m_Name, Name))
      return &Field.m_Value;
  return nullptr;
}

HopByHopFields::HopByHopFields(const HttpHead &Head) {
  for (const HttpField &Field : Head.m_Fields)
    if (equalIgnoringCase(Field.m_Name, "Connection"))
      appendListItems(Field.m_Value, m_Listed);
  std::ranges::sort(m_Listed);
}

bool HopByHopFields::contains(std::string_view Name) const {
  constexpr std::string_view Fixed[] = {"Connection",
                                        "Keep-Alive",
                                        "Proxy-Connection",
                                        "Transfer-Encoding",
                                        "TE",
                                        "Trailer",
                                        "Upgrade",
                                        "Expect",
                                        "Content-Length",
                                        "Proxy-Authenticate",
                                        "Proxy-Authorization"};
  bool IsFixed = std::ranges::any_of(Fixed, [Name](std::string_view Each) {
    return equalIgnoringCase(Name, Each);
  });
  return IsFixed || (!m_Listed.empty() &&
                     std::ranges::binary_search(m_Listed, toLower(Name)));
}

std::string hostWithoutPort(const HttpHead &Head) {
  const std::string *Host = Head.find("Host");
  if (!Host)
    return {};
  return toLower(std::string_view(*Host).substr(0, Host->find(':')));
}

struct HttpParser::Impl {
  virtual ~Impl() = default;
  virtual std::size_t put(std::string_view Bytes, beast::error_code &Error) = 0;
  virtual void putEnd(beast::error_code &Error) = 0;
  virtual bool started() const = 0;
  virtual bool headDone() const = 0;
  virtual bool done() const = 0;
  virtual bool endsAtConnectionClose() const = 0;

  HttpHead m_Head;
  std::string m_Body;
};

template <bool IsRequest>
struct HttpParser::BeastParser final : Impl, http::basic_parser<IsRequest> {
  using Base = http::basic_parser<IsRequest>;

  BeastParser(std::uint32_t MaxHead, std::uint64_t MaxBody, bool Bodiless) {
    this->eager(true);
    this->header_limit(MaxHead);
    this->body_limit(MaxBody);
    if (Bodiless)
      this->skip(true);
  }

  std::size_t put(std::string_view Bytes, beast::error_code &Error) override {
    return Base::put(boost::asio::buffer(Bytes.data(), Bytes.size()), Error);
  }
  void putEnd(beast::error_code &Error) override { Base::put_eof(Error); }
  bool started() const override { return Base::got_some(); }
  bool headDone() const override { return Base::is_header_done(); }
  bool done() const override { return Base::is_done(); }
  bool endsAtConnectionClose() const override {
    return Base::is_header_done() && Base::need_eof();
  }

  // The names below are Beast's.
  // NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(http::verb /*Known*/, beast::string_view Method,
                       beast::string_view Target, int Version,
                       beast::error_code &) override {
    m_Head.m_Method = view(Method);
    m_Head.m_Target = view(Target);
    m_Head.m_MinorVersion = unsigned(Version % 10);
  }
  void on_response_impl(int Status, beast::string_view Reason, int Version,
                        beast::error_code &Error) override {
    m_Head.m_Status = unsigned(Status);
    // No request asks for another protocol.
    if (!isValidStatus(m_Head.m_Status) ||
        m_Head.m_Status == StatusSwitchingProtocols)
      Error = http::error::bad_status;
    m_Head.m_Reason = view(Reason);
    m_Head.m_MinorVersion = unsigned(Version % 10);
  }
  void on_field_impl(http::field /*Known*/, beast::string_view Name,
                     beast::string_view Value, beast::error_code &) override {
    // A field of the trailer says nothing about how the message is to be
    // handled: the head may have been forwarded already.
    if (Base::is_header_done())
      return;
    m_Head.m_Fields.push_back(
        {std::string(view(Name)), std::string(view(Value))});
  }
  void on_header_impl(beast::error_code &Error) override {
    m_Head.m_KeepAlive = Base::keep_alive();
    m_Head.m_Chunked = Base::chunked();
    if (auto Length = Base::content_length())
      m_Head.m_ContentLength = *Length;
    // With an unknown transfer coding the end of the body is unknown.
    if (IsRequest && !m_Head.m_Chunked && m_Head.find("Transfer-Encoding"))
      Error = http::error::bad_transfer_encoding;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         beast::error_code &) override {}
  std::size_t on_body_impl(beast::string_view Bytes,
                           beast::error_code &) override {
    m_Body.append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, beast::string_view,
                            beast::error_code &) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view Bytes,
                                 beast::error_code &) override {
    m_Body.append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }
  void on_finish_impl(beast::error_code &) override {}
  // NOLINTEND(readability-identifier-naming)

  using Impl::m_Body;
  using Impl::m_Head;
};

HttpParser::HttpParser(Role MessageRole, std::uint32_t MaxHeadBytes,
                       std::uint64_t MaxBodyBytes)
    : m_Role(MessageRole), m_MaxHeadBytes(MaxHeadBytes),
      m_MaxBodyBytes(MaxBodyBytes) {
  nextMessage();
}
HttpParser::~HttpParser() = default;
HttpParser::HttpParser(HttpParser &&) noexcept = default;
HttpParser &HttpParser::operator=(HttpParser &&) noexcept = default;

void HttpParser::nextMessage(bool Bodiless) {
  m_ParseError = HttpParseError::None;
  if (m_Role == Role::Requests)
    m_Impl = std::make_unique<BeastParser<true>>(m_MaxHeadBytes, m_MaxBodyBytes,
                                                 Bodiless);
  else
    m_Impl = std::make_unique<BeastParser<false>>(m_MaxHeadBytes,
                                                  m_MaxBodyBytes, Bodiless);
}

std::size_t HttpParser::feed(std::string_view Bytes) {
  std::size_t Used = 0;
  while (Used < Bytes.size() && m_ParseError == HttpParseError::None &&
         !done()) {
    beast::error_code Error;
    std::size_t Consumed = m_Impl->put(Bytes.substr(Used), Error);
    Used += Consumed;
    if (Error == http::error::need_more || (!Error && Consumed == 0))
      break;
    if (Error)
      m_ParseError = parseErrorOf(Error);
  }
  if (m_ParseError == HttpParseError::None && !done() &&
      Bytes.size() - Used > m_MaxHeadBytes)
    m_ParseError =
        headDone() ? HttpParseError::Malformed : HttpParseError::HeadTooLarge;
  return Used;
}

void HttpParser::endStream() {
  if (done() || m_ParseError != HttpParseError::None)
    return;
  beast::error_code Error;
  if (headDone())
    m_Impl->putEnd(Error);
  if (Error || !done())
    m_ParseError = HttpParseError::Truncated;
}

bool HttpParser::started() const noexcept { return m_Impl->started(); }
bool HttpParser::headDone() const noexcept { return m_Impl->headDone(); }
bool HttpParser::done() const noexcept { return m_Impl->done(); }
bool HttpParser::endsAtConnectionClose() const noexcept {
  return m_Impl->endsAtConnectionClose();
}
const HttpHead &HttpParser::head() const noexcept { return m_Impl->m_Head; }
std::string &HttpParser::body() noexcept { return m_Impl->m_Body; }

HeadWriter HeadWriter::request(std::string_view Method,
                               std::string_view Target) {
  HeadWriter Result;
  Result.m_Text.append(Method).append(" ").append(Target);
  Result.m_Text.append(" HTTP/1.1\r\n");
  return Result;
}

HeadWriter HeadWriter::response(unsigned Status, std::string_view Reason) {
  HeadWriter Result;
  Result.m_Text.append("HTTP/1.1 ").append(std::to_string(Status));
  Result.m_Text.append(" ").append(Reason).append("\r\n");
  return Result;
}

HeadWriter &HeadWriter::field(std::string_view Name, std::string_view Value) {
  m_Text.append(Name).append(": ").append(Value).append("\r\n");
  return *this;
}

HeadWriter &HeadWriter::field(std::string_view Name, std::uint64_t Value) {
  return field(Name, std::string_view(std::to_string(Value)));
}

std::string HeadWriter::finish() {
  m_Text.append("\r\n");
  return std::move(m_Text);
}

std::string_view reasonPhrase(unsigned Status) noexcept {
  return view(http::obsolete_reason(http::int_to_status(Status)));
}

std::string completeResponse(unsigned Status, std::string_view Type,
                             std::string_view Body) {
  HeadWriter Head = HeadWriter::response(Status, reasonPhrase(Status));
  Head.field("Content-Type", Type);
  Head.field("Content-Length", std::uint64_t(Body.size()));
  return Head.finish().append(Body);
}

std::string chunkHeader(std::size_t Bytes) {
  char Size[20];
  auto End = std::to_chars(Size, Size + sizeof Size, Bytes, 16).ptr;
  return std::string(Size, End).append("\r\n");
}

std::string encodeQueryValue(std::string_view Value) {
  constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                          "abcdefghijklmnopqrstuvwxyz"
                                          "0123456789-._~";
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Result;
  for (char C : Value) {
    if (Unreserved.find(C) != std::string_view::npos) {
      Result += C;
      continue;
    }
    auto Byte = static_cast<unsigned char>(C);
    Result.append({'%', Digits[Byte >> 4], Digits[Byte & 15]});
  }
  return Result;
}

std::string queryValue(std::string_view Target, std::string_view Name) {
  std::size_t QuestionMark = Target.find('?');
  if (QuestionMark == std::string_view::npos)
    return {};
  std::string_view Query = Target.substr(QuestionMark + 1);
  while (!Query.empty()) {
    std::size_t End = std::min(Query.find('&'), Query.size());
    std::string_view Parameter = Query.substr(0, End);
    Query.remove_prefix(std::min(End + 1, Query.size()));
    std::size_t Equals = Parameter.find('=');
    if (Parameter.substr(0, Equals) != Name || Equals == std::string_view::npos)
      continue;
    std::string Value;
    std::string_view Raw = Parameter.substr(Equals + 1);
    for (std::size_t I = 0; I < Raw.size(); ++I) {
      unsigned Code = 0;
      if (Raw[I] == '%' && I + 2 < Raw.size() &&
          std::from_chars(Raw.data() + I + 1, Raw.data() + I + 3, Code, 16)
                  .ec == std::errc()) {
        Value += char(Code);
        I += 2;
      } else {
        Value += Raw[I] == '+' ? ' ' : Raw[I];
      }
    }
    return Value;
  }
  return {};
}

} // namespace mustardspoke::steer
