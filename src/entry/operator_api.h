/// \file
/// HTTP interface for operators.
#pragma once

#include "entry/shared_node.h"
#include "http/http.h"
#include "tables/tables.h"

namespace mustardspoke {

/// \brief Handles requests from operators and from the metrics collector.
///
/// | request | token | answer |
/// |---|---|---|
/// | GET /health | no | 200 while the process is running |
/// | GET /metrics | no | counters and histograms as text |
/// | GET /status | yes | bundle, members, limits, counters |
/// | GET /explain | yes | traces of the most recent calls |
/// | GET /explain?id=N | yes | the trace of one call |
/// | GET /bundle | yes | the current bundle document |
/// | POST /bundle | yes | accepts `{"sections":[..]}` |
class OperatorApi {
public:
  OperatorApi(SharedNode &Core, const PlatformClient &Platform)
      : m_Core(Core), m_Platform(Platform) {}

  [[nodiscard]] HttpResponse serve(const HttpRequest &Request);

private:
  [[nodiscard]] HttpResponse status();
  [[nodiscard]] HttpResponse explain(const std::string &QueryString);
  [[nodiscard]] HttpResponse metrics();
  [[nodiscard]] HttpResponse acceptBundle(const std::string &Body);

  SharedNode &m_Core;
  const PlatformClient &m_Platform;
};

} // namespace mustardspoke
