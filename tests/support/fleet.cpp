/// \file
/// The simulated clock, the VMs, fault injection and results.
#include "support/fleet.h"

#include <algorithm>
#include <cmath>

namespace mustardspoke::test {
namespace {

constexpr Duration VmListInterval = 2s;
constexpr Duration VmListLag = 6s;

struct ViolationCount {
  const char *m_Name;
  std::uint64_t Violations::*m_Count;
};

constexpr std::array<ViolationCount, 11> ViolationCounts{{
    {"upstream over", &Violations::m_UpstreamOverloads},
    {"region over", &Violations::m_RegionOverloads},
    {"shift over", &Violations::m_ShiftOverloads},
    {"ran twice", &Violations::m_DuplicateRuns},
    {"false not-run", &Violations::m_FalseNotRun},
    {"false done", &Violations::m_FalseDone},
    {"crossed", &Violations::m_MisroutedAnswers},
    {"drain late", &Violations::m_StartsAfterDrain},
    {"bundle late", &Violations::m_StaleBundleStarts},
    {"bundle back", &Violations::m_BundleReversions},
    {"named dead", &Violations::m_DeadVmsNamed},
}};

} // namespace

std::uint64_t Violations::total() const noexcept {
  std::uint64_t Sum = 0;
  for (const ViolationCount &Count : ViolationCounts)
    Sum += this->*Count.m_Count;
  return Sum;
}

std::string Violations::summary() const {
  std::string Text;
  for (const ViolationCount &Count : ViolationCounts)
    if (this->*Count.m_Count > 0)
      Text += " [" + std::string(Count.m_Name) + " " +
              std::to_string(this->*Count.m_Count) + "]";
  return Text;
}

SimulatedFleet::SimulatedFleet(SimulationConfig Config)
    : m_Config(std::move(Config)), m_Rng(m_Config.m_Seed) {
  const Bundle &B = *m_Config.m_Bundle;
  for (const Service &S : B.m_Services) {
    for (const Upstream &U : S.m_Upstreams) {
      FakeUpstream Fake;
      Fake.m_Spec = U;
      // A quarter of the upstreams takes 1.5 times as long.
      Fake.m_ServiceTimeFactor =
          stableHash(U.m_Name.str()) % 4 == 0 ? 1.5 : 1.0;
      m_Upstreams.emplace(U.m_Name, std::move(Fake));
    }
  }
  m_Bundles[B.m_Version] = m_Config.m_Bundle;
  (void)m_Table.execute(
      {0, CommitRequest{{RowWrite{HeadKey, 0, HeadRow{B.m_Version, "b1"}}}}});
  std::size_t Count = 0;
  for (const Region &R : B.m_Regions)
    Count += R.m_FailureDomains.size() * m_Config.m_VmsPerDomain;
  m_Vms.resize(Count);
  std::size_t Index = 0;
  for (const Region &R : B.m_Regions)
    for (const FailureDomainName &D : R.m_FailureDomains)
      for (std::size_t I = 0; I < m_Config.m_VmsPerDomain; ++I)
        addVm(Index++, D, R.m_Name);
  vmListLoop();
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::addVm(std::size_t Index, const FailureDomainName &Domain,
                           const RegionName &Region) {
  Vm &Added = m_Vms[Index];
  ++Added.m_Incarnation;
  std::string Name = Added.m_Self.m_Identity.m_Vm.empty()
                         ? "vm-" + std::to_string(Index)
                         : Added.m_Self.m_Identity.m_Vm.str();
  Added.m_Self.m_Identity = {VmName(Name), Added.m_Incarnation};
  Added.m_Self.m_Region = Region;
  Added.m_Self.m_FailureDomain = Domain;
  Added.m_Self.m_CallerAddress = std::to_string(Index);
  Added.m_Self.m_PeerAddress = std::to_string(Index);
  Added.m_Node =
      std::make_unique<Node>(Added.m_Self, m_Config.m_Tuning,
                             m_Config.m_Strategies, m_Rng(), m_Clock.m_Now);
  Added.m_Alive = true;
  Added.m_Paused = false;
  Added.m_BundleVersion = 0;
  Added.m_DeferredActions.clear();
  Added.m_WaitingCalls.clear();
  Added.m_BundlesInTransit.clear();
  m_VmList.push_back({VmName(Name), std::to_string(Index), false});
  Added.m_Node->onVmList(m_VmList, m_Clock.m_Now);
  std::uint64_t Incarnation = Added.m_Incarnation;
  // Starts each loop at a random offset, as in independent processes.
  scheduleAfter(Duration(std::int64_t(m_Rng()) % HeartbeatInterval.count()),
                [=, this] { heartbeatLoop(Index, Incarnation); });
  scheduleAfter(Duration(std::int64_t(m_Rng()) % TickInterval.count()),
                [=, this] { tickLoop(Index, Incarnation); });
  scheduleAfter(Duration(std::int64_t(m_Rng()) % StoreInterval.count()),
                [=, this] { storeLoop(Index, Incarnation); });
  scheduleAfter(Duration(std::int64_t(m_Rng()) % LoadPollInterval.count()),
                [=, this] { loadPollLoop(Index, Incarnation); });
}

void SimulatedFleet::scheduleAt(Duration When, std::function<void()> Action) {
  m_Clock.at(m_Start + When, std::move(Action));
}

void SimulatedFleet::scheduleAfter(Duration Delay,
                                   std::function<void()> Action) {
  m_Clock.after(Delay, std::move(Action));
}

void SimulatedFleet::runOnVm(std::size_t Vm, std::function<void()> Action) {
  if (!m_Vms[Vm].m_Alive)
    return;
  if (m_Vms[Vm].m_Paused) {
    m_Vms[Vm].m_DeferredActions.push_back(std::move(Action));
    return;
  }
  Action();
  resumeReadyCalls(Vm);
  recordBundleVersion(Vm);
}

void SimulatedFleet::resumeReadyCalls(std::size_t Vm) {
  auto &Waiters = m_Vms[Vm].m_WaitingCalls;
  for (CallDecision &Turn : m_Vms[Vm].m_Node->takeReadyDecisions()) {
    auto Waiting = Waiters.find(Turn.m_Id);
    if (Waiting == Waiters.end())
      continue;
    auto Resume = std::move(Waiting->second);
    Waiters.erase(Waiting);
    Resume(std::move(Turn.m_Step));
  }
}

void SimulatedFleet::recordBundleVersion(std::size_t Vm) {
  const BundleRef &InForce = m_Vms[Vm].m_Node->bundle();
  std::uint64_t Version = InForce ? InForce->m_Version : 0;
  if (Version < m_Vms[Vm].m_BundleVersion)
    ++m_Violations.m_BundleReversions;
  if (Version > m_Vms[Vm].m_BundleVersion)
    m_LastAdoptedAt[Version] = m_Clock.m_Now;
  m_Vms[Vm].m_BundleVersion = Version;
}

void SimulatedFleet::kill(std::size_t Vm) {
  m_Vms[Vm].m_Alive = false;
  m_Vms[Vm].m_DiedAt = m_Clock.m_Now;
  m_Vms[Vm].m_WaitingCalls.clear();
  VmName Name = m_Vms[Vm].m_Self.m_Identity.m_Vm;
  scheduleAfter(VmListLag, [this, Vm, Name] {
    if (!m_Vms[Vm].m_Alive)
      std::erase_if(m_VmList,
                    [&](const ListedVm &L) { return L.m_Vm == Name; });
  });
}

void SimulatedFleet::restart(std::size_t Vm, bool SameName) {
  if (m_Vms[Vm].m_Alive)
    kill(Vm);
  MemberInfo &Self = m_Vms[Vm].m_Self;
  std::erase_if(m_VmList, [&](const ListedVm &L) {
    return SameName && L.m_Vm == Self.m_Identity.m_Vm;
  });
  if (!SameName)
    Self.m_Identity.m_Vm = VmName("vm-new-" + std::to_string(++m_NewNameCount));
  addVm(Vm, Self.m_FailureDomain, Self.m_Region);
}

void SimulatedFleet::pause(std::size_t Vm) { m_Vms[Vm].m_Paused = true; }

void SimulatedFleet::resume(std::size_t Vm) {
  m_Vms[Vm].m_Paused = false;
  auto Deferred = std::exchange(m_Vms[Vm].m_DeferredActions, {});
  for (auto &Action : Deferred)
    runOnVm(Vm, std::move(Action));
}

void SimulatedFleet::startPlannedStop(std::size_t Vm) {
  runOnVm(Vm, [this, Vm] { m_Vms[Vm].m_Node->startLeaving(m_Clock.m_Now); });
  scheduleAfter(m_Config.m_Tuning.m_LookupLife + 1s,
                [this, Vm] { handOverTickets(Vm); });
}

void SimulatedFleet::vmListLoop() {
  scheduleAfter(VmListInterval, [this] { vmListLoop(); });
  if (m_VmListFrozen)
    return;
  auto Snapshot = m_VmList;
  scheduleAfter(VmListLag, [this, Snapshot] {
    if (m_VmListFrozen || m_StoreMode == StoreMode::Down)
      return;
    for (std::size_t I = 0; I < m_Vms.size(); ++I)
      if (!m_Vms[I].m_StoreCut)
        runOnVm(I, [=, this] {
          m_Vms[I].m_Node->onVmList(Snapshot, m_Clock.m_Now);
        });
  });
}

void SimulatedFleet::drainUpstream(const std::string &Name) {
  m_Upstreams.at(UpstreamName(Name)).m_DrainingSince = m_Clock.m_Now;
}

void SimulatedFleet::loseAnswers(const std::string &Name, double Probability) {
  m_Upstreams.at(UpstreamName(Name)).m_AnswerLossProbability = Probability;
}

std::uint64_t SimulatedFleet::acceptBundle(std::size_t Vm, Bundle Next) {
  if (!m_Vms[Vm].m_Alive || m_Vms[Vm].m_Paused || m_Vms[Vm].m_StoreCut ||
      m_StoreMode == StoreMode::Down ||
      !m_Vms[Vm].m_Node->mayAccept(m_Clock.m_Now))
    return 0;
  const StoredRow *Stored = m_Table.find(HeadKey);
  Next.m_Version = std::get<HeadRow>(Stored->m_Row).m_Version + 1;
  HeadRow Head{Next.m_Version, "b" + std::to_string(Next.m_Version)};
  StoreReply Reply = m_Table.execute(
      {0, CommitRequest{{RowWrite{HeadKey, Stored->m_Revision, Head}}}});
  if (Reply.m_Status != StoreStatus::Ok)
    return 0;
  std::uint64_t Version = Next.m_Version;
  m_Bundles[Version] = std::make_shared<const Bundle>(std::move(Next));
  m_AcceptedAt[Version] = m_Clock.m_Now;
  runOnVm(Vm, [=, this] {
    (void)m_Vms[Vm].m_Node->adopt(m_Bundles[Version], m_Clock.m_Now);
  });
  return Version;
}

void SimulatedFleet::run() {
  for (const Service &S : m_Config.m_Bundle->m_Services) {
    double Slots = 0;
    for (const Upstream &U : S.m_Upstreams)
      Slots += U.m_Slots / m_Upstreams.at(U.m_Name).m_ServiceTimeFactor;
    Duration Mean = m_Config.m_MeanServiceTime.at(S.m_Name.str());
    double CallsPerSecond =
        m_Config.m_OfferedLoad * Slots / (double(Mean.count()) / 1e6);
    auto Regions = double(m_Config.m_Bundle->m_Regions.size());
    for (const Region &R : m_Config.m_Bundle->m_Regions) {
      double RegionShare = 1.0 / Regions;
      if (!m_Config.m_HotRegion.empty())
        RegionShare = R.m_Name.str() == m_Config.m_HotRegion
                          ? m_Config.m_HotRegionShare
                          : (1.0 - m_Config.m_HotRegionShare) / (Regions - 1);
      // In the first 5 s the VMs discover each other and acquire their shares.
      scheduleAt(5s, [=, this, &S, HomeRegion = R.m_Name] {
        generateCalls(S, HomeRegion, CallsPerSecond * RegionShare);
      });
    }
  }
  m_Clock.run(m_Start + m_Config.m_LoadDuration + 15s);
  checkCalls();
}

std::size_t SimulatedFleet::vmIndexOf(const std::string &Address) const {
  return std::size_t(std::stoul(Address));
}

Duration SimulatedFleet::delayBetween(const Vm &Source,
                                      const FakeUpstream &Target) {
  if (Source.m_Self.m_FailureDomain == Target.m_Spec.m_FailureDomain)
    return m_Config.m_DomainDelay / 5;
  return Source.m_Self.m_Region == Target.m_Spec.m_Region
             ? m_Config.m_DomainDelay
             : m_Config.m_RegionDelay;
}

Duration SimulatedFleet::exponential(Duration Mean) {
  double Factor = -std::log(std::max(uniform(), 1e-9));
  return Duration(std::int64_t(double(Mean.count()) * Factor));
}

double SimulatedFleet::usableSlotFraction() const {
  double Usable = 0;
  double Capacity = 0;
  for (const Vm &Member : m_Vms) {
    if (!Member.m_Alive || Member.m_Paused)
      continue;
    for (const auto &[Name, U] : Member.m_Node->upstreams())
      Usable += Member.m_Node->limits().usable(*U->m_SlotLimit, m_Clock.m_Now);
  }
  for (const auto &[Name, U] : m_Upstreams)
    Capacity += U.m_Spec.m_Slots;
  return Usable / Capacity;
}

std::optional<Duration>
SimulatedFleet::bundleSpreadTime(std::uint64_t Version) const {
  auto AcceptedAt = m_AcceptedAt.find(Version);
  auto AdoptedAt = m_LastAdoptedAt.find(Version);
  if (AcceptedAt == m_AcceptedAt.end() || AdoptedAt == m_LastAdoptedAt.end())
    return std::nullopt;
  for (const Vm &Member : m_Vms)
    if (Member.m_Alive && Member.m_BundleVersion < Version)
      return std::nullopt;
  return AdoptedAt->second - AcceptedAt->second;
}

std::optional<Duration> SimulatedFleet::longestDrainTime() const {
  std::optional<Duration> Longest;
  for (const auto &[Name, U] : m_Upstreams)
    if (U.m_DrainingSince)
      Longest = std::max(Longest.value_or(Duration{}),
                         U.m_LastStart - *U.m_DrainingSince);
  return Longest;
}

} // namespace mustardspoke::test
