/// \file
/// Explains to operators where a request would be sent now, and why.
#pragma once

#include "gateway/state.h"

#include <string>
#include <string_view>
#include <vector>

namespace mustardspoke::steer {

/// \brief The request that is to be explained. Customers are identified by
/// name: keys are neither accepted nor printed.
struct ExplainQuery {
  std::string m_Host;
  std::string m_Path;
  std::string m_AffinityKey; ///< Empty: none.
  std::string m_Customer;    ///< Empty: none.
};

/// \brief What one step of the request path found.
struct ExplainSection {
  std::string m_Title;
  std::vector<std::string> m_Lines;
};

struct Explanation {
  /// Of the page: 200 if a decision is explained, whatever it is; 404 for an
  /// unknown host, path or customer, 400 for an incomplete query, 503 without a
  /// configuration.
  unsigned m_Status = 200;
  /// In the order of the request path. The last one is the decision.
  std::vector<ExplainSection> m_Sections;
  UpstreamPtr m_Upstream; ///< Null if the request would be refused.
};

/// \brief Makes the decisions of the request path for a request that arrives
/// now. Nothing is sent, counted or taken: \p State is the same afterwards.
[[nodiscard]] Explanation explain(const GatewayState &State,
                                  const ExplainQuery &Query);

/// \brief The page `GET /explain?host=&path=&key=&customer=`.
/// \returns A complete response.
[[nodiscard]] std::string explainPage(const GatewayState &State,
                                      std::string_view Target);

} // namespace mustardspoke::steer
