/// \file
/// Refusal of the least urgent requests while a service is short of capacity.
#include "gateway/admission_report.h"
#include "steer/steer.h"
#include "support/event_queue.h"
#include "support/exchange_rig.h"
#include "support/log_capture.h"

#include <boost/test/unit_test.hpp>

#include <numeric>
#include <random>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

const ServiceName Stock{"stock"};
const Placement Local{RegionName("r"), FailureDomainName("a")};
constexpr TimePoint Start{1h};
/// Seconds until the fraction has settled after the begin of a shortage.
constexpr unsigned Settled = 8;
constexpr double FullSlots = 1; ///< Utilization.
constexpr double IdleSlots = 0.5;

/// \brief A region whose VMs send the requests of two or three priorities to
/// its upstreams, which serve 240 per second.
struct ShortagePlan {
  std::vector<double> m_Rates; ///< Requests per second, by priority.
  unsigned m_Vms = 4;
  unsigned m_Upstreams = 12;
  bool m_HasAdmission = true;
  double m_RejectsWhileIdle = 0; ///< Fraction of the requests.
  /// Whether these rejections count as a lack of room.
  bool m_CountsIdleRejections = false;
  /// Chance that a VM hears a given peer in one heartbeat interval.
  double m_HeartbeatChance = 1;
  Duration m_Length = 20s;
};

struct Tally {
  unsigned m_Requests = 0;
  unsigned m_Served = 0;
  [[nodiscard]] double served() const {
    return m_Requests == 0 ? 1 : double(m_Served) / m_Requests;
  }
};

class ShortageModel {
public:
  explicit ShortageModel(ShortagePlan Plan) : m_Plan(std::move(Plan)) {
    m_Route.m_TargetLatency = TargetLatency;
    m_Route.m_Timeout = Timeout;
    m_Route.m_Targets = {{Stock, 1}};
    m_Servers.resize(m_Plan.m_Upstreams);
    m_Vms.resize(m_Plan.m_Vms);
    for (unsigned I = 0; I < m_Plan.m_Vms; ++I)
      startVm(I);
  }

  void at(Duration When, std::function<void()> Action) {
    m_Events.after(When, std::move(Action));
  }
  void setRate(std::size_t Priority, double Rate) {
    m_Plan.m_Rates[Priority] = Rate;
  }
  /// \brief Starts a VM, or restarts it without any state.
  void startVm(unsigned Index) {
    m_Vms[Index] = std::make_unique<Vm>();
    for (unsigned I = 0; I < m_Plan.m_Upstreams; ++I) {
      UpstreamRegistration Facts;
      Facts.m_Id = std::to_string(I);
      Facts.m_Service = Stock;
      Facts.m_Region = Local.m_Region;
      Facts.m_Domain = Local.m_Domain;
      Facts.m_Slots = Slots;
      (void)m_Vms[Index]->m_Upstreams.put(Facts, m_Events.m_Now);
      m_Vms[Index]->m_Upstreams.find(Facts.m_Id)->recordConnect(2 * Delay);
    }
  }
  void run() {
    for (std::size_t I = 0; I < m_Plan.m_Rates.size(); ++I)
      scheduleArrival(I);
    exchange();
    m_Events.run();
  }

  [[nodiscard]] double fraction(unsigned Index = 0) {
    return m_Vms[Index]->m_Admission.of(Stock).refusedFraction();
  }
  [[nodiscard]] double meanFraction() {
    double Sum = 0;
    for (unsigned I = 0; I < m_Plan.m_Vms; ++I)
      Sum += fraction(I);
    return Sum / m_Plan.m_Vms;
  }
  /// \brief Requests that arrived from \p From on, in seconds.
  [[nodiscard]] Tally tally(std::size_t Priority, unsigned From = 0,
                            unsigned To = 1000) const {
    Tally Sum;
    for (const auto &[Key, Each] : m_Tallies)
      if (Key.first == Priority && Key.second >= From && Key.second < To) {
        Sum.m_Requests += Each.m_Requests;
        Sum.m_Served += Each.m_Served;
      }
    return Sum;
  }

  /// \brief Mean fraction of the slots in use, from \p From seconds on.
  [[nodiscard]] double slotsInUse(unsigned From) const {
    return std::accumulate(m_SlotsInUse.begin() + 10 * From, m_SlotsInUse.end(),
                           0.0) /
           double(m_SlotsInUse.size() - 10 * From);
  }

