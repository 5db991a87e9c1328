/// \file
/// Model of callers, entry VMs and upstreams under load, driving the real
/// decision modules in simulated time.
///
/// A run is determined by its plan and seed; it takes well under a second for
/// twenty simulated ones.
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

/// \brief Shape of the modelled system; the figures are those of a middling
/// deployment: work on a key that an upstream holds fits the target with room,
/// work on another does not.
struct LoadPlan {
  struct RegionPlan {
    std::string m_Name;
    unsigned m_Vms = 2;
    unsigned m_Upstreams = 4;
    double m_PerSecond = 40; ///< Requests of its callers.
  };
  std::vector<RegionPlan> m_Regions{
      {"small", 2, 2, 30}, {"large", 3, 6, 60}, {"other", 3, 6, 60}};
  unsigned m_Slots = 6;
  unsigned m_Queue = 12;       ///< Waiting requests before it sheds.
  Duration m_WarmWork = 120ms; ///< Mean work on a key that it holds.
  double m_ColdFactor = 3.5;   ///< Work on another key.
  std::size_t m_Keeps = 60;    ///< Keys that an upstream holds.
  unsigned m_Keys = 100;       ///< Of each region's callers.
  Duration m_Target = 400ms;
  Duration m_Deadline = 2s;
  Duration m_FarPath = 25ms; ///< One way between regions.
  Duration m_NearPath = 1ms;
  Duration m_Length = 20s;
  steer::UpstreamRule m_Choose = steer::chooseByKeyNearFirst;
  steer::ChoiceTuning m_Tuning;
  std::uint64_t m_Seed = 1;
};

/// \brief What became of requests.
struct LoadTally {
  unsigned m_Asked = 0;
  unsigned m_InTarget = 0;
  unsigned m_Late = 0;
  unsigned m_Refused = 0; ///< In the end, after the caller came back.
  unsigned m_Lost = 0;    ///< No answer within the deadline.

  [[nodiscard]] double inTarget() const {
    return m_Asked == 0 ? 1 : double(m_InTarget) / m_Asked;
  }
};

/// \brief Outcome of one run.
struct LoadResult {
  LoadTally m_All;
  std::map<std::string, LoadTally> m_ByRegion; ///< Of the callers.
  std::vector<LoadTally> m_BySecond;           ///< Of the first arrival.
  Duration m_ColdWork{};                       ///< Spent on keys not held.

  [[nodiscard]] double worstRegion() const;
  [[nodiscard]] double worstSecond() const;
};

/// \brief One run of the model.
class LoadModel {
public:
  explicit LoadModel(LoadPlan Plan);
  ~LoadModel();

  // Events of a pattern; for use before run() through at().

  void at(Duration When, std::function<void()> Action);
  /// \brief Callers of \p Region ask \p Times as often as planned.
  void setLoad(const std::string &Region, double Times);
  /// \brief The first \p Count upstreams of \p Region work so much slower.
  void setSlowness(const std::string &Region, unsigned Count, double Times);
  /// \brief They answer, but this part of their answers is lost.
  void setLoss(const std::string &Region, unsigned Count, double Part);
  /// \brief They forget every key.
  void forgetKeys(const std::string &Region);
  /// \brief Every entry VM starts anew and believes nothing.
  void restartVms();

  LoadResult run();

private:
  struct Server;
  struct EntryNode;
  struct Asked;
  using AskedPtr = std::shared_ptr<Asked>;

  void arrivals(std::size_t Region);
  void route(const AskedPtr &One);
  void refused(const AskedPtr &One, Duration ComeBack);
  void reach(const AskedPtr &One, Server &To);
  void begin(const AskedPtr &One, Server &To);
  void finish(const AskedPtr &One, Server &To);
  void answered(const AskedPtr &One, steer::LoadReport Load);
  void exchangeLoads();
  void registerAll(EntryNode &With);
  void tally(const AskedPtr &One, unsigned LoadTally::*As);
  [[nodiscard]] Duration path(const Asked &One, const Server &To) const;
  double uniform() { return double(m_Rng()) / double(Random::max()); }
  Duration exponential(Duration Mean);

  LoadPlan m_Plan;
  Random m_Rng;
  steer::Route m_Route;
  EventQueue m_Clock;
  TimePoint m_End;
  std::vector<double> m_Times; ///< Load of each region, of the planned.
  std::vector<std::unique_ptr<Server>> m_Servers;
  std::vector<std::unique_ptr<EntryNode>> m_Vms;
  LoadResult m_Result;
};

/// \brief A named course of load.
struct LoadPattern {
  const char *m_Name;
  void (*m_Prepare)(LoadModel &Model);
};

/// \brief The patterns that the tests and the printed table go through.
[[nodiscard]] const std::vector<LoadPattern> &loadPatterns();

} // namespace mustardspoke::test
