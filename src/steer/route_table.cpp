/// \file
/// Longest-prefix match and weighted splits.
#include "steer/route_table.h"

#include <algorithm>

namespace mustardspoke::steer {

bool Route::allows(const RegionName &Region) const noexcept {
  return m_AllowedRegions.empty() ||
         std::find(m_AllowedRegions.begin(), m_AllowedRegions.end(), Region) !=
             m_AllowedRegions.end();
}

void RouteTable::add(const std::string &Host, Route One) {
  std::vector<Route> &Routes = m_Hosts[Host];
  auto Longer = [](const Route &Left, const Route &Right) {
    return Left.m_Prefix.size() > Right.m_Prefix.size();
  };
  auto At = std::upper_bound(Routes.begin(), Routes.end(), One, Longer);
  Routes.insert(At, std::move(One));
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const noexcept {
  auto Routes = m_Hosts.find(Host);
  if (Routes == m_Hosts.end())
    return nullptr;
  for (const Route &One : Routes->second)
    if (Path.starts_with(One.m_Prefix))
      return &One;
  return nullptr;
}

const ServiceRules *RouteTable::service(const ServiceName &Of) const noexcept {
  auto Found = m_Services.find(Of);
  return Found == m_Services.end() ? nullptr : &Found->second;
}

std::size_t RouteTable::size() const noexcept {
  std::size_t Count = 0;
  for (const auto &[Host, Routes] : m_Hosts)
    Count += Routes.size();
  return Count;
}

const ServiceName &PartDealer::next(const Route &Of) {
  if (Of.m_Parts.size() == 1)
    return Of.m_Parts.front().m_Service;
  std::vector<Credit> &Credits = m_Routes[Of.m_Name];
  bool Same = Credits.size() == Of.m_Parts.size();
  for (std::size_t I = 0; Same && I < Credits.size(); ++I)
    Same = Credits[I].m_Service == Of.m_Parts[I].m_Service;
  if (!Same) {
    Credits.clear();
    for (const TrafficPart &Part : Of.m_Parts)
      Credits.push_back({Part.m_Service, 0});
  }
  std::int64_t Sum = 0;
  std::size_t Best = 0;
  for (std::size_t I = 0; I < Credits.size(); ++I) {
    Sum += Of.m_Parts[I].m_Weight;
    Credits[I].m_Credit += Of.m_Parts[I].m_Weight;
    if (Credits[I].m_Credit > Credits[Best].m_Credit)
      Best = I;
  }
  Credits[Best].m_Credit -= Sum;
  return Of.m_Parts[Best].m_Service;
}

} // namespace mustardspoke::steer
