/// \file
/// Blocking calls: each runs the gateway's HTTP client on an event loop of its
/// own, so that there is one reader of answers. cxxtools' client takes an
/// answer that breaks off, or whose head is malformed, for a whole one.
#include "http/http.h"

#include "gateway/http_client.h"

namespace mustardspoke {
namespace {

std::vector<steer::HttpField> requestFields(const HttpRequest &Request) {
  std::vector<steer::HttpField> Fields{{"Connection", "close"}};
  if (!Request.m_Authorization.empty())
    Fields.push_back({"Authorization", Request.m_Authorization});
  return Fields;
}

steer::HttpResponse runCall(const std::string &Address,
                            const HttpRequest &Request, Duration Timeout) {
  std::string Target = Request.m_Path;
  if (!Request.m_QueryString.empty())
    Target += "?" + Request.m_QueryString;
  steer::asio::io_context Io;
  steer::HttpClientConnection Connection(Io, Address, Timeout);
  steer::HttpResponse Response;
  steer::asio::co_spawn(
      Io,
      Connection.call(Request.m_Method, Target, Request.m_Body, Timeout,
                      requestFields(Request)),
      [&Response](const std::exception_ptr &Thrown, steer::HttpResponse Got) {
        if (Thrown)
          std::rethrow_exception(Thrown);
        Response = std::move(Got);
      });
  Io.run();
  return Response;
}

} // namespace

bool splitAddress(const std::string &Address, std::string &Ip,
                  unsigned short &Port) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return false;
  std::string Digits = Address.substr(Colon + 1);
  if (Digits.empty() || Digits.size() > 5 ||
      Digits.find_first_not_of("0123456789") != std::string::npos)
    return false;
  unsigned long Value = std::stoul(Digits);
  if (Value == 0 || Value > 65535)
    return false;
  Ip = Address.substr(0, Colon);
  Port = (unsigned short)Value;
  return true;
}

HttpExchange httpExchange(const std::string &Address,
                          const HttpRequest &Request, std::size_t TimeoutMs) {
  HttpExchange Result;
  std::string Ip;
  unsigned short Port = 0;
  if (!splitAddress(Address, Ip, Port)) {
    Result.m_Error = "not an address of the form IP:port: " + Address;
    return Result;
  }
  steer::HttpResponse Response;
  try {
    Response = runCall(Address, Request, std::chrono::milliseconds(TimeoutMs));
  } catch (const std::exception &Failure) {
    // Of the event loop, for lack of descriptors or memory.
    Result.m_Progress = HttpProgress::Unanswered;
    Result.m_Error = Failure.what();
    return Result;
  }
  if (Response.m_Error) {
    Result.m_Error = Response.m_Error.message();
    if (Response.m_WasSent)
      Result.m_Progress = HttpProgress::Unanswered;
    return Result;
  }
  Result.m_Progress = HttpProgress::Answered;
  Result.m_Response.m_Status = Response.m_Head.m_Status;
  Result.m_Response.m_Body = std::move(Response.m_Body);
  return Result;
}

} // namespace mustardspoke
