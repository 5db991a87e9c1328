/// \file
/// Steps of the request path that a request and its explanation share. None of
/// them changes the state of the VM.
#pragma once

#include "gateway/http_message.h"
#include "gateway/state.h"

namespace mustardspoke::steer {

/// \brief What the choice of an upstream depends on, besides the VM's state.
struct RoutedRequest {
  const RouteTable &m_Routes;
  const Route &m_Route;
  Residency m_Residency;       ///< Where the request may go now.
  ServiceName m_Service;       ///< One of the route's targets.
  std::uint64_t m_KeyHash = 0; ///< See requestKeyHash().
  TimePoint m_ArrivedAt;
  PlacementKey m_PlacementKey = NoPlacementKey; ///< See requestPlacementKey().
};

/// \returns The route of a request, or null.
[[nodiscard]] const Route *findRoute(const RouteTable &Routes,
                                     const HttpHead &Request);

/// \brief Hash by which a request is distributed: a request without an affinity
/// key by its own identifier.
[[nodiscard]] std::uint64_t requestKeyHash(std::string_view AffinityKey,
                                           std::string_view RequestId);

/// \brief Names the affinity key within its service for KeyPlacement.
/// \returns NoPlacementKey if the request needn't go where its key is held.
[[nodiscard]] PlacementKey requestPlacementKey(const Route &Selected,
                                               const ServiceName &Service,
                                               std::string_view AffinityKey);

/// \brief The inputs of the choice for one attempt.
/// \param Shares The shares of keys after the request was counted.
[[nodiscard]] ChoiceInput choiceInput(const GatewayState &State,
                                      const LocalShares &Shares,
                                      const RoutedRequest &Request,
                                      TimePoint Now);

/// \brief Name of \p Reason in log lines and answers to operators.
[[nodiscard]] std::string_view refusalName(RefusalReason Reason);

} // namespace mustardspoke::steer
