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
  unsigned m_InFlight = 0; ///< Of this VM.
  /// Of the region's upstreams that may take further requests now.
  unsigned m_ServingSlots = 0;
  double m_SlotsInUse = 0;
  std::set<RegionName> m_Regions;

  [[nodiscard]] double localUtilization() const {
    return m_LocalSlots == 0 ? 1 : m_LocalLoad / double(m_LocalSlots);
  }
  [[nodiscard]] double slotsInUse() const {
    return m_ServingSlots == 0 ? 1 : m_SlotsInUse / m_ServingSlots;
  }
  [[nodiscard]] double remoteUtilization() const {
    unsigned Slots = m_TotalSlots - m_LocalSlots;
    return Slots == 0 ? 1 : (m_TotalLoad - m_LocalLoad) / double(Slots);
  }
};

void addUpstream(ServiceLoad &Sum, const UpstreamTable &Table,
                 const Upstream &Entry, const Placement &Local, TimePoint Now) {
  if (!Table.isUsable(Entry))
    return;
  Sum.m_TotalSlots += Entry.m_Registration.m_Slots;
  Sum.m_Regions.insert(Entry.m_Registration.m_Region);
  double Load = Entry.load(Now, UpstreamHealthTuning());
  Sum.m_TotalLoad += Load;
  Sum.m_InFlight += Entry.m_InFlight;
  if (Entry.m_Registration.m_Region != Local.m_Region)
    return;
  Sum.m_LocalSlots += Entry.m_Registration.m_Slots;
  Sum.m_HealthyLocalUpstreams += Entry.isFailing(Now) ? 0 : 1;
  Sum.m_LocalLoad += Load;
  if (Entry.isEjected(Now) || Entry.isCold(Now) || Entry.isQuiet(Now))
    return;
  Sum.m_ServingSlots += Entry.m_Registration.m_Slots;
  Sum.m_SlotsInUse += std::min(Load, double(Entry.m_Registration.m_Slots));
}

std::map<ServiceName, ServiceLoad> loadByService(const UpstreamTable &Table,
                                                 const Placement &Local,
                                                 TimePoint Now) {
  std::map<ServiceName, ServiceLoad> Result;
  Table.forEach([&](const Upstream &Entry) {
    addUpstream(Result[Entry.m_Registration.m_Service], Table, Entry, Local,
                Now);
  });
  return Result;
}

/// \brief The region's part of all slots, relative to an equal demand from
/// every region. A region with fewer slots than that gets less: requests for
/// keys that no upstream has cached yet would fill its slots immediately, and
/// its callers would be refused until the first answers.
double shareBySlots(const ServiceLoad &Load, const LocalShareTuning &Tuning) {
  if (Load.m_TotalSlots == 0)
    return 1;
  double Share = double(Load.m_LocalSlots) / double(Load.m_TotalSlots) *
                 double(Load.m_Regions.size());
  return std::max(Share < 1 ? Share * Tuning.m_InitialShareFactor : 1.0,
                  Tuning.m_MinShare);
}

/// \brief Change of the share that the utilization of the regions asks for.
double stepByLoad(const LocalShareState &Current,
                  const LocalShareTuning &Tuning, double MaxStep,
                  bool LargeFleet) {
  double Local = Current.m_Utilization;
  double Remote = *Current.m_RemoteUtilization;
  if (Local > Tuning.m_HighUtilization &&
      Local > Remote + Tuning.m_UtilizationMargin)
    return -MaxStep;
  if (Local >= Tuning.m_LowUtilization && Local >= Remote)
    return 0;
  bool RemoteBusy = Remote > Tuning.m_HighUtilization;
  return LargeFleet && !RemoteBusy ? Tuning.m_LargeFleetReturnStep : MaxStep;
}

} // namespace

double LocalShares::shareOf(const ServiceName &Service) const {
  auto Found = m_Shares.find(Service);
  return Found == m_Shares.end() ? 1 : Found->second.m_Share;
}

void LocalShares::deriveMissing(const ServiceName &Service,
                                const UpstreamTable &Table,
                                const Placement &Local, TimePoint Now,
                                const LocalShareTuning &Tuning) {
  Share &Current = m_Shares[Service];
  if (Current.m_IsDerived)
    return;
  ServiceLoad Load;
  for (const UpstreamPtr &Entry : Table.upstreamsOf(Service))
    addUpstream(Load, Table, *Entry, Local, Now);
  if (Load.m_TotalSlots == 0)
    return;
  Current.m_IsDerived = true;
  recordSlots(Current, Load.m_LocalSlots, Load.m_TotalSlots, Now);
  Current.m_HealthyUpstreams = Load.m_HealthyLocalUpstreams;
  Current.m_Share = shareBySlots(Load, Tuning);
}

