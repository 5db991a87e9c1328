/// \file
/// The kinds of fault and their schedule.
#include "soak/faults.h"

namespace mustardspoke::soak {

using namespace steer;

namespace {

/// Faults begun in a second, on average; each lasts about as long.
constexpr double PerSecond = 1.5;
constexpr unsigned MostTimes = 3;   ///< Of one fault in a series.
constexpr Duration LapseAfter = 1s; ///< A crashed upstream's registration.

/// \brief A mode that is not LinkMode::Pass.
LinkMode anyHarm(Random &Rng) {
  constexpr LinkMode Modes[] = {LinkMode::Delay, LinkMode::Reset,
                                LinkMode::CutRequests, LinkMode::CutAnswers,
                                LinkMode::Silent};
  return Modes[Rng(5)];
}

} // namespace

Faults::Faults(asio::io_context &Io, Site &On, std::uint64_t Seed)
    : m_Io(Io), m_Site(On), m_Rng(Seed, 7), m_Start(steadyNow()) {}

const std::vector<Faults::Kind> &Faults::kinds() {
  static const std::vector<Kind> All{
      {"kill-vm", &Faults::killVm},
      {"kill-all-vms", &Faults::killAllVms},
      {"stop-vm", &Faults::stopVm},
      {"stop-vm-twice", &Faults::stopVmTwice},
      {"stop-paused-vm", &Faults::stopPausedVm},
      {"pause-vm", &Faults::pauseVm},
      {"hang-up", &Faults::hangUp},
      {"rewrite-settings", &Faults::rewriteSettings},
      {"harm-table", &Faults::harmTable},
      {"forget-history", &Faults::forgetHistory},
      {"harm-store-link", &Faults::harmStoreLink},
      {"crash-upstream", &Faults::crashUpstream},
      {"leave-upstream", &Faults::leaveUpstream},
      {"slow-upstream", &Faults::slowUpstream},
      {"spoil-answers", &Faults::spoilAnswers},
      {"harm-upstream-link", &Faults::harmUpstreamLink},
      {"edition", &Faults::edition},
      {"evacuate", &Faults::evacuate}};
  return All;
}

void Faults::start(Duration Length) {
  m_Start = steadyNow();
  auto Count = unsigned(double(toMillis(Length)) / 1000 * PerSecond);
  for (unsigned I = 0; I < Count; ++I) {
    Duration When = m_Rng(std::uint32_t(toMillis(Length))) * 1ms;
    const Kind &What = kinds()[m_Rng(std::uint32_t(kinds().size()))];
    unsigned Times = m_Rng(3) == 0 ? MostTimes : 1;
    ++m_Open;
    test::spawn(m_Io,
                [this, When, &What, Times]() { return at(When, What, Times); });
  }
}

void Faults::note(const std::string &What) {
  m_Timeline.push_back(std::to_string(toMillis(steadyNow() - m_Start)) + " " +
                       What);
}

Faults::Done Faults::at(Duration When, const Kind &What, unsigned Times) {
  co_await sleepFor(m_Io, When);
  for (unsigned I = 0; I < Times; ++I) {
    note(What.m_Name);
    co_await (this->*What.m_Run)();
  }
  --m_Open;
}

Faults::Done Faults::pause(Duration Least, Duration Most) {
  auto Spread = std::uint32_t(toMillis(Most - Least));
  co_await sleepFor(m_Io, Least + m_Rng(Spread) * 1ms);
}

Faults::Done Faults::killVm() {
  unsigned Vm = anyVm();
  note("  vm " + std::to_string(Vm));
  m_Site.kill(Vm);
  co_await pause(100ms, 1500ms);
  m_Site.startVm(Vm);
}

Faults::Done Faults::killAllVms() {
  for (unsigned Vm = 0; Vm < m_Site.plan().m_Vms; ++Vm)
    m_Site.kill(Vm);
  co_await pause(100ms, 800ms);
  for (unsigned Vm = 0; Vm < m_Site.plan().m_Vms; ++Vm)
    m_Site.startVm(Vm);
}

Faults::Done Faults::stopAndRestart(unsigned Vm, Duration Repeat) {
  note("  vm " + std::to_string(Vm));
  m_Site.stop(Vm);
  if (Repeat > Duration::zero()) {
    co_await sleepFor(m_Io, Repeat);
    if (m_Site.stopping(Vm))
      m_Site.stop(Vm);
  }
  while (m_Site.running(Vm) && m_Site.stopping(Vm))
    co_await sleepFor(m_Io, 20ms);
  co_await pause(50ms, 500ms);
  m_Site.startVm(Vm);
}

Faults::Done Faults::stopVm() {
  return stopAndRestart(anyVm(), Duration::zero());
}

Faults::Done Faults::stopVmTwice() { return stopAndRestart(anyVm(), 300ms); }

Faults::Done Faults::stopPausedVm() {
  unsigned Vm = anyVm();
  m_Site.pause(Vm);
  co_await pause(100ms, 500ms);
  m_Site.stop(Vm);
  m_Site.resume(Vm);
  co_await stopAndRestart(Vm, Duration::zero());
}

Faults::Done Faults::pauseVm() {
  unsigned Vm = anyVm();
  note("  vm " + std::to_string(Vm));
  m_Site.pause(Vm);
  co_await pause(200ms, 4s);
  m_Site.resume(Vm);
}

Faults::Done Faults::hangUp() {
  m_Site.hangUp(anyVm());
  co_return;
}

Faults::Done Faults::rewriteSettings() {
  m_Site.rewriteSettings(anyVm());
  co_return;
}

Faults::Done Faults::harmTable() {
  constexpr TableMode Modes[] = {TableMode::Busy, TableMode::Silent,
                                 TableMode::Slow, TableMode::LoseAnswers};
  TableMode To = Modes[m_Rng(4)];
  note("  mode " + std::to_string(int(To)));
  m_Site.setTable(To);
  co_await pause(500ms, 4s);
  m_Site.setTable(TableMode::Up);
}

Faults::Done Faults::forgetHistory() {
  m_Site.forgetHistory();
  co_return;
}

Faults::Done Faults::harmStoreLink() {
  unsigned Vm = anyVm();
  LinkMode To = anyHarm(m_Rng);
  note("  vm " + std::to_string(Vm) + " mode " + std::to_string(int(To)));
  m_Site.setStoreLink(Vm, To);
  co_await pause(500ms, 4s);
  m_Site.setStoreLink(Vm, LinkMode::Pass);
}

Faults::Done Faults::crashUpstream() {
  unsigned Which = anyUpstream();
  note("  " + m_Site.upstream(Which).plan().m_Id);
  if (!m_Site.upstream(Which).running())
    co_return;
  m_Site.crash(Which);
  co_await sleepFor(m_Io, LapseAfter);
  // Some come back under their name before the entry lapses.
  if (m_Rng(2) == 0 && !m_Site.upstream(Which).running()) {
    m_Site.upstream(Which).lapse();
    co_await pause(100ms, 2s);
  }
  m_Site.startUpstream(Which);
}

Faults::Done Faults::leaveUpstream() {
  unsigned Which = anyUpstream();
  note("  " + m_Site.upstream(Which).plan().m_Id);
  if (!m_Site.upstream(Which).running())
    co_return;
  m_Site.leave(Which);
  co_await pause(3s, 5s);
  if (m_Site.upstream(Which).running()) {
    m_Site.crash(Which);
    m_Site.upstream(Which).lapse();
  }
  co_await pause(200ms, 1s);
  m_Site.startUpstream(Which);
}

Faults::Done Faults::slowUpstream() {
  unsigned Which = anyUpstream();
  m_Site.upstream(Which).m_Faults.m_Slowness = 20;
  co_await pause(1s, 4s);
  m_Site.upstream(Which).m_Faults.m_Slowness = 1;
}

Faults::Done Faults::spoilAnswers() {
  unsigned Which = anyUpstream();
  UpstreamFaults &Of = m_Site.upstream(Which).m_Faults;
  Of.m_LoseAnswers = 0.1;
  Of.m_CutAnswers = 0.1;
  Of.m_ExtraAnswers = 0.1;
  co_await pause(1s, 4s);
  Of = {};
}

Faults::Done Faults::harmUpstreamLink() {
  unsigned Which = anyUpstream();
  LinkMode To = anyHarm(m_Rng);
  note("  " + m_Site.upstream(Which).plan().m_Id + " mode " +
       std::to_string(int(To)));
  m_Site.setUpstreamLink(Which, To);
  co_await pause(500ms, 4s);
  m_Site.setUpstreamLink(Which, LinkMode::Pass);
}

Faults::Done Faults::edition() {
  m_Site.nextEdition();
  co_return;
}

Faults::Done Faults::evacuate() {
  std::string Domain =
      Site::domains()[m_Rng(std::uint32_t(Site::domains().size()))];
  note("  " + Domain);
  m_Site.evacuate(Domain);
  co_await pause(1s, 7s);
  m_Site.takeBack(Domain);
}

} // namespace mustardspoke::soak