  /// Mean fraction of all VMs at each heartbeat, and the largest difference of
  /// one VM from it.
  std::vector<double> m_Fractions;
  std::vector<double> m_SlotsInUse;
  std::vector<double> m_Differences;
  /// Each decision: the request, the upstream or the time to a retry.
  std::vector<std::string> m_Decisions;

private:
  static constexpr unsigned Slots = 3;
  static constexpr std::size_t QueueLimit = 6;
  static constexpr Duration Work = 150ms; ///< Mean.
  static constexpr Duration Delay = 1ms;  ///< One way.
  static constexpr Duration TargetLatency = 500ms;
  static constexpr Duration Timeout = 2s;
  static constexpr Duration HeartbeatInterval = 100ms;

  struct Vm {
    UpstreamTable m_Upstreams;
    LocalShares m_Shares;
    AdmissionControls m_Admission;
  };
  struct Request {
    std::size_t m_Priority = 0;
    TimePoint m_ArrivedAt;
    TimePoint m_ReceivedAt; ///< By the VM that it was last sent to.
    unsigned m_Retries = 0;
    std::uint64_t m_Hash = 0;
    std::shared_ptr<Vm> m_Vm;
    std::vector<UpstreamPtr> m_Tried;
    TimePoint m_SentAt;
    double m_LoadBefore = 0;
    bool m_FoundNoRoom = false;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Server {
    unsigned m_Running = 0;
    std::deque<RequestPtr> m_Waiting;
  };

  double uniform() { return double(m_Rng() >> 11) * 0x1p-53; }

  void scheduleArrival(std::size_t Priority) {
    double Rate = m_Plan.m_Rates[Priority];
    Duration Gap(std::int64_t(-std::log(1 - uniform()) * 1e6 / Rate));
    at(Gap, [this, Priority] {
      if (m_Events.m_Now >= Start + m_Plan.m_Length)
        return;
      auto Current = std::make_shared<Request>();
      Current->m_Priority = Priority;
      Current->m_ArrivedAt = m_Events.m_Now;
      ++tallyOf(*Current).m_Requests;
      send(Current);
      scheduleArrival(Priority);
    });
  }
  Tally &tallyOf(const Request &Current) {
    return m_Tallies[{Current.m_Priority,
                      unsigned((Current.m_ArrivedAt - Start) / 1s)}];
  }

  void exchange() {
    std::map<std::uint64_t, double> Active;
    for (const auto &Each : m_Vms)
      Each->m_Upstreams.forEach([&](const Upstream &Target) {
        Active[Target.m_IdHash] += Target.ownActiveRequests();
      });
    for (const auto &Each : m_Vms) {
      for (const UpstreamPtr &Target : Each->m_Upstreams.upstreamsOf(Stock))
        Target->m_PeerActiveRequests =
            Active[Target->m_IdHash] - Target->ownActiveRequests();
      Each->m_Shares.update(Each->m_Upstreams, Local, m_Events.m_Now,
                            LocalShareTuning());
      for (const auto &Peer : m_Vms)
        if (Peer != Each && uniform() < m_Plan.m_HeartbeatChance)
          if (auto Sent = Peer->m_Admission.of(Stock).fractionToSend())
            Each->m_Admission.receivedPeerFraction(
                AdmissionControls::messageKey(Stock), *Sent);
    }
    for (const auto &Each : m_Vms)
      Each->m_Admission.update(Each->m_Shares, true, m_Events.m_Now,
                               AdmissionTuning());
    m_Fractions.push_back(meanFraction());
    unsigned Busy = 0;
    for (auto &Each : m_Servers)
      Busy += Each.m_Running;
    m_SlotsInUse.push_back(double(Busy) / (Slots * m_Plan.m_Upstreams));
    m_Differences.push_back(0);
    for (unsigned I = 0; I < m_Plan.m_Vms; ++I)
      m_Differences.back() = std::max(
          m_Differences.back(), std::abs(fraction(I) - m_Fractions.back()));
    if (m_Events.m_Now < Start + m_Plan.m_Length)
      at(HeartbeatInterval, [this] { exchange(); });
  }

