/// \file
/// Quotas over simulated fleets, and on the request path.
#include "gateway/quota_report.h"
#include "support/exchange_rig.h"
#include "support/log_capture.h"
#include "support/quota_fleet.h"

#include <boost/test/unit_test.hpp>

#include <iterator>
#include <span>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

struct FleetSize {
  std::size_t m_Vms;
  std::size_t m_Regions;
};

constexpr FleetSize Sizes[] = {{2, 1}, {2, 2}, {77, 3}};
constexpr FleetSize LargeFleet[] = {{300, 3}};
constexpr double UsualFraction = 0.6; ///< Of the limit.
constexpr double JumpFactor = 8;      ///< Of the usual rate.

/// \brief Result of a customer's jump.
struct Jump {
  std::size_t m_RefusedBefore = 0;
  double m_WorstWindow = 0; ///< See worstWindow().
  /// Admitted requests of the jump's 5 s, by those that the quota allows.
  double m_Used = 0;
};

/// \param HotVms All requests of the jump go to so many VMs.
Jump playJump(QuotaFleetRig &Rig, double Rate, double Burst,
              std::size_t HotVms) {
  Jump Result;
  std::size_t Index = Rig.add(Rate, Burst);
  Rig.configure();
  QuotaFleetRig::Traffic &Source = Rig.traffic(Index);
  Source.send(Rate * UsualFraction, Source.m_Rates.size());
  Rig.run(12s);
  Result.m_RefusedBefore = Source.m_Offered.size() - Source.m_Admitted.size();
  TimePoint Begin = Rig.m_Now;
  Source.send(Rate * UsualFraction * JumpFactor, HotVms);
  Rig.run(5s);
  Result.m_Used = double(countSince(Source.m_Admitted, Begin)) /
                  double(withinQuota(Source, Begin));
  Rig.run(3s);
  Result.m_WorstWindow =
      worstWindow(Source.m_Admitted, Source.m_Customer.m_Quota);
  return Result;
}

/// \brief Plays jumps of customers with several rates in fleets of several
/// sizes.
template <class Check>
void forEachJump(std::span<const FleetSize> Fleets, bool AtFewVms,
                 Check Examine) {
  for (const FleetSize &Size : Fleets)
    for (double Rate : {10.0, 100.0, 1000.0})
      for (double Burst : {0.0, Rate})
        BOOST_TEST_CONTEXT("VMs " << Size.m_Vms << " regions " << Size.m_Regions
                                  << " rate " << Rate << " burst " << Burst) {
          QuotaFleetRig Rig(Size.m_Vms, Size.m_Regions, 1);
          std::size_t Hot = Size.m_Vms;
          if (AtFewVms)
            Hot = Size.m_Vms == 2 ? 1 : 3;
          Examine(playJump(Rig, Rate, Burst, Hot));
        }
}

std::vector<TimePoint> since(const std::vector<TimePoint> &Times,
                             TimePoint Begin) {
  std::vector<TimePoint> Result;
  std::ranges::copy_if(Times, std::back_inserter(Result),
                       [Begin](TimePoint At) { return At >= Begin; });
  return Result;
}

/// \brief A configuration with one customer whose key is "k".
void setQuota(ExchangeRig &Rig, CustomerQuota Quota) {
  auto Changed = std::make_shared<RouteTable>(*Rig.m_State.m_Routes);
  Customer Added;
  Added.m_Name = CustomerName("c");
  Added.m_Quota = Quota;
  std::vector<std::string> Keys{"k"};
  (void)Changed->m_Customers.add(Added, Keys);
  Rig.m_State.m_Routes = Changed;
  Rig.m_State.m_Quotas.setQuotas(Changed->m_Customers, steadyNow());
}

const std::string KeyField = "Authorization: Token k\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(QuotasOfCustomers)

/// All VMs would admit the jump until they have heard from each other.
BOOST_AUTO_TEST_CASE(EvenJumpStaysWithinTheQuota) {
  forEachJump(Sizes, false,
              [](const Jump &Seen) { BOOST_TEST(Seen.m_WorstWindow <= 1); });
}

BOOST_AUTO_TEST_CASE(JumpAtFewVmsStaysWithinTheQuota) {
  forEachJump(Sizes, true,
              [](const Jump &Seen) { BOOST_TEST(Seen.m_WorstWindow <= 1); });
}

BOOST_AUTO_TEST_CASE(JumpInAFleetOf300StaysWithinTheQuota) {
  for (bool AtFewVms : {false, true})
    forEachJump(LargeFleet, AtFewVms,
                [](const Jump &Seen) { BOOST_TEST(Seen.m_WorstWindow <= 1); });
}

/// Too careful a division refuses requests within the quota.
BOOST_AUTO_TEST_CASE(EvenJumpIsServedUpToTheQuota) {
  forEachJump(Sizes, false,
              [](const Jump &Seen) { BOOST_TEST(Seen.m_Used >= 0.95); });
}

