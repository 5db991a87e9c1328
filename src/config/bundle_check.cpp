/// \file
/// Checks that need the whole bundle: names, references, caps, cycles.
#include "config/bundle_format.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace mustardspoke {
namespace {

std::string at(const TeamName &Team, const std::string &What,
               const std::string &Name) {
  return "team " + Team.str() + ": " + What + " " + Name;
}

/// Notes a fault for every name that occurs twice.
class NameCheck {
public:
  explicit NameCheck(Faults &Into) : m_Into(Into) {}

  void add(const std::string &Kind, const std::string &Name,
           const std::string &Place) {
    auto [At, IsNew] = m_Seen.try_emplace(Kind + " " + Name, Place);
    if (!IsNew)
      m_Into.push_back({Place, "a " + Kind + " that " + At->second + " has too",
                        "names that occur once"});
  }

private:
  Faults &m_Into;
  std::map<std::string, std::string> m_Seen;
};

const Region *findRegion(const Bundle &In, const RegionName &Wanted) {
  auto At = std::ranges::find(In.m_Regions, Wanted, &Region::m_Name);
  return At == In.m_Regions.end() ? nullptr : &*At;
}

void checkRegionName(const Bundle &In, const RegionName &Wanted,
                     const std::string &Place, Faults &Into) {
  if (!findRegion(In, Wanted))
    Into.push_back(
        {Place, "region " + Wanted.str(), "a region of the root section"});
}

void checkServices(const Bundle &Whole, NameCheck &Names, Faults &Into) {
  for (const Service &S : Whole.m_Services) {
    std::string Place = at(S.m_Team, "service", S.m_Name.str());
    Names.add("service", S.m_Name.str(), Place);
    for (const Upstream &U : S.m_Upstreams) {
      std::string Of = Place + ": upstream " + U.m_Name.str();
      Names.add("upstream", U.m_Name.str(), Of);
      Names.add("upstream address", U.m_Address, Of);
      const Region *Home = findRegion(Whole, U.m_Region);
      checkRegionName(Whole, U.m_Region, Of, Into);
      if (Home &&
          std::ranges::find(Home->m_FailureDomains, U.m_FailureDomain) ==
              Home->m_FailureDomains.end())
        Into.push_back({Of, "failure domain " + U.m_FailureDomain.str(),
                        "a failure domain of region " + U.m_Region.str()});
    }
  }
}

void checkShifts(const Bundle &Whole, NameCheck &Names, Faults &Into) {
  for (const Shift &S : Whole.m_Shifts) {
    std::string Place = at(S.m_Team, "shift", S.m_Name.str());
    Names.add("shift", S.m_Name.str(), Place);
    const Service *Moved = Whole.findService(S.m_Service);
    if (!Moved)
      Into.push_back(
          {Place, "service " + S.m_Service.str(), "a service of the bundle"});
    else if (Moved->m_Team != S.m_Team)
      Into.push_back({Place, "service of team " + Moved->m_Team.str(),
                      "a service of the shift's own team"});
    checkRegionName(Whole, S.m_From, Place, Into);
    checkRegionName(Whole, S.m_To, Place, Into);
    if (S.m_From == S.m_To)
      Into.push_back(
          {Place, "from and to " + S.m_To.str(), "two different regions"});
  }
}

/// Planned shifts into a region must fit under its cap, all together.
void checkCaps(const Bundle &Whole, Faults &Into) {
  std::map<RegionName, std::uint64_t> Planned;
  for (const Shift &S : Whole.m_Shifts) {
    const Region *To = findRegion(Whole, S.m_To);
    if (!To)
      continue;
    std::uint64_t &Sum = Planned[S.m_To];
    Sum += S.m_Cap;
    if (Sum > To->m_Cap)
      Into.push_back(
          {at(S.m_Team, "shift", S.m_Name.str()),
           "caps of shifts into " + S.m_To.str() + " that sum to " +
               std::to_string(Sum),
           "at most the region's cap of " + std::to_string(To->m_Cap)});
  }
}

/// A planned move must not lead back to where it came from.
void checkCycles(const Bundle &Whole, Faults &Into) {
  for (const Shift &First : Whole.m_Shifts) {
    if (First.m_Percent == 0)
      continue;
    std::set<RegionName> Seen{First.m_To};
    std::vector<RegionName> Open{First.m_To};
    while (!Open.empty()) {
      RegionName Here = Open.back();
      Open.pop_back();
      for (const Shift &Next : Whole.m_Shifts)
        if (Next.m_Service == First.m_Service && Next.m_Percent > 0 &&
            Next.m_From == Here && Seen.insert(Next.m_To).second)
          Open.push_back(Next.m_To);
    }
    if (Seen.contains(First.m_From))
      Into.push_back({at(First.m_Team, "shift", First.m_Name.str()),
                      "a cycle of planned shifts through " + First.m_From.str(),
                      "planned shifts without cycles"});
  }
}

} // namespace

void checkBundle(const Bundle &Whole, Faults &Into) {
  NameCheck Names(Into);
  for (const Team &T : Whole.m_Teams)
    Names.add("team", T.m_Name.str(), "team " + T.m_Name.str());
  for (const Region &R : Whole.m_Regions)
    Names.add("region", R.m_Name.str(), at(R.m_Team, "region", R.m_Name.str()));
  for (const Link &L : Whole.m_Links) {
    std::string Name = L.m_From.str() + "-" + L.m_To.str();
    Names.add("link", Name, at(L.m_Team, "link", Name));
    checkRegionName(Whole, L.m_From, at(L.m_Team, "link", Name), Into);
    checkRegionName(Whole, L.m_To, at(L.m_Team, "link", Name), Into);
  }
  for (const ClientBlock &Block : Whole.m_Clients)
    checkRegionName(Whole, Block.m_Region, "client block", Into);
  checkServices(Whole, Names, Into);
  checkShifts(Whole, Names, Into);
  checkCaps(Whole, Into);
  checkCycles(Whole, Into);
}

} // namespace mustardspoke
