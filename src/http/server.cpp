/// \file
/// HTTP server for small messages with cxxtools. Compiled as C++17.
#include "http/http.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <thread>

namespace mustardspoke {
namespace {

constexpr unsigned MinThreads = 2;
constexpr unsigned MaxThreads = 8;
constexpr double ReadTimeoutMs = 5000;

class BufferingResponder : public cxxtools::http::Responder {
public:
  BufferingResponder(cxxtools::http::Service &Service, std::size_t MaxBodyBytes,
                     const HttpServer::Handler &Handle)
      : Responder(Service), m_MaxBodyBytes(MaxBodyBytes), m_Handle(Handle) {}

  void beginRequest(cxxtools::net::TcpSocket & /*Socket*/,
                    std::istream & /*In*/,
                    cxxtools::http::Request & /*Request*/) override {
    m_Body.clear();
    m_IsBodyTooLong = false;
  }

  std::size_t readBody(std::istream &In) override {
    std::size_t Total = 0;
    std::array<char, 4096> Buffer{};
    while (In.rdbuf()->in_avail() > 0) {
      auto Available = std::min<std::streamsize>(
          In.rdbuf()->in_avail(), std::streamsize(Buffer.size()));
      auto Count = In.rdbuf()->sgetn(Buffer.data(), Available);
      Total += std::size_t(Count);
      // If the body is too long, the rest of it is read and discarded.
      if (m_Body.size() + std::size_t(Count) > m_MaxBodyBytes)
        m_IsBodyTooLong = true;
      else
        m_Body.append(Buffer.data(), std::size_t(Count));
    }
    return Total;
  }

  void reply(std::ostream &Out, cxxtools::http::Request &Request,
             cxxtools::http::Reply &Reply) override {
    HttpResponse Response;
    if (m_IsBodyTooLong) {
      Response.m_Status = 413;
      Response.m_Body = "{\"error\":\"body-too-large\"}";
    } else {
      HttpRequest Received;
      Received.m_Method = Request.method();
      Received.m_Path = Request.url();
      Received.m_QueryString = Request.qparams();
      if (const char *Value = Request.getHeader("Authorization"))
        Received.m_Authorization = Value;
      Received.m_Body = m_Body;
      Response = m_Handle(Received);
    }
    Reply.httpReturn(Response.m_Status,
                     Response.m_Status < 400 ? "OK" : "Error");
    Reply.setHeader("Content-Type", Response.m_ContentType.c_str());
    Out << Response.m_Body;
  }

private:
  std::size_t m_MaxBodyBytes;
  const HttpServer::Handler &m_Handle;
  std::string m_Body;
  bool m_IsBodyTooLong = false;
};

class HandlerService : public cxxtools::http::Service {
public:
  HandlerService(std::size_t MaxBodyBytes, HttpServer::Handler Handle)
      : m_MaxBodyBytes(MaxBodyBytes), m_Handle(std::move(Handle)) {}

protected:
  cxxtools::http::Responder *
  createResponder(const cxxtools::http::Request & /*Request*/) override {
    return new BufferingResponder(*this, m_MaxBodyBytes, m_Handle);
  }
  void releaseResponder(cxxtools::http::Responder *Handler) override {
    delete Handler;
  }

private:
  std::size_t m_MaxBodyBytes;
  HttpServer::Handler m_Handle;
};

} // namespace

struct HttpServer::Impl {
  Impl(std::size_t MaxBodyBytes, Handler Handle)
      : m_Service(MaxBodyBytes, std::move(Handle)), m_Server(m_Loop) {}

  HandlerService m_Service;
  cxxtools::EventLoop m_Loop;
  cxxtools::http::Server m_Server;
  std::thread m_Thread;
};

HttpServer::HttpServer(const std::string &Address, std::size_t MaxBodyBytes,
                       Handler Handle)
    : m_Impl(std::make_unique<Impl>(MaxBodyBytes, std::move(Handle))) {
  std::string Ip;
  unsigned short Port = 0;
  if (!splitAddress(Address, Ip, Port))
    throw std::invalid_argument("not an address of the form IP:port: " +
                                Address);
  auto &Server = m_Impl->m_Server;
  Server.minThreads(MinThreads);
  Server.maxThreads(MaxThreads);
  Server.readTimeout(cxxtools::Milliseconds(ReadTimeoutMs));
  Server.listen(Ip, Port);
  Server.addService(cxxtools::Regex(".*"), m_Impl->m_Service);
  m_Impl->m_Thread = std::thread([this] { m_Impl->m_Loop.run(); });
}

HttpServer::~HttpServer() {
  m_Impl->m_Loop.exit();
  m_Impl->m_Thread.join();
}

} // namespace mustardspoke