BOOST_AUTO_TEST_CASE(JumpAtFewVmsIsServedUpToTheQuota) {
  forEachJump(Sizes, true,
              [](const Jump &Seen) { BOOST_TEST(Seen.m_Used >= 0.95); });
}

/// The usual load is below the limit, also while a fleet starts.
BOOST_AUTO_TEST_CASE(NothingIsRefusedBeforeTheJump) {
  forEachJump(Sizes, false,
              [](const Jump &Seen) { BOOST_TEST(Seen.m_RefusedBefore == 0U); });
}

/// The same jumps without the mechanisms must exceed the quota, or the checks
/// above prove nothing.
BOOST_AUTO_TEST_CASE(WithoutDivisionOrAssumedGrowthJumpsExceedTheQuota) {
  QuotaFleetRig Alone(77, 3, 1);
  Alone.m_KnowsOnlyItself = true;
  Alone.m_Reaches = [](std::size_t, std::size_t) { return false; };
  BOOST_TEST(playJump(Alone, 100, 100, 77).m_WorstWindow > 2);
  QuotaFleetRig NoGrowth(77, 3, 1, {1, 1});
  BOOST_TEST(playJump(NoGrowth, 100, 100, 77).m_WorstWindow > 1);
}

/// A customer below one request per second and VM has less than one token at
/// each.
BOOST_AUTO_TEST_CASE(ManySmallCustomersBelowTheirLimitsAreNotRefused) {
  QuotaFleetRig Rig(77, 3, 1);
  constexpr std::size_t Customers = 81;
  std::vector<double> Usual;
  for (std::size_t I = 0; I < Customers; ++I) {
    double Rate = 4 + 200 / double(I + 1);
    Usual.push_back(Rate * UsualFraction);
    Rig.add(Rate, Rate);
  }
  for (std::size_t I = 0; I < Customers; ++I)
    Rig.traffic(I).send(Usual[I], 77);
  Rig.configure();
  Rig.run(30s);
  std::size_t Offered = 0;
  std::size_t Refused = 0;
  for (std::size_t I = 0; I < Customers; ++I) {
    Offered += Rig.traffic(I).m_Offered.size();
    Refused +=
        Rig.traffic(I).m_Offered.size() - Rig.traffic(I).m_Admitted.size();
  }
  BOOST_TEST(Offered > 20000U);
  BOOST_TEST(Refused == 0U);
}

BOOST_AUTO_TEST_CASE(LoweredLimitIsInForceWithinFourSeconds) {
  for (const FleetSize &Size : Sizes)
    BOOST_TEST_CONTEXT("VMs " << Size.m_Vms) {
      QuotaFleetRig Rig(Size.m_Vms, Size.m_Regions, 1);
      std::size_t Index = Rig.add(300, 300);
      QuotaFleetRig::Traffic &Source = Rig.traffic(Index);
      Source.send(180, Size.m_Vms);
      Rig.configure();
      Rig.run(10s);
      Source.m_Customer.m_Quota = {100, 100};
      Rig.configure();
      Rig.run(4s);
      std::size_t Before = Source.m_Admitted.size();
      Rig.run(20s);
      double PerSecond = double(Source.m_Admitted.size() - Before) / 20;
      BOOST_TEST(PerSecond <= 110);
      BOOST_TEST(PerSecond >= 90);
    }
}

/// Each side of a partition would admit the whole quota once it has forgotten
/// the other.
BOOST_AUTO_TEST_CASE(PartitionedSidesShareTheQuota) {
  QuotaFleetRig Rig(77, 3, 1);
  std::size_t Index = Rig.add(200, 200);
  QuotaFleetRig::Traffic &Source = Rig.traffic(Index);
  Rig.configure();
  Source.send(400, 77);
  Rig.run(10s);
  Rig.m_Reaches = [](std::size_t From, std::size_t To) {
    return (From % 3 == 0) == (To % 3 == 0);
  };
  TimePoint Begin = Rig.m_Now;
  Rig.run(40s);
  double PerSecond = double(countSince(Source.m_Admitted, Begin)) / 40;
  BOOST_TEST(PerSecond <= 220);
  BOOST_TEST(PerSecond >= 170);
  BOOST_TEST(worstWindow(since(Source.m_Admitted, Begin - 4s),
                         Source.m_Customer.m_Quota) <= 1);
}

/// VMs that all start at once know neither rates nor growth.
BOOST_AUTO_TEST_CASE(StartOfTheFleetUnderOverloadStaysWithinTheQuota) {
  QuotaFleetRig Rig(77, 3, 1);
  std::size_t Index = Rig.add(200, 200);
  QuotaFleetRig::Traffic &Source = Rig.traffic(Index);
  Rig.configure();
  Source.send(400, 77);
  Rig.run(10s);
  BOOST_TEST(worstWindow(Source.m_Admitted, Source.m_Customer.m_Quota) <= 1);
}

