/// \file
/// All decisions of one entry VM, independent of sockets, threads and clocks.
#pragma once

#include "core/bundle_tracker.h"
#include "core/calls.h"
#include "core/members.h"
#include "core/prefixes.h"
#include "core/shares.h"
#include "core/strategies.h"
#include "core/tickets.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardspoke {

/// \brief A caller's request for entry VMs to use.
struct LookupRequest {
  ServiceName m_Service;
  std::optional<std::uint32_t> m_Client; ///< The caller's IPv4 address.
};

/// \brief An entry VM in the answer to a look-up.
struct EntryVmAddress {
  VmName m_Vm;
  std::string m_Address;
};

/// \brief The answer to a look-up.
struct LookupAnswer {
  ErrorKind m_Error = ErrorKind::None;
  /// Best first; the first one owns the ticket.
  std::vector<EntryVmAddress> m_Vms;
  Duration m_Lifetime{};          ///< How long the caller may cache the answer.
  std::optional<Ticket> m_Ticket; ///< For services that aren't repeatable.
};

/// \brief One attempt of a traced call.
struct AttemptTrace {
  UpstreamName m_Upstream;
  std::uint32_t m_Candidates = 0;
  std::uint32_t m_Allowance = 0; ///< This VM's share of the upstream's slots.
  ShiftName m_Shift;             ///< Set when the call left its home region.
  std::optional<AttemptResult> m_Result;
};

/// \brief Record of the decisions on a recent call.
struct CallTrace {
  CallId m_Id{};
  ServiceName m_Service;
  TenantName m_Tenant;
  std::uint64_t m_BundleVersion = 0;
  Duration m_QueueTime{};
  std::vector<AttemptTrace> m_Attempts;
  ErrorKind m_Error = ErrorKind::None;
  bool m_Ended = false;
};

/// \brief Free slots of one service at this VM.
struct ServiceHeadroom {
  ServiceName m_Service;
  std::uint32_t m_Units = 0;
};

/// \brief Totals since the process started.
struct NodeCounters {
  std::uint64_t m_Calls = 0;
  std::uint64_t m_Sends = 0;
  std::uint64_t m_Retries = 0;
  std::uint64_t m_Relays = 0;
  std::uint64_t m_Replays = 0;
  std::uint64_t m_Queued = 0;
  std::uint64_t m_Lookups = 0;
  std::uint64_t m_LeaseRefusals = 0; ///< Sends that confirmSend() stopped.
  std::array<std::uint64_t, std::size_t(ErrorKind::Count)> m_Answers{};
};

/// \brief A call and its next step.
struct CallDecision {
  CallId m_Id{};
  CallStep m_Step;
};

/// \brief Decision logic of one entry VM.
///
/// \details Events are passed in as function calls with the current time;
/// decisions are returned as values. Not thread-safe: the process guards it
/// with one mutex. Deterministic for a given seed and sequence of calls.
///
/// \code
/// Node Vm(Self, Tuning{}, Strategies{}, Seed, Now);
/// CallDecision Decision = Vm.startCall(Request, Now);
/// \endcode
class Node {
public:
  Node(const MemberInfo &Self, Tuning Constants, Strategies Rules,
       std::uint64_t Seed, TimePoint Now);

  // Calls.

  /// \brief Handles a call that arrived.
  [[nodiscard]] CallDecision startCall(CallRequest Request, TimePoint Now);

  /// \brief Final check directly before the first byte of a Send step is sent.
  /// \returns The same Send step, or another step if it must not be sent now.
  [[nodiscard]] CallStep confirmSend(CallId Id, TimePoint Now);

  /// \brief The first byte of the upstream's answer arrived after \p Latency.
  void onFirstByte(CallId Id, Duration Latency);

  /// \brief The current attempt ended.
  [[nodiscard]] CallStep finishAttempt(CallId Id, AttemptResult Result,
                                       TimePoint Now);

  /// \brief The caller has closed its connection.
  void abandonCall(CallId Id, TimePoint Now);

  /// \brief Removes and returns the new decisions on waiting calls.
  [[nodiscard]] std::vector<CallDecision> takeReadyDecisions();

  /// \brief Stores a ticketed call's answer to replay it on a repeated call.
  void keepAnswer(const TicketId &Id, StoredAnswer Answer) {
    m_Tickets.keepAnswer(Id, std::move(Answer));
  }

  // Look-ups.

  [[nodiscard]] LookupAnswer lookUp(const LookupRequest &Request,
                                    TimePoint Now);

  // Time.

