/// \file
/// Rate limits that upstreams name: what is believed, what a fleet sends, and
/// when refused callers may return.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

#include "core/upstreams.h"

#include <rapidcheck.h>

#include <memory>

namespace mustardspoke::steer {
namespace {

constexpr Duration Tick = 10ms;
constexpr Duration Window = 4s;
constexpr Duration ToldFor = 500ms; ///< Then a VM's requests count.

/// \brief One limited and one unlimited upstream, and entry VMs that tell each
/// other of the limit. Time is simulated.
class LimitedFleet {
public:
  /// \param Divided Whether each VM uses only its part of the limit.
  LimitedFleet(unsigned VmsPerRegion, double Limit, bool Divided = true)
      : m_Limit(Limit), m_VmsPerRegion(VmsPerRegion), m_Divided(Divided) {
    for (unsigned I = 0; I < VmsPerRegion * Regions; ++I)
      m_Vms.push_back(makeVm(I));
  }

  void restart(unsigned Vm) { m_Vms[Vm] = makeVm(Vm); }
  void setLimit(std::optional<double> Limit) { m_Limit = Limit; }

  /// \brief Every VM gets \p RequestsPerTick requests on average.
  void run(Duration Span, double RequestsPerTick, Random &Rng) {
    for (TimePoint End = m_Now + Span; m_Now < End; m_Now += Tick) {
      for (auto &Vm : m_Vms)
        for (double Rest = RequestsPerTick; Rest > 0; --Rest)
          if (double(Rng()) < Rest * double(Random::max()))
            request(*Vm, int(Rng(1000)));
      if ((m_Now - Start) % heartbeatInterval() == 0us)
        exchangeHeartbeats();
    }
  }

  /// \brief Most requests to the limited upstream in any window, from VMs that
  /// had been told.
  [[nodiscard]] std::size_t mostInAWindow() const {
    std::size_t Most = 0;
    for (std::size_t First = 0, I = 0; I < m_Arrived.size(); ++I) {
      while (m_Arrived[I] - m_Arrived[First] > Window)
        ++First;
      Most = std::max(Most, I + 1 - First);
    }
    return Most;
  }
  [[nodiscard]] std::size_t arrived() const { return m_Arrived.size(); }
  [[nodiscard]] unsigned limitedVms() const {
    unsigned Result = 0;
    for (const auto &Vm : m_Vms)
      Result += Vm->m_Upstreams.find("limited")->m_RateLimit.isSet(m_Now);
    return Result;
  }

private:
  static constexpr unsigned Regions = 2;

  struct Vm {
    explicit Vm(const EntryVm &Self) : m_Fleet(Self, {}) {}
    Fleet m_Fleet;
    UpstreamTable m_Upstreams;
    std::optional<TimePoint> m_ToldAt;
  };

  /// \brief VMs of a large fleet hear each other rarely.
  [[nodiscard]] Duration heartbeatInterval() const {
    return m_Vms.size() > FleetTuning().m_SmallFleetMaxPeers ? 1s : 100ms;
  }

  EntryVm describe(unsigned Index) const {
    EntryVm Result;
    Result.m_Vm = VmName("vm" + std::to_string(Index));
    Result.m_Region = RegionName(Index < m_VmsPerRegion ? "home" : "other");
    return Result;
  }

  std::unique_ptr<Vm> makeVm(unsigned Index) const {
    auto Result = std::make_unique<Vm>(describe(Index));
    for (unsigned Other = 0; Other < m_VmsPerRegion * Regions; ++Other)
      if (Other != Index)
        (void)Result->m_Fleet.receivedHeartbeat(describe(Other), m_Now);
    Result->m_Fleet.setComplete();
    for (const char *Id : {"limited", "unlimited"}) {
      UpstreamRegistration Registration;
      Registration.m_Id = Id;
      Registration.m_Service = Stock;
      Registration.m_Region = RegionName("home");
      Registration.m_Slots = 1000;
      (void)Result->m_Upstreams.put(Registration, m_Now);
    }
    return Result;
  }

