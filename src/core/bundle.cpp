/// \file
/// Bundle queries and the derivation of limits from a bundle.
#include "core/bundle.h"

#include <algorithm>
#include <map>

namespace mustardspoke {

const Service *Bundle::findService(const ServiceName &Wanted) const noexcept {
  auto At = std::ranges::find(m_Services, Wanted, &Service::m_Name);
  return At == m_Services.end() ? nullptr : &*At;
}

const Link *Bundle::findLink(const RegionName &From,
                             const RegionName &To) const noexcept {
  auto At = std::ranges::find_if(
      m_Links, [&](const Link &L) { return L.m_From == From && L.m_To == To; });
  return At == m_Links.end() ? nullptr : &*At;
}

LimitName limitName(const UpstreamName &Upstream) {
  return LimitName("upstream/" + Upstream.str());
}
LimitName limitName(const RegionName &Region) {
  return LimitName("region/" + Region.str());
}
LimitName limitName(const ShiftName &Shift) {
  return LimitName("shift/" + Shift.str());
}
LimitName limitName(const Link &Path) {
  return LimitName("link/" + Path.m_From.str() + "-" + Path.m_To.str());
}

bool Limit::isHomeRegion(const RegionName &Region) const noexcept {
  return std::ranges::find(m_HomeRegions, Region) != m_HomeRegions.end();
}

namespace {

/// \p Owner and every region with a planned shift of \p Moved into it; a null
/// \p Moved means shifts of any service.
std::vector<RegionName> homeRegions(const Bundle &Config,
                                    const RegionName &Owner,
                                    const Service *Moved) {
  std::vector<RegionName> Homes{Owner};
  for (const Shift &S : Config.m_Shifts) {
    bool IsPlanned = S.m_Percent > 0 && S.m_To == Owner &&
                     (!Moved || S.m_Service == Moved->m_Name);
    if (IsPlanned && std::ranges::find(Homes, S.m_From) == Homes.end())
      Homes.push_back(S.m_From);
  }
  return Homes;
}

} // namespace

std::vector<Limit> limitsOf(const Bundle &Config) {
  Duration Longest{};
  std::vector<Limit> Limits;
  for (const Service &S : Config.m_Services) {
    Longest = std::max(Longest, S.m_MaxDeadline);
    std::map<RegionName, std::uint32_t> Ordinals;
    for (const Upstream &U : S.m_Upstreams)
      Limits.push_back({limitName(U.m_Name), U.m_Slots, S.m_MaxDeadline,
                        homeRegions(Config, U.m_Region, &S),
                        stableHash(S.m_Name.str()), Ordinals[U.m_Region]++});
  }
  for (const Region &R : Config.m_Regions)
    Limits.push_back({limitName(R.m_Name), R.m_Cap, Longest,
                      homeRegions(Config, R.m_Name, nullptr)});
  for (const Link &L : Config.m_Links)
    Limits.push_back({limitName(L), L.m_Cap, Longest, {L.m_From}});
  for (const Shift &S : Config.m_Shifts) {
    const Service *Moved = Config.findService(S.m_Service);
    Limits.push_back({limitName(S.m_Name),
                      S.m_Cap,
                      Moved ? Moved->m_MaxDeadline : Longest,
                      {S.m_From}});
  }
  std::ranges::sort(Limits, {}, &Limit::m_Name);
  return Limits;
}

} // namespace mustardspoke