  /// \brief A caller sends the request to any VM.
  void send(const RequestPtr &Current) {
    Current->m_Vm = m_Vms[m_Rng() % m_Vms.size()];
    Current->m_Hash = stableHash("request", m_NextId++);
    Current->m_Tried.clear();
    Current->m_ReceivedAt = m_Events.m_Now;
    Current->m_FoundNoRoom = false;
    AdmissionControl &Control = Current->m_Vm->m_Admission.of(Stock);
    auto Urgency = Priority(Current->m_Priority);
    if (m_Plan.m_HasAdmission) {
      Control.recordOffered(Urgency, m_Events.m_Now);
      if (!Control.admits(Urgency, Current->m_Hash)) {
        Control.recordRefused(Urgency);
        return refuse(Current, Control.retryAfter(Urgency, Current->m_Hash,
                                                  AdmissionTuning()));
      }
    }
    attempt(Current);
  }

  void attempt(const RequestPtr &Current) {
    ChoiceInput Input{m_Route, nullptr, Stock, Residency(m_Route)};
    Input.m_KeyHash = Current->m_Hash;
    Input.m_Now = m_Events.m_Now;
    Input.m_TimeToTarget =
        Current->m_ReceivedAt + TargetLatency - m_Events.m_Now;
    Input.m_MeanProcessingTime =
        Current->m_Vm->m_Upstreams.meanProcessingTime(Stock);
    std::vector<const Upstream *> Tried;
    for (const UpstreamPtr &Target : Current->m_Tried)
      Tried.push_back(Target.get());
    Input.m_Tried = Tried;
    Choice Selected = chooseByKeyLocalFirst(Input, Current->m_Vm->m_Upstreams,
                                            Local, ChoiceTuning());
    if (!Selected.m_Upstream) {
      Current->m_FoundNoRoom |=
          Selected.m_RefusalReason == RefusalReason::AllFull && Tried.empty();
      return giveUp(Current, Selected.m_RetryAfter);
    }
    m_Decisions.push_back(Selected.m_Upstream->m_Registration.m_Id);
    Current->m_Tried.push_back(Selected.m_Upstream);
    Current->m_LoadBefore = Selected.m_Load;
    Current->m_SentAt = m_Events.m_Now;
    ++Selected.m_Upstream->m_InFlight;
    at(Delay, [this, Current] { arrive(Current); });
  }

  void giveUp(const RequestPtr &Current, Duration RetryAfter) {
    if (m_Plan.m_HasAdmission && Current->m_FoundNoRoom)
      Current->m_Vm->m_Admission.of(Stock).recordNoRoom(
          Priority(Current->m_Priority));
    refuse(Current, RetryAfter);
  }

  /// \brief Callers retry once, if that takes at most a third of their time.
  void refuse(const RequestPtr &Current, Duration RetryAfter) {
    m_Decisions.push_back(std::to_string(RetryAfter.count()) + " us");
    Duration Left = Current->m_ArrivedAt + Timeout - m_Events.m_Now;
    if (Current->m_Retries++ == 0 && RetryAfter <= Left / 3)
      at(RetryAfter, [this, Current] { send(Current); });
  }

  Server &serverOf(const Request &Current) {
    return m_Servers[std::stoul(Current.m_Tried.back()->m_Registration.m_Id)];
  }
  static LoadReport reportOf(const Server &Target) {
    return {Target.m_Running, unsigned(Target.m_Waiting.size()), Slots};
  }

  void arrive(const RequestPtr &Current) {
    Server &Target = serverOf(*Current);
    bool IsIdle = Target.m_Running < Slots;
    if (IsIdle && uniform() >= m_Plan.m_RejectsWhileIdle)
      return work(Current, Target);
    if (!IsIdle && Target.m_Waiting.size() < QueueLimit) {
      Target.m_Waiting.push_back(Current);
      return;
    }
    at(Delay, [this, Current, Load = reportOf(Target)] {
      --Current->m_Tried.back()->m_InFlight;
      Current->m_Tried.back()->recordLoadReport(Load, m_Events.m_Now);
      Current->m_FoundNoRoom |=
          Load.hasNoFreeSlot() || m_Plan.m_CountsIdleRejections;
      if (Current->m_Tried.size() == 1)
        attempt(Current);
      else
        giveUp(Current, 200ms);
    });
  }

