/// \file
/// Events of the load model, and its named patterns.
#include "support/load_model.h"

#include <algorithm>
#include <cmath>

namespace mustardspoke::test {

using namespace steer;

namespace {

const ServiceName Service{"stock"};
constexpr Duration BeatEvery = 100ms;

} // namespace

/// \brief An upstream as it really is.
struct LoadModel::Server {
  std::string m_Id;
  std::string m_Region;
  unsigned m_Running = 0;
  double m_Slowness = 1;
  double m_Loss = 0;
  std::deque<AskedPtr> m_Waiting;
  std::list<unsigned> m_Held; ///< Keys, the last used first.
};

/// \brief An entry VM and what it believes.
struct LoadModel::EntryNode {
  Placement m_Here;
  UpstreamTable m_Upstreams;
  LocalShares m_Shares;
};

/// \brief One request of a caller over its attempts.
struct LoadModel::Asked {
  std::size_t m_Region = 0;
  unsigned m_Key = 0;
  TimePoint m_ArrivedAt;
  EntryNode *m_Vm = nullptr;
  UpstreamPtr m_To; ///< As the VM knows it.
  double m_LoadBefore = 0;
  TimePoint m_SentAt;
  unsigned m_Refusals = 0;
  bool m_Settled = false;
};

double LoadResult::worstRegion() const {
  double Worst = 1;
  for (const auto &[Region, Of] : m_ByRegion)
    Worst = std::min(Worst, Of.inTarget());
  return Worst;
}

double LoadResult::worstSecond() const {
  double Worst = 1;
  for (const LoadTally &Of : m_BySecond)
    Worst = std::min(Worst, Of.inTarget());
  return Worst;
}

LoadModel::LoadModel(LoadPlan Plan)
    : m_Plan(std::move(Plan)), m_Rng(m_Plan.m_Seed),
      m_End(m_Clock.m_Now + m_Plan.m_Length),
      m_Times(m_Plan.m_Regions.size(), 1) {
  m_Route.m_Name = "stock";
  m_Route.m_Prefix = "/";
  m_Route.m_TargetLatency = m_Plan.m_Target;
  m_Route.m_Timeout = m_Plan.m_Deadline;
  m_Route.m_Parts = {{Service, 1}};
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
      m_Vms.back()->m_Here = {RegionName(Region.m_Name),
                              FailureDomainName(Region.m_Name + "-a")};
      registerAll(*m_Vms.back());
    }
}

LoadModel::~LoadModel() = default;

void LoadModel::at(Duration When, std::function<void()> Action) {
  m_Clock.after(When, std::move(Action));
}

void LoadModel::registerAll(EntryNode &With) {
  for (const auto &One : m_Servers) {
    UpstreamFacts Facts;
    Facts.m_Id = One->m_Id;
    Facts.m_Service = Service;
    Facts.m_Region = RegionName(One->m_Region);
    Facts.m_Domain = FailureDomainName(One->m_Region + "-a");
    Facts.m_Slots = m_Plan.m_Slots;
    (void)With.m_Upstreams.put(Facts, m_Clock.m_Now);
    bool Near = With.m_Here.m_Region == Facts.m_Region;
    With.m_Upstreams.find(One->m_Id)->connected(
        2 * (Near ? m_Plan.m_NearPath : m_Plan.m_FarPath));
  }
}

void LoadModel::setLoad(const std::string &Region, double Times) {
  for (std::size_t I = 0; I < m_Times.size(); ++I)
    if (m_Plan.m_Regions[I].m_Name == Region)
      m_Times[I] = Times;
}

void LoadModel::setSlowness(const std::string &Region, unsigned Count,
                            double Times) {
  for (const auto &One : m_Servers)
    if (One->m_Region == Region && Count > 0) {
      One->m_Slowness = Times;
      --Count;
    }
}

void LoadModel::setLoss(const std::string &Region, unsigned Count,
                        double Part) {
  for (const auto &One : m_Servers)
    if (One->m_Region == Region && Count > 0) {
      One->m_Loss = Part;
      --Count;
    }
}

void LoadModel::forgetKeys(const std::string &Region) {
  for (const auto &One : m_Servers)
    if (One->m_Region == Region)
      One->m_Held.clear();
}

void LoadModel::restartVms() {
  for (const auto &One : m_Vms) {
    One->m_Upstreams = UpstreamTable();
    One->m_Shares = LocalShares();
    registerAll(*One);
  }
}

Duration LoadModel::exponential(Duration Mean) {
  double Drawn = -std::log(1 - uniform() * 0.999999);
  return Duration(std::int64_t(double(Mean.count()) * Drawn));
}

LoadResult LoadModel::run() {
  for (std::size_t I = 0; I < m_Plan.m_Regions.size(); ++I)
    arrivals(I);
  exchangeLoads();
  m_Clock.run();
  return m_Result;
}

