/// \file
/// Log lines and metrics about the memory for buffered bytes.
#pragma once

#include "steer/buffer_budget.h"

#include <string>

namespace mustardspoke::steer {

/// \brief Logs when buffers become scarce, and when they are no longer.
class BufferLog {
public:
  /// \brief To be called at regular intervals, which bounds the number of
  /// lines.
  void logChanges(const BufferBudget &Buffers);

private:
  bool m_WasScarce = false; ///< At any time since the last call but one.
  BufferBudget::Counters m_Before;
};

/// \brief Metrics in the Prometheus text exposition format.
[[nodiscard]] std::string bufferExposition(const BufferBudget &Buffers);

} // namespace mustardspoke::steer
