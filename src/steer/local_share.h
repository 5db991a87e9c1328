/// \file
/// The share of a service's keys that a region serves itself.
#pragma once

#include "steer/choice.h"

#include <map>
#include <optional>

namespace mustardspoke::steer {

/// \brief Constants of the shares' control.
struct LocalShareTuning {
  Duration m_Every = 200ms;
  /// In a large fleet, whose VMs agree more slowly.
  Duration m_CrowdEvery = 420ms;
  /// Largest change a step. Ten steps are two seconds, in which a region may
  /// move 0.15 of its requests elsewhere.
  double m_Step = 0.011;
  /// Keys move out when the region's slots are busy above this, and busier
  /// than elsewhere by the margin.
  double m_Busy = 0.75;
  /// Keys come back while less than this is busy. What lies between takes the
  /// rise of the region's traffic while keys move out.
  double m_Idle = 0.45;
  double m_Margin = 0.1;
  double m_Least = 0.05; ///< Keeps a region's own upstreams in use.
  /// Of the share by slots with which a region short of slots starts.
  double m_ShortStart = 0.75;
  /// Part of a service's requests that may overflow into regions that the
  /// shares don't give them. Together with ten steps it stays below the 0.15
  /// of requests that a region may move within two seconds.
  double m_Overflow = 0.03;
  double m_MostOverflows = 3; ///< At once, after a pause.
  /// After the loss of upstreams in the own region requests may overflow
  /// freely for so long; the shares have moved by half then.
  Duration m_LossLasts = 10s;
};

/// \brief Keeps, for each service, the share of the own region's keys that
/// its own upstreams serve. The others go to other regions for good, so that
/// their working set stays warm there.
///
/// \details Entry VMs of a region agree by averaging what they tell each
/// other; a disagreement only sends a few keys to two upstreams.
class LocalShares {
public:
  /// \brief The share in force, 0 to 1.
  [[nodiscard]] double of(const ServiceName &Service) const;

  /// \brief Counts a request, which allows a part of an overflow.
  void request(const ServiceName &Service, const LocalShareTuning &Tuning);
  /// \brief Whether the next request may overflow into other regions.
  [[nodiscard]] bool mayOverflow(const ServiceName &Service, TimePoint Now,
                                 const LocalShareTuning &Tuning) const;
  /// \brief A request has overflowed.
  void overflowed(const ServiceName &Service);

  /// \brief Moves every share one step, if it is time.
  /// \param Crowd The fleet is large.
  void update(const UpstreamTable &Table, const Placement &Here, TimePoint Now,
              const LocalShareTuning &Tuning, bool Crowd = false);

  /// \brief What a peer of the same region holds.
  void heardNear(std::uint64_t ServiceHash, double Share);
  /// \brief How busy a peer of another region finds its region's upstreams.
  void heardFar(std::uint64_t ServiceHash, double Busy);

  template <class Visit> void each(Visit &&Each) const {
    for (const auto &[Service, One] : m_Shares)
      Each(stableHash(Service.str()), One.m_Share, One.m_Busy);
  }

private:
  struct Share {
    bool m_Begun = false; ///< The first step has set the share.
    double m_Share = 1;
    double m_HeardSum = 0; ///< Of peers since the last step.
    unsigned m_Heard = 0;
    double m_Busy = 0; ///< Busy part of the region's slots at the last step.
    /// Running mean of what other regions say; none before the first word.
    std::optional<double> m_FarBusy;
    unsigned m_OwnSound = 0;  ///< Own upstreams in use at the last step.
    TimePoint m_LostAt{};     ///< Last loss of one of them; zero: never.
    double m_MayOverflow = 0; ///< Overflows that are allowed now.
  };
  std::map<ServiceName, Share> m_Shares;
  TimePoint m_SteppedAt{};
};

} // namespace mustardspoke::steer
