/// \file
/// Changes of the links' state, and what follows from them.
#include "gateway/own_links.h"

#include "observe/log.h"

namespace mustardspoke::steer {

void OwnLinks::recordAnswer() {
  m_Evidence.recordAnswer(steadyNow());
  if (m_State != LinkState::Up)
    update();
}

void OwnLinks::recordProbe() {
  m_Evidence.recordProbe(steadyNow());
  if (m_State != LinkState::Up)
    update();
}

void OwnLinks::recordOpenFailure(const Upstream &Target, TimePoint Began,
                                 bool IsProbe) {
  m_Evidence.recordOpenFailure(Target.m_Registration, Began, IsProbe);
  m_Changed.notify();
  update();
}

void OwnLinks::recordPeerReached() {
  m_Evidence.recordPeerReached(steadyNow());
  update();
}

void OwnLinks::recordLoss(TimePoint SentAt) {
  m_Evidence.recordLoss(SentAt);
  m_Changed.notify();
}

void OwnLinks::recordStall() {
  // Lost links stay lost until there is contact.
  if (m_State == LinkState::Up)
    m_Evidence.recordStall(steadyNow());
}

void OwnLinks::beginWait() {
  bool WasQuiet = !m_Evidence.mayComeIntoDoubt();
  m_Evidence.beginWait(steadyNow());
  if (WasQuiet)
    m_Changed.notify();
}

std::optional<Duration> OwnLinks::contactAge() const {
  if (!m_Evidence.hadContact())
    return std::nullopt;
  return steadyNow() - m_Evidence.contactAt();
}

void OwnLinks::update() {
  // Counting the upstreams of a large deployment for each failure would cost
  // more than the failure.
  LinkState State = LinkState::Up;
  if (m_Evidence.failureCount() >= m_Evidence.tuning().m_MinUpstreams) {
    LinkScope Scope = linkScope(m_Upstreams, steadyNow());
    // Lost links stay lost until there is contact, also if a peer appears.
    Scope.m_HasPeers = m_State == LinkState::Up && m_HasPeers && m_HasPeers();
    State = m_Evidence.state(Scope);
  }
  if (State != m_State)
    changeState(State);
}

void OwnLinks::changeState(LinkState State) {
  LinkState Before = std::exchange(m_State, State);
  TimePoint Now = steadyNow();
  if (Before == LinkState::Up) {
    ++m_Counters.m_Losses;
    m_LostSince = m_Evidence.contactAt();
  }
  // What failed meanwhile failed on this VM's links.
  m_Upstreams.forEach(
      [this](Upstream &Target) { Target.discardFailures(m_LostSince); });
  auto ContactAge = contactAge();
  logEvent(State == LinkState::Up ? LogLevel::Info : LogLevel::Warning,
           "upstream-links",
           {{"state", std::string(linkStateName(State))},
            {"before", std::string(linkStateName(Before))},
            {"failed", std::to_string(m_Evidence.failureCount())},
            {"contactAgeMs",
             ContactAge ? std::to_string(toMillis(*ContactAge)) : ""},
            {"forMs", std::to_string(toMillis(Now - m_LostSince))}});
  if (State == LinkState::Lost)
    for (LinkListener &Listener : m_Listeners)
      Listener.m_OnLinksLost();
  if (m_OnChange)
    m_OnChange();
}

std::string linkExposition(const OwnLinks &Links) {
  auto Metric = [](std::string_view Name, std::string_view Type,
                   std::size_t Value) {
    return "# TYPE " + std::string(Name) + " " + std::string(Type) + "\n" +
           std::string(Name) + " " + std::to_string(Value) + "\n";
  };
  const LinkCounters &Counters = Links.m_Counters;
  return Metric("mustardspoke_links_lost", "gauge",
                std::size_t(Links.state())) +
         Metric("mustardspoke_link_losses_total", "counter",
                Counters.m_Losses) +
         Metric("mustardspoke_link_probes_total", "counter",
                Counters.m_Probes) +
         Metric("mustardspoke_attempts_relayed_by_peers_total", "counter",
                Counters.m_RelayedOut) +
         Metric("mustardspoke_attempts_not_relayed_total", "counter",
                Counters.m_RelayFailed) +
         Metric("mustardspoke_attempts_relayed_for_peers_total", "counter",
                Counters.m_RelayedIn);
}

} // namespace mustardspoke::steer
