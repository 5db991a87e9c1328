/// \file
/// Worker thread with an event loop that serves callers.
#pragma once

#include "entry/shared_node.h"

#include <future>
#include <thread>

namespace mustardspoke {

/// \brief Opens a listening TCP socket from which several workers can accept.
/// \returns The file descriptor.
/// \throws std::system_error with the address in its message.
[[nodiscard]] int listenOn(const std::string &Address);

/// \brief One thread of the worker pool.
class Worker {
public:
  /// \param ListenFd Listening socket that all workers share; the worker
  /// doesn't take ownership.
  Worker(SharedNode &Core, int ListenFd);
  ~Worker();
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;

  /// \brief Stops accepting connections and lets the calls in flight finish.
  void drain();

  /// \brief Blocks until the drain is complete.
  void join();

private:
  void run(int ListenFd);

  SharedNode &m_Core;
  std::promise<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> m_Started;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_Drain;
  std::thread m_Thread;
};

} // namespace mustardspoke
