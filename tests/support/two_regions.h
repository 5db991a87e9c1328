/// \file
/// A small and a large region with one service, for tests of the decision
/// modules.
#pragma once

#include "steer/steer.h"

#include <boost/test/unit_test.hpp>

namespace mustardspoke::steer {

inline constexpr TimePoint Start{Duration(1'000'000'000)};
inline const ServiceName Stock{"stock"};
inline const Placement Small{RegionName("small"), FailureDomainName("small-a")};
inline const Placement Large{RegionName("large"), FailureDomainName("large-a")};

/// \brief Two regions: two upstreams in "small", eight in "large".
struct TwoRegions {
  UpstreamTable m_Table;
  Route m_Route;
  ServiceRules m_Rules;
  ChoiceTuning m_Tuning;

  TwoRegions() {
    m_Route.m_Name = "r";
    m_Route.m_Prefix = "/";
    m_Route.m_TargetLatency = 400ms;
    m_Route.m_Timeout = 2s;
    m_Route.m_Parts = {{Stock, 1}};
    m_Rules.m_ColdPerSecond = 12;
    for (int I = 0; I < 2; ++I)
      add("s" + std::to_string(I), Small);
    for (int I = 0; I < 8; ++I)
      add("l" + std::to_string(I), Large);
  }

  UpstreamPtr add(const std::string &Id, const Placement &At,
                  Duration Cold = Duration::zero()) {
    UpstreamFacts Facts;
    Facts.m_Id = Id;
    Facts.m_Service = Stock;
    Facts.m_Address = "10.0.0.1:80";
    Facts.m_Region = At.m_Region;
    Facts.m_Domain = At.m_Domain;
    Facts.m_Slots = 4;
    Facts.m_ColdFor = Cold;
    BOOST_REQUIRE(m_Table.put(Facts, Start).has_value());
    return m_Table.find(Id);
  }

  [[nodiscard]] ChoiceInput input(int Key) const {
    ChoiceInput In{m_Route, &m_Rules, Stock};
    In.m_KeyHash = stableHash(std::to_string(Key));
    In.m_Now = Start;
    In.m_ToTarget = 400ms;
    return In;
  }

  Choice choose(int Key, const Placement &Here, double LocalShare = 1) {
    ChoiceInput In = input(Key);
    In.m_LocalShare = LocalShare;
    return chooseByKeyNearFirst(In, m_Table, Here, m_Tuning);
  }

  void fillAll(unsigned InFlight) {
    m_Table.each([InFlight](Upstream &One) { One.m_InFlight = InFlight; });
  }
};

} // namespace mustardspoke::steer
