/// \file
/// Request and answer over a kept connection.
#include "gateway/http_call.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

namespace mustardspoke::steer {
namespace {

constexpr std::uint32_t MostReplyHead = 16384;    // bytes
constexpr std::uint64_t MostReplyBody = 16 << 20; // bytes; 500 full rows fit.
constexpr std::size_t ReadPiece = 16384;          // bytes

} // namespace

HttpCaller::HttpCaller(asio::io_context &Io, std::string Address,
                       Duration Silence)
    : m_Io(Io), m_Address(std::move(Address)), m_Silence(Silence), m_Socket(Io),
      m_Timer(Io) {}

void HttpCaller::close() {
  NetError Ignored;
  m_Socket.close(Ignored);
}

awaitable<NetError> HttpCaller::connect() {
  if (m_Socket.is_open() && peek(m_Socket) == Waiting::Nothing)
    co_return NetError();
  close();
  auto To = endpointOf<Tcp>(m_Address);
  if (!To)
    co_return asio::error::make_error_code(asio::error::host_not_found);
  NetError Error;
  m_Socket.open(To->protocol(), Error);
  if (Error)
    co_return Error;
  m_Timer.arm(m_Socket, steadyNow() + m_Silence);
  detectSilence(m_Socket, m_Silence);
  co_await m_Socket.async_connect(*To, noThrow(Error));
  m_Timer.disarm();
  co_return Error;
}

awaitable<HttpReply> HttpCaller::call(std::string Method, std::string Target,
                                      std::string Body, Duration Within) {
  HttpReply Reply;
  Reply.m_Error = co_await connect();
  if (Reply.m_Error) {
    close();
    co_return Reply;
  }
  HeadWriter Head = HeadWriter::request(Method, Target);
  Head.field("Host", m_Address);
  if (!Body.empty()) {
    Head.field("Content-Type", "application/json");
    Head.field("Content-Length", std::uint64_t(Body.size()));
  }
  std::string Out = Head.finish() + Body;
  m_Timer.arm(m_Socket, steadyNow() + Within);
  co_await asio::async_write(m_Socket, asio::buffer(Out),
                             noThrow(Reply.m_Error));
  HttpReader Reader(HttpReader::Role::Responses, MostReplyHead, MostReplyBody);
  std::string In;
  char Piece[ReadPiece];
  while (!Reply.m_Error && !Reader.done() &&
         Reader.fault() == HttpFault::None) {
    std::size_t Got = co_await m_Socket.async_read_some(asio::buffer(Piece),
                                                        noThrow(Reply.m_Error));
    In.append(Piece, Got);
    In.erase(0, Reader.feed(In));
    if (Reply.m_Error == asio::error::eof && Reader.headDone()) {
      Reader.end();
      Reply.m_Error = {};
      break;
    }
  }
  bool Late = m_Timer.fired();
  m_Timer.disarm();
  if (Late)
    Reply.m_Error = asio::error::make_error_code(asio::error::timed_out);
  if (!Reply.m_Error && !Reader.done())
    Reply.m_Error = asio::error::make_error_code(asio::error::fault);
  if (Reply.m_Error || !In.empty() || !Reader.head().m_KeepAlive)
    close();
  if (!Reply.m_Error) {
    Reply.m_Head = Reader.head();
    Reply.m_Body = std::move(Reader.body());
  }
  co_return Reply;
}

} // namespace mustardspoke::steer
