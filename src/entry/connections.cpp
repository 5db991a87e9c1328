/// \file
/// Opens, reuses and expires connections.
#include "entry/connections.h"

#include <algorithm>

#include <sys/socket.h>

namespace mustardspoke {
namespace {

/// \brief Selects what a close does to sent bytes that haven't arrived yet:
/// they are discarded and the connection is reset, also when the process ends,
/// or the system keeps sending them.
void setAbortOnClose(kj::AsyncIoStream &Stream, bool Abort) {
  linger Option{Abort ? 1 : 0, 0};
  Stream.setsockopt(SOL_SOCKET, SO_LINGER, &Option, sizeof Option);
}

} // namespace

kj::Promise<kj::HttpClient::Response>
Connection::request(kj::HttpMethod Method, kj::StringPtr Url,
                    const kj::HttpHeaders &Headers,
                    kj::ArrayPtr<const kj::byte> Body) {
  auto Sent = m_Client->request(Method, Url, Headers, Body.size());
  m_HasSentAll = Body.size() == 0;
  if (m_HasSentAll)
    return kj::mv(Sent.response);
  auto &Stream = *Sent.body;
  auto Writing = Stream.write(Body.begin(), Body.size())
                     .then([this] { m_HasSentAll = true; })
                     .attach(kj::mv(Sent.body))
                     .eagerlyEvaluate([](kj::Exception && /*SeenByReader*/) {});
  // A server may begin its answer before it has read the request.
  return Sent.response.then(
      [Writing = kj::mv(Writing)](kj::HttpClient::Response &&Response) mutable {
        Response.body = Response.body.attach(kj::mv(Writing));
        return kj::mv(Response);
      });
}

kj::Promise<kj::Own<Connection>>
ConnectionPool::connect(const std::string &Address, bool ForceNew) {
  auto &Idle = m_Idle[Address];
  while (!ForceNew && !Idle.empty()) {
    kj::Own<Connection> Last = kj::mv(Idle.back());
    Idle.pop_back();
    if (m_Timer.now() - Last->m_IdleSince > MaxIdleTime)
      continue;
    Last->m_Reused = true;
    Last->m_Stream->beginAnswer();
    setAbortOnClose(*Last->m_Stream, true);
    return kj::mv(Last);
  }
  return m_Network.parseAddress(Address)
      .then([](kj::Own<kj::NetworkAddress> Parsed) {
        auto Connecting = Parsed->connect();
        return Connecting.attach(kj::mv(Parsed));
      })
      .then([this, Address](kj::Own<kj::AsyncIoStream> Stream) {
        auto Opened = kj::heap<Connection>();
        Opened->m_Address = Address;
        Opened->m_Stream = kj::heap<AnswerStream>(kj::mv(Stream));
        setAbortOnClose(*Opened->m_Stream, true);
        Opened->m_Client = kj::newHttpClient(m_Table, *Opened->m_Stream);
        return Opened;
      });
}

void ConnectionPool::release(kj::Own<Connection> Conn) {
  if (!Conn->m_HasSentAll)
    return;
  setAbortOnClose(*Conn->m_Stream, false);
  auto &Idle = m_Idle[Conn->m_Address];
  if (Idle.size() >= MaxIdleConnections)
    return;
  Conn->m_IdleSince = m_Timer.now();
  Idle.push_back(kj::mv(Conn));
}

void ConnectionPool::closeExpired() {
  for (auto &[Address, Idle] : m_Idle)
    std::erase_if(Idle, [&](const kj::Own<Connection> &Conn) {
      return m_Timer.now() - Conn->m_IdleSince > MaxIdleTime;
    });
}

} // namespace mustardspoke
