/// \file
/// Estimates of demand and of the fleet's token buckets.
#include "steer/customer_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mustardspoke::steer {
namespace {

/// The requirement allows a tenth and 20 requests beyond the quota in 5 s. A
/// part of it deepens the bucket, so that the noise of small rates refuses
/// nothing; the rest is for what VMs admit before they hear from each other.
constexpr double AllowedSeconds = 5;
constexpr double AllowedFraction = 0.1;
constexpr double AllowedRequests = 20;
constexpr double DepthFractionOfAllowance = 0.33;
/// The noise of a rate grows with its root; a deeper bucket would only admit
/// more in a jump.
constexpr double NoiseRequests = 8;
constexpr double NoisePerRootOfRate = 2;
/// This time's requests of the rate are left out of the bucket: in a jump of a
/// large customer, VMs admit them before they hear from each other. Without it,
/// 5 s of such a jump passed the requirement by up to a hundredth.
constexpr double DetectionSeconds = 0.05;
/// The smallest part of a burst that stays in the bucket.
constexpr double MinBurstFraction = 0.5;
/// Requests admitted beyond the quota are made up for in about this time; less
/// than the 5 s over which the requirement counts.
constexpr double RepaySeconds = 0.7;
/// With this time's excess in the bucket, everything is admitted.
constexpr double ReserveSeconds = 0.05;
/// Bound of the requests to make up for, in seconds of the rate.
constexpr double MaxDebtSeconds = 2;
/// More of them, so that a single request counts whole against a low rate.
constexpr double MaxDebtRequests = 1;
/// Time after which a jump that this VM sees itself is in its rate.
constexpr double OwnLagSeconds = 0.3;
/// The same for a jump that peers report: their means and the way, and a part
/// of the age of the reports, as some peers are heard earlier.
constexpr double ReportLagSeconds = 0.3;
/// More of it for low rates, whose means are slower; halved at the rate below.
constexpr double LowRateLagSeconds = 0.35;
constexpr double LowRate = 60; // per second and VM
constexpr double ReportAgeWeight = 0.75;
/// Growth is noticed within this time, however old the reports are.
constexpr double MaxAgeSeconds = 2;
/// Requests of one VM count at most this much for the growth of all; a jump at
/// few VMs says little of the others.
constexpr double MaxGrowthOfOne = 12;
/// A report of at most this age counts as it is; of older ones the mean, with
/// the growth since.
constexpr Duration FreshAge = 500ms;
/// Time constant of the sample that tells the growth.
constexpr double SampleSeconds = 0.7;
/// Time constant of the running means of reports.
constexpr double UsualSeconds = 6;
/// Growth below so many standard deviations of the sample is ignored.
constexpr double ChanceDeviations = 0.25;
/// Weight of the assumption that nothing has grown, in requests per second.
constexpr double GrowthPrior = 1;
/// Smaller growth isn't assumed of other regions, as their reports are more
/// exact.
constexpr double MinRegionGrowth = 1.2;
/// A customer with a larger demand, as a fraction of its rate, is near its
/// quota.
constexpr double NearFraction = 0.8;
/// Loads in one heartbeat to VMs of the own region. A load takes 20 bytes; with
/// 32 such heartbeats in a second, up to 9 KB/s.
constexpr std::size_t MaxOwnLoads = 14;
/// The same to other regions, in 4 heartbeats per second.
constexpr std::size_t MaxRegionLoads = 32;
/// Demand beyond so many times the rate doesn't change the selection.
constexpr double MaxUtilizationRank = 2;
/// A lower rate isn't sent, per second.
constexpr double MinSentRate = 0.1;
/// Means of peers are kept for this long. In a fleet of 300, a given peer is
/// heard every 8 s.
constexpr Duration PeerMemory = 1min;

double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

double decay(TimePoint From, TimePoint To, double Seconds) {
  return std::exp(-secondsBetween(From, To) / Seconds);
}

/// \param Left, Right Rates per second.
/// \param Window Over which the events were counted, in seconds.
bool differsByMoreThanChance(double Left, double Right, double Window) {
  constexpr double Deviations = 2;
  return std::abs(Left - Right) * Window >
         Deviations * std::sqrt(std::max(Left, Right) * Window + 1);
}

} // namespace

