/// \file
/// Longest-prefix match and weighted traffic splits.
#include "steer/route_table.h"

#include <algorithm>

namespace mustardspoke::steer {

bool Route::allows(const RegionName &Region) const noexcept {
  return m_AllowedRegions.empty() ||
         std::find(m_AllowedRegions.begin(), m_AllowedRegions.end(), Region) !=
             m_AllowedRegions.end();
}

void RouteTable::add(const std::string &Host, Route NewRoute) {
  std::vector<Route> &Routes = m_Hosts[Host];
  auto Longer = [](const Route &Left, const Route &Right) {
    return Left.m_Prefix.size() > Right.m_Prefix.size();
  };
  auto At = std::upper_bound(Routes.begin(), Routes.end(), NewRoute, Longer);
  Routes.insert(At, std::move(NewRoute));
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const noexcept {
  auto Routes = m_Hosts.find(Host);
  if (Routes == m_Hosts.end())
    return nullptr;
  for (const Route &Candidate : Routes->second)
    if (Path.starts_with(Candidate.m_Prefix))
      return &Candidate;
  return nullptr;
}

const ServiceSettings *
RouteTable::findService(const ServiceName &Service) const noexcept {
  auto Found = m_Services.find(Service);
  return Found == m_Services.end() ? nullptr : &Found->second;
}

std::size_t RouteTable::size() const noexcept {
  std::size_t Count = 0;
  for (const auto &[Host, Routes] : m_Hosts)
    Count += Routes.size();
  return Count;
}

const ServiceName &TrafficSplitter::next(const Route &Split) {
  if (Split.m_Targets.size() == 1)
    return Split.m_Targets.front().m_Service;
  std::vector<Credit> &Credits = m_Routes[Split.m_Name];
  bool Same = Credits.size() == Split.m_Targets.size();
  for (std::size_t I = 0; Same && I < Credits.size(); ++I)
    Same = Credits[I].m_Service == Split.m_Targets[I].m_Service;
  if (!Same) {
    Credits.clear();
    for (const TrafficTarget &Target : Split.m_Targets)
      Credits.push_back({Target.m_Service, 0});
  }
  std::int64_t Sum = 0;
  std::size_t Best = 0;
  for (std::size_t I = 0; I < Credits.size(); ++I) {
    Sum += Split.m_Targets[I].m_Weight;
    Credits[I].m_Credit += Split.m_Targets[I].m_Weight;
    if (Credits[I].m_Credit > Credits[Best].m_Credit)
      Best = I;
  }
  Credits[Best].m_Credit -= Sum;
  return Split.m_Targets[Best].m_Service;
}

} // namespace mustardspoke::steer
