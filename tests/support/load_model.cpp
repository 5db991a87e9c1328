/// \file
/// Events of the load simulation and the named patterns.
#include "support/load_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace mustardspoke::test {

using namespace steer;

namespace {

const ServiceName Service{"stock"};
constexpr Duration HeartbeatInterval = 100ms;
/// Chance that a VM of a large fleet hears a given peer in one interval.
constexpr double LargeFleetHeartbeatChance = 0.1;
/// From the begin of a crashing request to the end of its upstream.
constexpr Duration TimeToCrash = 50ms;
constexpr Duration UpstreamRestartTime = 3s;
constexpr unsigned MaxUnreachable = 6; ///< Per request.
constexpr unsigned CrashingKey = ~0U;

} // namespace

/// \brief Actual state of an upstream.
struct LoadModel::Server {
  std::string m_Id;
  std::string m_Region;
  unsigned m_Running = 0;
  double m_Slowness = 1;
  double m_LossRate = 0;
  std::deque<RequestPtr> m_Waiting;
  std::list<unsigned> m_CachedKeys; ///< Most recently used first.
  bool m_Registered = false;
  bool m_IsUp = true;
  unsigned m_Starts = 1;
  std::list<RequestPtr> m_AtWork;
};

/// \brief An entry VM and its view of the system.
struct LoadModel::EntryNode {
  Placement m_Placement;
  UpstreamTable m_Upstreams;
  LocalShares m_Shares;
  CrashSuspects m_Suspects;
};

/// \brief One request of a caller with all its attempts.
struct LoadModel::Request {
  std::size_t m_Region = 0;
  unsigned m_Key = 0;
  TimePoint m_ArrivedAt;
  EntryNode *m_Vm = nullptr;
  UpstreamPtr m_Upstream; ///< In the view of the VM.
  double m_LoadBefore = 0;
  TimePoint m_SentAt;
  unsigned m_Refusals = 0;
  unsigned m_Losses = 0;      ///< Upstreams that ended while they had it.
  unsigned m_Unreachable = 0; ///< Upstreams that refused the connection.
  bool m_Done = false;

  [[nodiscard]] bool isCrashing() const { return m_Key == CrashingKey; }
  [[nodiscard]] RequestFingerprint fingerprint() const {
    return makeFingerprint(m_Key, 0);
  }
};

double LoadResult::worstRegion() const {
  double Worst = 1;
  for (const auto &[Region, Tally] : m_ByRegion)
    Worst = std::min(Worst, Tally.inTarget());
  return Worst;
}

double LoadResult::worstSecond() const {
  double Worst = 1;
  for (const LoadTally &Tally : m_BySecond)
    Worst = std::min(Worst, Tally.inTarget());
  return Worst;
}

double LoadResult::maxRegionShift() const {
  double Largest = 0;
  for (const auto &[Region, Mix] : m_Mixes)
    Largest = std::max(Largest, Mix.maxShift(m_Length));
  return Largest;
}

void RegionMix::record(Duration SinceStart, const std::string &UpstreamRegion) {
  auto Slot = std::size_t(SinceStart / SlotLength);
  if (m_Slots.size() <= Slot)
    m_Slots.resize(Slot + 1);
  ++m_Slots[Slot][UpstreamRegion];
}

RegionMix::Counts RegionMix::window(std::size_t FirstSlot) const {
  Counts Sum;
  for (std::size_t I = FirstSlot;
       I < std::min(m_Slots.size(), FirstSlot + WindowLength / SlotLength); ++I)
    for (const auto &[Region, Count] : m_Slots[I])
      Sum[Region] += Count;
  return Sum;
}

