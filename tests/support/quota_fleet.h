/// \file
/// A simulated fleet that applies quotas: callers' requests, and heartbeats
/// with the delays and recipients of docs/design/14-hard-load.md.
#pragma once

#include "steer/customer_quota.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace mustardspoke::test {

class QuotaFleetRig {
public:
  /// \brief Requests of one customer to all VMs.
  struct Traffic {
    steer::Customer m_Customer;
    std::vector<double> m_Rates; ///< Per second, by VM.
    std::vector<TimePoint> m_Offered;
    std::vector<TimePoint> m_Admitted;

    /// \brief Distributes \p PerSecond evenly over the first \p Vms VMs.
    void send(double PerSecond, std::size_t Vms) {
      std::ranges::fill(m_Rates, 0);
      std::fill_n(m_Rates.begin(), Vms, PerSecond / double(Vms));
    }
  };

  QuotaFleetRig(std::size_t Vms, std::size_t Regions, unsigned Seed,
                steer::QuotaTuning Tuning = {})
      : m_Regions(Regions), m_Tuning(Tuning), m_Random(Seed), m_Vms(Vms) {
    for (std::size_t Vm = 0; Vm < Vms; ++Vm)
      start(Vm);
  }

  std::size_t add(double Rate, double Burst) {
    Traffic &Added = m_Traffic.emplace_back();
    Added.m_Customer.m_Name =
        CustomerName("c" + std::to_string(m_Traffic.size()));
    Added.m_Customer.m_Quota = {Rate, Burst};
    Added.m_Rates.resize(m_Vms.size());
    return m_Traffic.size() - 1;
  }
  Traffic &traffic(std::size_t Index) { return m_Traffic[Index]; }

  /// \brief Has all VMs adopt the quotas.
  void configure() {
    for (Vm &Each : m_Vms)
      Each.m_Quotas->setQuotas(table(), m_Now);
  }
  /// \brief Starts a VM again, without its state.
  void restart(std::size_t Vm) {
    start(Vm);
    m_Vms[Vm].m_Quotas->setQuotas(table(), m_Now);
  }

  void run(Duration Time) {
    TimePoint End = m_Now + Time;
    ++m_Generation; // Rates may have changed.
    for (std::size_t Index = 0; Index < m_Traffic.size(); ++Index)
      for (std::size_t Vm = 0; Vm < m_Vms.size(); ++Vm)
        scheduleArrival(Index, Vm);
    while (!m_Events.empty() && m_Events.top().m_At <= End) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Run();
    }
    m_Now = End;
  }

  TimePoint m_Now{10s};
  /// Whether a heartbeat arrives.
  std::function<bool(std::size_t From, std::size_t To)> m_Reaches =
      [](std::size_t, std::size_t) { return true; };
  /// Each VM takes itself for the whole fleet.
  bool m_KnowsOnlyItself = false;