void LoadModel::arrivals(std::size_t Region) {
  double Rate = m_Plan.m_Regions[Region].m_PerSecond * m_Times[Region];
  at(exponential(Duration(std::int64_t(1e6 / Rate))), [this, Region] {
    if (m_Clock.m_Now >= m_End)
      return;
    auto One = std::make_shared<Asked>();
    One->m_Region = Region;
    One->m_Key = unsigned(Region) * m_Plan.m_Keys + m_Rng(m_Plan.m_Keys);
    One->m_ArrivedAt = m_Clock.m_Now;
    route(One);
    arrivals(Region);
  });
}

void LoadModel::exchangeLoads() {
  // What each VM has at each upstream, told to all others.
  std::map<std::uint64_t, double> Sum;
  for (const auto &Vm : m_Vms)
    Vm->m_Upstreams.each([&Sum](const steer::Upstream &One) {
      Sum[One.m_Hash] += One.busyHere();
    });
  for (const auto &Vm : m_Vms) {
    for (const auto &One : m_Servers) {
      UpstreamPtr Known = Vm->m_Upstreams.find(One->m_Id);
      Known->m_PeersBusy = Sum[Known->m_Hash] - Known->busyHere();
    }
    Vm->m_Shares.update(Vm->m_Upstreams, Vm->m_Here, m_Clock.m_Now, {});
  }
  if (m_Clock.m_Now < m_End)
    at(BeatEvery, [this] { exchangeLoads(); });
}

Duration LoadModel::path(const Asked &One, const Server &To) const {
  bool Near = m_Plan.m_Regions[One.m_Region].m_Name == To.m_Region;
  return Near ? m_Plan.m_NearPath : m_Plan.m_FarPath;
}

void LoadModel::route(const AskedPtr &One) {
  std::vector<EntryNode *> Near;
  for (const auto &Vm : m_Vms)
    if (Vm->m_Here.m_Region.str() == m_Plan.m_Regions[One->m_Region].m_Name)
      Near.push_back(Vm.get());
  EntryNode &Vm = *Near[m_Rng(std::uint32_t(Near.size()))];
  LocalShareTuning Sharing;
  Vm.m_Shares.request(Service, Sharing);
  ChoiceInput Input{m_Route, nullptr, Service};
  Input.m_KeyHash = stableHash(std::to_string(One->m_Key));
  Input.m_Now = m_Clock.m_Now;
  Input.m_ToTarget = One->m_ArrivedAt + m_Plan.m_Target - m_Clock.m_Now;
  Input.m_LocalShare = Vm.m_Shares.of(Service);
  Input.m_MayOverflow =
      Vm.m_Shares.mayOverflow(Service, m_Clock.m_Now, Sharing);
  Input.m_ServiceWork = Vm.m_Upstreams.meanWork(Service);
  Choice Picked =
      m_Plan.m_Choose(Input, Vm.m_Upstreams, Vm.m_Here, m_Plan.m_Tuning);
  if (!Picked.m_To)
    return refused(One, Picked.m_ComeBack);
  if (Picked.m_Overflows)
    Vm.m_Shares.overflowed(Service);
  One->m_Vm = &Vm;
  One->m_To = Picked.m_To;
  One->m_LoadBefore = Picked.m_Load;
  One->m_SentAt = m_Clock.m_Now;
  ++One->m_To->m_InFlight;
  for (const auto &To : m_Servers)
    if (To->m_Id == One->m_To->m_Facts.m_Id)
      at(path(*One, *To),
         [this, One, Server = To.get()] { reach(One, *Server); });
  at(One->m_ArrivedAt + m_Plan.m_Deadline - m_Clock.m_Now, [this, One] {
    if (One->m_Settled)
      return;
    --One->m_To->m_InFlight;
    (void)One->m_To->failed(m_Clock.m_Now, m_Plan.m_Tuning.m_Judgement,
                            One->m_To->answeredSince(One->m_SentAt));
    tally(One, &LoadTally::m_Lost);
  });
}

void LoadModel::refused(const AskedPtr &One, Duration ComeBack) {
  // Callers come back once.
  if (++One->m_Refusals > 1 ||
      m_Clock.m_Now + ComeBack > One->m_ArrivedAt + m_Plan.m_Deadline / 2)
    return tally(One, &LoadTally::m_Refused);
  at(ComeBack, [this, One] { route(One); });
}

void LoadModel::reach(const AskedPtr &One, Server &To) {
  if (One->m_Settled)
    return;
  if (To.m_Running < m_Plan.m_Slots)
    return begin(One, To);
  if (To.m_Waiting.size() < m_Plan.m_Queue) {
    To.m_Waiting.push_back(One);
    return;
  }
  at(path(*One, To), [this, One] {
    if (One->m_Settled)
      return;
    --One->m_To->m_InFlight;
    refused(One, 200ms);
  });
}