void ArrivalRate::record(TimePoint Now) {
  m_Fast = m_Fast * decay(m_UpdatedAt, Now, FastSeconds) + 1 / FastSeconds;
  m_Current =
      m_Current * decay(m_UpdatedAt, Now, CurrentSeconds) + 1 / CurrentSeconds;
  m_Usual = m_Usual * decay(m_UpdatedAt, Now, UsualSeconds) + 1 / UsualSeconds;
  m_UpdatedAt = Now;
}

double ArrivalRate::usual(TimePoint Now) const {
  // The mean begins at zero; without a correction, the first seconds of a
  // process would look like a jump.
  double Known = 1 - decay(m_StartedAt, Now, UsualSeconds);
  return Known <= 0 ? 0
                    : m_Usual * decay(m_UpdatedAt, Now, UsualSeconds) / Known;
}

double ArrivalRate::current(TimePoint Now) const {
  double Fast = m_Fast * decay(m_UpdatedAt, Now, FastSeconds);
  double Current = m_Current * decay(m_UpdatedAt, Now, CurrentSeconds);
  // An exponential mean weighs events as a window of twice its time constant.
  return differsByMoreThanChance(Fast, Current, 2 * FastSeconds) ? Fast
                                                                 : Current;
}

void CustomerQuotas::Report::receive(double Offered, double MeanSeconds,
                                     TimePoint Now) {
  m_Usual += (Offered - m_Usual) * (1 - decay(m_At, Now, MeanSeconds));
  m_HasJumped = differsByMoreThanChance(Offered, m_Usual,
                                        2 * ArrivalRate::CurrentSeconds);
  m_Offered = Offered;
  m_At = Now;
}

bool QuotaStatus::isNear() const noexcept {
  return m_DemandPerSecond >= m_RatePerSecond * NearFraction;
}

CustomerQuotas::CustomerQuotas(const VmName &Self, QuotaTuning Tuning)
    : m_Seed(stableHash(Self.str())), m_Tuning(Tuning) {}