  void work(const RequestPtr &Current, Server &Target) {
    ++Target.m_Running;
    at(Duration(std::int64_t(double(Work.count()) * (0.5 + uniform()))),
       [this, Current, &Target] {
         --Target.m_Running;
         at(Delay, [this, Current, Load = reportOf(Target)] {
           finish(Current, Load);
         });
         if (!Target.m_Waiting.empty()) {
           RequestPtr Next = Target.m_Waiting.front();
           Target.m_Waiting.pop_front();
           work(Next, Target);
         }
       });
  }

  void finish(const RequestPtr &Current, LoadReport Load) {
    Upstream &Target = *Current->m_Tried.back();
    --Target.m_InFlight;
    Target.recordLoadReport(Load, m_Events.m_Now);
    Current->m_Vm->m_Upstreams.recordProcessingTime(
        Stock,
        Target.recordSuccess(m_Events.m_Now, m_Events.m_Now - Current->m_SentAt,
                             Current->m_LoadBefore, UpstreamHealthTuning()));
    if (m_Events.m_Now - Current->m_ArrivedAt <= Timeout)
      ++tallyOf(*Current).m_Served;
  }

  ShortagePlan m_Plan;
  Route m_Route;
  EventQueue m_Events;
  std::mt19937_64 m_Rng{1};
  std::uint64_t m_NextId = 0;
  std::vector<Server> m_Servers;
  std::vector<std::shared_ptr<Vm>> m_Vms;
  std::map<std::pair<std::size_t, unsigned>, Tally> m_Tallies;
};

/// \brief A VM without peers that gets 100 requests in each step, of up to
/// three priorities.
struct SingleVm {
  static constexpr Duration Step = 200ms;
  AdmissionControl m_Control;
  TimePoint m_Now = Start;
  unsigned m_LessUrgent = 70; ///< Per cent.
  unsigned m_Priorities = 2;
  std::uint64_t m_Requests = 0;

