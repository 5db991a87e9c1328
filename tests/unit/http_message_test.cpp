/// \file
/// HTTP messages read piece by piece.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/http_message.h"

#include <rapidcheck.h>

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

HttpReader requests(std::uint32_t MostHead = 4096,
                    std::uint64_t MostBody = 1 << 20) {
  return {HttpReader::Role::Requests, MostHead, MostBody};
}

HttpReader responses() { return {HttpReader::Role::Responses, 4096, 1 << 20}; }

/// \brief Feeds \p Text in pieces of \p Size. \returns What is left over.
std::string feedPieces(HttpReader &To, const std::string &Text,
                       std::size_t Size) {
  std::string In;
  for (std::size_t At = 0; At < Text.size(); At += Size) {
    In += Text.substr(At, Size);
    In.erase(0, To.feed(In));
  }
  return In;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpReading)

BOOST_AUTO_TEST_CASE(APipelinedRequestIsLeftForTheNext) {
  HttpReader Reader = requests();
  std::string Two = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
                    "abcGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  std::size_t Used = Reader.feed(Two);
  BOOST_TEST(Reader.done());
  BOOST_TEST(Reader.body() == "abc");
  Reader.next();
  (void)Reader.feed(std::string_view(Two).substr(Used));
  BOOST_TEST(Reader.done());
  BOOST_TEST(Reader.head().m_Target == "/b");
}

BOOST_AUTO_TEST_CASE(ChunkedBodyInPiecesOfEverySize) {
  std::string Text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n";
  for (std::size_t Size = 1; Size <= Text.size(); ++Size) {
    HttpReader Reader = requests();
    BOOST_TEST(feedPieces(Reader, Text, Size).empty());
    BOOST_TEST(Reader.done());
    BOOST_TEST(Reader.body() == "abcdefg");
  }
}

BOOST_AUTO_TEST_CASE(SmuggledRequestsAreRefused) {
  for (const char *Text :
       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nxx",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: "
        "5\r\n\r\nabcd",
        "GET /\x01 HTTP/1.1\r\n\r\n", "nonsense\r\n\r\n"}) {
    HttpReader Reader = requests();
    (void)Reader.feed(Text);
    BOOST_TEST((Reader.fault() != HttpFault::None), Text);
  }
}

BOOST_AUTO_TEST_CASE(LimitsAreToldApart) {
  HttpReader Head = requests(64);
  (void)Head.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
  BOOST_TEST((Head.fault() == HttpFault::HeadTooLarge));
  HttpReader Body = requests(4096, 10);
  (void)Body.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  BOOST_TEST((Body.fault() == HttpFault::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(BodyThatEndsWithTheConnection) {
  HttpReader Reader = responses();
  (void)Reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
  BOOST_TEST(!Reader.done());
  BOOST_TEST(Reader.endsWithConnection());
  Reader.end();
  BOOST_TEST(Reader.done());
}

BOOST_AUTO_TEST_CASE(BodyThatBreaksOffIsNotWhole) {
  HttpReader Reader = responses();
  (void)Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  Reader.end();
  BOOST_TEST((Reader.fault() == HttpFault::Truncated));
}

BOOST_AUTO_TEST_CASE(AnyBytesEndInARequestOrAFault) {
  rc::check("any bytes", [](const std::string &Bytes) {
    HttpReader Reader = requests(256, 256);
    std::size_t Used = Reader.feed(Bytes);
    RC_ASSERT(Used <= Bytes.size());
  });
}

BOOST_AUTO_TEST_CASE(QueryValuesAreDecoded) {
  BOOST_TEST(queryValue("/p?name=a%2Eb&zone=z", "name") == "a.b");
  BOOST_TEST(queryValue("/p?name=a&zone=z", "zone") == "z");
  BOOST_TEST(queryValue("/p", "zone").empty());
}

BOOST_AUTO_TEST_SUITE_END()
