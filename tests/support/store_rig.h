/// \file
/// The adapter's store client against the stand-in of the store, in one event
/// loop.
#pragma once

#include "platform/platform.h"
#include "soak/table_standin.h"

#include <optional>

namespace mustardspoke::test {

struct StoreRig {
  static constexpr const char *Address = "127.0.0.1:39181";

  /// \brief Runs the event loop until \p Call has its result.
  steer::StoreResult run(steer::awaitable<steer::StoreResult> Call) {
    std::optional<steer::StoreResult> Result;
    steer::asio::co_spawn(
        m_Io, std::move(Call),
        [&Result](const std::exception_ptr &, steer::StoreResult Done) {
          Result = std::move(Done);
        });
    m_Io.restart();
    while (!Result)
      m_Io.run_one();
    return *Result;
  }

  steer::asio::io_context m_Io;
  soak::TableStandIn m_StandIn{m_Io, Address};
  std::unique_ptr<steer::RowStore> m_Store =
      steer::platform::makeStore(m_Io, Address);
};

} // namespace mustardspoke::test
