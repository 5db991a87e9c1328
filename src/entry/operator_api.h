/// \file
/// The operators' HTTP interface.
#pragma once

#include "entry/shared.h"
#include "http/http.h"
#include "tables/tables.h"

namespace mustardspoke {

/// \brief Answers operators and the collector of metrics.
///
/// | request | token | answer |
/// |---|---|---|
/// | GET /health | no | 200 while the process runs |
/// | GET /metrics | no | counters and histograms as text |
/// | GET /status | yes | bundle, members, limits, counters |
/// | GET /explain | yes | the calls traced last |
/// | GET /explain?id=N | yes | one of them |
/// | GET /bundle | yes | the document in force |
/// | POST /bundle | yes | accepts `{"sections":[..]}` |
class OperatorApi {
public:
  OperatorApi(Shared &Core, const PlatformClient &Platform)
      : m_Core(Core), m_Platform(Platform) {}

  [[nodiscard]] HttpAnswer serve(const HttpQuery &Query);

private:
  [[nodiscard]] HttpAnswer status();
  [[nodiscard]] HttpAnswer explain(const std::string &Parameters);
  [[nodiscard]] HttpAnswer metrics();
  [[nodiscard]] HttpAnswer accept(const std::string &Body);

  Shared &m_Core;
  const PlatformClient &m_Platform;
};

} // namespace mustardspoke