  /// \brief Fails overdue calls, decays statistics, dispatches waiting calls.
  /// Call it every few milliseconds.
  void tick(TimePoint Now);

  // Fleet.

  /// \brief Updates the own member entry and returns the peers to send it to.
  [[nodiscard]] std::vector<std::string> heartbeat(TimePoint Now);
  [[nodiscard]] GossipPush makeGossipPush();
  [[nodiscard]] GossipReply onGossipPush(const GossipPush &Push, TimePoint Now);
  void onGossipReply(const GossipReply &Reply, TimePoint SentAt, TimePoint Now);
  void onVmList(std::span<const ListedVm> List, TimePoint Now) {
    m_Members.applyVmList(List, Now);
  }

  // Store.

  [[nodiscard]] std::optional<StoreRequest> nextStoreRequest(TimePoint Now);
  void onStoreReply(const StoreReply &Reply, TimePoint Now);

  // Bundles.

  /// \brief The version to fetch, if a newer one than the active is known.
  [[nodiscard]] std::optional<std::uint64_t> bundleToFetch() const noexcept {
    return m_BundleTracker.versionToFetch();
  }
  /// \brief The head row of the store as last read, if ever.
  [[nodiscard]] const std::optional<HeadRow> &storeHead() const noexcept {
    return m_Shares.head();
  }
  /// \brief Offers a validated bundle. \returns Whether it is now active.
  bool adopt(BundleRef Offered, TimePoint Now);
  [[nodiscard]] const BundleRef &bundle() const noexcept {
    return m_BundleTracker.active();
  }
  [[nodiscard]] bool mayServe(TimePoint Now) const;
  /// \brief Whether operators may accept bundles through this VM.
  [[nodiscard]] bool mayAccept(TimePoint Now) const {
    return m_Members.seesMajority(Now);
  }

  // Upstreams.

  /// \brief Upstreams whose load reports this VM polls.
  [[nodiscard]] std::vector<Upstream> upstreamsToPoll(TimePoint Now) const;
  void onLoadReport(const UpstreamName &Name, const LoadReport &Report,
                    TimePoint Now);
  /// \brief \p Name reported in an answer that it is draining.
  void onDrainSignal(const UpstreamName &Name, TimePoint Now);

  // Leaving.

  /// \brief Begins a planned stop; look-ups no longer name this VM.
  void startLeaving(TimePoint Now);
  [[nodiscard]] bool leaving() const noexcept {
    return m_Members.self().m_State == MemberState::Leaving;
  }
  [[nodiscard]] std::size_t callsInFlight() const noexcept {
    return m_Calls.size();
  }
  [[nodiscard]] std::size_t ticketedInFlight() const noexcept;
  /// \brief A live VM to hand the tickets to, preferably of the same region.
  [[nodiscard]] const MemberInfo *successor(TimePoint Now) const;
  /// \brief Hands all tickets over to \p Successor.
  [[nodiscard]] TicketHandover handOverTickets(const VmIncarnation &Successor,
                                               TimePoint Now);
  void takeOverTickets(TicketHandover Batch, TimePoint Now) {
    m_Tickets.takeOver(std::move(Batch), Now);
  }
  /// \brief Sets this VM's state to Left; call heartbeat() next to announce it.
  void markLeft() noexcept { m_Members.self().m_State = MemberState::Left; }
  /// \brief Starts returning all shares; \see sharesReturned().
  void returnShares() noexcept { m_Shares.returnAll(); }
  [[nodiscard]] bool sharesReturned() const noexcept {
    return m_Shares.hasReturnedAll();
  }
  [[nodiscard]] bool superseded() const noexcept {
    return m_Shares.superseded();
  }

  // Read access for reports and metrics.

  [[nodiscard]] std::vector<ServiceHeadroom> headrooms(TimePoint Now) const;