/// VMs that start know no demand, and would admit the whole quota each.
BOOST_AUTO_TEST_CASE(RestartOfHalfTheVmsKeepsTheQuota) {
  for (double Rate : {10.0, 200.0})
    BOOST_TEST_CONTEXT("rate " << Rate) {
      QuotaFleetRig Rig(77, 3, 1);
      std::size_t Index = Rig.add(Rate, Rate);
      QuotaFleetRig::Traffic &Source = Rig.traffic(Index);
      Rig.configure();
      Source.send(Rate * 2, 77);
      Rig.run(10s);
      for (std::size_t Vm = 0; Vm < 77; Vm += 2)
        Rig.restart(Vm);
      TimePoint Restart = Rig.m_Now;
      Rig.run(10s);
      BOOST_TEST(worstWindow(since(Source.m_Admitted, Restart - 4s),
                             Source.m_Customer.m_Quota) <= 1);
    }
}

BOOST_AUTO_TEST_CASE(CustomersWithoutQuotaAreNeitherCountedNorSent) {
  CustomerQuotas Quotas(VmName("v"));
  CustomerTable Table;
  (void)Table.add({CustomerName("c"), {}, {}, {}}, {});
  Quotas.setQuotas(Table, TimePoint(1s));
  BOOST_TEST(Quotas.size() == 0U);
  for (int I = 0; I < 1000; ++I)
    BOOST_TEST(Quotas.admit(stableHash("c"), TimePoint(1s)));
  Quotas.refresh({}, TimePoint(2s));
  BOOST_TEST(Quotas.loadsToSend(true, TimePoint(2s)).empty());
  BOOST_TEST(Quotas.loadsToSend(false, TimePoint(2s)).empty());
}

/// A request over the quota must cost the upstreams nothing.
BOOST_AUTO_TEST_CASE(OverQuotaIsAnswered429AndNotSent) {
  LogCapture Log;
  ExchangeRig Rig;
  std::size_t Ran = 0;
  Rig.upstream("u", [&Ran](ServerSide &Side) -> awaitable<void> {
    for (std::string Id = co_await Side.readRequest(); !Id.empty();
         Id = co_await Side.readRequest()) {
      ++Ran;
      co_await Side.respond(Id, "ok");
    }
  });
  setQuota(Rig, {1, 0});
  std::size_t Admitted = 0;
  std::size_t Refused = 0;
  for (int I = 0; I < 40; ++I) {
    HttpResponse Response = Rig.ask(safeRequest(std::to_string(I), KeyField));
    if (Response.m_Head.m_Status == 200) {
      ++Admitted;
      continue;
    }
    ++Refused;
    BOOST_TEST(Response.m_Head.m_Status == 429U);
    BOOST_TEST(Response.m_Head.find("Retry-After") != nullptr);
  }
  BOOST_TEST(Ran == Admitted);
  BOOST_TEST(Admitted >= 1U);
  BOOST_TEST(Refused >= 20U);
  BOOST_TEST(Log.contains("over-quota"));
  BOOST_TEST(quotaExposition(Rig.m_State.m_Quotas)
                 .find("mustardspoke_over_quota_total{customer=\"c\"} " +
                       std::to_string(Refused)) != std::string::npos);
}

/// Requests that no upstream got would use up the quota of those that follow.
BOOST_AUTO_TEST_CASE(TokensOfUnsentRequestsAreGivenBack) {
  ExchangeRig Rig;
  Rig.upstream("u", [](ServerSide &) -> awaitable<void> { co_return; });
  Rig.crashUpstream("u");
  setQuota(Rig, {1, 0});
  for (int I = 0; I < 40; ++I)
    BOOST_TEST(
        Rig.ask(safeRequest(std::to_string(I), KeyField)).m_Head.m_Status ==
        503U);
}

/// A customer that stays at its limit must not fill the log.
BOOST_AUTO_TEST_CASE(ChangesAreLoggedAtMostOncePerSecond) {
  LogCapture Log;
  CustomerQuotas Quotas(VmName("v"));
  CustomerTable Table;
  (void)Table.add({CustomerName("c"), {}, {1, 0}, {}}, {});
  Quotas.setQuotas(Table, TimePoint(10s));
  QuotaLog Lines;
  for (TimePoint Now(10s); Now < TimePoint(30s); Now += 10ms) {
    if (Now < TimePoint(20s))
      (void)Quotas.admit(stableHash("c"), Now);
    Lines.logChanges(Quotas, Now);
  }
  std::string Text = Log.text();
  auto Count = [&Text](std::string_view Event) {
    std::size_t Found = 0;
    for (std::size_t At = Text.find(Event); At != std::string::npos;
         At = Text.find(Event, At + 1))
      ++Found;
    return Found;
  };
  BOOST_TEST(Count("customer-over-quota") == 1U);
  BOOST_TEST(Count("customer-within-quota") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
