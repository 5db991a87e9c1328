/// \file
/// Connection pool of one worker, to upstreams and other entry VMs.
#pragma once

#include "entry/answer_stream.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardspoke {

/// \brief One connection and the HTTP client that uses it.
struct Connection {
  /// \brief Sends a request. Its body is written beside the reading of the
  /// response, until the response's body is dropped.
  /// \param Body Outlives the promise and the response's body.
  /// \pre m_HasSentAll
  [[nodiscard]] kj::Promise<kj::HttpClient::Response>
  request(kj::HttpMethod Method, kj::StringPtr Url,
          const kj::HttpHeaders &Headers, kj::ArrayPtr<const kj::byte> Body);

  std::string m_Address;
  kj::Own<AnswerStream> m_Stream;
  kj::Own<kj::HttpClient> m_Client;
  kj::TimePoint m_IdleSince = kj::origin<kj::TimePoint>();
  bool m_Reused = false;
  /// Whether all that the last request's head announces has been written.
  bool m_HasSentAll = true;
};

/// \brief Opens connections and keeps idle ones for reuse for a short time.
///
/// Invariant: a connection is kept only after its request was sent and its
/// response was read to the end; after an early answer, an error, timeout or
/// cancellation it is aborted, so that its request doesn't arrive after the
/// caller has been answered.
class ConnectionPool {
public:
  ConnectionPool(kj::Network &Network, kj::Timer &Timer,
                 const kj::HttpHeaderTable &Table)
      : m_Network(Network), m_Timer(Timer), m_Table(Table) {}

  /// \brief Returns an idle connection to \p Address or opens a new one.
  /// \param ForceNew Always opens a new connection.
  [[nodiscard]] kj::Promise<kj::Own<Connection>>
  connect(const std::string &Address, bool ForceNew);

  /// \brief Returns a connection whose response was read to the end, and
  /// dropped. It is aborted unless its request has been sent.
  void release(kj::Own<Connection> Conn);

  /// \brief Closes connections that have been idle for too long.
  void closeExpired();

private:
  static constexpr std::size_t MaxIdleConnections = 4; ///< Per address.
  static constexpr kj::Duration MaxIdleTime = 1 * kj::SECONDS;

  kj::Network &m_Network;
  kj::Timer &m_Timer;
  const kj::HttpHeaderTable &m_Table;
  std::map<std::string, std::vector<kj::Own<Connection>>> m_Idle;
};

} // namespace mustardspoke
