/// \file
/// Requests under which upstreams end: evidence, trials, and the sum over a
/// fleet.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

#include "core/upstreams.h"

#include <rapidcheck.h>

#include <functional>

namespace mustardspoke::steer {
namespace {

constexpr Duration Tick = 10ms;
/// Machines are in touch this long after a disturbance; the users' value.
constexpr Duration Contact = 4s;
/// The users' rule: sends after the third end and `Contact`.
constexpr unsigned AllowedRetries = 3;
constexpr RequestFingerprint Deadly = makeFingerprint(7, 7);

/// \brief Entry VMs that get copies of a request which ends its upstreams, and
/// tell each other. Time and messages are simulated.
class ExposedFleet {
public:
  /// \param Tells Whether VMs tell each other what they know.
  ExposedFleet(unsigned Vms, std::uint64_t Seed, bool Tells = true)
      : m_Rng(Seed, 1), m_Tells(Tells), m_Vms(Vms) {}

  /// \brief Starts a VM anew; it reads the store.
  void restart(unsigned Index) {
    m_Vms[Index] = Vm();
    m_Vms[Index].m_StartedAt = m_Now;
    for (const CrashReport &Row : m_StoreRows)
      (void)m_Vms[Index].m_Suspects.merge(Row, m_Now);
  }
  void restartAll() {
    for (unsigned I = 0; I < m_Vms.size(); ++I)
      restart(I);
  }
  /// \brief Cuts the fleet into VMs with even and with odd numbers.
  void setParted(bool Parted) { m_Parted = Parted; }
  /// \brief Fraction of heartbeats that are lost; some others come twice.
  void setLoss(double Loss) { m_Loss = Loss; }
  void setDeadly(bool IsDeadly) { m_IsDeadly = IsDeadly; }

  /// \brief Copies of the request arrive at random VMs.
  void run(Duration Span, double CopiesPerSecond) {
    double PerTick = CopiesPerSecond * 0.01;
    for (TimePoint End = m_Now + Span; m_Now < End; m_Now += Tick) {
      step();
      if (chance(PerTick))
        arrive(pick(), 2);
    }
  }

  [[nodiscard]] unsigned ends() const { return unsigned(m_EndedAt.size()); }
  [[nodiscard]] unsigned refused() const { return m_Refused; }
  [[nodiscard]] unsigned answered() const { return m_Answered; }
  /// \brief Sends that the users' rule counts.
  [[nodiscard]] unsigned lateSends() const {
    if (m_EndedAt.size() < 3)
      return 0;
    TimePoint From = m_EndedAt[2] + Contact;
    return unsigned(std::ranges::count_if(m_Sends, [From](const Send &Each) {
      return Each.m_At > From && Each.m_InTouch;
    }));
  }
  [[nodiscard]] unsigned vmsThatKnow() const {
    return unsigned(std::ranges::count_if(m_Vms, [](const Vm &Each) {
      return Each.m_Suspects.isConfirmed(Deadly);
    }));
  }

private:
  struct Vm {
    CrashSuspects m_Suspects;
    unsigned m_Round = 0;
    TimePoint m_StartedAt = Start - Contact;
  };
  struct Send {
    TimePoint m_At;
    bool m_InTouch; ///< Its VM had been running for a while.
  };
  struct Event {
    TimePoint m_At;
    std::function<void()> m_Action;
  };

  [[nodiscard]] bool isSmall() const { return m_Vms.size() <= 17; }
  [[nodiscard]] unsigned pick() { return unsigned(m_Rng(m_Vms.size())); }
  [[nodiscard]] bool chance(double Probability) {
    return double(m_Rng()) < Probability * double(Random::max());
  }
  [[nodiscard]] bool connected(unsigned From, unsigned To) const {
    return !m_Parted || From % 2 == To % 2;
  }
  void after(Duration Delay, std::function<void()> Action) {
    m_Events.push_back({m_Now + Delay, std::move(Action)});
  }

