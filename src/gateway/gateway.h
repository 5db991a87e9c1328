/// \file
/// Public header of the gateway package: one process that serves callers,
/// look-ups and readiness checks on an entry VM.
#pragma once

#include "gateway/decoder.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"

#include <functional>
#include <memory>

namespace mustardspoke::steer {

/// \brief What an adapter brings to a gateway.
struct GatewayAdapter {
  const Dialect &m_Dialect;
  RowDecoder m_Decoder;
  std::unique_ptr<RowStore> (*m_MakeStore)(asio::io_context &Io,
                                           std::string Address);
};

/// \brief Runs until it is told to stop.
/// \param Path Of the settings file, which is read again when it changes.
/// \returns The process's exit status.
[[nodiscard]] int runGateway(const std::string &Path,
                             const GatewaySettings &Settings,
                             const GatewayAdapter &Adapter);

} // namespace mustardspoke::steer
