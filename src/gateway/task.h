/// \file
/// Coroutines and handlers without a waiting caller: what happens on failure.
#pragma once

#include "gateway/net.h"

#include <functional>
#include <utility>

namespace mustardspoke::steer {

/// \brief Logs that a part of the process has failed.
/// \param Part Name for the log.
void logFailure(std::string_view Part, const std::exception_ptr &Thrown);

/// \brief Starts a coroutine that ends by itself. If an exception leaves it,
/// that is logged and \p OnFailure is called.
template <class Task>
void startTask(asio::io_context &Io, std::string_view Name, Task &&Run,
               std::function<void()> OnFailure = nullptr) {
  asio::co_spawn(Io, std::forward<Task>(Run),
                 [Name, OnFailure = std::move(OnFailure)](
                     const std::exception_ptr &Thrown) {
                   if (!Thrown)
                     return;
                   logFailure(Name, Thrown);
                   if (OnFailure)
                     OnFailure();
                 });
}

/// \brief Starts a coroutine that must do its work, or go on as long as the
/// process runs. If an exception leaves it, that is logged, and it is begun
/// anew after a second.
void startService(asio::io_context &Io, std::string_view Name,
                  std::function<awaitable<void>()> Run);

/// \brief Runs the event loop until it is stopped. An exception that leaves a
/// handler is logged; the loop goes on.
void runEvents(asio::io_context &Io);

} // namespace mustardspoke::steer