  void step() {
    std::vector<Event> Due;
    std::erase_if(m_Events, [&](const Event &Each) {
      if (Each.m_At > m_Now)
        return false;
      Due.push_back(Each);
      return true;
    });
    for (const Event &Each : Due)
      Each.m_Action();
    Duration Interval = isSmall() ? 150ms : 250ms;
    if (m_Tells && (m_Now - Start) % Interval == 0us)
      for (unsigned I = 0; I < m_Vms.size(); ++I)
        sendHeartbeat(I);
  }

  void sendHeartbeat(unsigned From) {
    Vm &Sender = m_Vms[From];
    auto Reports = Sender.m_Suspects.reportsToSend(m_Now, Sender.m_Round++);
    if (Reports.empty())
      return;
    unsigned Recipients = isSmall() ? unsigned(m_Vms.size()) : 4;
    for (unsigned I = 0; I < Recipients; ++I) {
      unsigned To = isSmall() ? I : pick();
      if (To == From || !connected(From, To))
        continue;
      for (unsigned Copies = chance(m_Loss) ? 0 : (chance(0.1) ? 2 : 1);
           Copies > 0; --Copies)
        after(Duration(std::int64_t(m_Rng(60000))), [this, To, Reports] {
          for (const CrashReport &Report : Reports)
            if (m_Vms[To].m_Suspects.merge(Report, m_Now) != CrashChange::None)
              sendSoon(To);
        });
    }
  }

  /// \brief News don't wait for the next regular heartbeat.
  void sendSoon(unsigned From) {
    if (m_Tells)
      after(Tick, [this, From] { sendHeartbeat(From); });
  }

  [[nodiscard]] unsigned turnOf(unsigned Vm) const {
    auto Rank = [](unsigned Index) {
      return stableHash(std::to_string(Index), Deadly);
    };
    unsigned Turn = 0;
    for (unsigned I = 0; I < m_Vms.size(); ++I)
      Turn += connected(Vm, I) && Rank(I) > Rank(Vm) ? 1U : 0U;
    return Turn;
  }

  void arrive(unsigned At, unsigned Attempts) {
    CrashSuspects &Suspects = m_Vms[At].m_Suspects;
    CrashVerdict Verdict =
        Suspects.verdict(Deadly, m_Now, {turnOf(At), turnOf(At)}, isSmall());
    if (Verdict == CrashVerdict::Wait)
      return after(Tick, [this, At, Attempts] { arrive(At, Attempts); });
    if (Verdict == CrashVerdict::Refuse) {
      ++m_Refused;
      return Suspects.recordRefusal(Deadly, m_Now);
    }
    if (Verdict == CrashVerdict::Trial) {
      if (Attempts < 2)
        return; // The caller's request has ended an upstream before.
      Suspects.beginTrial(Deadly, m_Now);
      Attempts = 1;
    }
    m_Sends.push_back({m_Now, m_Now - m_Vms[At].m_StartedAt >= Contact});
    after(60ms, [this, At, Attempts] { finish(At, Attempts); });
  }

  void finish(unsigned At, unsigned Attempts) {
    CrashSuspects &Suspects = m_Vms[At].m_Suspects;
    if (!m_IsDeadly) {
      ++m_Answered;
      (void)Suspects.recordAnswer(Deadly, m_Now);
      return;
    }
    UpstreamRunKey Run = ++m_LastRun;
    m_EndedAt.push_back(m_Now);
    Suspects.recordLoss(Deadly, Run, m_Now);
    after(Duration(std::int64_t(10000 + m_Rng(110000))), [this, At, Run] {
      CrashSuspects &Suspects = m_Vms[At].m_Suspects;
      if (!Suspects.confirmEnd(Run, m_Now).empty() && m_StoreRows.empty())
        m_StoreRows.push_back(Suspects.report(Deadly, m_Now));
      sendSoon(At);
    });
    if (Attempts > 1)
      arrive(At, Attempts - 1);
  }

