/// \file
/// Adjusts the local shares by the utilization of the region's upstreams.
#include "steer/local_share.h"

#include <algorithm>
#include <set>

namespace mustardspoke::steer {
namespace {

/// \brief Capacity and load of one service.
struct ServiceLoad {
  unsigned m_LocalSlots = 0;
  unsigned m_HealthyLocalUpstreams = 0;
  unsigned m_TotalSlots = 0;
  double m_LocalLoad = 0;
  double m_TotalLoad = 0;
  std::set<RegionName> m_Regions;
};

std::map<ServiceName, ServiceLoad> loadByService(const UpstreamTable &Table,
                                                 const Placement &Local,
                                                 TimePoint Now) {
  std::map<ServiceName, ServiceLoad> Result;
  UpstreamHealthTuning Tuning;
  Table.forEach([&](const Upstream &Entry) {
    if (!Table.isUsable(Entry))
      return;
    ServiceLoad &Sum = Result[Entry.m_Registration.m_Service];
    Sum.m_TotalSlots += Entry.m_Registration.m_Slots;
    Sum.m_Regions.insert(Entry.m_Registration.m_Region);
    double Load = Entry.load(Now, Tuning);
    Sum.m_TotalLoad += Load;
    if (Entry.m_Registration.m_Region != Local.m_Region)
      return;
    Sum.m_LocalSlots += Entry.m_Registration.m_Slots;
    Sum.m_HealthyLocalUpstreams += Entry.isEjected(Now) ? 0 : 1;
    Sum.m_LocalLoad += Load;
  });
  return Result;
}

/// \brief Initial share: the region's part of all slots, relative to an equal
/// demand from every region. A region with fewer slots than that starts lower:
/// requests for keys that no upstream has cached yet would fill its slots
/// immediately, and its callers would be refused until the first answers.
double initialShare(const ServiceLoad &Load, const LocalShareTuning &Tuning) {
  if (Load.m_TotalSlots == 0)
    return 1;
  double Share = double(Load.m_LocalSlots) / double(Load.m_TotalSlots) *
                 double(Load.m_Regions.size());
  return Share < 1 ? Share * Tuning.m_InitialShareFactor : 1.0;
}

} // namespace

double LocalShares::shareOf(const ServiceName &Service) const {
  auto Found = m_Shares.find(Service);
  return Found == m_Shares.end() ? 1 : Found->second.m_Share;
}

void LocalShares::recordRequest(const ServiceName &Service,
                                const LocalShareTuning &Tuning) {
  double &Tokens = m_Shares[Service].m_OverflowTokens;
  Tokens =
      std::min(Tokens + Tuning.m_OverflowFraction, Tuning.m_MaxOverflowBurst);
}

bool LocalShares::mayOverflow(const ServiceName &Service, TimePoint Now,
                              const LocalShareTuning &Tuning) const {
  auto Found = m_Shares.find(Service);
  if (Found == m_Shares.end())
    return true;
  const Share &Current = Found->second;
  bool RecentLoss =
      Current.m_UpstreamLostAt != TimePoint() &&
      Now - Current.m_UpstreamLostAt < Tuning.m_UpstreamLossWindow;
  return RecentLoss || Current.m_OverflowTokens >= 1;
}

void LocalShares::recordOverflow(const ServiceName &Service) {
  double &Tokens = m_Shares[Service].m_OverflowTokens;
  Tokens = std::max(Tokens - 1, 0.0);
}

void LocalShares::update(const UpstreamTable &Table, const Placement &Local,
                         TimePoint Now, const LocalShareTuning &Tuning,
                         bool LargeFleet) {
  if (Now - m_LastStepAt <
      (LargeFleet ? Tuning.m_LargeFleetStepInterval : Tuning.m_StepInterval))
    return;
  m_LastStepAt = Now;
  for (const auto &[Service, Load] : loadByService(Table, Local, Now)) {
    Share &Current = m_Shares[Service];
    Current.m_LocalSlots = Load.m_LocalSlots;
    Current.m_TotalSlots = Load.m_TotalSlots;
    if (!std::exchange(Current.m_Initialized, true)) {
      Current.m_Share = initialShare(Load, Tuning);
      Current.m_HealthyUpstreams = Load.m_HealthyLocalUpstreams;
      continue;
    }
    if (Load.m_HealthyLocalUpstreams < Current.m_HealthyUpstreams)
      Current.m_UpstreamLostAt = Now;
    Current.m_HealthyUpstreams = Load.m_HealthyLocalUpstreams;
    double Step = 0;
    double LocalUtilization =
        Load.m_LocalSlots == 0 ? 1
                               : Load.m_LocalLoad / double(Load.m_LocalSlots);
    Current.m_Utilization = LocalUtilization;
    unsigned RemoteSlots = Load.m_TotalSlots - Load.m_LocalSlots;
    double RemoteUtilization =
        RemoteSlots == 0
            ? 1
            : (Load.m_TotalLoad - Load.m_LocalLoad) / double(RemoteSlots);
    if (RemoteSlots > 0 && Current.m_RemoteUtilization)
      RemoteUtilization = *Current.m_RemoteUtilization;
    double MaxStep = LargeFleet ? Tuning.m_LargeFleetMaxStep : Tuning.m_MaxStep;
    bool RemoteBusy = RemoteUtilization > Tuning.m_HighUtilization;
    if (LocalUtilization > Tuning.m_HighUtilization &&
        LocalUtilization > RemoteUtilization + Tuning.m_UtilizationMargin)
      Step = -MaxStep;
    else if (LocalUtilization < Tuning.m_LowUtilization ||
             LocalUtilization < RemoteUtilization)
      Step =
          LargeFleet && !RemoteBusy ? Tuning.m_LargeFleetReturnStep : MaxStep;
    double Average = (Current.m_Share + Current.m_PeerShareSum) /
                     (Current.m_PeerShareCount + 1);
    Current.m_Share = std::clamp(Average + Step, Tuning.m_MinShare, 1.0);
    Current.m_PeerShareSum = 0;
    Current.m_PeerShareCount = 0;
  }
}

void LocalShares::receivedLocalShare(std::uint64_t ServiceHash, double Share) {
  for (auto &[Service, Entry] : m_Shares)
    if (stableHash(Service.str()) == ServiceHash) {
      Entry.m_PeerShareSum += Share;
      ++Entry.m_PeerShareCount;
    }
}

void LocalShares::receivedRemoteUtilization(std::uint64_t ServiceHash,
                                            double Utilization) {
  // Averages over about ten heartbeats of several VMs.
  constexpr double SampleWeight = 0.1;
  for (auto &[Service, Entry] : m_Shares)
    if (stableHash(Service.str()) == ServiceHash)
      Entry.m_RemoteUtilization =
          Entry.m_RemoteUtilization
              ? *Entry.m_RemoteUtilization +
                    (Utilization - *Entry.m_RemoteUtilization) * SampleWeight
              : Utilization;
}

} // namespace mustardspoke::steer