  [[nodiscard]] const MemberTable &members() const noexcept {
    return m_Members;
  }
  [[nodiscard]] const LimitTable &limits() const noexcept { return m_Limits; }
  [[nodiscard]] const std::map<UpstreamName, UpstreamRef> &
  upstreams() const noexcept {
    return m_Upstreams;
  }
  [[nodiscard]] const NodeCounters &counters() const noexcept {
    return m_Counters;
  }
  [[nodiscard]] const std::deque<CallTrace> &traces() const noexcept {
    return m_Traces;
  }
  [[nodiscard]] std::uint64_t clock(TimePoint Now) const noexcept {
    return m_Tickets.clock(Now);
  }
  [[nodiscard]] std::optional<Duration> confirmationAge(TimePoint Now) const {
    return m_BundleTracker.confirmationAge(Now);
  }

private:
  /// A region that calls may be sent to, with the limits that apply.
  struct Route {
    const RegionName *m_Region = nullptr; ///< Points into the active bundle.
    const Shift *m_Shift = nullptr;       ///< Null for the home region.
    std::vector<LimitUse> m_LimitUses;
    std::vector<UpstreamRef> m_Upstreams;
  };
  struct ServiceState {
    std::vector<Route> m_Routes; ///< Home region first, then its shifts.
    WaitQueue m_Queue;
    RetryBudget m_RetryBudget;
    Duration m_MeanSlotTime{}; ///< Moving average of a slot's time in use.
    std::uint32_t m_InFlight = 0;
  };
  struct ShiftState {
    std::uint32_t m_Percent = 0; ///< Grows in steps up to the bundle's value.
    TimePoint m_LastStepAt{};
    /// Target region's latency when growth began.
    std::optional<Duration> m_BaselineLatency;
  };

  // Calls.
  [[nodiscard]] CallDecision startTicketed(CallRequest Request, TimePoint Now);
  [[nodiscard]] CallDecision admit(CallRequest Request, bool HoldsTicket,
                                   TimePoint Now);
  [[nodiscard]] CallDecision refuse(ErrorKind Error, bool CloseTicket,
                                    const CallRequest &Request);
  [[nodiscard]] CallStep relay(const CallRequest &Request, TimePoint Now);
  [[nodiscard]] CallStep dispatchOrWait(Call &Current, TimePoint Now);
  [[nodiscard]] std::optional<CallStep> dispatch(Call &Current, TimePoint Now);
  /// The routes of \p State in the order in which a call tries them.
  [[nodiscard]] std::vector<const Route *>
  routeOrder(const ServiceState &State);
  [[nodiscard]] std::vector<Candidate>
  candidates(const Route &Path, const Call &Current, TimePoint Now) const;
  [[nodiscard]] bool hasHeadroom(const Route &Path, TimePoint Now) const;
  [[nodiscard]] CallStep sendStep(const Call &Current) const;
  [[nodiscard]] CallStep finishCall(Call &Current, ErrorKind Error,
                                    TimePoint Now);
  [[nodiscard]] Duration expectedWait(const ServiceState &State) const;
  /// Whether all upstreams are draining, so that waiting is pointless.
  [[nodiscard]] bool allUpstreamsDrain(const ServiceState &State,
                                       TimePoint Now) const;
  void releaseAttempt(Call &Current, TimePoint Now);
  void settleTicket(const Call &Current, ErrorKind Error);
  void dispatchQueued(TimePoint Now);
  bool dispatchNext(ServiceState &State, TimePoint Now);
  void failOverdue(TimePoint Now);
  CallTrace *findTrace(CallId Id);
  ServiceState &serviceState(const ServiceName &Name) {
    return m_Services[Name];
  }

  // Fleet.
  void applyDrainNotices(std::span<const MemberInfo> Infos, TimePoint Now);
  [[nodiscard]] std::vector<std::uint32_t> serviceSlots(TimePoint Now) const;
  [[nodiscard]] std::uint32_t memberSlots(const MemberInfo &Member,
                                          std::size_t ServiceIndex) const;
  void advanceShifts(TimePoint Now);
  [[nodiscard]] Duration meanRegionLatency(const ServiceName &Wanted,
                                           const RegionName &Region) const;
  void rebuildUpstreams(TimePoint Now);
  void rebuildRoutes();
  double uniform() { return double(m_Rng()) / double(Random::max()); }

  Tuning m_Tuning;
  Strategies m_Rules;
  Random m_Rng;
  MemberTable m_Members;
  LimitTable m_Limits;
  ShareManager m_Shares;
  BundleTracker m_BundleTracker;
  TicketTable m_Tickets;
  PrefixTable m_Clients;
  std::map<UpstreamName, UpstreamRef> m_Upstreams;
  /// Declared before m_Services, so that the calls outlive the wait queues.
  std::map<CallId, CallRef> m_Calls;
  std::map<ServiceName, ServiceState> m_Services;
  std::map<ShiftName, ShiftState> m_Shifts;
  std::vector<CallDecision> m_ReadyDecisions;
  std::deque<CallTrace> m_Traces;
  NodeCounters m_Counters;
  std::uint64_t m_LastCallId = 0;
  TimePoint m_LastDecayAt{};
  ServiceName m_NextService; ///< Where round robin over services goes on.
};

} // namespace mustardspoke