  void request(Vm &From, int Key) {
    ChoiceInput Input{m_Route, nullptr, Stock, Residency(m_Route)};
    Input.m_KeyHash = stableHash(std::to_string(Key));
    Input.m_Now = m_Now;
    Input.m_TimeToTarget = 1s;
    Input.m_Fleet = &From.m_Fleet;
    Input.m_SenderFraction = [](const void *, const Upstream &, unsigned,
                                TimePoint) { return 1.0; };
    if (m_Divided)
      Input.m_SenderFraction = [](const void *FleetState,
                                  const Upstream &Target, unsigned MaxSenders,
                                  TimePoint Now) {
        return static_cast<const Fleet *>(FleetState)
            ->senderFraction(Target.m_IdHash, Target.m_Registration.m_Region,
                             MaxSenders, Now);
      };
    Choice Selected = chooseByKeyLocalFirst(
        Input, From.m_Upstreams, {From.m_Fleet.m_Self.m_Region, {}}, m_Tuning);
    BOOST_REQUIRE(Selected.m_Upstream);
    if (Selected.m_Upstream->m_Registration.m_Id != "limited")
      return;
    if (From.m_ToldAt && m_Now - *From.m_ToldAt >= ToldFor)
      m_Arrived.push_back(m_Now);
    Selected.m_Upstream->m_RateLimit.apply({m_Limit, m_Now});
    if (m_Limit && !From.m_ToldAt)
      From.m_ToldAt = m_Now;
  }

  void exchangeHeartbeats() {
    for (auto &Sender : m_Vms)
      for (auto &Receiver : m_Vms) {
        (void)Receiver->m_Fleet.receivedHeartbeat(Sender->m_Fleet.m_Self,
                                                  m_Now);
        StatedLimit Stated =
            Sender->m_Upstreams.find("limited")->m_RateLimit.stated();
        Stated.m_At -= 60ms;
        if (Stated.m_At > Start)
          Receiver->m_Upstreams.find("limited")->m_RateLimit.apply(Stated);
      }
  }

