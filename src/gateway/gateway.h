/// \file
/// Public header of the gateway package: a process that serves callers,
/// look-ups and readiness checks on an entry VM.
#pragma once

#include "gateway/row_decoder.h"
#include "gateway/settings.h"
#include "gateway/wire_format.h"

#include <functional>
#include <memory>

namespace mustardspoke::steer {

/// \brief What a platform adapter provides to the gateway.
struct GatewayAdapter {
  const WireFormat &m_WireFormat;
  RowDecoder m_Decoder;
  std::unique_ptr<RowStore> (*m_MakeStore)(asio::io_context &Io,
                                           std::string Address);
};

/// \brief Runs the gateway until a signal stops it.
/// \param Path Settings file; it is read again when it changes.
/// \returns The process's exit status.
[[nodiscard]] int runGateway(const std::string &Path,
                             const GatewaySettings &Settings,
                             const GatewayAdapter &Adapter);

} // namespace mustardspoke::steer
