/// \file
/// Callers that send bytes without end, or don't read their answers.
#pragma once

#include "soak/callers.h"
#include "support/floods.h"

#include <list>

namespace mustardspoke::soak {

/// The field with which a caller asks the stand-in of an upstream for an answer
/// of so many bytes.
inline constexpr std::string_view AnswerBytesField = "X-Answer-Bytes";

class FloodingCallers {
public:
  FloodingCallers(steer::asio::io_context &Io, Observations &Observed,
                  std::vector<VmAddresses> Vms)
      : m_Io(Io), m_Observed(Observed), m_Vms(std::move(Vms)) {}

  /// \brief Sends \p Plan to \p Vm until it closes the connection, or for
  /// \p Length.
  steer::awaitable<void> send(test::Flood Plan, unsigned Vm, Duration Length);
  /// \brief Has \p Count callers of \p Vm ask for large answers and not read
  /// them for \p Length.
  steer::awaitable<void> leaveUnread(unsigned Count, unsigned Vm,
                                     Duration Length);

private:
  steer::asio::io_context &m_Io;
  Observations &m_Observed;
  std::vector<VmAddresses> m_Vms;
};

} // namespace mustardspoke::soak
