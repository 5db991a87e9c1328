/// \file
/// Discrete-event simulation of callers, entry VMs and upstreams under load. It
/// drives the product's steering package in simulated time.
///
/// A run is fully determined by its plan and seed. Twenty simulated seconds
/// take well under a second.
#pragma once

#include "core/upstreams.h"
#include "steer/steer.h"
#include "support/event_queue.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardspoke::test {

/// \brief Parameters of the simulated system, as in a medium deployment:
/// requests for a key that the upstream has cached are answered well within the
/// target latency, others are not.
struct LoadPlan {
  struct RegionPlan {
    std::string m_Name;
    unsigned m_Vms = 2;
    unsigned m_Upstreams = 4;
    double m_RequestsPerSecond = 40; ///< From the region's callers.
  };
  std::vector<RegionPlan> m_Regions{
      {"small", 2, 2, 30}, {"large", 3, 6, 60}, {"other", 3, 6, 60}};
  unsigned m_Slots = 6;
  unsigned m_QueueLimit = 12;     ///< An upstream sheds requests beyond it.
  Duration m_CachedWork = 120ms;  ///< Mean processing time for a cached key.
  double m_UncachedFactor = 3.5;  ///< Multiple of it for any other key.
  std::size_t m_CacheSize = 60;   ///< Keys that an upstream caches.
  unsigned m_KeysPerRegion = 100; ///< Used by the callers of a region.
  Duration m_TargetLatency = 400ms;
  Duration m_Deadline = 2s;
  Duration m_RemoteDelay = 25ms; ///< One way between regions.
  Duration m_LocalDelay = 1ms;   ///< One way within a region.
  Duration m_Length = 20s;       ///< From the first request.
  /// Time between the start of the entry VMs and the first request.
  Duration m_Lead{};
  /// Upstreams register one after the other within this time after the start of
  /// the entry VMs.
  Duration m_RegistrationTime{};
  /// Region whose upstreams register first; the others follow in random order.
  std::string m_FirstToRegister;
  steer::UpstreamStrategy m_Strategy = steer::chooseByKeyLocalFirst;
  steer::ChoiceTuning m_Tuning;
  steer::LocalShareTuning m_ShareTuning;
  bool m_LargeFleet = false; ///< See LocalShares::update().
  /// Whether entry VMs recognise requests that end their upstreams; without it,
  /// such a request is tried at another upstream like any other.
  bool m_KnowsCrashingRequests = true;
  std::uint64_t m_Seed = 1;
};

/// \brief Number of requests by outcome.
struct LoadTally {
  unsigned m_Requests = 0;
  unsigned m_InTarget = 0;
  unsigned m_Late = 0;
  unsigned m_Refused = 0; ///< After the caller's retry.
  unsigned m_Lost = 0;    ///< No answer within the deadline.

  [[nodiscard]] double inTarget() const {
    return m_Requests == 0 ? 1 : double(m_InTarget) / m_Requests;
  }
  [[nodiscard]] double refused() const {
    return m_Requests == 0 ? 0 : double(m_Refused) / m_Requests;
  }
};

/// \brief Where the requests of one region's callers ran, by time of sending.
class RegionMix {
public:
  static constexpr Duration SlotLength = 100ms;
  static constexpr Duration WindowLength = 2s;

  void record(Duration SinceStart, const std::string &UpstreamRegion);
  /// \brief Largest part of the requests that ran in another region than in
  /// the window before, over all pairs of adjacent windows that end by \p End.
  /// Windows with fewer than \p MinRequests are skipped.
  [[nodiscard]] double maxShift(Duration End, unsigned MinRequests = 100) const;

private:
  using Counts = std::map<std::string, unsigned>; ///< By upstream region.
  [[nodiscard]] Counts window(std::size_t FirstSlot) const;

  std::vector<Counts> m_Slots;
};

