/// \file
/// Blocking HTTP client with cxxtools. Compiled as C++17.
#include "http/http.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

namespace mustardspoke {
namespace {

/// Of answers; what another one says of its request is unknown. An interim
/// status (1xx) belongs to no answer.
constexpr unsigned MinStatus = 200;
constexpr unsigned MaxStatus = 599;

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
  cxxtools::Milliseconds Timeout{double(TimeoutMs)};
  try {
    cxxtools::http::Client Client(Ip, Port);
    Client.connect();
    Result.m_Progress = HttpProgress::Unanswered;
    std::string Url = Request.m_Path;
    if (!Request.m_QueryString.empty())
      Url += "?" + Request.m_QueryString;
    cxxtools::http::Request Message(Url);
    Message.method(Request.m_Method);
    Message.addHeader("Connection", "close");
    if (!Request.m_Authorization.empty())
      Message.addHeader("Authorization", Request.m_Authorization.c_str());
    Message.body() << Request.m_Body;
    const auto &Header = Client.execute(Message, Timeout, Timeout);
    unsigned Status = Header.httpReturnCode();
    if (Status < MinStatus || Status > MaxStatus) {
      Result.m_Error = "answer with invalid status " + std::to_string(Status);
      return Result;
    }
    Result.m_Response.m_Status = Status;
    Client.readBody();
    Result.m_Response.m_Body = Client.body();
    Result.m_Progress = HttpProgress::Answered;
  } catch (const std::exception &Error) {
    Result.m_Error = Error.what();
  }
  return Result;
}

} // namespace mustardspoke