double RegionMix::maxShift(Duration End, unsigned MinRequests) const {
  constexpr std::size_t WindowSlots = WindowLength / SlotLength;
  auto Total = [](const Counts &Window) {
    unsigned Sum = 0;
    for (const auto &[Region, Count] : Window)
      Sum += Count;
    return Sum;
  };
  double Largest = 0;
  for (std::size_t I = 0; I + 2 * WindowSlots <= std::size_t(End / SlotLength);
       ++I) {
    Counts Before = window(I);
    Counts After = window(I + WindowSlots);
    unsigned TotalBefore = Total(Before);
    unsigned TotalAfter = Total(After);
    if (std::min(TotalBefore, TotalAfter) < MinRequests)
      continue;
    double Moved = 0;
    for (const auto &[Region, Count] : After)
      Moved += std::max(0.0, double(Count) / TotalAfter -
                                 double(Before[Region]) / TotalBefore);
    Largest = std::max(Largest, Moved);
  }
  return Largest;
}

LoadModel::LoadModel(LoadPlan Plan)
    : m_Plan(std::move(Plan)), m_Rng(m_Plan.m_Seed),
      m_FirstRequestAt(m_Events.m_Now + m_Plan.m_Lead),
      m_End(m_FirstRequestAt + m_Plan.m_Length),
      m_LoadFactors(m_Plan.m_Regions.size(), 1) {
  m_Route.m_Name = "stock";
  m_Route.m_Prefix = "/";
  m_Route.m_TargetLatency = m_Plan.m_TargetLatency;
  m_Route.m_Timeout = m_Plan.m_Deadline;
  m_Route.m_Targets = {{Service, 1}};
  m_Result.m_Length = m_Plan.m_Length;
  m_Result.m_BySecond.resize(std::size_t(m_Plan.m_Length / 1s));
  for (const LoadPlan::RegionPlan &Region : m_Plan.m_Regions)
    for (unsigned I = 0; I < Region.m_Upstreams; ++I) {
      m_Servers.push_back(std::make_unique<Server>());
      m_Servers.back()->m_Id = Region.m_Name + "-" + std::to_string(I);
      m_Servers.back()->m_Region = Region.m_Name;
    }
  for (const LoadPlan::RegionPlan &Region : m_Plan.m_Regions)
    for (unsigned I = 0; I < Region.m_Vms; ++I) {
      m_Vms.push_back(std::make_unique<EntryNode>());
      m_Vms.back()->m_Placement = {RegionName(Region.m_Name),
                                   FailureDomainName(Region.m_Name + "-a")};
    }
  scheduleRegistrations();
}

LoadModel::~LoadModel() = default;

void LoadModel::at(Duration When, std::function<void()> Action) {
  m_Events.after(When, std::move(Action));
}

void LoadModel::scheduleRegistrations() {
  std::vector<Server *> Order;
  for (const auto &Entry : m_Servers)
    Order.push_back(Entry.get());
  if (m_Plan.m_RegistrationTime > Duration::zero())
    for (std::size_t I = Order.size(); I > 1; --I)
      std::swap(Order[I - 1], Order[m_Rng(std::uint32_t(I))]);
  std::stable_partition(Order.begin(), Order.end(),
                        [this](const Server *Entry) {
                          return Entry->m_Region == m_Plan.m_FirstToRegister;
                        });
  for (std::size_t I = 0; I < Order.size(); ++I) {
    auto Register = [this, Entry = Order[I]] {
      Entry->m_Registered = true;
      for (const auto &Vm : m_Vms)
        registerUpstream(*Vm, *Entry);
    };
    if (m_Plan.m_RegistrationTime == Duration::zero())
      Register();
    else
      at(m_Plan.m_RegistrationTime * std::int64_t(I) /
             std::int64_t(Order.size()),
         Register);
  }
}

