/// \file
/// Request and response over a kept connection.
#include "gateway/http_client.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

namespace mustardspoke::steer {
namespace {

constexpr std::uint32_t MaxResponseHead = 16384; // bytes
/// In bytes; a page of 500 large rows fits.
constexpr std::uint64_t MaxResponseBody = 16 << 20;
constexpr std::size_t ReadBufferSize = 16384; // bytes
/// Interim responses that may come before the answer.
constexpr unsigned MaxInterimResponses = 16;

} // namespace

HttpClientConnection::HttpClientConnection(asio::io_context &Io,
                                           std::string Address,
                                           Duration DeadPeerTimeout,
                                           Watch Watched)
    : m_Io(Io), m_Address(std::move(Address)),
      m_DeadPeerTimeout(DeadPeerTimeout), m_Watch(Watched), m_Socket(Io),
      m_Timer(Io) {}

void HttpClientConnection::close() {
  NetError Ignored;
  m_Socket.close(Ignored);
}

awaitable<NetError> HttpClientConnection::connect() {
  if (m_Socket.is_open() && peek(m_Socket) == PeekResult::Nothing)
    co_return NetError();
  close();
  auto Endpoint = parseEndpoint<Tcp>(m_Address);
  if (!Endpoint)
    co_return asio::error::make_error_code(asio::error::host_not_found);
  NetError Error;
  m_Socket.open(Endpoint->protocol(), Error);
  if (Error)
    co_return Error;
  m_Timer.arm(m_Socket, steadyNow() + m_DeadPeerTimeout);
  if (m_Watch == Watch::System)
    enableDeadPeerDetection(m_Socket, m_DeadPeerTimeout);
  else
    m_Socket.set_option(Tcp::no_delay(true), Error);
  co_await m_Socket.async_connect(*Endpoint, noThrow(Error));
  m_Timer.disarm();
  co_return Error;
}

awaitable<HttpResponse>
HttpClientConnection::call(std::string Method, std::string Target,
                           std::string Body, Duration Timeout,
                           std::vector<HttpField> Fields) {
  HttpResponse Response;
  Response.m_Error = co_await connect();
  if (Response.m_Error) {
    close();
    co_return Response;
  }
  HeadWriter Head = HeadWriter::request(Method, Target);
  Head.field("Host", m_Address);
  for (const HttpField &Field : Fields)
    Head.field(Field.m_Name, Field.m_Value);
  if (!Body.empty()) {
    Head.field("Content-Type", "application/json");
    Head.field("Content-Length", std::uint64_t(Body.size()));
  }
  std::string Request = Head.finish() + Body;
  m_Timer.arm(m_Socket, steadyNow() + Timeout);
  setAbortOnClose(m_Socket, true);
  Response.m_WasSent = true;
  co_await asio::async_write(m_Socket, asio::buffer(Request),
                             noThrow(Response.m_Error));
  HttpParser Parser(HttpParser::Role::Responses, MaxResponseHead,
                    MaxResponseBody);
  std::string Input;
  unsigned InterimResponses = 0;
  // The answer may arrive together with interim responses.
  auto Feed = [&Parser, &Input, &InterimResponses] {
    Input.erase(0, Parser.feed(Input));
    while (Parser.done() && isInterimStatus(Parser.head().m_Status) &&
           ++InterimResponses <= MaxInterimResponses) {
      Parser.nextMessage();
      Input.erase(0, Parser.feed(Input));
    }
  };
  char Buffer[ReadBufferSize];
  while (!Response.m_Error && !Parser.done() &&
         Parser.parseError() == HttpParseError::None) {
    std::size_t BytesRead = co_await m_Socket.async_read_some(
        asio::buffer(Buffer), noThrow(Response.m_Error));
    Input.append(Buffer, BytesRead);
    Feed();
    if (Response.m_Error == asio::error::eof && Parser.headDone()) {
      Parser.endStream();
      Response.m_Error = {};
      break;
    }
  }
  bool TimedOut = m_Timer.fired();
  m_Timer.disarm();
  if (TimedOut)
    Response.m_Error = asio::error::make_error_code(asio::error::timed_out);
  bool HasAnswer = Parser.done() && !isInterimStatus(Parser.head().m_Status);
  if (!Response.m_Error && !HasAnswer)
    Response.m_Error = boost::system::errc::make_error_code(
        boost::system::errc::protocol_error);
  if (!Response.m_Error)
    setAbortOnClose(m_Socket, false);
  if (Response.m_Error || !Input.empty() || !Parser.head().m_KeepAlive)
    close();
  if (!Response.m_Error) {
    Response.m_Head = Parser.head();
    Response.m_Body = std::move(Parser.body());
  }
  co_return Response;
}

} // namespace mustardspoke::steer
