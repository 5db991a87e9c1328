/// \file
/// Stand-in for an upstream that registers itself in the store.
#pragma once

#include "core/upstreams.h"
#include "soak/ledger.h"
#include "soak/table_standin.h"

#include <list>

namespace mustardspoke::soak {

/// \brief How an upstream misbehaves.
struct UpstreamFaults {
  double m_LoseAnswers = 0;  ///< Part of its runs whose answer is lost.
  double m_ExtraAnswers = 0; ///< Part followed by a second answer.
  double m_CutAnswers = 0;   ///< Part that breaks off inside the body.
  double m_Slowness = 1;     ///< Work takes so many times as long.
};

/// \brief Names and addresses of an upstream.
struct UpstreamPlan {
  std::string m_Id;
  std::string m_Service;
  std::string m_Domain;
  std::string m_Listen;  ///< Where it listens.
  std::string m_Address; ///< Where callers are told to find it.
  unsigned m_Slots = 4;
};

/// \brief An upstream with slots, a service time, and the faults that servers
/// have.
class UpstreamStandIn {
public:
  UpstreamStandIn(steer::asio::io_context &Io, TableStandIn &Table, Ledger &Log,
                  UpstreamPlan Plan, std::uint64_t Seed);

  /// \brief Starts a run under the same identifier and registers it.
  void start();
  /// \brief Ends at once; its registration stays until it lapses.
  void crash();
  /// \brief The registration lapses, as that of a crashed upstream does.
  void lapse();
  /// \brief Announces its end and goes on serving.
  void leave();

  [[nodiscard]] bool running() const { return m_On.is_open(); }
  [[nodiscard]] const UpstreamPlan &plan() const { return m_Plan; }
  UpstreamFaults m_Faults;

private:
  using SidePtr = std::shared_ptr<test::ServerSide>;

  void registerAs(const std::string &State);
  steer::awaitable<void> serve(SidePtr Side, std::uint64_t Born);
  /// \returns Whether the connection goes on.
  steer::awaitable<bool> run(SidePtr Side, std::string Id);
  [[nodiscard]] std::string marks() const;
  bool chance(double Part);

  steer::asio::io_context &m_Io;
  TableStandIn &m_Table;
  Ledger &m_Log;
  UpstreamPlan m_Plan;
  Random m_Rng;
  steer::Tcp::acceptor m_On;
  std::uint64_t m_Born = 0; ///< Of the run under way; rises with each.
  unsigned m_Busy = 0;
  bool m_Leaving = false;
  std::list<std::weak_ptr<test::ServerSide>> m_Sides;
};

} // namespace mustardspoke::soak