void LocalShares::recordSlots(Share &Current, unsigned Local, unsigned Total,
                              TimePoint Now) {
  if (Total > Current.m_TotalSlots)
    Current.m_SlotsAddedAt = Now;
  Current.m_LocalSlots = Local;
  Current.m_TotalSlots = Total;
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

void LocalShares::recordChoice(const ServiceName &Service,
                               const Choice &Selected) {
  Share &Current = m_Shares[Service];
  if (Selected.m_IsOverflow)
    Current.m_OverflowTokens = std::max(Current.m_OverflowTokens - 1, 0.0);
  Assigned &Keys =
      Selected.m_IsLocalKey ? Current.m_LocalKeys : Current.m_RemoteKeys;
  Keys.m_Requests += 1;
  Keys.m_Refused += Selected.m_Upstream ? 0 : 1;
}

double LocalShares::Assigned::servedFraction() const {
  // With few requests, the fraction would be a matter of chance.
  constexpr double MinRequests = 20;
  constexpr double MinFraction = 0.1;
  return m_Requests < MinRequests
             ? 1
             : std::max(1 - m_Refused / m_Requests, MinFraction);
}

void LocalShares::Assigned::decay() {
  constexpr double KeptFraction = 0.9; // Of each step.
  m_Requests *= KeptFraction;
  m_Refused *= KeptFraction;
}

double LocalShares::leverage(const Share &Current) {
  // The part of the requests that run in the own region is
  //   Local * Share / (Local * Share + Remote * (1 - Share));
  // its derivative by the share:
  double Local = Current.m_LocalKeys.servedFraction();
  double Remote = Current.m_RemoteKeys.servedFraction();
  double Served = Local * Current.m_Share + Remote * (1 - Current.m_Share);
  return Local * Remote / (Served * Served);
}

void LocalShares::update(const UpstreamTable &Table, const Placement &Local,
                         TimePoint Now, const LocalShareTuning &Tuning,
                         bool LargeFleet) {
  if (Now - m_LastStepAt <
      (LargeFleet ? Tuning.m_LargeFleetStepInterval : Tuning.m_StepInterval))
    return;
  m_LastStepAt = Now;
  double MaxStep = LargeFleet ? Tuning.m_LargeFleetMaxStep : Tuning.m_MaxStep;
  for (const auto &[Service, Load] : loadByService(Table, Local, Now)) {
    deriveMissing(Service, Table, Local, Now, Tuning);
    Share &Current = m_Shares[Service];
    if (Load.m_HealthyLocalUpstreams < Current.m_HealthyUpstreams)
      Current.m_UpstreamLostAt = Now;
    Current.m_HealthyUpstreams = Load.m_HealthyLocalUpstreams;
    recordSlots(Current, Load.m_LocalSlots, Load.m_TotalSlots, Now);
    Current.m_Utilization = Load.localUtilization();
    Current.m_SlotsInUse = Load.slotsInUse();
    if (Load.m_InFlight > 0)
      Current.m_CarriedAt = Now;
    LocalShareState Inputs = Current;
    if (!Inputs.m_RemoteUtilization || Load.m_LocalSlots == Load.m_TotalSlots)
      Inputs.m_RemoteUtilization = Load.remoteUtilization();
    double Step = MaxStep / std::max(leverage(Current), 1.0);
    Current.m_LocalKeys.decay();
    Current.m_RemoteKeys.decay();
    step(Current, stepByLoad(Inputs, Tuning, Step, LargeFleet),
         shareBySlots(Load, Tuning), Now, Tuning, Step);
  }
}

void LocalShares::step(Share &Current, double StepByLoad, double BySlots,
                       TimePoint Now, const LocalShareTuning &Tuning,
                       double MaxStep) {
  bool Carries = Current.m_CarriedAt != TimePoint() &&
                 Now - Current.m_CarriedAt < Tuning.m_CarryTimeout;
  bool SlotsSettled = Now - Current.m_SlotsAddedAt >= Tuning.m_SlotsSettleTime;
  unsigned Peers = std::exchange(Current.m_PeerShareCount, 0);
  double PeerSum = std::exchange(Current.m_PeerShareSum, 0);

  double Target = Current.m_Share;
  bool AtOnce = false;
  if (!Current.m_IsLearned && Peers > 0) {
    Current.m_IsLearned = true;
    Target = PeerSum / Peers;
    AtOnce = true;
  } else if (!Current.m_IsLearned && !(Carries && SlotsSettled)) {
    // An overloaded region moves keys out even if it has slots for more.
    Target = Carries && StepByLoad < 0 ? Target + StepByLoad : BySlots;
    AtOnce = !Carries;
  } else if (Carries) {
    Current.m_IsLearned = true;
    Target = (Current.m_Share + PeerSum) / (Peers + 1) + StepByLoad;
  } else if (Peers > 0) {
    Target = PeerSum / Peers;
  }
  if (!AtOnce)
    Target = std::clamp(Target, Current.m_Share - MaxStep,
                        Current.m_Share + MaxStep);
  Current.m_Share = std::clamp(Target, Tuning.m_MinShare, 1.0);
  Current.m_IsAdjusted = Current.m_IsLearned && Carries;
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