  Random m_Rng;
  bool m_Tells;
  std::vector<Vm> m_Vms;
  TimePoint m_Now = Start;
  std::vector<Event> m_Events;
  bool m_Parted = false;
  bool m_IsDeadly = true;
  double m_Loss = 0;
  UpstreamRunKey m_LastRun = 0;
  std::vector<Send> m_Sends;
  std::vector<CrashReport> m_StoreRows; ///< As StoreReplica writes them.
  std::vector<TimePoint> m_EndedAt;
  unsigned m_Refused = 0;
  unsigned m_Answered = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashSuspicion)

// Guards against a request that takes down a service: each VM sent it anew.
BOOST_AUTO_TEST_CASE(FleetStopsSendingARequestThatEndsItsUpstreams) {
  for (unsigned Vms : {1U, 8U, 30U, 295U})
    for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
      double CopiesPerSecond = Seed % 2 ? 13 : 2;
      ExposedFleet System(Vms, Seed);
      System.run(40s, CopiesPerSecond);
      BOOST_TEST_CONTEXT(Vms << " VMs, seed " << Seed) {
        BOOST_TEST(System.lateSends() <= AllowedRetries);
        BOOST_TEST(System.vmsThatKnow() == Vms);
        BOOST_TEST(System.refused() > 40U);
        BOOST_TEST_MESSAGE("ends: " << System.ends());
      }
    }
}

// The control of the test above.
BOOST_AUTO_TEST_CASE(VmsThatDoNotTellEachOtherGoOn) {
  for (unsigned Vms : {8U, 30U, 295U}) {
    ExposedFleet System(Vms, 1, false);
    System.run(40s, 2);
    BOOST_TEST(System.lateSends() > AllowedRetries);
  }
}

// A fleet that is cut in two, loses heartbeats, or whose VMs start anew one by
// one, doesn't forget while the request goes on coming.
BOOST_AUTO_TEST_CASE(CutsLossAndRestartsKeepTheBound) {
  rc::check("any order of cuts, loss and restarts", [] {
    ExposedFleet System(*rc::gen::inRange(2U, 12U),
                        *rc::gen::arbitrary<std::uint32_t>());
    System.run(8s, 10);
    for (int Step = 0; Step < 6; ++Step) {
      System.setParted(*rc::gen::inRange(0, 4) == 0);
      System.setLoss(*rc::gen::inRange(0, 5) / 10.0);
      System.restart(0);
      System.run(*rc::gen::inRange(10, 60) * 100ms, 10);
    }
    RC_ASSERT(System.lateSends() <= AllowedRetries);
  });
}

// All VMs start anew at the same time; only the store still knows.
BOOST_AUTO_TEST_CASE(FleetThatStartsAnewKnowsWhatTheStoreHolds) {
  ExposedFleet System(8, 1);
  System.run(10s, 13);
  unsigned Before = System.ends();
  System.restartAll();
  BOOST_TEST(System.vmsThatKnow() == 8U);
  System.run(20s, 13);
  BOOST_TEST(System.ends() == Before);
}

// Each half of a fleet that is parted from the start learns by itself; after
// the cut, both together stay within the bound.
BOOST_AUTO_TEST_CASE(PartedFleetLearnsOnBothSides) {
  ExposedFleet System(8, 3);
  System.setParted(true);
  System.run(4s, 13);
  System.setParted(false);
  System.run(20s, 13);
  BOOST_TEST(System.lateSends() <= AllowedRetries);
  BOOST_TEST(System.vmsThatKnow() == 8U);
}

// A VM that starts learns of requests that were confirmed long ago.
BOOST_AUTO_TEST_CASE(VmThatStartsLearnsFromItsPeers) {
  ExposedFleet System(8, 1);
  System.run(10s, 13);
  System.run(60s, 0);
  System.restart(2);
  System.run(2s, 0);
  BOOST_TEST(System.vmsThatKnow() == 8U);
}

// Two upstreams that end for another reason don't keep a request out: one trial
// clears it everywhere.
BOOST_AUTO_TEST_CASE(SuspectedRequestIsClearedByATrial) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    ExposedFleet System(8, Seed);
    // One caller: its request and the retry lose their upstreams.
    while (System.ends() < 2)
      System.run(10ms, 100);
    System.setDeadly(false);
    System.run(4s, 20);
    unsigned Before = System.refused();
    System.run(10s, 20);
    BOOST_TEST(System.refused() == Before);
    BOOST_TEST(System.answered() > 0U);
    BOOST_TEST(System.vmsThatKnow() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(AnswerOutdatesEndsAndTheirReports) {
  CrashSuspects Suspects;
  for (UpstreamRunKey Run : {1U, 2U, 3U}) {
    Suspects.recordLoss(Deadly, Run, Start);
    (void)Suspects.confirmEnd(Run, Start);
  }
  BOOST_TEST(Suspects.endsOf(Deadly) == 3U);
  CrashReport Late = Suspects.report(Deadly, Start);
  BOOST_TEST(
      (Suspects.recordAnswer(Deadly, Start + 1s) == CrashChange::Cleared));
  BOOST_TEST(Suspects.endsOf(Deadly) == 0U);
  // A peer that hasn't heard of the answer tells of the ends again.
  for (CrashReport::End &Each : Late.m_Ends)
    Each.m_Age = 2s;
  (void)Suspects.merge(Late, Start + 2s);
  BOOST_TEST(Suspects.endsOf(Deadly) == 0U);
}

BOOST_AUTO_TEST_CASE(EndOfOneUpstreamCountsOnceHoweverManyTellOfIt) {
  CrashSuspects Suspects;
  for (int I = 0; I < 5; ++I) {
    Suspects.recordLoss(Deadly, 1, Start + I * 10ms);
    (void)Suspects.confirmEnd(1, Start + I * 10ms);
    (void)Suspects.merge({Deadly, {{1, 10ms}}, {}, {}, 0, {}}, Start + 100ms);
  }
  BOOST_TEST(Suspects.endsOf(Deadly) == 1U);
  BOOST_TEST(
      (Suspects.verdict(Deadly, Start + 1s, {}, true) == CrashVerdict::Send));
}

// Connections that are reset while their upstreams live are no evidence.
BOOST_AUTO_TEST_CASE(ResetConnectionsDoNotCount) {
  CrashSuspects Suspects;
  Suspects.recordLoss(Deadly, 1, Start);
  Suspects.recordLoss(Deadly, 2, Start);
  BOOST_TEST((Suspects.verdict(Deadly, Start, {}, true) == CrashVerdict::Wait));
  Suspects.refuteEnd(1, Start + 100ms);
  Suspects.refuteEnd(2, Start + 100ms);
  BOOST_TEST((Suspects.verdict(Deadly, Start + 100ms, {}, true) ==
              CrashVerdict::Send));
  BOOST_TEST(Suspects.report(Deadly, Start).m_Ends.empty());
  // An upstream may be replaced before it is checked.
  (void)Suspects.confirmEnd(1, Start + 3s);
  BOOST_TEST(Suspects.endsOf(Deadly) == 1U);
}

// After its third end, a request is tried three times in all, for as long as it
// goes on coming.
BOOST_AUTO_TEST_CASE(RequestIsTriedThreeTimesAfterItsThirdEnd) {
  CrashSuspects Suspects;
  for (UpstreamRunKey Run : {1U, 2U, 3U}) {
    Suspects.recordLoss(Deadly, Run, Start);
    (void)Suspects.confirmEnd(Run, Start);
  }
  unsigned Trials = 0;
  for (TimePoint Now = Start; Now < Start + 3h; Now += 1s) {
    CrashVerdict Verdict = Suspects.verdict(Deadly, Now, {}, true);
    BOOST_REQUIRE((Verdict != CrashVerdict::Send));
    if (Verdict == CrashVerdict::Refuse) {
      Suspects.recordRefusal(Deadly, Now);
      continue;
    }
    BOOST_TEST((Trials == 0 || Now >= Start + 5min));
    ++Trials;
    Suspects.beginTrial(Deadly, Now);
    Suspects.recordLoss(Deadly, 3 + Trials, Now);
    (void)Suspects.confirmEnd(3 + Trials, Now);
  }
  BOOST_TEST(Trials == AllowedRetries);
}

// Upstreams that end at the same time for another reason may have had copies of
// a popular request; it is tried before it is refused for long.
BOOST_AUTO_TEST_CASE(RequestThatLostThreeUpstreamsAtOnceIsTriedFirst) {
  CrashSuspects Suspects;
  for (UpstreamRunKey Run : {1U, 2U, 3U, 4U}) {
    Suspects.recordLoss(Deadly, Run, Start);
    (void)Suspects.confirmEnd(Run, Start + 50ms);
  }
  BOOST_TEST(!Suspects.isConfirmed(Deadly));
  BOOST_TEST((Suspects.verdict(Deadly, Start + 100ms, {}, true) ==
              CrashVerdict::Trial));
  Suspects.beginTrial(Deadly, Start + 100ms);
  BOOST_TEST((Suspects.verdict(Deadly, Start + 110ms, {}, true) ==
              CrashVerdict::Refuse));
  (void)Suspects.recordAnswer(Deadly, Start + 300ms);
  BOOST_TEST((Suspects.verdict(Deadly, Start + 300ms, {}, true) ==
              CrashVerdict::Send));
}

// Requests with varying bodies fill the memory; one that is confirmed stays.
BOOST_AUTO_TEST_CASE(VaryingBodiesDoNotDisplaceAConfirmedRequest) {
  CrashSuspects Suspects;
  for (UpstreamRunKey Run : {1U, 2U, 3U}) {
    Suspects.recordLoss(Deadly, Run, Start);
    (void)Suspects.confirmEnd(Run, Start);
  }
  for (std::uint32_t Body = 0; Body < 20000; ++Body) {
    RequestFingerprint Varied = makeFingerprint(9, Body);
    Suspects.recordLoss(Varied, 10 + Body, Start + 1s);
    (void)Suspects.confirmEnd(10 + Body, Start + 1s);
  }
  BOOST_TEST(Suspects.endsOf(Deadly) == 3U);
  BOOST_TEST(Suspects.size() <= CrashTuning().m_MaxRequests);
  BOOST_TEST(Suspects.reportsToSend(Start + 1s, 0).size() <= 16U);
}

// A peer that reports nonsense costs bounded memory.
BOOST_AUTO_TEST_CASE(NonsenseOfAPeerIsBounded) {
  CrashSuspects Suspects;
  CrashReport Nonsense;
  Nonsense.m_TrialAge = 1000h;
  Nonsense.m_TrialStage = 255;
  for (UpstreamRunKey Run = 0; Run < 1000; ++Run)
    Nonsense.m_Ends.push_back({Run, Duration(std::int64_t(Run) << 32)});
  for (RequestFingerprint I = 0; I < 5000; ++I) {
    Nonsense.m_Request = I << 32;
    (void)Suspects.merge(Nonsense, Start + 1000h);
    (void)Suspects.merge({I, {}, {}, {}, 0, {}}, Start + 1000h);
  }
  BOOST_TEST(Suspects.size() <= CrashTuning().m_MaxRequests);
  BOOST_TEST(Suspects.endsOf(0) <= 8U);
  BOOST_TEST(
      (Suspects.verdict(1, Start + 1000h, {}, true) == CrashVerdict::Send));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