void LoadModel::registerUpstream(EntryNode &Vm, Server &Target) {
  UpstreamRegistration Registration;
  Registration.m_Id = Target.m_Id;
  Registration.m_Service = Service;
  Registration.m_Region = RegionName(Target.m_Region);
  Registration.m_Domain = FailureDomainName(Target.m_Region + "-a");
  Registration.m_Slots = m_Plan.m_Slots;
  Registration.m_StartedMs = Target.m_Starts;
  (void)Vm.m_Upstreams.put(Registration, m_Events.m_Now);
  bool IsLocal = Vm.m_Placement.m_Region == Registration.m_Region;
  Vm.m_Upstreams.find(Target.m_Id)
      ->recordConnect(2 *
                      (IsLocal ? m_Plan.m_LocalDelay : m_Plan.m_RemoteDelay));
}

void LoadModel::setLoad(const std::string &Region, double Factor) {
  for (std::size_t I = 0; I < m_LoadFactors.size(); ++I)
    if (m_Plan.m_Regions[I].m_Name == Region)
      m_LoadFactors[I] = Factor;
}

void LoadModel::setSlowness(const std::string &Region, unsigned Count,
                            double Factor) {
  for (const auto &Entry : m_Servers)
    if (Entry->m_Region == Region && Count > 0) {
      Entry->m_Slowness = Factor;
      --Count;
    }
}

void LoadModel::setLoss(const std::string &Region, unsigned Count,
                        double Fraction) {
  for (const auto &Entry : m_Servers)
    if (Entry->m_Region == Region && Count > 0) {
      Entry->m_LossRate = Fraction;
      --Count;
    }
}

void LoadModel::clearCaches(const std::string &Region) {
  for (const auto &Entry : m_Servers)
    if (Entry->m_Region == Region)
      Entry->m_CachedKeys.clear();
}

void LoadModel::restartVms() {
  for (const auto &Vm : m_Vms) {
    Vm->m_Upstreams = UpstreamTable();
    Vm->m_Shares = LocalShares();
    Vm->m_Suspects = CrashSuspects();
    for (const auto &Entry : m_Servers)
      if (Entry->m_Registered)
        registerUpstream(*Vm, *Entry);
  }
}

Duration LoadModel::exponential(Duration Mean) {
  double Drawn = -std::log(1 - uniform() * 0.999999);
  return Duration(std::int64_t(double(Mean.count()) * Drawn));
}

LoadResult LoadModel::run() {
  at(m_Plan.m_Lead, [this] {
    for (std::size_t I = 0; I < m_Plan.m_Regions.size(); ++I)
      scheduleArrival(I);
  });
  exchangeLoads();
  m_Events.run();
  return m_Result;
}

void LoadModel::scheduleArrival(std::size_t Region) {
  double Rate =
      m_Plan.m_Regions[Region].m_RequestsPerSecond * m_LoadFactors[Region];
  at(exponential(Duration(std::int64_t(1e6 / Rate))), [this, Region] {
    if (m_Events.m_Now >= m_End)
      return;
    auto Current = std::make_shared<Request>();
    Current->m_Region = Region;
    Current->m_Key = unsigned(Region) * m_Plan.m_KeysPerRegion +
                     m_Rng(m_Plan.m_KeysPerRegion);
    Current->m_ArrivedAt = m_Events.m_Now;
    dispatch(Current);
    scheduleArrival(Region);
  });
}

void LoadModel::exchangeLoads() {
  // Each VM reports its active requests per upstream to all others.
  std::map<std::uint64_t, double> Sum;
  for (const auto &Vm : m_Vms)
    Vm->m_Upstreams.forEach([&Sum](const steer::Upstream &Entry) {
      Sum[Entry.m_IdHash] += Entry.ownActiveRequests();
    });
  for (const auto &Vm : m_Vms) {
    for (const auto &Entry : m_Servers) {
      UpstreamPtr Known = Vm->m_Upstreams.find(Entry->m_Id);
      if (Known)
        Known->m_PeerActiveRequests =
            Sum[Known->m_IdHash] - Known->ownActiveRequests();
    }
    Vm->m_Shares.update(Vm->m_Upstreams, Vm->m_Placement, m_Events.m_Now,
                        m_Plan.m_ShareTuning, m_Plan.m_LargeFleet);
  }
  exchangeShares();
  if (m_Events.m_Now < m_End)
    at(HeartbeatInterval, [this] { exchangeLoads(); });
}

