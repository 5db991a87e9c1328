/// \file
/// Fixture: a small and a large region with one service, for tests of the
/// steering package.
#pragma once

#include "steer/steer.h"

#include <boost/test/unit_test.hpp>

namespace mustardspoke::steer {

inline constexpr TimePoint Start{Duration(1'000'000'000)};
inline const ServiceName Stock{"stock"};
inline const Placement Small{RegionName("small"), FailureDomainName("small-a")};
inline const Placement Large{RegionName("large"), FailureDomainName("large-a")};

/// \brief Two upstreams in region "small" and eight in "large".
struct TwoRegions {
  UpstreamTable m_Table;
  Route m_Route;
  ServiceSettings m_ServiceSettings;
  ChoiceTuning m_Tuning;

  TwoRegions() {
    m_Route.m_Name = "r";
    m_Route.m_Prefix = "/";
    m_Route.m_TargetLatency = 400ms;
    m_Route.m_Timeout = 2s;
    m_Route.m_Targets = {{Stock, 1}};
    m_ServiceSettings.m_ColdRequestsPerSecond = 12;
    for (int I = 0; I < 2; ++I)
      add("s" + std::to_string(I), Small);
    for (int I = 0; I < 8; ++I)
      add("l" + std::to_string(I), Large);
  }

  UpstreamPtr add(const std::string &Id, const Placement &Placed,
                  Duration WarmUp = Duration::zero()) {
    UpstreamRegistration Registration;
    Registration.m_Id = Id;
    Registration.m_Service = Stock;
    Registration.m_Address = "10.0.0.1:80";
    Registration.m_Region = Placed.m_Region;
    Registration.m_Domain = Placed.m_Domain;
    Registration.m_Slots = 4;
    Registration.m_WarmUpRemaining = WarmUp;
    BOOST_REQUIRE(m_Table.put(Registration, Start).has_value());
    return m_Table.find(Id);
  }

  [[nodiscard]] ChoiceInput input(int Key) const {
    ChoiceInput Input{m_Route, &m_ServiceSettings, Stock, Residency(m_Route)};
    Input.m_KeyHash = stableHash(std::to_string(Key));
    Input.m_Now = Start;
    Input.m_TimeToTarget = 400ms;
    return Input;
  }

  Choice choose(int Key, const Placement &Local, double LocalShare = 1) {
    ChoiceInput Input = input(Key);
    Input.m_LocalShare = LocalShare;
    return chooseByKeyLocalFirst(Input, m_Table, Local, m_Tuning);
  }

  void fillAll(unsigned InFlight) {
    m_Table.forEach(
        [InFlight](Upstream &Entry) { Entry.m_InFlight = InFlight; });
  }
};

} // namespace mustardspoke::steer
