/// \file
/// The share of a service's keys that a region serves itself.
#pragma once

#include "steer/choice.h"

#include <map>
#include <optional>

namespace mustardspoke::steer {

/// \brief Parameters of the controller that adjusts the shares.
struct LocalShareTuning {
  Duration m_StepInterval = 200ms;
  /// For a large fleet, whose VMs converge more slowly.
  Duration m_LargeFleetStepInterval = 420ms;
  /// Largest change per step. Ten steps take two seconds, in which a region may
  /// move at most 0.15 of its requests to other regions.
  double m_MaxStep = 0.008;
  /// The same for a large fleet; five of its steps take two seconds.
  double m_LargeFleetMaxStep = 0.016;
  /// Keys return to a region of a large fleet this slowly while other regions
  /// have capacity for them: the own upstreams don't hold them any more, and at
  /// the region's next peak they would have to move out again.
  double m_LargeFleetReturnStep = 0.004;
  /// Keys move out when the utilization of the region's slots exceeds this
  /// and that of the other regions by the margin.
  double m_HighUtilization = 0.75;
  /// Keys move back when the utilization is below this. The gap between the
  /// two thresholds absorbs an increase of the region's traffic until enough
  /// keys have moved out.
  double m_LowUtilization = 0.45;
  double m_UtilizationMargin = 0.1;
  double m_MinShare = 0.05; ///< Keeps a region's own upstreams in use.
  /// Registrations arrive one after the other when a whole deployment starts.
  /// The share is derived from the slots until none were added for this long.
  Duration m_SlotsSettleTime = 2s;
  /// A VM that has had no request of a service in flight for this long takes
  /// the share of the VMs that have.
  Duration m_CarryTimeout = 2s;
  /// A region with fewer slots than the average starts with this fraction of
  /// its share by slots.
  double m_InitialShareFactor = 0.75;
  /// Fraction of a service's requests that may overflow into regions that
  /// their share doesn't assign them to. Together with ten steps it stays below
  /// the 0.15 of requests that a region may move within two seconds.
  double m_OverflowFraction = 0.03;
  double m_MaxOverflowBurst = 3; ///< Overflows in a row after a pause.
  /// After the loss of upstreams in the own region, requests may overflow
  /// without limit for this long; by then the shares have moved by half.
  Duration m_UpstreamLossWindow = 10s;
};

/// \brief A service's share and the inputs of its last step.
struct LocalShareState {
  double m_Share = 1;
  double m_Utilization = 0; ///< Of the region's slots; above 1 with queues.
  /// Fraction of the slots in use, 0 to 1, at the region's upstreams that are
  /// neither ejected nor warming up nor asking for a pause.
  double m_SlotsInUse = 0;
  /// Moving average over reports of other regions; none before the first.
  std::optional<double> m_RemoteUtilization;
  unsigned m_LocalSlots = 0;
  unsigned m_TotalSlots = 0;
  /// Whether it is the result of steps under load. Only such shares are sent to
  /// the VMs of the own region.
  bool m_IsAdjusted = false;

  friend bool operator==(const LocalShareState &,
                         const LocalShareState &) = default;
};

/// \brief Controls, for each service, the share of the keys of the own region's
/// callers that the region's upstreams serve. The other keys stay assigned to
/// other regions, so that their cached state stays warm there.
///
/// \details A share that no request depends on yet follows the slots of the
/// known upstreams. From the first requests on it changes by small steps only,
/// whatever the cause: the region's load, the shares of its other VMs, or
/// further registrations. Without requests it doesn't change.
///
/// Entry VMs of a region converge by averaging the shares that they send each
/// other. Until then, a few keys are served by two upstreams. A VM that has
/// just started takes the share of its peers at once.
class LocalShares {
public:
  /// \brief The current share, 0 to 1.
  [[nodiscard]] double shareOf(const ServiceName &Service) const;

  /// \brief Derives the share of a service from the slots of its upstreams if
  /// it has none yet. Called before each request, as the first one may arrive
  /// before the first step.
  void deriveMissing(const ServiceName &Service, const UpstreamTable &Table,
                     const Placement &Local, TimePoint Now,
                     const LocalShareTuning &Tuning);
  /// \brief Counts a request, which adds to the overflow budget.
  void recordRequest(const ServiceName &Service,
                     const LocalShareTuning &Tuning);
  /// \brief Whether the next request may overflow into other regions.
  [[nodiscard]] bool mayOverflow(const ServiceName &Service, TimePoint Now,
                                 const LocalShareTuning &Tuning) const;
  /// \brief Records what was decided for an attempt: an overflow is deducted
  /// from the budget.
  void recordChoice(const ServiceName &Service, const Choice &Selected);

  /// \brief Adjusts every share by one step if the step interval has passed.
  /// \param LargeFleet Whether the VMs of a region learn of each other's loads
  /// and shares only through a sample of them.
  void update(const UpstreamTable &Table, const Placement &Local, TimePoint Now,
              const LocalShareTuning &Tuning, bool LargeFleet = false);

  /// \brief Records the share that a peer of the same region uses.
  void receivedLocalShare(std::uint64_t ServiceHash, double Share);
  /// \brief Records the utilization that a peer of another region sees in its
  /// region.
  void receivedRemoteUtilization(std::uint64_t ServiceHash, double Utilization);

  /// \brief Calls \p Visit with each service and its LocalShareState.
  template <class Visitor> void forEach(Visitor &&Visit) const {
    for (const auto &[Service, Entry] : m_Shares)
      Visit(Service, static_cast<const LocalShareState &>(Entry));
  }

  friend bool operator==(const LocalShares &, const LocalShares &) = default;

private:
  /// \brief Requests whose keys are assigned to one side, with exponential
  /// decay.
  struct Assigned {
    double m_Requests = 0;
    double m_Refused = 0;
    [[nodiscard]] double servedFraction() const;
    void decay();

    friend bool operator==(const Assigned &, const Assigned &) = default;
  };

  struct Share : LocalShareState {
    bool m_IsDerived = false; ///< Has a value; 1 until then.
    /// False as long as the share follows the slots.
    bool m_IsLearned = false;
    TimePoint m_SlotsAddedAt{}; ///< Last increase of m_TotalSlots.
    TimePoint m_CarriedAt{};    ///< Last step with a request in flight.
    double m_PeerShareSum = 0;  ///< Received since the last step.
    unsigned m_PeerShareCount = 0;
    /// Upstreams of the own region that were in use at the last step.
    unsigned m_HealthyUpstreams = 0;
    TimePoint m_UpstreamLostAt{}; ///< Last loss of one of them; zero: never.
    double m_OverflowTokens = 0;  ///< Overflows that are allowed now.
    Assigned m_LocalKeys;
    Assigned m_RemoteKeys;

    friend bool operator==(const Share &, const Share &) = default;
  };

  static void recordSlots(Share &Current, unsigned Local, unsigned Total,
                          TimePoint Now);
  /// \brief Requests that run in another region for each request that a change
  /// of the share assigns to it; above 1 if the other requests are refused more
  /// often, as those that run then weigh more.
  [[nodiscard]] static double leverage(const Share &Current);
  /// \param StepByLoad Change that the utilization asks for.
  /// \param BySlots Share derived from the known slots.
  static void step(Share &Current, double StepByLoad, double BySlots,
                   TimePoint Now, const LocalShareTuning &Tuning,
                   double MaxStep);

  std::map<ServiceName, Share> m_Shares;
  TimePoint m_LastStepAt{};
};

} // namespace mustardspoke::steer