void LoadModel::exchangeShares() {
  for (const auto &Sender : m_Vms)
    for (const auto &Receiver : m_Vms)
      // A VM of a large fleet hears a few peers at a time.
      if (Receiver != Sender &&
          (!m_Plan.m_LargeFleet || uniform() < LargeFleetHeartbeatChance))
        sendShares(*Sender, *Receiver);
}

void LoadModel::sendShares(const EntryNode &Sender, EntryNode &Receiver) {
  bool IsLocal = Sender.m_Placement.m_Region == Receiver.m_Placement.m_Region;
  Sender.m_Shares.forEach([&](const ServiceName &Name,
                              const LocalShareState &State) {
    std::uint64_t Hash = stableHash(Name.str());
    if (IsLocal && State.m_IsAdjusted)
      Receiver.m_Shares.receivedLocalShare(Hash, State.m_Share);
    if (!IsLocal)
      Receiver.m_Shares.receivedRemoteUtilization(Hash, State.m_Utilization);
  });
}

Duration LoadModel::networkDelay(const Request &Current,
                                 const Server &Target) const {
  bool IsLocal = m_Plan.m_Regions[Current.m_Region].m_Name == Target.m_Region;
  return IsLocal ? m_Plan.m_LocalDelay : m_Plan.m_RemoteDelay;
}

void LoadModel::dispatch(const RequestPtr &Current) {
  std::vector<EntryNode *> LocalVms;
  for (const auto &Vm : m_Vms)
    if (Vm->m_Placement.m_Region.str() ==
        m_Plan.m_Regions[Current->m_Region].m_Name)
      LocalVms.push_back(Vm.get());
  EntryNode &Vm = *LocalVms[m_Rng(std::uint32_t(LocalVms.size()))];
  if (!maySend(Vm, *Current))
    return recordOutcome(Current, &LoadTally::m_Refused);
  const LocalShareTuning &ShareTuning = m_Plan.m_ShareTuning;
  Vm.m_Shares.deriveMissing(Service, Vm.m_Upstreams, Vm.m_Placement,
                            m_Events.m_Now, ShareTuning);
  Vm.m_Shares.recordRequest(Service, ShareTuning);
  ChoiceInput Input{m_Route, nullptr, Service, Residency(m_Route)};
  Input.m_KeyHash = stableHash(std::to_string(Current->m_Key));
  Input.m_Now = m_Events.m_Now;
  Input.m_TimeToTarget =
      Current->m_ArrivedAt + m_Plan.m_TargetLatency - m_Events.m_Now;
  Input.m_LocalShare = Vm.m_Shares.shareOf(Service);
  Input.m_MayOverflow =
      Vm.m_Shares.mayOverflow(Service, m_Events.m_Now, ShareTuning);
  Input.m_MeanProcessingTime = Vm.m_Upstreams.meanProcessingTime(Service);
  Choice Selected =
      m_Plan.m_Strategy(Input, Vm.m_Upstreams, Vm.m_Placement, m_Plan.m_Tuning);
  Vm.m_Shares.recordChoice(Service, Selected);
  if (!Selected.m_Upstream)
    return handleRefusal(Current, Selected.m_RetryAfter);
  Current->m_Vm = &Vm;
  Current->m_Upstream = Selected.m_Upstream;
  Current->m_LoadBefore = Selected.m_Load;
  Current->m_SentAt = m_Events.m_Now;
  ++Current->m_Upstream->m_InFlight;
  for (const auto &Target : m_Servers)
    if (Target->m_Id == Current->m_Upstream->m_Registration.m_Id)
      at(networkDelay(*Current, *Target),
         [this, Current, Server = Target.get()] {
           arriveAt(Current, *Server);
         });
  at(Current->m_ArrivedAt + m_Plan.m_Deadline - m_Events.m_Now,
     [this, Current] {
       if (Current->m_Done)
         return;
       --Current->m_Upstream->m_InFlight;
       (void)Current->m_Upstream->recordFailure(
           m_Events.m_Now, m_Plan.m_Tuning.m_HealthTuning,
           Current->m_Upstream->hasAnsweredSince(Current->m_SentAt));
       recordOutcome(Current, &LoadTally::m_Lost);
     });
}