CustomerQuotas::Entry *
CustomerQuotas::find(std::uint64_t CustomerHash) noexcept {
  auto Found = m_Entries.find(CustomerHash);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

void CustomerQuotas::setQuotas(const CustomerTable &Customers, TimePoint Now) {
  std::erase_if(m_Entries, [&](const auto &Known) {
    const Customer *Found = Customers.find(Known.second.m_Name);
    return !Found || !Found->m_Quota.isLimited();
  });
  Customers.forEach([&](const Customer &Added) {
    if (!Added.m_Quota.isLimited())
      return;
    std::uint64_t Hash = stableHash(Added.m_Name.str());
    auto [At, IsNew] = m_Entries.try_emplace(Hash);
    Entry &Target = At->second;
    Target.m_Quota = Added.m_Quota;
    if (!IsNew)
      return;
    Target.m_Name = Added.m_Name;
    Target.m_Own = ArrivalRate(Now);
    // VMs that start together must not admit their first requests together.
    Target.m_Credit =
        double(stableHash(Added.m_Name.str(), m_Seed) >> 11) * 0x1p-53;
    Target.m_Level = TokenBucket(depth(Target), Now);
  });
}

double CustomerQuotas::usableRate(const Entry &Customer) const noexcept {
  return Customer.m_Quota.m_RequestsPerSecond * m_ReachableFraction;
}

double CustomerQuotas::depth(const Entry &Customer) const noexcept {
  double Rate = Customer.m_Quota.m_RequestsPerSecond;
  double Burst = Customer.m_Quota.m_Burst;
  double Allowance =
      (Rate * AllowedSeconds + Burst) * AllowedFraction + AllowedRequests;
  double Extra = std::min(Allowance * DepthFractionOfAllowance,
                          NoiseRequests + NoisePerRootOfRate * std::sqrt(Rate));
  double Usable =
      std::max(Burst - Rate * DetectionSeconds, Burst * MinBurstFraction);
  return (Usable + Extra) * m_ReachableFraction;
}

double CustomerQuotas::minLevel(const Entry &Customer) const noexcept {
  return -(usableRate(Customer) * MaxDebtSeconds + MaxDebtRequests);
}

double CustomerQuotas::growth(const Entry &Customer, TimePoint Now) const {
  if (!Customer.m_Own.isEstablished(Now))
    return 1;
  double Weight = decay(Customer.m_SampledAt, Now, SampleSeconds);
  double Usual = Customer.m_Own.usual(Now);
  double Current = Customer.m_Own.current(Now);
  Current = std::min(Current, MaxGrowthOfOne * (Usual + GrowthPrior));
  Current += Customer.m_SampleCurrent * Weight;
  Usual += Customer.m_SampleUsual * Weight;
  // What chance explains is no growth.
  double Deviation =
      ChanceDeviations *
      std::sqrt(std::max(Current, Usual) / (2 * ArrivalRate::CurrentSeconds));
  if (std::abs(Current - Usual) <= Deviation)
    return 1;
  Current += Current > Usual ? -Deviation : Deviation;
  return std::clamp((Current + GrowthPrior) / (Usual + GrowthPrior),
                    m_Tuning.m_MinGrowth, m_Tuning.m_MaxGrowth);
}

double CustomerQuotas::othersDemand(const Entry &Customer,
                                    TimePoint Now) const {
  double Factor = growth(Customer, Now);
  double Regions = Customer.m_RegionsNow;
  double Assumed = Customer.m_RegionsUsual * Factor;
  if (Factor > MinRegionGrowth)
    Regions = std::max(Regions, Assumed);
  else if (Factor < 1 / MinRegionGrowth)
    Regions = std::min(Regions, Assumed);
  return Customer.m_FreshPeers + Customer.m_StalePeers * Factor + Regions;
}

double CustomerQuotas::detectionLag(const Entry &Customer,
                                    TimePoint Now) const {
  double Own = Customer.m_Own.current(Now);
  double Sample = Customer.m_SampleCurrent *
                  decay(Customer.m_SampledAt, Now, SampleSeconds);
  double OwnPart = Own > 0 ? Own / (Own + Sample) : 0;
  double ReportLag = ReportLagSeconds +
                     LowRateLagSeconds * LowRate / (LowRate + Own) +
                     ReportAgeWeight * Customer.m_MeanAge;
  return OwnLagSeconds * OwnPart + ReportLag * (1 - OwnPart);
}

void CustomerQuotas::advance(Entry &Customer, TimePoint Now) {
  double Rate = usableRate(Customer);
  // The others are assumed to admit the same fraction as this VM.
  Customer.m_Level.refill(Now, Rate - Customer.m_Others * Customer.m_Fraction,
                          depth(Customer));
  double Lag = detectionLag(Customer, Now);
  Customer.m_PastFraction += (Customer.m_Fraction - Customer.m_PastFraction) *
                             (1 - decay(Customer.m_AdvancedAt, Now, Lag));
  Customer.m_AdvancedAt = Now;
  // A change has existed before it was noticed, while this fraction was
  // admitted.
  Customer.m_Others = othersDemand(Customer, Now);
  Customer.m_Demand = Customer.m_Others + Customer.m_Own.current(Now);
  // This VM's own requests have been counted one by one.
  double Excess = std::clamp(Customer.m_Demand - Rate, 0.0, Customer.m_Others);
  Customer.m_Level.charge((Excess - Customer.m_Excess) * Lag *
                              Customer.m_PastFraction,
                          minLevel(Customer));
  Customer.m_Excess = Excess;
  double Level = Customer.m_Level.tokens();
  double Admissible =
      Rate + Level / (Level < 0 ? RepaySeconds : ReserveSeconds);
  Customer.m_Fraction = Admissible >= Customer.m_Demand
                            ? 1
                            : std::max(0.0, Admissible / Customer.m_Demand);
}

bool CustomerQuotas::admit(std::uint64_t CustomerHash, TimePoint Now) {
  Entry *Target = find(CustomerHash);
  if (!Target)
    return true;
  // The request itself would raise a low rate many times over.
  advance(*Target, Now);
  Target->m_Own.record(Now);
  Target->m_Credit += Target->m_Fraction;
  if (Target->m_Credit < 1) {
    ++Target->m_Refused;
    return false;
  }
  Target->m_Credit -= 1;
  Target->m_Level.charge(1, minLevel(*Target));
  return true;
}

Duration CustomerQuotas::retryAfter(std::uint64_t CustomerHash, TimePoint Now) {
  Entry *Target = find(CustomerHash);
  if (!Target)
    return Duration::zero();
  double Share =
      Target->m_Demand > 0 ? Target->m_Own.current(Now) / Target->m_Demand : 1;
  return Target->m_Returns.reserve(Now, usableRate(*Target) * Share);
}

void CustomerQuotas::giveBack(std::uint64_t CustomerHash, TimePoint Now) {
  Entry *Target = find(CustomerHash);
  if (!Target)
    return;
  Target->m_Level.charge(-1, 0);
  advance(*Target, Now);
  Target->m_Credit = std::min(Target->m_Credit + 1, 2.0);
}

void CustomerQuotas::receivedLoads(const VmName &Sender,
                                   const std::optional<RegionName> &Region,
                                   std::span<const CustomerLoad> Loads,
                                   TimePoint Now) {
  if (Region) {
    m_HeardRegions[*Region] = Now;
    for (auto &[Hash, Target] : m_Entries) {
      auto Load = std::ranges::find(Loads, Hash, &CustomerLoad::m_CustomerHash);
      if (Load != Loads.end())
        Target.m_Regions[*Region].receive(Load->m_OfferedPerSecond,
                                          UsualSeconds, Now);
      else if (Loads.size() < MaxRegionLoads &&
               Target.m_Regions.contains(*Region))
        Target.m_Regions[*Region].receive(0, UsualSeconds, Now);
    }
    return;
  }
  std::uint64_t SenderHash = stableHash(Sender.str());
  auto [Heard, IsFirst] = m_HeardPeers.try_emplace(SenderHash, Now);
  TimePoint HeardBefore = std::exchange(Heard->second, Now);
  for (auto &[Hash, Target] : m_Entries) {
    auto Load = std::ranges::find(Loads, Hash, &CustomerLoad::m_CustomerHash);
    auto Known = Target.m_Peers.find(SenderHash);
    // A peer names all customers that have sent it requests just now.
    double Offered = Load == Loads.end() ? 0 : Load->m_OfferedPerSecond;
    if (Known == Target.m_Peers.end()) {
      if (Offered <= 0)
        continue;
      Known = Target.m_Peers.try_emplace(SenderHash).first;
      // The first report tells nothing of growth.
      Known->second.m_Usual = IsFirst ? Offered : 0;
      Known->second.m_At = HeardBefore;
    }
    receivedPeerLoad(Target, Known->second, Offered, Now);
  }
}

void CustomerQuotas::receivedPeerLoad(Entry &Target, Report &Peer,
                                      double Offered, TimePoint Now) {
  double Weight = decay(Target.m_SampledAt, Now, SampleSeconds);
  Target.m_SampleCurrent =
      Target.m_SampleCurrent * Weight +
      std::min(Offered, MaxGrowthOfOne * (Peer.m_Usual + GrowthPrior));
  Target.m_SampleUsual = Target.m_SampleUsual * Weight + Peer.m_Usual;
  Target.m_SampledAt = Now;
  Peer.receive(Offered, UsualSeconds, Now);
}

void CustomerQuotas::sumReports(Entry &Customer, double LocalFactor,
                                TimePoint Now) {
  std::erase_if(Customer.m_Peers, [Now](const auto &Known) {
    return Now - Known.second.m_At > PeerMemory;
  });
  std::erase_if(Customer.m_Regions, [Now](const auto &Known) {
    return Now - Known.second.m_At > ReportMaxAge;
  });
  Customer.m_FreshPeers = 0;
  Customer.m_StalePeers = 0;
  double AgeSum = 0;
  for (const auto &[Vm, Peer] : Customer.m_Peers) {
    if (Now - Peer.m_At > ReportMaxAge)
      continue;
    AgeSum += std::min(MaxAgeSeconds, secondsBetween(Peer.m_At, Now));
    if (Now - Peer.m_At <= FreshAge || Peer.m_HasJumped)
      Customer.m_FreshPeers += Peer.m_Offered;
    else
      Customer.m_StalePeers += Peer.m_Usual;
  }
  Customer.m_MeanAge =
      Customer.m_Peers.empty() ? 0 : AgeSum / double(Customer.m_Peers.size());
  // VMs that haven't been heard are like those that have.
  Customer.m_StalePeers +=
      (Customer.m_FreshPeers + Customer.m_StalePeers) * (LocalFactor - 1);
  Customer.m_RegionsNow = 0;
  Customer.m_RegionsUsual = 0;
  for (const auto &[Region, Report] : Customer.m_Regions) {
    Customer.m_RegionsNow += Report.m_Offered;
    Customer.m_RegionsUsual += Report.m_Usual;
  }
}

double CustomerQuotas::regionDemand(const Entry &Customer,
                                    TimePoint Now) const {
  return Customer.m_Own.current(Now) + Customer.m_FreshPeers +
         Customer.m_StalePeers * growth(Customer, Now);
}

void CustomerQuotas::refresh(const QuotaFleet &Fleet, TimePoint Now) {
  m_Fleet = Fleet;
  auto IsOld = [Now](const auto &Known) {
    return Now - Known.second > ReportMaxAge;
  };
  std::erase_if(m_HeardPeers, [Now](const auto &Known) {
    return Now - Known.second > PeerMemory;
  });
  std::erase_if(m_HeardRegions, IsOld);
  auto HeardPeers = std::ranges::count_if(
      m_HeardPeers, [&](const auto &Known) { return !IsOld(Known); });
  bool IsAlone = HeardPeers == 0 && m_HeardRegions.empty();
  unsigned Reachable = 1;
  if (Fleet.m_IsComplete && !IsAlone) {
    Reachable = Fleet.m_LocalVms;
    for (const auto &[Region, Count] : Fleet.m_RemoteVms)
      if (m_HeardRegions.contains(Region))
        Reachable += Count;
  }
  double Before = std::exchange(
      m_ReachableFraction,
      std::min(1.0, double(Reachable) / std::max(1U, Fleet.m_KnownVms)));
  double LocalPeers = Fleet.m_LocalVms > 0 ? Fleet.m_LocalVms - 1 : 0;
  double LocalFactor =
      HeardPeers == 0 ? 1 : std::max(1.0, LocalPeers / double(HeardPeers));
  for (auto &[Hash, Target] : m_Entries) {
    // Parts of a fleet have their parts of the saved tokens.
    double Saved = std::max(0.0, Target.m_Level.tokens());
    Target.m_Level.charge(Saved * (1 - m_ReachableFraction / Before), 0);
    sumReports(Target, LocalFactor, Now);
    advance(Target, Now);
  }
  selectLoads(Now);
}

void CustomerQuotas::selectLoads(TimePoint Now) {
  using Ranked = std::vector<std::pair<double, std::uint64_t>>;
  Ranked Own;
  Ranked Region;
  ++m_Rounds;
  for (const auto &[Hash, Target] : m_Entries) {
    // Customers near their quotas come more often, but none is always left out.
    double Utilization =
        std::min(MaxUtilizationRank,
                 Target.m_Demand / Target.m_Quota.m_RequestsPerSecond);
    double Random =
        double(stableHash(Target.m_Name.str(), m_Seed + m_Rounds) >> 11) *
        0x1p-53;
    if (Target.m_Own.current(Now) >= MinSentRate)
      Own.emplace_back(Random + Utilization, Hash);
    if (regionDemand(Target, Now) >= MinSentRate)
      Region.emplace_back(
          secondsBetween(Target.m_RegionSentAt, Now) * (1 + Utilization), Hash);
  }
  auto Select = [](Ranked &From, std::size_t Max,
                   std::vector<std::uint64_t> &To) {
    std::ranges::sort(From, std::ranges::greater{});
    From.resize(std::min(From.size(), Max));
    To.clear();
    for (const auto &[Rank, Hash] : From)
      To.push_back(Hash);
  };
  Select(Own, MaxOwnLoads, m_OwnLoads);
  Select(Region, MaxRegionLoads, m_RegionLoads);
  for (std::uint64_t Hash : m_RegionLoads)
    m_Entries.at(Hash).m_RegionSentAt = Now;
}

std::vector<CustomerLoad> CustomerQuotas::loadsToSend(bool OwnRegion,
                                                      TimePoint Now) const {
  std::vector<CustomerLoad> Result;
  for (std::uint64_t Hash : OwnRegion ? m_OwnLoads : m_RegionLoads) {
    auto Found = m_Entries.find(Hash);
    if (Found == m_Entries.end())
      continue;
    const Entry &Target = Found->second;
    double Offered =
        OwnRegion ? Target.m_Own.current(Now) : regionDemand(Target, Now);
    Result.push_back({Hash, Offered, Offered * Target.m_Fraction,
                      OwnRegion ? 1 : m_Fleet.m_LocalVms});
  }
  return Result;
}

std::vector<QuotaStatus> CustomerQuotas::status() const {
  std::vector<QuotaStatus> Result;
  for (const auto &[Hash, Target] : m_Entries)
    Result.push_back({Target.m_Name, Target.m_Quota.m_RequestsPerSecond,
                      Target.m_Demand, Target.m_Fraction, Target.m_Refused});
  std::ranges::sort(Result, {}, &QuotaStatus::m_Customer);
  return Result;
}

} // namespace mustardspoke::steer