  /// \brief The refused fraction after \p Steps steps, in which \p NoRoom of
  /// the admitted requests of each priority find no room.
  double fractionAfter(unsigned Steps, double NoRoom,
                       std::optional<double> Utilization) {
    for (unsigned I = 0; I < Steps; ++I) {
      std::map<Priority, double> Admitted;
      for (unsigned J = 0; J < 100; ++J) {
        Priority Urgency = J < m_LessUrgent ? 1 + J % (m_Priorities - 1) : 0;
        m_Control.recordOffered(Urgency, m_Now);
        if (m_Control.admits(Urgency, stableHash("single", m_Requests++)))
          ++Admitted[Urgency];
        else
          m_Control.recordRefused(Urgency);
      }
      for (const auto &[Urgency, Count] : Admitted)
        for (unsigned J = 0; J < unsigned(Count * NoRoom); ++J)
          m_Control.recordNoRoom(Urgency);
      m_Control.update(Utilization, m_Now += Step, AdmissionTuning());
    }
    return m_Control.refusedFraction();
  }
};

/// \brief Has the VM refuse all requests that aren't of priority 0.
void refuseLessUrgent(ExchangeRig &Rig) {
  AdmissionControl &Control = Rig.m_State.m_Admission.of(ServiceName("s"));
  for (int I = 0; I < 20; ++I)
    Control.recordOffered(I % 2, steadyNow());
  Control.receivedPeerFraction(1);
  Control.update(FullSlots, steadyNow(), AdmissionTuning());
}

/// \brief Sets the priority of the route "/safe/" and of a customer with the
/// key "k". \param OfCustomer None: the customer's isn't configured.
void setPriorities(ExchangeRig &Rig, unsigned OfRoute,
                   std::optional<unsigned> OfCustomer) {
  auto Changed = std::make_shared<RouteTable>();
  Route Only = *Rig.m_State.m_Routes->find("h", "/safe/x");
  Only.m_Priority = OfRoute;
  Only.m_IsPublic = true;
  Changed->add("h", Only);
  Customer Added;
  Added.m_Name = CustomerName("c");
  Added.m_Priority = OfCustomer;
  std::vector<std::string> Keys{"k"};
  (void)Changed->m_Customers.add(Added, Keys);
  Rig.m_State.m_Routes = Changed;
}

/// \brief An upstream that keeps the identifiers of the requests that it gets.
Script keepIds(std::vector<std::string> &Ids) {
  return [&Ids](ServerSide &Side) -> awaitable<void> {
    for (std::string Id = co_await Side.readRequest(); !Id.empty();
         Id = co_await Side.readRequest()) {
      Ids.push_back(Id);
      co_await Side.respond(Id, "ok");
    }
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Admission)

/// Without admission control, all priorities are refused alike.
BOOST_AUTO_TEST_CASE(ShortageRefusesTheLeastUrgentFirst) {
  const std::vector<std::vector<double>> Loads{{120, 240}, {120, 120, 120}};
  for (const std::vector<double> &Rates : Loads)
    BOOST_TEST_CONTEXT(Rates.size() << " priorities") {
      ShortageModel Model({.m_Rates = Rates});
      ShortageModel Control({.m_Rates = Rates, .m_HasAdmission = false});
      Model.run();
      Control.run();
      BOOST_TEST(Model.tally(0, Settled).served() > 0.99);
      BOOST_TEST(Control.tally(0, Settled).served() < 0.8);
      for (std::size_t I = 1; I < Rates.size(); ++I)
        BOOST_TEST(Model.tally(I, Settled).served() <
                   Model.tally(I - 1, Settled).served());
      // Capacity isn't left unused for it.
      BOOST_TEST(Model.slotsInUse(Settled) > 0.85);
      // The fraction neither oscillates, nor do VMs differ.
      auto [Lowest, Highest] = std::minmax_element(
          Model.m_Fractions.begin() + 10 * Settled, Model.m_Fractions.end());
      BOOST_TEST(*Highest - *Lowest < 0.15);
      BOOST_TEST(*std::max_element(Model.m_Differences.begin() + 10 * Settled,
                                   Model.m_Differences.end()) < 0.05);
    }
}

/// The most urgent requests must not wait behind others when they alone exceed
/// the capacity, nor be refused here.
BOOST_AUTO_TEST_CASE(FewLessUrgentRequestsAreAllRefusedAndNoOthers) {
  ShortageModel Model({.m_Rates = {260, 29}});
  ShortageModel Control({.m_Rates = {260, 29}, .m_HasAdmission = false});
  Model.run();
  Control.run();
  BOOST_TEST(Model.tally(1, Settled).served() < 0.1);
  BOOST_TEST(Control.tally(1, Settled).served() > 0.7);
  BOOST_TEST(Model.tally(0, Settled).served() >
             Control.tally(0, Settled).served() + 0.05);
}

/// The VMs of a large fleet get a few requests per second each, of which some
/// see no lack of room for seconds.
BOOST_AUTO_TEST_CASE(VmsWithLittleTrafficFollowTheirPeers) {
  ShortagePlan Plan{.m_Rates = {40, 80},
                    .m_Vms = 26,
                    .m_Upstreams = 4,
                    .m_HeartbeatChance = 0.1};
  ShortageModel Model(Plan);
  Model.run();
  Plan.m_HeartbeatChance = 0;
  ShortageModel Control(Plan);
  Control.run();
  BOOST_TEST(Model.tally(0, Settled).served() > 0.99);
  auto MeanDifference = [](const ShortageModel &Each) {
    return std::accumulate(Each.m_Differences.begin() + 10 * Settled,
                           Each.m_Differences.end(), 0.0) /
           double(Each.m_Differences.size() - 10 * Settled);
  };
  BOOST_TEST(MeanDifference(Model) < 0.1);
  BOOST_TEST(MeanDifference(Control) > 0.2);
}

/// Requests and return times of deployments with one priority stay as they are.
/// A few urgent requests, such as those of a test route, once had half of all
/// others refused while the service had room for most of them.
BOOST_AUTO_TEST_CASE(FewUrgentRequestsHaveFewOthersRefused) {
  ShortagePlan Plan;
  Plan.m_Rates = {3, 297};
  ShortageModel Model(Plan);
  Model.run();
  Plan.m_HasAdmission = false;
  ShortageModel Control(Plan);
  Control.run();
  BOOST_TEST(Model.tally(1, Settled).served() >
             Control.tally(1, Settled).served() - 0.03);
}

BOOST_AUTO_TEST_CASE(OnePriorityIsDecidedAsWithoutAdmission) {
  ShortageModel Model({.m_Rates = {360}});
  ShortageModel Control({.m_Rates = {360}, .m_HasAdmission = false});
  Model.run();
  Control.run();
  BOOST_TEST(Model.m_Decisions.size() > 7000U);
  BOOST_TEST((Model.m_Decisions == Control.m_Decisions));
  BOOST_TEST(Model.fraction() == 0);
}

/// A burst of the least urgent requests would take the slots from the others,
/// and refusals that go on after it would refuse them for nothing.
BOOST_AUTO_TEST_CASE(BurstOfTheLeastUrgentIsRefusedAndForgottenSoon) {
  constexpr unsigned From = 8;
  constexpr unsigned To = 14;
  constexpr unsigned Grace = 2; // Seconds until the fraction has risen.
  constexpr unsigned Recovery = 5;
  auto Run = [&](bool HasAdmission) {
    auto Model = std::make_unique<ShortageModel>(
        ShortagePlan{.m_Rates = {100, 80}, .m_HasAdmission = HasAdmission});
    Model->at(From * 1s, [&Model = *Model] { Model.setRate(1, 400); });
    Model->at(To * 1s, [&Model = *Model] { Model.setRate(1, 80); });
    Model->run();
    return Model;
  };
  auto Model = Run(true);
  auto Control = Run(false);
  BOOST_TEST(Model->m_Fractions[10 * From] == 0);
  BOOST_TEST(Model->tally(0, From + Grace, To).served() > 0.97);
  BOOST_TEST(Control->tally(0, From + Grace, To).served() < 0.75);
  BOOST_TEST(
      *std::max_element(Model->m_Fractions.begin() + 10 * (To + Recovery),
                        Model->m_Fractions.end()) == 0);
  BOOST_TEST(Model->tally(1, To + Recovery).served() > 0.99);
}

/// Faulty upstreams aren't a shortage; counted as one, they would have the less
/// urgent requests refused while slots are free.
BOOST_AUTO_TEST_CASE(RejectionsByIdleUpstreamsAreNoShortage) {
  ShortagePlan Plan{.m_Rates = {85, 85}, .m_RejectsWhileIdle = 0.5};
  ShortageModel Model(Plan);
  Model.run();
  Plan.m_CountsIdleRejections = true;
  ShortageModel Control(Plan);
  Control.run();
  auto Highest = [](const ShortageModel &Each) {
    return *std::max_element(Each.m_Fractions.begin(), Each.m_Fractions.end());
  };
  BOOST_TEST(Highest(Model) < 0.02);
  BOOST_TEST(Highest(Control) > 0.05);
  LoadReport Idle{2, 0, 3};
  BOOST_TEST(!Idle.hasNoFreeSlot());
  LoadReport Full{3, 0, 3};
  BOOST_TEST(Full.hasNoFreeSlot());
  BOOST_TEST(SingleVm().fractionAfter(20, 0.3, FullSlots) > 0.3);
  // Even then, free slots show that there is no shortage.
  BOOST_TEST(SingleVm().fractionAfter(20, 0.3, IdleSlots) == 0);
}

/// A VM that restarts during a shortage would send all requests.
BOOST_AUTO_TEST_CASE(RestartedVmAdoptsTheFractionOfItsPeers) {
  ShortageModel Model({.m_Rates = {120, 240}});
  double Before = 0;
  double After = 0;
  Model.at(10s, [&Model] { Model.startVm(0); });
  Model.at(10s + 1ms, [&] { Before = Model.fraction(0); });
  Model.at(11s, [&] { After = Model.fraction(0); });
  Model.run();
  BOOST_TEST(Before == 0);
  BOOST_TEST(std::abs(After - Model.m_Fractions[110]) < 0.1);
  BOOST_TEST(After > 0.3);
  BOOST_TEST(Model.tally(0, 10).served() > 0.99);
}

/// Callers would be refused or served depending on the VM that they ask.
BOOST_AUTO_TEST_CASE(VmsThatSeeDifferentLoadsAgreeWithinTwoSeconds) {
  auto DifferenceAfter = [](Duration Time, bool Exchanges) {
    SingleVm Busy;
    SingleVm Calm;
    Busy.fractionAfter(6, 0.3, FullSlots);
    Calm.fractionAfter(6, 0, IdleSlots);
    for (Duration Passed{}; Passed < Time; Passed += SingleVm::Step) {
      for (int I = 0; Exchanges && I < 2; ++I) {
        Busy.m_Control.receivedPeerFraction(
            Calm.m_Control.fractionToSend().value());
        Calm.m_Control.receivedPeerFraction(
            Busy.m_Control.fractionToSend().value());
      }
      Busy.fractionAfter(1, 0.3, FullSlots);
      Calm.fractionAfter(1, 0, IdleSlots);
    }
    return std::abs(Busy.m_Control.refusedFraction() -
                    Calm.m_Control.refusedFraction());
  };
  BOOST_TEST(DifferenceAfter(2s, true) < 0.1);
  BOOST_TEST(DifferenceAfter(2s, false) > 0.4);
}

BOOST_AUTO_TEST_CASE(FractionIsBoundedByTheLessUrgentRequests) {
  SingleVm Vm;
  Vm.m_LessUrgent = 10; // Per cent.
  BOOST_TEST(Vm.fractionAfter(50, 0.5, FullSlots) <= 0.1 + 1e-9);
  BOOST_TEST(Vm.m_Control.refusedFraction() > 0.09);
  for (std::uint64_t Id = 0; Id < 1000; ++Id) {
    BOOST_TEST(Vm.m_Control.admits(0, stableHash("id", Id)));
    BOOST_TEST(!Vm.m_Control.admits(1, stableHash("id", Id)));
  }
}

/// While the VM's own links may be to blame for what it sees, or without any
/// news, the fraction must not grow or last.
BOOST_AUTO_TEST_CASE(FractionsThatNothingRefreshesAreDropped) {
  SingleVm Doubting;
  BOOST_TEST(Doubting.fractionAfter(20, 0.5, std::nullopt) == 0);
  AdmissionControl Quiet;
  Quiet.receivedPeerFraction(0.4);
  Quiet.update(IdleSlots, Start, AdmissionTuning());
  // It has seen no request, so that it can't tell which are less urgent.
  BOOST_TEST(!Quiet.fractionToSend().has_value());
  Quiet.recordOffered(0, Start);
  Quiet.recordOffered(1, Start);
  Quiet.update(FullSlots, Start + 200ms, AdmissionTuning());
  BOOST_TEST(Quiet.refusedFraction() > 0.3);
  TimePoint Now = Start;
  // The priorities are forgotten after ten seconds.
  for (; Now < Start + 14s; Now += 200ms)
    Quiet.update(FullSlots, Now, AdmissionTuning());
  Quiet.recordOffered(0, Now);
  Quiet.recordOffered(1, Now);
  Quiet.update(FullSlots, Now, AdmissionTuning());
  BOOST_TEST(Quiet.refusedFraction() == 0);
}

/// Callers that all return at once would be refused at once, and those that may
/// return only after some seconds don't return.
BOOST_AUTO_TEST_CASE(ReturnTimesAreSpreadAndLongerForTheLeastUrgent) {
  SingleVm Vm;
  Vm.m_Priorities = 3;
  Vm.fractionAfter(5, 0.3, FullSlots);
  AdmissionTuning Tuning;
  auto Mean = [&](Priority Urgency) {
    Duration Sum{};
    std::set<std::int64_t> Tenths;
    for (std::uint64_t Id = 0; Id < 1000; ++Id) {
      Duration Time =
          Vm.m_Control.retryAfter(Urgency, stableHash("id", Id), Tuning);
      BOOST_REQUIRE((Time >= 100ms && Time <= 1s));
      Tenths.insert(Time / 100ms);
      Sum += Time;
    }
    BOOST_TEST(Tenths.size() >= 4U);
    return Sum / 1000;
  };
  BOOST_TEST((Mean(2) > Mean(1) + 30ms));
  Duration Before = Mean(2);
  Vm.fractionAfter(20, 0.5, FullSlots);
  BOOST_TEST((Mean(2) > Before + 30ms));
}

BOOST_AUTO_TEST_CASE(ChangesAreLoggedOnceASecondAndExposed) {
  LogCapture Log;
  SingleVm Vm;
  AdmissionControls Controls;
  AdmissionLog Lines;
  for (int I = 0; I < 15; ++I) { // 3 s.
    Vm.fractionAfter(1, 0.5, FullSlots);
    Controls.of(Stock) = Vm.m_Control;
    Lines.logChanges(Controls, Vm.m_Now);
  }
  std::size_t Count = 0;
  for (std::size_t At = 0;
       (At = Log.text().find("admission-changed", At)) != std::string::npos;
       ++At)
    ++Count;
  BOOST_TEST(Count >= 2U);
  BOOST_TEST(Count <= 3U);
  AdmissionControl &Control = Controls.of(Stock) = AdmissionControl();
  Control.recordOffered(0, Start);
  Control.recordOffered(1, Start);
  Control.receivedPeerFraction(0.25);
  Control.update(FullSlots, Start, AdmissionTuning());
  Control.recordRefused(1);
  std::string Page = admissionExposition(Controls);
  BOOST_TEST(
      Page.find("mustardspoke_refused_fraction{service=\"stock\"} 0.25\n") !=
      std::string::npos);
  BOOST_TEST(Page.find("mustardspoke_shortage_refusals_total{service=\"stock\","
                       "priority=\"1\"} 1\n") != std::string::npos);
}

/// The less urgent request must be refused before an upstream gets a byte of
/// it, with a time to return, and the urgent one be served.
BOOST_AUTO_TEST_CASE(LessUrgentIsRefusedBeforeAnythingIsSent) {
  LogCapture Log;
  ExchangeRig Rig;
  std::vector<std::string> Ran;
  Rig.upstream("u", keepIds(Ran));
  refuseLessUrgent(Rig);
  setPriorities(Rig, 1, std::nullopt);
  HttpResponse Refused = Rig.ask(safeRequest("low"));
  BOOST_TEST(Refused.m_Head.m_Status == 503U);
  BOOST_TEST(Refused.m_Head.find("Retry-After") != nullptr);
  BOOST_TEST(Ran.empty());
  BOOST_TEST(Log.contains("\"why\":\"shortage\""));
  BOOST_TEST(Log.contains("\"priority\":\"1\""));
  setPriorities(Rig, 0, std::nullopt);
  BOOST_TEST(Rig.ask(safeRequest("high")).m_Head.m_Status == 200U);
  BOOST_TEST(Ran.size() == 1U);
}

BOOST_AUTO_TEST_CASE(PriorityOfTheCustomerGoesBeforeTheRoutes) {
  ExchangeRig Rig;
  std::vector<std::string> Ran;
  Rig.upstream("u", keepIds(Ran));
  refuseLessUrgent(Rig);
  const std::string Key = "Authorization: Token k\r\n";
  setPriorities(Rig, 1, 0);
  BOOST_TEST(Rig.ask(safeRequest("1", Key)).m_Head.m_Status == 200U);
  setPriorities(Rig, 0, 1);
  BOOST_TEST(Rig.ask(safeRequest("2", Key)).m_Head.m_Status == 503U);
  setPriorities(Rig, 1, std::nullopt);
  BOOST_TEST(Rig.ask(safeRequest("3", Key)).m_Head.m_Status == 503U);
  setPriorities(Rig, 0, std::nullopt);
  BOOST_TEST(Rig.ask(safeRequest("4", Key)).m_Head.m_Status == 200U);
  BOOST_TEST(Ran.size() == 2U);
}

/// Rejections count by the load that the upstream reports with them.
BOOST_AUTO_TEST_CASE(OnlyFullUpstreamsShowThatThereIsNoRoom) {
  for (const char *Load : {"8,5,8", "2,0,8"}) {
    ExchangeRig Rig;
    Rig.upstream("u", [Load](ServerSide &Side) -> awaitable<void> {
      for (std::string Id = co_await Side.readRequest(); !Id.empty();
           Id = co_await Side.readRequest())
        co_await Side.sendRaw("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
                              "X-Request-Id: " +
                              Id + "\r\nX-Server-Load: " + Load +
                              "\r\nContent-Length: 0\r\n\r\n");
    });
    // Without less urgent requests, nothing would make room for this one.
    Rig.m_State.m_Admission.of(ServiceName("s")).recordOffered(1, steadyNow());
    BOOST_TEST(Rig.ask(safeRequest("1")).m_Head.m_Status == 503U);
    BOOST_TEST(
        (Rig.m_State.m_Admission.of(ServiceName("s")).noRoomProportion() > 0) ==
        (Load[0] == '8'));
  }
}

BOOST_AUTO_TEST_SUITE_END()