void LoadModel::handleRefusal(const RequestPtr &Current, Duration RetryAfter) {
  // Callers retry once.
  if (++Current->m_Refusals > 1 ||
      m_Events.m_Now + RetryAfter >
          Current->m_ArrivedAt + m_Plan.m_Deadline / 2)
    return recordOutcome(Current, &LoadTally::m_Refused);
  at(RetryAfter, [this, Current] { dispatch(Current); });
}

void LoadModel::arriveAt(const RequestPtr &Current, Server &Target) {
  if (Current->m_Done)
    return;
  if (!Target.m_IsUp)
    return at(networkDelay(*Current, Target),
              [this, Current] { handleUnreachable(Current); });
  if (Target.m_Running < m_Plan.m_Slots)
    return startWork(Current, Target);
  if (Target.m_Waiting.size() < m_Plan.m_QueueLimit) {
    Target.m_Waiting.push_back(Current);
    return;
  }
  at(networkDelay(*Current, Target), [this, Current] {
    if (Current->m_Done)
      return;
    --Current->m_Upstream->m_InFlight;
    handleRefusal(Current, 200ms);
  });
}

void LoadModel::startWork(const RequestPtr &Current, Server &Target) {
  ++Target.m_Running;
  Target.m_AtWork.push_back(Current);
  if (Current->isCrashing())
    return at(TimeToCrash, [this, &Target, Starts = Target.m_Starts] {
      if (Target.m_Starts == Starts)
        crash(Target);
    });
  m_Result.m_Mixes[m_Plan.m_Regions[Current->m_Region].m_Name].record(
      Current->m_SentAt - m_FirstRequestAt, Target.m_Region);
  auto Found = std::find(Target.m_CachedKeys.begin(), Target.m_CachedKeys.end(),
                         Current->m_Key);
  bool Uncached = Found == Target.m_CachedKeys.end();
  if (!Uncached)
    Target.m_CachedKeys.erase(Found);
  Target.m_CachedKeys.push_front(Current->m_Key);
  if (Target.m_CachedKeys.size() > m_Plan.m_CacheSize)
    Target.m_CachedKeys.pop_back();
  double Factor = (Uncached ? m_Plan.m_UncachedFactor : 1) * Target.m_Slowness;
  // Processing times vary by up to half around their mean.
  Duration Work(std::int64_t(double(m_Plan.m_CachedWork.count()) * Factor *
                             (0.5 + uniform())));
  if (Uncached)
    m_Result.m_UncachedWork += Work;
  at(Work, [this, Current, &Target, Starts = Target.m_Starts] {
    if (Target.m_Starts == Starts)
      finishWork(Current, Target);
  });
}

void LoadModel::finishWork(const RequestPtr &Current, Server &Target) {
  --Target.m_Running;
  Target.m_AtWork.remove(Current);
  steer::LoadReport Load{Target.m_Running, unsigned(Target.m_Waiting.size()),
                         m_Plan.m_Slots};
  if (uniform() >= Target.m_LossRate)
    at(networkDelay(*Current, Target),
       [this, Current, Load] { handleAnswer(Current, Load); });
  while (!Target.m_Waiting.empty() && Target.m_Running < m_Plan.m_Slots) {
    RequestPtr Next = Target.m_Waiting.front();
    Target.m_Waiting.pop_front();
    if (!Next->m_Done)
      startWork(Next, Target);
  }
}

