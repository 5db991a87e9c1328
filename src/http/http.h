/// \file
/// Public header of the HTTP package for small messages, which serves operators
/// and accesses the platform.
///
/// \details Bodies are buffered as a whole, so callers' requests don't use this
/// package. The header is limited to C++17, as the server needs cxxtools.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mustardspoke {

/// \brief A request, as received by a server's handler or sent by a client.
struct HttpRequest {
  std::string m_Method;
  std::string m_Path;
  std::string m_QueryString; ///< The part after '?', not decoded.
  std::string m_Authorization;
  std::string m_Body;
};

/// \brief A response, sent or received.
struct HttpResponse {
  unsigned m_Status = 200;
  std::string m_ContentType = "application/json";
  std::string m_Body;
};

/// \brief Progress of a client's request.
enum class HttpProgress {
  Answered,
  NotSent,   ///< No connection; the server hasn't received anything.
  Unanswered ///< The server may have executed the request.
};

/// \brief Result of a client's request.
struct HttpExchange {
  HttpProgress m_Progress = HttpProgress::NotSent;
  HttpResponse m_Response;
  std::string m_Error;
};

/// \brief Sends one request over a new connection and waits for the response.
/// \param Address "IP:port".
/// \param TimeoutMs Of connecting, and of the whole exchange after it.
[[nodiscard]] HttpExchange httpExchange(const std::string &Address,
                                        const HttpRequest &Request,
                                        std::size_t TimeoutMs);

/// \brief Splits "IP:port". \returns False if \p Address has another form.
[[nodiscard]] bool splitAddress(const std::string &Address, std::string &Ip,
                                unsigned short &Port);

/// \brief A server that runs on its own threads until it is destroyed.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;

  /// \param MaxBodyBytes Requests with longer bodies are answered with status
  /// 413.
  HttpServer(const std::string &Address, std::size_t MaxBodyBytes,
             Handler Handle);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mustardspoke
