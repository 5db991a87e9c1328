/// \file
/// The fleet's clock, its VMs, the faults and what was seen.
#include "support/fleet.h"

#include <algorithm>
#include <cmath>

namespace mustardspoke::test {
namespace {

constexpr Duration ListEvery = 2s;
constexpr Duration ListLag = 6s;

struct NamedCount {
  const char *m_Name;
  std::uint64_t Violations::*m_Count;
};

constexpr std::array<NamedCount, 11> Counts{{
    {"upstream over", &Violations::m_UpstreamOver},
    {"region over", &Violations::m_RegionOver},
    {"shift over", &Violations::m_ShiftOver},
    {"ran twice", &Violations::m_RanTwice},
    {"false not-run", &Violations::m_FalseNotRun},
    {"false done", &Violations::m_FalseDone},
    {"crossed", &Violations::m_CrossedAnswer},
    {"drain late", &Violations::m_DrainLate},
    {"bundle late", &Violations::m_BundleLate},
    {"bundle back", &Violations::m_BundleBack},
    {"named dead", &Violations::m_NamedDead},
}};

} // namespace

std::uint64_t Violations::total() const noexcept {
  std::uint64_t Sum = 0;
  for (const NamedCount &One : Counts)
    Sum += this->*One.m_Count;
  return Sum;
}

std::string Violations::kinds() const {
  std::string Text;
  for (const NamedCount &One : Counts)
    if (this->*One.m_Count > 0)
      Text += " [" + std::string(One.m_Name) + " " +
              std::to_string(this->*One.m_Count) + "]";
  return Text;
}

Fleet::Fleet(FleetPlan Plan) : m_Plan(std::move(Plan)), m_Rng(m_Plan.m_Seed) {
  const Bundle &B = *m_Plan.m_Bundle;
  for (const Service &S : B.m_Services) {
    for (const Upstream &U : S.m_Upstreams) {
      FakeUpstream Fake;
      Fake.m_Spec = U;
      // A quarter of the servers takes half as long again.
      Fake.m_Slowness = stableHash(U.m_Name.str()) % 4 == 0 ? 1.5 : 1.0;
      m_Upstreams.emplace(U.m_Name, std::move(Fake));
    }
  }
  m_Bundles[B.m_Version] = m_Plan.m_Bundle;
  (void)m_Table.execute(
      {0, CommitRequest{{RowWrite{HeadKey, 0, HeadRow{B.m_Version, "b1"}}}}});
  std::size_t Count = 0;
  for (const Region &R : B.m_Regions)
    Count += R.m_FailureDomains.size() * m_Plan.m_VmsPerDomain;
  m_Vms.resize(Count);
  std::size_t Index = 0;
  for (const Region &R : B.m_Regions)
    for (const FailureDomainName &D : R.m_FailureDomains)
      for (std::size_t I = 0; I < m_Plan.m_VmsPerDomain; ++I)
        addVm(Index++, D, R.m_Name);
  listLoop();
}

Fleet::~Fleet() = default;

void Fleet::addVm(std::size_t Index, const FailureDomainName &Domain,
                  const RegionName &Region) {
  Vm &One = m_Vms[Index];
  ++One.m_Run;
  std::string Name = One.m_Self.m_Identity.m_Vm.empty()
                         ? "vm-" + std::to_string(Index)
                         : One.m_Self.m_Identity.m_Vm.str();
  One.m_Self.m_Identity = {VmName(Name), One.m_Run};
  One.m_Self.m_Region = Region;
  One.m_Self.m_FailureDomain = Domain;
  One.m_Self.m_CallerAddress = std::to_string(Index);
  One.m_Self.m_PeerAddress = std::to_string(Index);
  One.m_Node = std::make_unique<Node>(One.m_Self, m_Plan.m_Tuning,
                                      m_Plan.m_Rules, m_Rng(), m_Clock.m_Now);
  One.m_Alive = true;
  One.m_Paused = false;
  One.m_Version = 0;
  One.m_Deferred.clear();
  One.m_Waiters.clear();
  One.m_Fetching.clear();
  m_List.push_back({VmName(Name), std::to_string(Index), false});
  One.m_Node->onVmList(m_List, m_Clock.m_Now);
  std::uint64_t Run = One.m_Run;
  // Spread the loops, as real processes' are.
  after(Duration(std::int64_t(m_Rng()) % BeatEvery.count()),
        [=, this] { beatLoop(Index, Run); });
  after(Duration(std::int64_t(m_Rng()) % TickEvery.count()),
        [=, this] { tickLoop(Index, Run); });
  after(Duration(std::int64_t(m_Rng()) % StoreEvery.count()),
        [=, this] { storeStep(Index, Run); });
  after(Duration(std::int64_t(m_Rng()) % PollEvery.count()),
        [=, this] { pollLoads(Index, Run); });
}

void Fleet::at(Duration When, std::function<void()> Action) {
  m_Clock.at(m_Start + When, std::move(Action));
}

void Fleet::after(Duration Delay, std::function<void()> Action) {
  m_Clock.after(Delay, std::move(Action));
}

void Fleet::onVm(std::size_t Vm, std::function<void()> Action) {
  if (!m_Vms[Vm].m_Alive)
    return;
  if (m_Vms[Vm].m_Paused) {
    m_Vms[Vm].m_Deferred.push_back(std::move(Action));
    return;
  }
  Action();
  deliver(Vm);
  noteVersion(Vm);
}

void Fleet::deliver(std::size_t Vm) {
  auto &Waiters = m_Vms[Vm].m_Waiters;
  for (CallDecision &Turn : m_Vms[Vm].m_Node->takeReadyDecisions()) {
    auto At = Waiters.find(Turn.m_Id);
    if (At == Waiters.end())
      continue;
    auto Next = std::move(At->second);
    Waiters.erase(At);
    Next(std::move(Turn.m_Step));
  }
}

void Fleet::noteVersion(std::size_t Vm) {
  const BundleRef &InForce = m_Vms[Vm].m_Node->bundle();
  std::uint64_t Version = InForce ? InForce->m_Version : 0;
  if (Version < m_Vms[Vm].m_Version)
    ++m_Violations.m_BundleBack;
  if (Version > m_Vms[Vm].m_Version)
    m_SpreadAt[Version] = m_Clock.m_Now;
  m_Vms[Vm].m_Version = Version;
}

void Fleet::kill(std::size_t Vm) {
  m_Vms[Vm].m_Alive = false;
  m_Vms[Vm].m_DiedAt = m_Clock.m_Now;
  m_Vms[Vm].m_Waiters.clear();
  VmName Name = m_Vms[Vm].m_Self.m_Identity.m_Vm;
  after(ListLag, [this, Vm, Name] {
    if (!m_Vms[Vm].m_Alive)
      std::erase_if(m_List, [&](const ListedVm &L) { return L.m_Vm == Name; });
  });
}

void Fleet::restart(std::size_t Vm, bool SameName) {
  if (m_Vms[Vm].m_Alive)
    kill(Vm);
  MemberInfo &Self = m_Vms[Vm].m_Self;
  std::erase_if(m_List, [&](const ListedVm &L) {
    return SameName && L.m_Vm == Self.m_Identity.m_Vm;
  });
  if (!SameName)
    Self.m_Identity.m_Vm = VmName("vm-new-" + std::to_string(++m_NewNames));
  addVm(Vm, Self.m_FailureDomain, Self.m_Region);
}

void Fleet::pause(std::size_t Vm) { m_Vms[Vm].m_Paused = true; }

void Fleet::resume(std::size_t Vm) {
  m_Vms[Vm].m_Paused = false;
  auto Deferred = std::exchange(m_Vms[Vm].m_Deferred, {});
  for (auto &Action : Deferred)
    onVm(Vm, std::move(Action));
}

void Fleet::leaveVm(std::size_t Vm) {
  onVm(Vm, [this, Vm] { m_Vms[Vm].m_Node->startLeaving(m_Clock.m_Now); });
  after(m_Plan.m_Tuning.m_LookupLife + 1s, [this, Vm] { handOver(Vm); });
}

void Fleet::listLoop() {
  after(ListEvery, [this] { listLoop(); });
  if (m_ListFrozen)
    return;
  auto Lagging = m_List;
  after(ListLag, [this, Lagging] {
    if (m_ListFrozen || m_StoreMode == StoreMode::Down)
      return;
    for (std::size_t I = 0; I < m_Vms.size(); ++I)
      if (!m_Vms[I].m_StoreCut)
        onVm(I,
             [=, this] { m_Vms[I].m_Node->onVmList(Lagging, m_Clock.m_Now); });
  });
}

void Fleet::drainUpstream(const std::string &Name) {
  m_Upstreams.at(UpstreamName(Name)).m_DrainSince = m_Clock.m_Now;
}

void Fleet::loseAnswers(const std::string &Name, double Part) {
  m_Upstreams.at(UpstreamName(Name)).m_LosePart = Part;
}

std::uint64_t Fleet::acceptBundle(std::size_t Vm, Bundle Next) {
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
  onVm(Vm, [=, this] {
    (void)m_Vms[Vm].m_Node->adopt(m_Bundles[Version], m_Clock.m_Now);
  });
  return Version;
}

void Fleet::run() {
  for (const Service &S : m_Plan.m_Bundle->m_Services) {
    double Slots = 0;
    for (const Upstream &U : S.m_Upstreams)
      Slots += U.m_Slots / m_Upstreams.at(U.m_Name).m_Slowness;
    Duration Mean = m_Plan.m_ServiceTime.at(S.m_Name.str());
    double PerSecond = m_Plan.m_Load * Slots / (double(Mean.count()) / 1e6);
    auto Regions = double(m_Plan.m_Bundle->m_Regions.size());
    for (const Region &R : m_Plan.m_Bundle->m_Regions) {
      double Part = 1.0 / Regions;
      if (!m_Plan.m_HotRegion.empty())
        Part = R.m_Name.str() == m_Plan.m_HotRegion
                   ? m_Plan.m_HotPart
                   : (1.0 - m_Plan.m_HotPart) / (Regions - 1);
      // The first seconds let the VMs find each other and their shares.
      at(5s, [=, this, &S, Home = R.m_Name] {
        arrivals(S, Home, PerSecond * Part);
      });
    }
  }
  m_Clock.run(m_Start + m_Plan.m_Length + 15s);
  judge();
}

std::size_t Fleet::vmAt(const std::string &Address) const {
  return std::size_t(std::stoul(Address));
}

Duration Fleet::delayBetween(const Vm &From, const FakeUpstream &To) {
  if (From.m_Self.m_FailureDomain == To.m_Spec.m_FailureDomain)
    return m_Plan.m_DomainDelay / 5;
  return From.m_Self.m_Region == To.m_Spec.m_Region ? m_Plan.m_DomainDelay
                                                    : m_Plan.m_RegionDelay;
}

Duration Fleet::exponential(Duration Mean) {
  double Draw = -std::log(std::max(uniform(), 1e-9));
  return Duration(std::int64_t(double(Mean.count()) * Draw));
}

double Fleet::usableShare() const {
  double Usable = 0;
  double Capacity = 0;
  for (const Vm &One : m_Vms) {
    if (!One.m_Alive || One.m_Paused)
      continue;
    for (const auto &[Name, U] : One.m_Node->upstreams())
      Usable += One.m_Node->limits().usable(*U->m_SlotLimit, m_Clock.m_Now);
  }
  for (const auto &[Name, U] : m_Upstreams)
    Capacity += U.m_Spec.m_Slots;
  return Usable / Capacity;
}

std::optional<Duration> Fleet::spreadTime(std::uint64_t Of) const {
  auto Accepted = m_AcceptedAt.find(Of);
  auto Spread = m_SpreadAt.find(Of);
  if (Accepted == m_AcceptedAt.end() || Spread == m_SpreadAt.end())
    return std::nullopt;
  for (const Vm &One : m_Vms)
    if (One.m_Alive && One.m_Version < Of)
      return std::nullopt;
  return Spread->second - Accepted->second;
}

std::optional<Duration> Fleet::drainTime() const {
  std::optional<Duration> Longest;
  for (const auto &[Name, U] : m_Upstreams)
    if (U.m_DrainSince)
      Longest = std::max(Longest.value_or(Duration{}),
                         U.m_LastStart - *U.m_DrainSince);
  return Longest;
}

} // namespace mustardspoke::test