void LoadModel::handleAnswer(const RequestPtr &Current,
                             steer::LoadReport Load) {
  if (Current->m_Done)
    return;
  steer::Upstream &Target = *Current->m_Upstream;
  (void)Current->m_Vm->m_Suspects.recordAnswer(Current->fingerprint(),
                                               m_Events.m_Now);
  --Target.m_InFlight;
  Target.recordLoadReport(Load, m_Events.m_Now);
  Duration Work = Target.recordSuccess(
      m_Events.m_Now, m_Events.m_Now - Current->m_SentAt, Current->m_LoadBefore,
      m_Plan.m_Tuning.m_HealthTuning);
  Current->m_Vm->m_Upstreams.recordProcessingTime(Service, Work);
  recordOutcome(Current,
                m_Events.m_Now - Current->m_ArrivedAt <= m_Plan.m_TargetLatency
                    ? &LoadTally::m_InTarget
                    : &LoadTally::m_Late);
}

void LoadModel::sendCrashingRequest() {
  auto Current = std::make_shared<Request>();
  Current->m_Region = m_Rng(std::uint32_t(m_Plan.m_Regions.size()));
  Current->m_Key = CrashingKey;
  Current->m_ArrivedAt = m_Events.m_Now;
  dispatch(Current);
}

bool LoadModel::maySend(EntryNode &Vm, const Request &Current) {
  if (!m_Plan.m_KnowsCrashingRequests)
    return true;
  unsigned Turn = 0;
  while (m_Vms[Turn].get() != &Vm)
    ++Turn;
  CrashVerdict Verdict = Vm.m_Suspects.verdict(
      Current.fingerprint(), m_Events.m_Now, {Turn, Turn}, true);
  if (Verdict == CrashVerdict::Trial)
    Vm.m_Suspects.beginTrial(Current.fingerprint(), m_Events.m_Now);
  return Verdict == CrashVerdict::Send || Verdict == CrashVerdict::Trial;
}

void LoadModel::crash(Server &Target) {
  ++m_Result.m_Crashes;
  ++Target.m_Starts;
  Target.m_IsUp = false;
  Target.m_Running = 0;
  Target.m_CachedKeys.clear();
  std::list<RequestPtr> Lost = std::exchange(Target.m_AtWork, {});
  for (const RequestPtr &Waiting : std::exchange(Target.m_Waiting, {}))
    Lost.push_back(Waiting);
  for (const RequestPtr &Current : Lost)
    at(networkDelay(*Current, Target),
       [this, Current] { handleLoss(Current); });
  at(UpstreamRestartTime, [this, &Target] {
    Target.m_IsUp = true;
    for (const auto &Vm : m_Vms)
      registerUpstream(*Vm, Target);
  });
}

void LoadModel::handleLoss(const RequestPtr &Current) {
  if (Current->m_Done)
    return;
  steer::Upstream &Target = *Current->m_Upstream;
  --Target.m_InFlight;
  Target.recordEnd(m_Events.m_Now, m_Plan.m_Tuning.m_HealthTuning);
  EntryNode &Vm = *Current->m_Vm;
  UpstreamRunKey Run = runKey(Target.m_Registration);
  Vm.m_Suspects.recordLoss(Current->fingerprint(), Run, m_Events.m_Now);
  at(2 * m_Plan.m_RemoteDelay, [this, &Vm, Run] {
    (void)Vm.m_Suspects.confirmEnd(Run, m_Events.m_Now);
    shareCrashReports(Vm);
  });
  if (++Current->m_Losses > 1)
    return recordOutcome(Current, &LoadTally::m_Lost);
  dispatch(Current);
}

void LoadModel::handleUnreachable(const RequestPtr &Current) {
  if (Current->m_Done)
    return;
  --Current->m_Upstream->m_InFlight;
  (void)Current->m_Upstream->recordFailure(m_Events.m_Now,
                                           m_Plan.m_Tuning.m_HealthTuning);
  if (++Current->m_Unreachable > MaxUnreachable)
    return recordOutcome(Current, &LoadTally::m_Refused);
  dispatch(Current);
}