void LoadModel::begin(const AskedPtr &One, Server &To) {
  ++To.m_Running;
  auto Held = std::find(To.m_Held.begin(), To.m_Held.end(), One->m_Key);
  bool Cold = Held == To.m_Held.end();
  if (!Cold)
    To.m_Held.erase(Held);
  To.m_Held.push_front(One->m_Key);
  if (To.m_Held.size() > m_Plan.m_Keeps)
    To.m_Held.pop_back();
  double Factor = (Cold ? m_Plan.m_ColdFactor : 1) * To.m_Slowness;
  // Work varies by half around its mean.
  Duration Work(std::int64_t(double(m_Plan.m_WarmWork.count()) * Factor *
                             (0.5 + uniform())));
  if (Cold)
    m_Result.m_ColdWork += Work;
  at(Work, [this, One, &To] { finish(One, To); });
}

void LoadModel::finish(const AskedPtr &One, Server &To) {
  --To.m_Running;
  steer::LoadReport Load{To.m_Running, unsigned(To.m_Waiting.size()),
                         m_Plan.m_Slots};
  if (uniform() >= To.m_Loss)
    at(path(*One, To), [this, One, Load] { answered(One, Load); });
  while (!To.m_Waiting.empty() && To.m_Running < m_Plan.m_Slots) {
    AskedPtr Next = To.m_Waiting.front();
    To.m_Waiting.pop_front();
    if (!Next->m_Settled)
      begin(Next, To);
  }
}

void LoadModel::answered(const AskedPtr &One, steer::LoadReport Load) {
  if (One->m_Settled)
    return;
  steer::Upstream &At = *One->m_To;
  --At.m_InFlight;
  At.report(Load, m_Clock.m_Now);
  Duration Work = At.succeeded(m_Clock.m_Now, m_Clock.m_Now - One->m_SentAt,
                               One->m_LoadBefore, m_Plan.m_Tuning.m_Judgement);
  One->m_Vm->m_Upstreams.worked(Service, Work);
  tally(One, m_Clock.m_Now - One->m_ArrivedAt <= m_Plan.m_Target
                 ? &LoadTally::m_InTarget
                 : &LoadTally::m_Late);
}

void LoadModel::tally(const AskedPtr &One, unsigned LoadTally::*As) {
  One->m_Settled = true;
  auto Second =
      std::size_t((One->m_ArrivedAt - (m_End - m_Plan.m_Length)) / 1s);
  for (LoadTally *Of :
       {&m_Result.m_All,
        &m_Result.m_ByRegion[m_Plan.m_Regions[One->m_Region].m_Name],
        &m_Result.m_BySecond[Second]}) {
    ++Of->m_Asked;
    ++(Of->*As);
  }
}

const std::vector<LoadPattern> &loadPatterns() {
  static const std::vector<LoadPattern> All{
      {"calm", [](LoadModel & /*Of*/) {}},
      {"burst",
       [](LoadModel &Of) {
         Of.at(8s, [&Of] { Of.setLoad("large", 4); });
         Of.at(14s, [&Of] { Of.setLoad("large", 1); });
       }},
      {"moved-callers",
       [](LoadModel &Of) {
         Of.at(8s, [&Of] {
           Of.setLoad("large", 0.4);
           Of.setLoad("small", 2.2);
         });
       }},
      {"small-region-at-its-peak",
       [](LoadModel &Of) {
         Of.at(6s, [&Of] { Of.setLoad("small", 2); });
         Of.at(10s, [&Of] { Of.setLoad("small", 3); });
       }},
      {"overload-everywhere",
       [](LoadModel &Of) {
         for (const char *Region : {"small", "large", "other"})
           Of.setLoad(Region, 3.5);
       }},
      {"slow-tenth",
       [](LoadModel &Of) {
         Of.at(6s, [&Of] { Of.setSlowness("large", 1, 6); });
       }},
      {"grey-upstream",
       [](LoadModel &Of) {
         Of.at(6s, [&Of] { Of.setLoss("other", 1, 0.5); });
       }},
      {"cold-region",
       [](LoadModel &Of) { Of.at(8s, [&Of] { Of.forgetKeys("large"); }); }},
      {"all-entry-vms-reborn",
       [](LoadModel &Of) { Of.at(8s, [&Of] { Of.restartVms(); }); }},
      {"burst-and-slow-tenth", [](LoadModel &Of) {
         Of.at(6s, [&Of] { Of.setSlowness("large", 1, 6); });
         Of.at(8s, [&Of] { Of.setLoad("large", 3); });
       }}};
  return All;
}

} // namespace mustardspoke::test