  std::optional<double> m_Limit;
  unsigned m_VmsPerRegion;
  bool m_Divided;
  TimePoint m_Now = Start + 1s;
  std::vector<std::unique_ptr<Vm>> m_Vms;
  std::vector<TimePoint> m_Arrived;
  Route m_Route;
  ChoiceTuning m_Tuning;
};

/// \brief What the users' rule allows in a window.
double allowed(double Limit) { return 1.5 * 4 * Limit + 5; }

} // namespace

BOOST_AUTO_TEST_SUITE(RateLimits)

// Guards against an upstream that gets far more requests than the limit that it
// names, in fleets of several sizes.
BOOST_AUTO_TEST_CASE(FleetKeepsALimitTogetherAndUsesIt) {
  for (unsigned VmsPerRegion : {1U, 4U, 15U, 147U})
    for (double Limit : {0.0, 0.3, 1.0, 2.5, 6.8, 50.0}) {
      Random Rng(7, 1);
      LimitedFleet System(VmsPerRegion, Limit);
      // 200 requests a second from each region, half of them for keys of the
      // limited upstream.
      System.run(12s, 2.0 / VmsPerRegion, Rng);
      double Senders = std::clamp(std::floor(Limit), 1.0, double(VmsPerRegion));
      double Usable = std::min(Limit, Senders * 100 / VmsPerRegion);
      BOOST_TEST_CONTEXT(VmsPerRegion << " VMs a region, limit " << Limit) {
        BOOST_TEST(double(System.mostInAWindow()) <= allowed(Limit));
        BOOST_TEST(double(System.arrived()) >= 11 * Usable * 0.5 - 5);
      }
    }
}

// The control of the test above.
BOOST_AUTO_TEST_CASE(FleetThatDoesNotDivideALimitExceedsIt) {
  for (unsigned VmsPerRegion : {4U, 15U}) {
    Random Rng(7, 1);
    LimitedFleet System(VmsPerRegion, 6.8, false);
    System.run(12s, 2.0 / VmsPerRegion, Rng);
    BOOST_TEST(double(System.mostInAWindow()) > allowed(6.8));
  }
}

BOOST_AUTO_TEST_CASE(RestartsAndChangesOfTheLimitKeepTheBound) {
  rc::check("any order of loads, limits and restarts", [] {
    double Highest = 0;
    Random Rng(*rc::gen::arbitrary<std::uint32_t>(), 1);
    LimitedFleet System(*rc::gen::inRange(1U, 6U), 0);
    for (int Step = 0; Step < 8; ++Step) {
      double Limit = *rc::gen::inRange(0, 200) / 10.0;
      Highest = std::max(Highest, Limit);
      System.setLimit(Limit);
      if (*rc::gen::arbitrary<bool>())
        System.restart(0);
      System.run(*rc::gen::inRange(1, 30) * 100ms,
                 *rc::gen::inRange(0, 20) / 10.0, Rng);
    }
    RC_ASSERT(double(System.mostInAWindow()) <= allowed(Highest));
  });
}

// A VM that may send nothing there learns of the end from its peers.
BOOST_AUTO_TEST_CASE(EndOfALimitReachesAllVms) {
  for (double Limit : {0.0, 8.0}) {
    Random Rng(7, 1);
    LimitedFleet System(4, Limit);
    System.run(3s, 1, Rng);
    BOOST_TEST(System.limitedVms() == 8U);
    System.setLimit(std::nullopt);
    System.run(5s, 1, Rng);
    BOOST_TEST(System.limitedVms() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(AnswerToAnEarlierRequestDoesNotEndALimit) {
  RateLimit Limit;
  BOOST_TEST((Limit.apply({std::nullopt, Start}) == LimitChange::None));
  BOOST_TEST((Limit.apply({8.0, Start + 2s}) == LimitChange::Named));
  BOOST_TEST((Limit.apply({std::nullopt, Start + 1s}) == LimitChange::None));
  BOOST_TEST(Limit.isSet(Start + 2s));
  BOOST_TEST((Limit.apply({9.0, Start + 3s}) == LimitChange::Changed));
  BOOST_TEST((Limit.apply({std::nullopt, Start + 4s}) == LimitChange::Ended));
  BOOST_TEST(!Limit.isSet(Start + 4s));
  BOOST_TEST((Limit.apply({9.0, Start + 3s}) == LimitChange::None));
  BOOST_TEST((Limit.apply({9.0, Start + 5s}) == LimitChange::Named));
  BOOST_TEST(!Limit.isSet(Start + 5s + RateLimit::MaxAge));
}

BOOST_AUTO_TEST_CASE(NewStartOfAnUpstreamHasNoLimit) {
  TwoRegions System;
  UpstreamPtr Target = System.m_Table.find("l0");
  UpstreamRegistration Registration = Target->m_Registration;
  Registration.m_StartedMs = 5;
  (void)System.m_Table.put(Registration, Start);
  (void)Target->m_RateLimit.apply({8.0, Start + 1s});
  Registration.m_StartedMs = 6;
  (void)System.m_Table.put(Registration, Start + 2s);
  BOOST_TEST(!Target->m_RateLimit.isSet(Start + 2s));
  BOOST_TEST((System.m_Table.findRun(runKey(Registration)) == Target));
}

// If all upstreams are limited, callers are refused at once and return at the
// rate at which they can be served.
BOOST_AUTO_TEST_CASE(LimitedServiceRefusesAndSpreadsReturns) {
  TwoRegions System;
  System.m_Table.forEach([](Upstream &Entry) {
    (void)Entry.m_RateLimit.apply({3.0, Start - 1ms});
  });
  Choice Refused = System.choose(1, Large);
  BOOST_TEST(!Refused.m_Upstream);
  BOOST_TEST((Refused.m_RefusalReason == RefusalReason::AllLimited));
  // Without a fleet, each of at most three senders has a third of ten limits.
  BOOST_TEST(Refused.m_LimitedRate == 10.0, boost::test_tools::tolerance(0.01));
  ReturnSchedule Returns;
  Duration Before{};
  for (int I = 1; I <= 20; ++I) {
    Duration Delay = Returns.reserve(Start, Refused.m_LimitedRate);
    BOOST_TEST((Delay - Before >= 99ms));
    BOOST_TEST((Delay - Before <= 101ms));
    Before = Delay;
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