void LoadModel::shareCrashReports(const EntryNode &Vm) {
  auto Reports = Vm.m_Suspects.reportsToSend(m_Events.m_Now, 0);
  at(m_Plan.m_RemoteDelay, [this, Reports = std::move(Reports)] {
    for (const auto &Receiver : m_Vms)
      for (const CrashReport &Report : Reports)
        (void)Receiver->m_Suspects.merge(Report, m_Events.m_Now);
  });
}

void LoadModel::recordOutcome(const RequestPtr &Current,
                              unsigned LoadTally::*Outcome) {
  Current->m_Done = true;
  if (Current->isCrashing())
    return;
  auto Second = std::size_t((Current->m_ArrivedAt - m_FirstRequestAt) / 1s);
  for (LoadTally *Tally :
       {&m_Result.m_All,
        &m_Result.m_ByRegion[m_Plan.m_Regions[Current->m_Region].m_Name],
        &m_Result.m_BySecond[Second]}) {
    ++Tally->m_Requests;
    ++(Tally->*Outcome);
  }
}

const std::vector<LoadPattern> &loadPatterns() {
  static const std::vector<LoadPattern> All{
      {"calm", [](LoadModel & /*Model*/) {}},
      {"burst",
       [](LoadModel &Model) {
         Model.at(8s, [&Model] { Model.setLoad("large", 4); });
         Model.at(14s, [&Model] { Model.setLoad("large", 1); });
       }},
      {"moved-callers",
       [](LoadModel &Model) {
         Model.at(8s, [&Model] {
           Model.setLoad("large", 0.4);
           Model.setLoad("small", 2.2);
         });
       }},
      {"small-region-at-its-peak",
       [](LoadModel &Model) {
         Model.at(6s, [&Model] { Model.setLoad("small", 2); });
         Model.at(10s, [&Model] { Model.setLoad("small", 3); });
       }},
      {"small-region-in-waves",
       [](LoadModel &Model) {
         constexpr double Mean = 2;
         constexpr double Swing = 0.55;
         constexpr double PeriodSeconds = 36;
         constexpr double Phase = 0.63; // Of a period, at the start.
         for (int Second = 0; Second < 36; ++Second)
           Model.at(Second * 1s, [&Model, Second] {
             double Angle =
                 2 * std::numbers::pi * (Second / PeriodSeconds + Phase);
             Model.setLoad("small", Mean * (1 + Swing * std::sin(Angle)));
           });
       }},
      {"overload-everywhere",
       [](LoadModel &Model) {
         for (const char *Region : {"small", "large", "other"})
           Model.setLoad(Region, 3.5);
       }},
      {"slow-tenth",
       [](LoadModel &Model) {
         Model.at(6s, [&Model] { Model.setSlowness("large", 1, 6); });
       }},
      {"grey-upstream",
       [](LoadModel &Model) {
         Model.at(6s, [&Model] { Model.setLoss("other", 1, 0.5); });
       }},
      {"cold-region",
       [](LoadModel &Model) {
         Model.at(8s, [&Model] { Model.clearCaches("large"); });
       }},
      {"all-entry-vms-reborn",
       [](LoadModel &Model) {
         Model.at(8s, [&Model] { Model.restartVms(); });
       }},
      {"one-request-crashes-its-upstreams",
       [](LoadModel &Model) {
         for (Duration When = 6s; When < 16s; When += 200ms)
           Model.at(When, [&Model] { Model.sendCrashingRequest(); });
       }},
      {"burst-and-slow-tenth", [](LoadModel &Model) {
         Model.at(6s, [&Model] { Model.setSlowness("large", 1, 6); });
         Model.at(8s, [&Model] { Model.setLoad("large", 3); });
       }}};
  return All;
}

} // namespace mustardspoke::test
