/// \file
/// This VM's own links to the upstreams: their state, and who acts on a change.
#pragma once

#include "gateway/net.h"
#include "steer/steer.h"

#include <boost/intrusive/list.hpp>

#include <functional>
#include <string>

namespace mustardspoke::steer {

/// \brief Is told when the own links are lost. Leaves its list when it is
/// destroyed.
struct LinkListener
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  std::function<void()> m_OnLinksLost;
};

/// \brief Counters of a gateway's links, for its metrics.
struct LinkCounters {
  unsigned m_Losses = 0;      ///< Changes from LinkState::Up.
  unsigned m_Probes = 0;      ///< Connections opened for probes.
  unsigned m_RelayedOut = 0;  ///< Attempts that peers carried for this VM.
  unsigned m_RelayFailed = 0; ///< Of these, without a result of the upstream.
  unsigned m_RelayedIn = 0;   ///< Attempts carried for peers.
};

/// \brief Turns what attempts and probes show into a LinkState.
class OwnLinks {
public:
  OwnLinks(asio::io_context &Io, UpstreamTable &Upstreams)
      : m_Upstreams(Upstreams), m_Evidence(steadyNow()), m_Changed(Io) {}

  // Evidence; see UpstreamLinks.
  void recordAnswer();
  void recordProbe();
  void recordOpened() { m_Evidence.recordOpened(steadyNow()); }
  void recordOpenFailure(const Upstream &Target, TimePoint Began,
                         bool IsProbe = false);
  void recordPeerReached();
  void recordLoss(TimePoint SentAt);
  void recordStall();
  void beginWait();
  void endWait() noexcept { m_Evidence.endWait(); }

  [[nodiscard]] LinkState state() const noexcept { return m_State; }
  [[nodiscard]] const UpstreamLinks &evidence() const noexcept {
    return m_Evidence;
  }
  /// \brief Whether there was contact after \p Since.
  [[nodiscard]] bool hadContactSince(TimePoint Since) const noexcept {
    return m_Evidence.hadContact() && m_Evidence.contactAt() > Since;
  }
  /// \brief Time since the last contact; none if there was none yet.
  [[nodiscard]] std::optional<Duration> contactAge() const;

  /// \brief Waits until probes may be needed.
  awaitable<void> waitForChange() { return m_Changed.wait(); }
  void notifyChange() { m_Changed.notify(); }
  void addListener(LinkListener &Listener) { m_Listeners.push_back(Listener); }

  /// \brief Whether a peer that could relay is known; see
  /// LinkScope::m_HasPeers.
  std::function<bool()> m_HasPeers;
  /// \brief Called with each new state, when peers should be told soon.
  std::function<void()> m_OnChange;
  LinkCounters m_Counters;

private:
  void update();
  void changeState(LinkState State);

  UpstreamTable &m_Upstreams;
  UpstreamLinks m_Evidence;
  LinkState m_State = LinkState::Up;
  /// Last contact before the links were lost.
  TimePoint m_LostSince{};
  Notifier m_Changed;
  boost::intrusive::list<LinkListener,
                         boost::intrusive::constant_time_size<false>>
      m_Listeners;
};

/// \brief Counts a request as waiting for its answer over an own link.
class WaitGuard {
public:
  explicit WaitGuard(OwnLinks &Links) : m_Links(Links) { m_Links.beginWait(); }
  ~WaitGuard() { m_Links.endWait(); }
  WaitGuard(const WaitGuard &) = delete;
  WaitGuard &operator=(const WaitGuard &) = delete;

private:
  OwnLinks &m_Links;
};

/// \brief Text of the metrics page.
[[nodiscard]] std::string linkExposition(const OwnLinks &Links);

} // namespace mustardspoke::steer
