/// \file
/// Faults of the soak, drawn by a seed, in series and overlapping.
#pragma once

#include "soak/site.h"

namespace mustardspoke::soak {

/// \brief Strikes a site until its time is over.
class Faults {
public:
  Faults(steer::asio::io_context &Io, Site &On, std::uint64_t Seed);

  /// \brief Draws when and what, and starts it.
  void start(Duration Length);
  /// \brief Faults that have begun and not ended.
  [[nodiscard]] unsigned open() const { return m_Open; }
  /// \brief What happened, with the milliseconds since the start.
  [[nodiscard]] const std::vector<std::string> &timeline() const {
    return m_Timeline;
  }

private:
  using Done = steer::awaitable<void>;
  struct Kind {
    const char *m_Name;
    Done (Faults::*m_Run)();
  };
  static const std::vector<Kind> &kinds();

  Done at(Duration When, const Kind &What, unsigned Times);
  Done killVm();
  Done killAllVms();
  Done stopVm();
  Done stopVmTwice();
  Done stopPausedVm();
  Done pauseVm();
  Done hangUp();
  Done rewriteSettings();
  Done harmTable();
  Done forgetHistory();
  Done harmStoreLink();
  Done crashUpstream();
  Done leaveUpstream();
  Done slowUpstream();
  Done spoilAnswers();
  Done harmUpstreamLink();
  Done edition();
  Done evacuate();

  Done stopAndRestart(unsigned Vm, Duration Repeat);
  Done pause(Duration Least, Duration Most);
  unsigned anyVm() { return m_Rng(m_Site.plan().m_Vms); }
  unsigned anyUpstream() { return m_Rng(m_Site.harmed()); }
  void note(const std::string &What);

  steer::asio::io_context &m_Io;
  Site &m_Site;
  Random m_Rng;
  TimePoint m_Start;
  unsigned m_Open = 0;
  std::vector<std::string> m_Timeline;
};

} // namespace mustardspoke::soak
