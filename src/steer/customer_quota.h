/// \file
/// Quotas of customers over all entry VMs: each VM estimates the demand of the
/// whole fleet and the fleet's token bucket, and admits its part.
#pragma once

#include "core/ids.h"
#include "steer/customer_table.h"
#include "steer/rate_limit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace mustardspoke::steer {

/// \brief Requests of one customer at one VM, or at all VMs of a region.
struct CustomerLoad {
  std::uint64_t m_CustomerHash = 0; ///< Of its name.
  double m_OfferedPerSecond = 0;    ///< All that arrived, admitted or not.
  double m_AdmittedPerSecond = 0;
  unsigned m_Vms = 1; ///< The figures are the sum over so many VMs.
};

/// \brief Rate of arrivals as exponential means over three time constants.
class ArrivalRate {
public:
  /// \param Now From when on arrivals are counted.
  explicit ArrivalRate(TimePoint Now = {}) : m_StartedAt(Now) {}

  void record(TimePoint Now);
  /// \brief The rate of the last moments at \p Now, per second: the fast mean
  /// where it differs from the next by more than chance explains.
  [[nodiscard]] double current(TimePoint Now) const;
  /// \brief The rate over some seconds at \p Now, per second.
  [[nodiscard]] double usual(TimePoint Now) const;

  /// \brief Whether arrivals have been counted for long enough to tell a jump
  /// from the start of the process.
  [[nodiscard]] bool isEstablished(TimePoint Now) const noexcept {
    return Now - m_StartedAt >= StartTime;
  }

  /// Time constant of the mean that current() returns for low rates. Summed
  /// over the fleet, its noise is small enough; a longer one reports jumps
  /// later.
  static constexpr double CurrentSeconds = 0.4;

private:
  static constexpr double FastSeconds = 0.15;
  static constexpr double UsualSeconds = 4;
  static constexpr Duration StartTime = 8s;

  // Per second, at m_UpdatedAt.
  double m_Fast = 0;
  double m_Current = 0;
  double m_Usual = 0;
  TimePoint m_UpdatedAt{};
  TimePoint m_StartedAt;
};

/// \brief What the quotas need to know of the fleet.
struct QuotaFleet {
  bool m_IsComplete = false; ///< See Fleet::isComplete().
  unsigned m_KnownVms = 1;   ///< All regions, including this VM.
  /// VMs of the own region that were heard of within
  /// CustomerQuotas::ReportMaxAge, including this VM.
  unsigned m_LocalVms = 1;
  /// Known VMs of each other region.
  std::map<RegionName, unsigned> m_RemoteVms;
};

struct QuotaTuning {
  /// Bounds of the growth of demand that is assumed at VMs without a recent
  /// report; 1 for both assumes none. Customers send at most 8 times their
  /// usual rate.
  double m_MinGrowth = 0.125;
  double m_MaxGrowth = 8;
};

/// \brief Counters and estimates of one customer with a quota.
struct QuotaStatus {
  CustomerName m_Customer;
  double m_RatePerSecond = 0;
  double m_DemandPerSecond = 0; ///< Estimated, of all VMs.
  double m_AdmittedFraction = 1;
  std::uint64_t m_Refused = 0; ///< By this VM since its start.

  [[nodiscard]] bool isNear() const noexcept;
};

/// \brief Quotas of all customers, as one VM applies them.
///
/// \details Most customers send less than one request per second and VM, so a
/// VM's share of a burst would often be below one token. Therefore each VM
/// keeps an estimate of the level of the fleet's whole bucket: its own admitted
/// requests are counted one by one, those of the others flow out at the rate
/// that they report. While the bucket isn't empty everything is admitted;
/// otherwise each VM admits the same fraction, rate / demand, of its requests,
/// which is its share of the rate by demand.
class CustomerQuotas {
public:
  /// A peer's report counts for this long. The peer may still be serving.
  static constexpr Duration ReportMaxAge = 10s;

  /// \param Self Requests are admitted at different moments by different VMs.
  explicit CustomerQuotas(const VmName &Self, QuotaTuning Tuning = {});

  /// \brief Applies the quotas of a configuration. Rates and reports of
  /// customers that had a quota before are kept.
  void setQuotas(const CustomerTable &Customers, TimePoint Now);

  /// \brief Counts a request and decides on it.
  /// \param CustomerHash stableHash() of the customer's name.
  /// \returns False if it is over the quota; true for customers without one.
  [[nodiscard]] bool admit(std::uint64_t CustomerHash, TimePoint Now);
  /// \brief When the caller of a request that was just refused may return:
  /// callers return at the rate at which this VM admits.
  [[nodiscard]] Duration retryAfter(std::uint64_t CustomerHash, TimePoint Now);
  /// \brief Returns the token of an admitted request of which no upstream has
  /// got any byte.
  void giveBack(std::uint64_t CustomerHash, TimePoint Now);

