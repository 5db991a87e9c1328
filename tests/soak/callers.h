/// \file
/// Callers that look up entry VMs, keep connections open and send requests.
#pragma once

#include "core/upstreams.h"
#include "gateway/http_message.h"
#include "gateway/net.h"
#include "soak/observations.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardspoke::soak {

/// \brief Listening addresses of an entry VM.
struct VmAddresses {
  std::string m_CallerAddress;
  std::string m_LookupAddress;
  std::string m_ReadyAddress;
};

/// \brief Kind of request that a caller sends.
enum class RequestKind : std::uint8_t {
  Read,
  Order,
  Edition,
  Crashing, ///< Ends each upstream that begins to run it.
  Public,   ///< Needs no key.
  Upload,
  Home, ///< Its route has a home, which moves.
};

/// \brief What a caller decides on a request before it is sent.
struct RequestPlan {
  RequestKind m_Kind = RequestKind::Read;
  std::string m_Key;    ///< See Attempt::m_Key.
  std::string m_Fields; ///< Further header lines with their line ends.
  std::string m_Body = {};
};

/// \brief Concurrent callers, each with its own connections.
class Callers {
public:
  Callers(steer::asio::io_context &Io, Observations &Observed,
          std::vector<VmAddresses> Vms, std::uint64_t Seed);

  void start(unsigned Count);
  /// \brief Lets callers finish; none starts a new session.
  void stop() { m_Stopping = true; }
  /// \brief Number of callers that have not finished.
  [[nodiscard]] unsigned activeCount() const { return m_ActiveCallers; }

  /// \brief Sends one request on a new connection. \returns The status, or 0 if
  /// it wasn't answered.
  steer::awaitable<unsigned> sendOnce(unsigned Vm, RequestKind Kind);
  /// \brief Whether \p Vm reports that it is ready.
  steer::awaitable<bool> isReady(unsigned Vm);

private:
  struct Session;

  steer::awaitable<void> callerLoop(std::uint64_t Seed);
  steer::awaitable<std::optional<unsigned>> lookUpVm(std::string Region,
                                                     Random &Rng);
  steer::awaitable<void> runSession(unsigned Vm, Random &Rng);
  /// \brief Sends requests and reads their answers in order.
  /// \returns Whether the connection stays open.
  steer::awaitable<bool> sendAndReceive(Session &Connection,
                                        std::vector<RequestPlan> Plans);
  steer::awaitable<void> abandonRequest(Session &Connection, RequestPlan Plan);
  /// \brief Whether the configuration has customers.
  [[nodiscard]] bool hasCustomers() const {
    return !m_Observed.m_KeyPeriods.empty();
  }
  /// \brief Draws a request, and now and then another key for \p Connection.
  [[nodiscard]] RequestPlan drawRequest(Session &Connection, Random &Rng) const;
  /// \brief The same, but some reads are bound to a region.
  [[nodiscard]] RequestPlan planRequest(Session &Connection, Random &Rng) const;
  /// \brief Draws a valid, unknown, withdrawn or malformed key, or none.
  void drawKey(RequestPlan &Plan, Random &Rng) const;
  steer::awaitable<bool> readAnswer(Session &Connection, std::size_t Index);
  [[nodiscard]] std::size_t recordAttempt(const Session &Connection,
                                          const RequestPlan &Plan);
  [[nodiscard]] std::string requestText(std::size_t Index,
                                        const RequestPlan &Plan) const;
  void recordOutcome(std::size_t Index, AttemptOutcome Outcome);

  steer::asio::io_context &m_Io;
  Observations &m_Observed;
  std::vector<VmAddresses> m_Vms;
  std::uint64_t m_Seed;
  unsigned m_ActiveCallers = 0;
  bool m_Stopping = false;
};

} // namespace mustardspoke::soak
