/// \file
/// Checks across the sections of a bundle: names, references, caps, cycles.
#include "config/bundle_format.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace mustardspoke {
namespace {

/// Location of an item for validation errors: "team T: KIND NAME".
std::string location(const TeamName &Team, const std::string &Kind,
                     const std::string &Name) {
  return "team " + Team.str() + ": " + Kind + " " + Name;
}

/// Adds an error for every name that another item of the kind already has.
class UniqueNames {
public:
  explicit UniqueNames(ValidationErrors &Errors) : m_Errors(Errors) {}

  void add(const std::string &Kind, const std::string &Name,
           const std::string &Location) {
    auto [Existing, IsNew] =
        m_Locations.try_emplace(Kind + " " + Name, Location);
    if (!IsNew)
      m_Errors.push_back(
          {Location, "a " + Kind + " that " + Existing->second + " has too",
           "names that occur once"});
  }

private:
  ValidationErrors &m_Errors;
  std::map<std::string, std::string> m_Locations; ///< By kind and name.
};

const Region *findRegion(const Bundle &Checked, const RegionName &Name) {
  auto Found = std::ranges::find(Checked.m_Regions, Name, &Region::m_Name);
  return Found == Checked.m_Regions.end() ? nullptr : &*Found;
}

void checkRegionName(const Bundle &Checked, const RegionName &Name,
                     const std::string &Location, ValidationErrors &Errors) {
  if (!findRegion(Checked, Name))
    Errors.push_back(
        {Location, "region " + Name.str(), "a region of the root section"});
}

void checkServices(const Bundle &Checked, UniqueNames &Names,
                   ValidationErrors &Errors) {
  for (const Service &S : Checked.m_Services) {
    std::string ServiceLocation = location(S.m_Team, "service", S.m_Name.str());
    Names.add("service", S.m_Name.str(), ServiceLocation);
    for (const Upstream &U : S.m_Upstreams) {
      std::string UpstreamLocation =
          ServiceLocation + ": upstream " + U.m_Name.str();
      Names.add("upstream", U.m_Name.str(), UpstreamLocation);
      Names.add("upstream address", U.m_Address, UpstreamLocation);
      const Region *Home = findRegion(Checked, U.m_Region);
      checkRegionName(Checked, U.m_Region, UpstreamLocation, Errors);
      if (Home &&
          std::ranges::find(Home->m_FailureDomains, U.m_FailureDomain) ==
              Home->m_FailureDomains.end())
        Errors.push_back({UpstreamLocation,
                          "failure domain " + U.m_FailureDomain.str(),
                          "a failure domain of region " + U.m_Region.str()});
    }
  }
}

void checkShifts(const Bundle &Checked, UniqueNames &Names,
                 ValidationErrors &Errors) {
  for (const Shift &S : Checked.m_Shifts) {
    std::string ShiftLocation = location(S.m_Team, "shift", S.m_Name.str());
    Names.add("shift", S.m_Name.str(), ShiftLocation);
    const Service *Shifted = Checked.findService(S.m_Service);
    if (!Shifted)
      Errors.push_back({ShiftLocation, "service " + S.m_Service.str(),
                        "a service of the bundle"});
    else if (Shifted->m_Team != S.m_Team)
      Errors.push_back({ShiftLocation,
                        "service of team " + Shifted->m_Team.str(),
                        "a service of the shift's own team"});
    checkRegionName(Checked, S.m_From, ShiftLocation, Errors);
    checkRegionName(Checked, S.m_To, ShiftLocation, Errors);
    if (S.m_From == S.m_To)
      Errors.push_back({ShiftLocation, "from and to " + S.m_To.str(),
                        "two different regions"});
  }
}

/// The caps of all shifts into a region together must not exceed its own cap.
void checkCaps(const Bundle &Checked, ValidationErrors &Errors) {
  std::map<RegionName, std::uint64_t> CapSums;
  for (const Shift &S : Checked.m_Shifts) {
    const Region *Target = findRegion(Checked, S.m_To);
    if (!Target)
      continue;
    std::uint64_t &Sum = CapSums[S.m_To];
    Sum += S.m_Cap;
    if (Sum > Target->m_Cap)
      Errors.push_back(
          {location(S.m_Team, "shift", S.m_Name.str()),
           "caps of shifts into " + S.m_To.str() + " that sum to " +
               std::to_string(Sum),
           "at most the region's cap of " + std::to_string(Target->m_Cap)});
  }
}

/// Planned shifts (percent above 0) of a service must not form a cycle of
/// regions. Searches from the target of each shift for a way back to its
/// source.
void checkCycles(const Bundle &Checked, ValidationErrors &Errors) {
  for (const Shift &Start : Checked.m_Shifts) {
    if (Start.m_Percent == 0)
      continue;
    std::set<RegionName> Visited{Start.m_To};
    std::vector<RegionName> Pending{Start.m_To};
    while (!Pending.empty()) {
      RegionName Current = Pending.back();
      Pending.pop_back();
      for (const Shift &Next : Checked.m_Shifts)
        if (Next.m_Service == Start.m_Service && Next.m_Percent > 0 &&
            Next.m_From == Current && Visited.insert(Next.m_To).second)
          Pending.push_back(Next.m_To);
    }
    if (Visited.contains(Start.m_From))
      Errors.push_back(
          {location(Start.m_Team, "shift", Start.m_Name.str()),
           "a cycle of planned shifts through " + Start.m_From.str(),
           "planned shifts without cycles"});
  }
}

} // namespace

void checkBundle(const Bundle &Checked, ValidationErrors &Errors) {
  UniqueNames Names(Errors);
  for (const Team &T : Checked.m_Teams)
    Names.add("team", T.m_Name.str(), "team " + T.m_Name.str());
  for (const Region &R : Checked.m_Regions)
    Names.add("region", R.m_Name.str(),
              location(R.m_Team, "region", R.m_Name.str()));
  for (const Link &L : Checked.m_Links) {
    std::string Name = L.m_From.str() + "-" + L.m_To.str();
    Names.add("link", Name, location(L.m_Team, "link", Name));
    checkRegionName(Checked, L.m_From, location(L.m_Team, "link", Name),
                    Errors);
    checkRegionName(Checked, L.m_To, location(L.m_Team, "link", Name), Errors);
  }
  for (const ClientBlock &Block : Checked.m_Clients)
    checkRegionName(Checked, Block.m_Region, "client block", Errors);
  checkServices(Checked, Names, Errors);
  checkShifts(Checked, Names, Errors);
  checkCaps(Checked, Errors);
  checkCycles(Checked, Errors);
}

} // namespace mustardspoke