/// \brief Result of one run.
struct LoadResult {
  LoadTally m_All;
  std::map<std::string, LoadTally> m_ByRegion; ///< By region of the caller.
  std::vector<LoadTally> m_BySecond;           ///< By time of arrival.
  Duration m_UncachedWork{}; ///< Processing time spent on uncached keys.
  unsigned m_Crashes = 0;    ///< Upstreams that ended under a request.
  std::map<std::string, RegionMix> m_Mixes; ///< By region of the caller.
  Duration m_Length{};                      ///< See LoadPlan.

  /// \brief Lowest fraction of requests answered in time.
  [[nodiscard]] double worstRegion() const;
  [[nodiscard]] double worstSecond() const;
  /// \brief Largest shift of any region's requests; see RegionMix::maxShift().
  [[nodiscard]] double maxRegionShift() const;
};

/// \brief One run of the simulation.
class LoadModel {
public:
  explicit LoadModel(LoadPlan Plan);
  ~LoadModel();

  // Events of a pattern; scheduled with at() before run().

  void at(Duration When, std::function<void()> Action);
  /// \brief Multiplies the planned request rate of the callers of \p Region.
  void setLoad(const std::string &Region, double Factor);
  /// \brief Multiplies the processing times of the first \p Count upstreams of
  /// \p Region.
  void setSlowness(const std::string &Region, unsigned Count, double Factor);
  /// \brief Makes the first \p Count upstreams of \p Region lose this fraction
  /// of their answers.
  void setLoss(const std::string &Region, unsigned Count, double Fraction);
  /// \brief Clears the key caches of the upstreams of \p Region.
  void clearCaches(const std::string &Region);
  /// \brief Sends a request that ends each upstream which begins to run it, to
  /// a VM of a random region. It isn't part of the tallies.
  void sendCrashingRequest();
  /// \brief Restarts every entry VM without any learned state.
  void restartVms();

  LoadResult run();

private:
  struct Server;
  struct EntryNode;
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  void scheduleArrival(std::size_t Region);
  void dispatch(const RequestPtr &Current);
  void handleRefusal(const RequestPtr &Current, Duration RetryAfter);
  void arriveAt(const RequestPtr &Current, Server &Target);
  void startWork(const RequestPtr &Current, Server &Target);
  void finishWork(const RequestPtr &Current, Server &Target);
  void handleAnswer(const RequestPtr &Current, steer::LoadReport Load);
  /// \brief Ends an upstream; it starts again some seconds later.
  void crash(Server &Target);
  void handleLoss(const RequestPtr &Current);
  /// \brief The upstream's address refuses connections.
  void handleUnreachable(const RequestPtr &Current);
  /// \brief Tells the other VMs what \p Vm knows of crashing requests.
  void shareCrashReports(const EntryNode &Vm);
  /// \returns Whether \p Vm may send the request.
  [[nodiscard]] bool maySend(EntryNode &Vm, const Request &Current);
  void exchangeLoads();
  void scheduleRegistrations();
  void registerUpstream(EntryNode &Vm, Server &Target);
  void exchangeShares();
  static void sendShares(const EntryNode &Sender, EntryNode &Receiver);
  void recordOutcome(const RequestPtr &Current, unsigned LoadTally::*Outcome);
  [[nodiscard]] Duration networkDelay(const Request &Current,
                                      const Server &Target) const;
  double uniform() { return double(m_Rng()) / double(Random::max()); }
  Duration exponential(Duration Mean);

  LoadPlan m_Plan;
  Random m_Rng;
  steer::Route m_Route;
  EventQueue m_Events;
  TimePoint m_FirstRequestAt;
  TimePoint m_End;
  std::vector<double> m_LoadFactors; ///< By region.
  std::vector<std::unique_ptr<Server>> m_Servers;
  std::vector<std::unique_ptr<EntryNode>> m_Vms;
  LoadResult m_Result;
};

/// \brief A named sequence of load changes and faults.
struct LoadPattern {
  const char *m_Name;
  void (*m_Prepare)(LoadModel &Model);
};

/// \brief The patterns used by the tests and by the printed table.
[[nodiscard]] const std::vector<LoadPattern> &loadPatterns();

} // namespace mustardspoke::test
