/// \file
/// Log lines and metrics about the memory for buffered bytes.
#include "gateway/buffer_report.h"

#include "observe/log.h"

namespace mustardspoke::steer {

void BufferLog::logChanges(const BufferBudget &Buffers) {
  const BufferBudget::Counters &Now = Buffers.m_Counters;
  bool IsScarce =
      Buffers.room() != BufferRoom::Ample || Now.m_Refused > m_Before.m_Refused;
  if (IsScarce != m_WasScarce)
    logEvent(IsScarce ? LogLevel::Warning : LogLevel::Info,
             IsScarce ? "buffers-scarce" : "buffers-available",
             {{"bytes", std::to_string(Buffers.used())},
              {"limit", std::to_string(Buffers.limit())},
              {"peak", std::to_string(Buffers.peak())},
              {"streamed", std::to_string(Now.m_Streamed)},
              {"unretained", std::to_string(Now.m_Unretained)},
              {"refused", std::to_string(Now.m_Refused)}});
  m_WasScarce = IsScarce;
  m_Before = Now;
}

std::string bufferExposition(const BufferBudget &Buffers) {
  std::string Text;
  auto Add = [&Text](std::string_view Name, std::string_view Type,
                     std::uint64_t Value) {
    Text += "# TYPE " + std::string(Name) + " " + std::string(Type) + "\n" +
            std::string(Name) + " " + std::to_string(Value) + "\n";
  };
  const BufferBudget::Counters &Counts = Buffers.m_Counters;
  Add("mustardspoke_buffered_bytes", "gauge", Buffers.used());
  Add("mustardspoke_buffered_bytes_peak", "gauge", Buffers.peak());
  Add("mustardspoke_buffered_bytes_limit", "gauge", Buffers.limit());
  Add("mustardspoke_streamed_for_lack_of_buffers_total", "counter",
      Counts.m_Streamed);
  Add("mustardspoke_unretained_for_lack_of_buffers_total", "counter",
      Counts.m_Unretained);
  Add("mustardspoke_refused_for_lack_of_buffers_total", "counter",
      Counts.m_Refused);
  return Text;
}

} // namespace mustardspoke::steer
