/// \file
/// The thread that talks to the platform.
#pragma once

#include "entry/shared.h"
#include "tables/tables.h"

#include <atomic>
#include <thread>

namespace mustardspoke {

/// \brief Carries out the core's store requests and polls the VM list.
class StoreLoop {
public:
  StoreLoop(Shared &Core, const PlatformClient &Platform);
  ~StoreLoop();
  StoreLoop(const StoreLoop &) = delete;
  StoreLoop &operator=(const StoreLoop &) = delete;

private:
  void run();
  /// Does one piece of work. \returns Whether there was any.
  bool step();
  bool listVms();
  bool fetchBundle();

  Shared &m_Core;
  const PlatformClient &m_Platform;
  TimePoint m_NextList{};
  TimePoint m_NextFetch{};
  std::atomic<bool> m_Stop = false;
  std::thread m_Thread;
};

} // namespace mustardspoke