  /// \brief Sums up the peers' reports and selects what the next heartbeats
  /// carry; once per heartbeat interval.
  void refresh(const QuotaFleet &Fleet, TimePoint Now);
  /// \brief The loads for heartbeats of this interval.
  /// \param OwnRegion Whether the receivers are in the own region: they get
  /// this VM's loads, others the sum over the region.
  [[nodiscard]] std::vector<CustomerLoad> loadsToSend(bool OwnRegion,
                                                      TimePoint Now) const;
  /// \brief Processes the loads in a heartbeat; call it for those without any
  /// as well.
  /// \param Region Of the sender; none if it is the own one.
  void receivedLoads(const VmName &Sender,
                     const std::optional<RegionName> &Region,
                     std::span<const CustomerLoad> Loads, TimePoint Now);

  /// \brief Number of customers with a quota.
  [[nodiscard]] std::size_t size() const noexcept { return m_Entries.size(); }
  [[nodiscard]] std::vector<QuotaStatus> status() const;

private:
  /// \brief What a peer, or a region, has reported.
  struct Report {
    double m_Offered = 0; ///< Per second, last report.
    double m_Usual = 0;   ///< Running mean of the reports.
    TimePoint m_At{};     ///< Zero before the first report.
    /// The last report differs from the mean by more than chance explains.
    bool m_HasJumped = false;

    void receive(double Offered, double MeanSeconds, TimePoint Now);
  };

  /// \brief State of one customer.
  struct Entry {
    CustomerName m_Name;
    CustomerQuota m_Quota;
    ArrivalRate m_Own;
    /// Estimated level of the fleet's bucket; below zero after more was
    /// admitted than the quota allows.
    TokenBucket m_Level;
    double m_Fraction = 1; ///< Of the requests that is admitted now.
    /// Mean fraction over the time that the detection of a change takes.
    double m_PastFraction = 1;
    TimePoint m_AdvancedAt{};
    /// Fractions of requests that add up to the next admitted one; [0, 1), or
    /// up to 2 after a token was given back.
    double m_Credit = 0;
    std::map<std::uint64_t, Report> m_Peers; ///< By hash of the VM's name.
    std::map<RegionName, Report> m_Regions;
    /// Decaying sums of the peers' latest reports and of the means of the same
    /// peers: how the demand differs from the means.
    double m_SampleCurrent = 0;
    double m_SampleUsual = 0;
    TimePoint m_SampledAt{};
    double m_MeanAge = 0; ///< Of the peers' reports, in seconds; up to 1.
    // Sums by refresh(), per second.
    double m_FreshPeers = 0;   ///< Peers of the own region, recent reports.
    double m_StalePeers = 0;   ///< Means of the others of the own region.
    double m_RegionsNow = 0;   ///< Last reports of other regions.
    double m_RegionsUsual = 0; ///< Their running means.
    double m_Others = 0; ///< Estimated demand at other VMs, see advance().
    double m_Demand = 0; ///< The same with the own demand.
    double m_Excess = 0; ///< Of m_Others, what exceeds the rate.
    TimePoint m_RegionSentAt{}; ///< Last time in loads for other regions.
    ReturnSchedule m_Returns;
    std::uint64_t m_Refused = 0;
  };

  [[nodiscard]] double usableRate(const Entry &Customer) const noexcept;
  [[nodiscard]] double depth(const Entry &Customer) const noexcept;
  /// \brief Lowest value of the level, which bounds what is made up for.
  [[nodiscard]] double minLevel(const Entry &Customer) const noexcept;
  /// \brief Current demand in relation to the running means, as this VM and
  /// the peers that it has just heard show it.
  [[nodiscard]] double growth(const Entry &Customer, TimePoint Now) const;
  /// \brief Time for which a change of demand at other VMs has existed before
  /// it is noticed here, in seconds.
  [[nodiscard]] double detectionLag(const Entry &Customer, TimePoint Now) const;
  /// \brief Demand at other VMs, per second.
  [[nodiscard]] double othersDemand(const Entry &Customer, TimePoint Now) const;
  /// \brief Updates level, demand and fraction to \p Now.
  void advance(Entry &Customer, TimePoint Now);
  void sumReports(Entry &Customer, double LocalFactor, TimePoint Now);
  [[nodiscard]] double regionDemand(const Entry &Customer, TimePoint Now) const;
  void selectLoads(TimePoint Now);
  void receivedPeerLoad(Entry &Target, Report &Peer, double Offered,
                        TimePoint Now);
  Entry *find(std::uint64_t CustomerHash) noexcept;

  std::uint64_t m_Seed;
  QuotaTuning m_Tuning;
  std::unordered_map<std::uint64_t, Entry> m_Entries; ///< By customer hash.
  QuotaFleet m_Fleet;
  /// Part of every quota that the reachable VMs may use.
  double m_ReachableFraction = 1;
  std::map<std::uint64_t, TimePoint> m_HeardPeers; ///< Of the own region.
  std::map<RegionName, TimePoint> m_HeardRegions;
  // Customers in the next heartbeats, to the own region and to others.
  std::vector<std::uint64_t> m_OwnLoads;
  std::vector<std::uint64_t> m_RegionLoads;
  std::uint64_t m_Rounds = 0; ///< Calls of refresh().
};

} // namespace mustardspoke::steer
