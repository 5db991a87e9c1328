/// \file
/// Stand-in for an upstream that registers itself in the store.
#pragma once

#include "core/upstreams.h"
#include "soak/observations.h"
#include "soak/table_standin.h"
#include "support/floods.h"

#include <functional>
#include <list>
#include <optional>

namespace mustardspoke::soak {

/// \brief Injected faults of an upstream.
struct UpstreamFaults {
  double m_LostAnswerRate = 0;      ///< Fraction of answers that are lost.
  double m_ExtraAnswerRate = 0;     ///< Fraction followed by a second answer.
  double m_TruncatedAnswerRate = 0; ///< Fraction truncated inside the body.
  double m_SlowdownFactor = 1;      ///< Multiplies the processing time.
  unsigned m_QuietSeconds = 0; ///< Refuses with this Retry-After; 0: does not.
  /// Index in test::upstreamFloods() of what it sends in place of answers.
  std::optional<std::size_t> m_Flood;
};

/// \brief Identity and addresses of an upstream.
struct UpstreamPlan {
  std::string m_Id;
  std::string m_Service;
  std::string m_Domain;
  std::string m_Listen;  ///< Where it listens.
  std::string m_Address; ///< Published in its registration.
  unsigned m_Slots = 4;
};

/// \brief An upstream with a number of slots, a random processing time and
/// injectable faults.
class UpstreamStandIn {
public:
  UpstreamStandIn(steer::asio::io_context &Io, TableStandIn &Table,
                  Observations &Observed, UpstreamPlan Plan,
                  std::uint64_t Seed);

  /// \brief Starts a new incarnation with the same identifier and registers it.
  void start();
  /// \brief Terminates at once; its registration stays until it expires.
  void crash();
  /// \brief Removes the registration, as the platform does after a crash.
  void expireRegistration();
  /// \brief Announces its shutdown and continues to serve requests.
  void announceLeaving();

  [[nodiscard]] bool isRunning() const { return m_Acceptor.is_open(); }
  [[nodiscard]] const UpstreamPlan &plan() const { return m_Plan; }
  UpstreamFaults m_Faults;
  /// Called when a request has ended it.
  std::function<void()> m_OnCrashedByRequest;

private:
  using ConnectionPtr = std::shared_ptr<test::ServerSide>;

  void publishState(const std::string &State);
  steer::awaitable<void> serve(ConnectionPtr Connection,
                               std::uint64_t Incarnation);
  /// \returns Whether the connection stays open.
  steer::awaitable<bool> execute(ConnectionPtr Connection, std::string Id);
  /// \brief Sends bytes without end, until the other side closes.
  steer::awaitable<void> flood(ConnectionPtr Connection, test::Flood Plan);
  /// \brief What it sees of the request that it has just received.
  [[nodiscard]] Execution observe(test::ServerSide &Connection) const;
  [[nodiscard]] std::string loadHeaders() const;
  /// \brief States that the request was not run.
  /// \param Other The request was meant for another upstream.
  /// \param Quiet This upstream asks for a pause.
  [[nodiscard]] std::string refusal(const std::string &Id, bool Other,
                                    bool Quiet) const;
  bool occurs(double Part);

  steer::asio::io_context &m_Io;
  TableStandIn &m_Table;
  Observations &m_Observed;
  UpstreamPlan m_Plan;
  Random m_Rng;
  steer::Tcp::acceptor m_Acceptor;
  /// Start time in ms; increases with each start.
  std::uint64_t m_Incarnation = 0;
  unsigned m_ActiveRequests = 0;
  bool m_Leaving = false;
  std::list<std::weak_ptr<test::ServerSide>> m_Connections;
};

} // namespace mustardspoke::soak