private:
  struct Vm {
    std::unique_ptr<steer::CustomerQuotas> m_Quotas;
    std::vector<TimePoint> m_HeardAt;
    unsigned m_Starts = 0;
    unsigned m_Round = 0;
  };
  struct Event {
    TimePoint m_At;
    std::function<void()> m_Run;
    bool operator<(const Event &Other) const { return m_At > Other.m_At; }
  };

  std::size_t regionOf(std::size_t Vm) const { return Vm % m_Regions; }
  static RegionName nameOf(std::size_t Region) {
    return RegionName("r" + std::to_string(Region));
  }
  bool isSmall() const { return m_Vms.size() <= 17; }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(m_Random); }
  void at(TimePoint When, std::function<void()> Run) {
    m_Events.push({When, std::move(Run)});
  }
  steer::CustomerTable table() const {
    steer::CustomerTable Result;
    for (const Traffic &Each : m_Traffic)
      (void)Result.add(Each.m_Customer, {});
    return Result;
  }

  void start(std::size_t Index) {
    Vm &Started = m_Vms[Index];
    Started.m_Quotas = std::make_unique<steer::CustomerQuotas>(
        VmName("v" + std::to_string(Index)), m_Tuning);
    Started.m_HeardAt.assign(m_Vms.size(), TimePoint());
    unsigned Start = ++Started.m_Starts;
    at(m_Now + Duration(std::int64_t(uniform() * 250000)),
       [this, Index, Start] { sendRound(Index, Start); });
  }

  void scheduleArrival(std::size_t Index, std::size_t Vm) {
    double Rate = m_Traffic[Index].m_Rates[Vm];
    if (Rate <= 0)
      return;
    auto Wait = Duration(
        std::int64_t(std::exponential_distribution<>(Rate)(m_Random) * 1e6));
    at(m_Now + Wait, [this, Index, Vm, Generation = m_Generation] {
      if (Generation != m_Generation)
        return;
      Traffic &Source = m_Traffic[Index];
      Source.m_Offered.push_back(m_Now);
      if (m_Vms[Vm].m_Quotas->admit(stableHash(Source.m_Customer.m_Name.str()),
                                    m_Now))
        Source.m_Admitted.push_back(m_Now);
      scheduleArrival(Index, Vm);
    });
  }

  steer::QuotaFleet view(std::size_t Index) {
    steer::QuotaFleet Result;
    if (m_KnowsOnlyItself)
      return Result;
    Result.m_IsComplete = true;
    Result.m_KnownVms = unsigned(m_Vms.size());
    // Ages of VMs of the own region travel with all heartbeats.
    auto HeardOf = [&](std::size_t Other) {
      TimePoint &HeardAt = m_Vms[Index].m_HeardAt[Other];
      if (m_Reaches(Other, Index))
        HeardAt = m_Now;
      return m_Now - HeardAt < steer::CustomerQuotas::ReportMaxAge;
    };
    for (std::size_t Other = 0; Other < m_Vms.size(); ++Other)
      if (regionOf(Other) != regionOf(Index))
        ++Result.m_RemoteVms[nameOf(regionOf(Other))];
      else if (Other != Index && HeardOf(Other))
        ++Result.m_LocalVms;
    return Result;
  }

  void sendRound(std::size_t Index, unsigned Start) {
    Vm &Sender = m_Vms[Index];
    if (Start != Sender.m_Starts)
      return; // It was started again.
    Sender.m_Quotas->refresh(view(Index), m_Now);
    std::vector<std::size_t> Local;
    std::vector<std::size_t> Remote;
    for (std::size_t Other = 0; Other < m_Vms.size(); ++Other)
      if (Other != Index)
        (regionOf(Other) == regionOf(Index) ? Local : Remote).push_back(Other);
    if (!isSmall()) {
      std::size_t Count =
          std::clamp<std::size_t>(8 * 100 / (m_Vms.size() - 1), 3, 8);
      std::ranges::shuffle(Local, m_Random);
      std::ranges::shuffle(Remote, m_Random);
      Local.resize(std::min(Local.size(), Count));
      Remote.resize(std::min<std::size_t>(Remote.size(), 1));
    } else if (Sender.m_Round % 3 != 0) {
      Remote.clear();
    }
    for (std::size_t To : Local)
      deliver(Index, To, 900us, Sender.m_Quotas->loadsToSend(true, m_Now));
    for (std::size_t To : Remote)
      deliver(Index, To, 55ms, Sender.m_Quotas->loadsToSend(false, m_Now));
    ++Sender.m_Round;
    Duration Interval =
        isSmall() ? std::max<Duration>(100ms, 8ms * m_Vms.size()) : 250ms;
    at(m_Now + Interval, [this, Index, Start] { sendRound(Index, Start); });
  }

  void deliver(std::size_t From, std::size_t To, Duration Delay,
               std::vector<steer::CustomerLoad> Loads) {
    if (!m_Reaches(From, To))
      return;
    at(m_Now + Delay, [this, From, To, Loads = std::move(Loads)] {
      std::optional<RegionName> Region;
      if (regionOf(From) != regionOf(To))
        Region = nameOf(regionOf(From));
      m_Vms[To].m_Quotas->receivedLoads(VmName("v" + std::to_string(From)),
                                        Region, Loads, m_Now);
    });
  }

  std::size_t m_Regions;
  steer::QuotaTuning m_Tuning;
  std::mt19937 m_Random;
  std::vector<Vm> m_Vms;
  std::vector<Traffic> m_Traffic;
  std::priority_queue<Event> m_Events;
  unsigned m_Generation = 0;
};

/// \brief Largest number of \p Times within 5 s, relative to the requirement
/// for \p Quota; above 1 it is violated.
inline double worstWindow(const std::vector<TimePoint> &Times,
                          const steer::CustomerQuota &Quota) {
  std::size_t Worst = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] >= 5s)
      ++First;
    Worst = std::max(Worst, Last - First + 1);
  }
  return double(Worst) /
         ((Quota.m_RequestsPerSecond * 5 + Quota.m_Burst) * 1.1 + 20);
}

inline std::size_t countSince(const std::vector<TimePoint> &Times,
                              TimePoint Begin) {
  return std::size_t(std::ranges::count_if(
      Times, [Begin](TimePoint At) { return At >= Begin; }));
}

/// \brief Requests that a token bucket of the whole fleet would admit of those
/// since \p Begin.
inline std::size_t withinQuota(const QuotaFleetRig::Traffic &Source,
                               TimePoint Begin) {
  const steer::CustomerQuota &Quota = Source.m_Customer.m_Quota;
  double Depth = std::max(1.0, Quota.m_Burst);
  steer::TokenBucket Bucket(Depth, Source.m_Offered.front());
  std::size_t Count = 0;
  for (TimePoint At : Source.m_Offered) {
    Bucket.refill(At, Quota.m_RequestsPerSecond, Depth);
    if (Bucket.take() && At >= Begin)
      ++Count;
  }
  return Count;
}

} // namespace mustardspoke::test
