/// \file
/// Route look-up, and the inputs of the choice of an upstream.
#include "gateway/request_routing.h"

namespace mustardspoke::steer {

const Route *findRoute(const RouteTable &Routes, const HttpHead &Request) {
  std::string_view Path = Request.m_Target;
  return Routes.find(hostWithoutPort(Request), Path.substr(0, Path.find('?')));
}

std::uint64_t requestKeyHash(std::string_view AffinityKey,
                             std::string_view RequestId) {
  return stableHash(AffinityKey.empty() ? RequestId : AffinityKey);
}

PlacementKey requestPlacementKey(const Route &Selected,
                                 const ServiceName &Service,
                                 std::string_view AffinityKey) {
  if (!Selected.m_KeyAffinity || AffinityKey.empty())
    return NoPlacementKey;
  return {stableHash(Service.str()), stableHash(AffinityKey)};
}

ChoiceInput choiceInput(const GatewayState &State, const LocalShares &Shares,
                        const RoutedRequest &Request, TimePoint Now) {
  const ServiceName &Service = Request.m_Service;
  ChoiceInput Input{Request.m_Route, Request.m_Routes.findService(Service),
                    Service, Request.m_Residency};
  Input.m_KeyHash = Request.m_KeyHash;
  Input.m_Now = Now;
  Input.m_TimeToTarget =
      Request.m_ArrivedAt + Request.m_Route.m_TargetLatency - Now;
  Input.m_MeanProcessingTime = State.m_Upstreams.meanProcessingTime(Service);
  Input.m_LocalShare = Shares.shareOf(Service);
  Input.m_MayOverflow =
      Shares.mayOverflow(Service, Now, State.m_Settings.m_LocalShare);
  auto MeanBytes = State.m_MeanResponseBytes.find(Request.m_Route.m_Name);
  if (MeanBytes != State.m_MeanResponseBytes.end())
    Input.m_MeanAnswerBytes = std::uint64_t(MeanBytes->second);
  Input.m_Fleet = &State.m_Fleet;
  Input.m_PlacementKey = Request.m_PlacementKey;
  if (Request.m_PlacementKey != NoPlacementKey) {
    Input.m_Placement = &State.m_KeyPlacement;
    Input.m_ProcessingTimes = State.m_Upstreams.processingTimes(Service);
  }
  Input.m_SenderFraction = [](const void *FleetState, const Upstream &Target,
                              unsigned MaxSenders, TimePoint At) {
    return static_cast<const Fleet *>(FleetState)
        ->senderFraction(Target.m_IdHash, Target.m_Registration.m_Region,
                         MaxSenders, At);
  };
  return Input;
}

std::string_view refusalName(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::AllFull:
    return "full";
  case RefusalReason::AllQuiet:
    return "quiet";
  case RefusalReason::AllLimited:
    return "limited";
  case RefusalReason::None:
  case RefusalReason::NoCandidate:
    break;
  }
  return "no-upstream";
}

} // namespace mustardspoke::steer
