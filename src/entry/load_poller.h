/// \file
/// Polls the load reports of upstreams.
#pragma once

#include "entry/headers.h"
#include "entry/shared_node.h"

#include <kj/async-io.h>
#include <kj/timer.h>

namespace mustardspoke {

/// \brief Sends `GET /load` to each upstream that the core selects.
///
/// \details The answer is `{"slots":N,"busy":N,"draining":BOOL}`. Reports
/// are hints: the core lets them lower an estimate of free capacity, never
/// raise it.
class LoadPoller {
public:
  LoadPoller(SharedNode &Core, kj::Network &Network, kj::Timer &Timer)
      : m_Core(Core), m_Network(Network), m_Timer(Timer) {}

  /// \brief Polls once each upstream that is assigned to this VM.
  [[nodiscard]] kj::Promise<void> poll();

private:
  static constexpr kj::Duration PollTimeout = 900 * kj::MILLISECONDS;
  static constexpr std::uint64_t MaxReportBytes = 4096;

  [[nodiscard]] kj::Promise<void> pollUpstream(const Upstream &Target);

  SharedNode &m_Core;
  kj::Network &m_Network;
  kj::Timer &m_Timer;
  HeaderTable m_Headers;
};

} // namespace mustardspoke
