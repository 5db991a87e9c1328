/// \file
/// Incremental parsing of HTTP messages.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/http_message.h"

#include <rapidcheck.h>

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

HttpParser requests(std::uint32_t MaxHead = 4096,
                    std::uint64_t MaxBody = 1 << 20) {
  return {HttpParser::Role::Requests, MaxHead, MaxBody};
}

HttpParser responses() { return {HttpParser::Role::Responses, 4096, 1 << 20}; }

/// \brief Feeds \p Text in pieces of \p Size bytes. \returns The bytes not
/// consumed.
std::string feedPieces(HttpParser &Parser, const std::string &Text,
                       std::size_t Size) {
  std::string Input;
  for (std::size_t Offset = 0; Offset < Text.size(); Offset += Size) {
    Input += Text.substr(Offset, Size);
    Input.erase(0, Parser.feed(Input));
  }
  return Input;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpParsing)

BOOST_AUTO_TEST_CASE(PipelinedRequestIsLeftForTheNextMessage) {
  HttpParser Parser = requests();
  std::string TwoRequests =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
      "abcGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  std::size_t Used = Parser.feed(TwoRequests);
  BOOST_TEST(Parser.done());
  BOOST_TEST(Parser.body() == "abc");
  Parser.nextMessage();
  (void)Parser.feed(std::string_view(TwoRequests).substr(Used));
  BOOST_TEST(Parser.done());
  BOOST_TEST(Parser.head().m_Target == "/b");
}

BOOST_AUTO_TEST_CASE(ChunkedBodyInPiecesOfEverySize) {
  std::string Text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n";
  for (std::size_t Size = 1; Size <= Text.size(); ++Size) {
    HttpParser Parser = requests();
    BOOST_TEST(feedPieces(Parser, Text, Size).empty());
    BOOST_TEST(Parser.done());
    BOOST_TEST(Parser.body() == "abcdefg");
  }
}

BOOST_AUTO_TEST_CASE(RequestSmugglingIsRejected) {
  for (const char *Text :
       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nxx",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: "
        "5\r\n\r\nabcd",
        "GET /\x01 HTTP/1.1\r\n\r\n", "nonsense\r\n\r\n"}) {
    HttpParser Parser = requests();
    (void)Parser.feed(Text);
    BOOST_TEST((Parser.parseError() != HttpParseError::None), Text);
  }
}

BOOST_AUTO_TEST_CASE(HeadAndBodyLimitsHaveDifferentErrors) {
  HttpParser Head = requests(64);
  (void)Head.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
  BOOST_TEST((Head.parseError() == HttpParseError::HeadTooLarge));
  HttpParser Body = requests(4096, 10);
  (void)Body.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  BOOST_TEST((Body.parseError() == HttpParseError::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(BodyMayEndWithTheConnection) {
  HttpParser Parser = responses();
  (void)Parser.feed("HTTP/1.1 200 OK\r\n\r\nabc");
  BOOST_TEST(!Parser.done());
  BOOST_TEST(Parser.endsAtConnectionClose());
  Parser.endStream();
  BOOST_TEST(Parser.done());
}

BOOST_AUTO_TEST_CASE(TruncatedBodyIsAnError) {
  HttpParser Parser = responses();
  (void)Parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  Parser.endStream();
  BOOST_TEST((Parser.parseError() == HttpParseError::Truncated));
}

// Guards against a trailer that changes how a message is handled, or not,
// depending on how it arrives.
BOOST_AUTO_TEST_CASE(FieldsOfATrailerAreNotPartOfTheHead) {
  std::string Text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                     "\r\n\r\n1\r\na\r\n0\r\nX-Late: 1\r\n\r\n";
  for (std::size_t Size : {Text.size(), std::size_t(1)}) {
    HttpParser Parser = requests();
    BOOST_TEST(feedPieces(Parser, Text, Size).empty());
    BOOST_TEST(Parser.done());
    BOOST_TEST(!Parser.head().find("X-Late"));
    BOOST_TEST(Parser.head().m_Fields.size() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(FieldsNamedByTheConnectionFieldAreHopByHop) {
  HttpParser Parser = requests();
  (void)Parser.feed("GET / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-A "
                    ",,x-b\r\nX-A: 1\r\n\r\n");
  HopByHopFields Fields(Parser.head());
  for (const char *Name : {"X-A", "x-a", "X-B", "TE", "content-length"})
    BOOST_TEST(Fields.contains(Name), Name);
  for (const char *Name : {"X-C", "Host", ""})
    BOOST_TEST(!Fields.contains(Name), Name);
}

// Guards against lines that go on without end and are kept.
BOOST_AUTO_TEST_CASE(NoMoreThanAHeadIsLeftUnparsed) {
  static constexpr std::uint32_t MaxHead = 256;
  BOOST_TEST(rc::check([](bool IsTrailer, std::uint8_t Size) {
    HttpParser Parser = requests(MaxHead);
    std::string Input = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (IsTrailer)
      Input += "0\r\nA: ";
    for (int I = 0; I < 1000; ++I) {
      Input.erase(0, Parser.feed(Input));
      RC_ASSERT(Input.size() <= MaxHead ||
                Parser.parseError() != HttpParseError::None);
      if (Parser.parseError() != HttpParseError::None)
        return;
      Input.append(1 + Size, IsTrailer ? 'x' : '1');
    }
    RC_FAIL("the message never ends");
  }));
}

BOOST_AUTO_TEST_CASE(ArbitraryBytesGiveARequestOrAnError) {
  rc::check("any bytes", [](const std::string &Bytes) {
    HttpParser Parser = requests(256, 256);
    std::size_t Used = Parser.feed(Bytes);
    RC_ASSERT(Used <= Bytes.size());
  });
}

BOOST_AUTO_TEST_CASE(QueryValuesAreDecoded) {
  BOOST_TEST(queryValue("/p?name=a%2Eb&zone=z", "name") == "a.b");
  BOOST_TEST(queryValue("/p?name=a&zone=z", "zone") == "z");
  BOOST_TEST(queryValue("/p", "zone").empty());
}

BOOST_AUTO_TEST_SUITE_END()
