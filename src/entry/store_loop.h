/// \file
/// The thread that sends requests to the platform.
#pragma once

#include "entry/shared_node.h"
#include "tables/tables.h"

#include <atomic>
#include <thread>

namespace mustardspoke {

/// \brief Executes the core's store requests, polls the VM list and fetches new
/// bundles.
class StoreLoop {
public:
  StoreLoop(SharedNode &Core, const PlatformClient &Platform);
  ~StoreLoop();
  StoreLoop(const StoreLoop &) = delete;
  StoreLoop &operator=(const StoreLoop &) = delete;

private:
  void run();
  /// Performs the next task that is due. \returns Whether there was one.
  bool runNextTask();
  bool listVms();
  bool fetchBundle();

  SharedNode &m_Core;
  const PlatformClient &m_Platform;
  TimePoint m_NextListAt{};
  TimePoint m_NextFetchAt{};
  std::atomic<bool> m_Stop = false;
  std::thread m_Thread;
};

} // namespace mustardspoke
