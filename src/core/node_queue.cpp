/// \file
/// Node: queueing of calls and dispatch of waiting calls.
#include "core/node.h"

#include <algorithm>
#include <utility>

namespace mustardspoke {

CallStep Node::dispatchOrWait(Call &Current, TimePoint Now) {
  if (Now >= Current.m_Deadline)
    return finishCall(Current, ErrorKind::DeadlineBeforeSend, Now);
  const ServiceName &Name = Current.m_Request.m_Service;
  const Service *Spec = bundle()->findService(Name);
  if (!Spec)
    return finishCall(Current, ErrorKind::UnknownService, Now);
  ServiceState &State = serviceState(Name);
  // Waiting calls go first: a new call must not overtake the queue.
  if (State.m_Queue.size() == 0)
    if (auto Step = dispatch(Current, Now))
      return std::move(*Step);
  if (allUpstreamsDrain(State, Now))
    return finishCall(Current, ErrorKind::NoCapacity, Now);
  if (State.m_Queue.size() >= Spec->m_QueueLimit)
    return finishCall(Current, ErrorKind::QueueFull, Now);
  if (Now + expectedWait(State) + State.m_MeanSlotTime > Current.m_Deadline)
    return finishCall(Current, ErrorKind::NoCapacity, Now);
  ++m_Counters.m_Queued;
  State.m_Queue.push(Current);
  Current.m_IsQueued = true;
  CallStep Step;
  Step.m_Kind = StepKind::Wait;
  Step.m_Deadline = Current.m_Deadline;
  return Step;
}

bool Node::allUpstreamsDrain(const ServiceState &State, TimePoint Now) const {
  return std::ranges::all_of(State.m_Routes, [&](const Route &Path) {
    return std::ranges::all_of(Path.m_Upstreams, [&](const UpstreamRef &U) {
      return m_Rules.m_Drain(*U, Now, m_Tuning.m_Upstreams);
    });
  });
}

Duration Node::expectedWait(const ServiceState &State) const {
  // With no call in flight at this VM, no slot is freed here: the call waits
  // until the VM gets shares.
  constexpr Duration ShareArrival = 500ms;
  if (State.m_InFlight == 0)
    return ShareArrival;
  return State.m_MeanSlotTime * std::int64_t(State.m_Queue.size() + 1) /
         std::int64_t(State.m_InFlight);
}

void Node::dispatchQueued(TimePoint Now) {
  bool Dispatched = true;
  while (Dispatched) {
    Dispatched = false;
    auto From = m_Services.lower_bound(m_NextService);
    std::vector<ServiceName> Order;
    for (auto At = From; At != m_Services.end(); ++At)
      Order.push_back(At->first);
    for (auto At = m_Services.begin(); At != From; ++At)
      Order.push_back(At->first);
    for (const ServiceName &Name : Order) {
      if (!dispatchNext(serviceState(Name), Now))
        continue;
      Dispatched = true;
      m_NextService = Name;
    }
    // The next round starts after the last service that was served.
    auto Next = m_Services.upper_bound(m_NextService);
    m_NextService = Next == m_Services.end() ? ServiceName() : Next->first;
  }
}

bool Node::dispatchNext(ServiceState &State, TimePoint Now) {
  Call *Front = State.m_Queue.front();
  if (!Front || !mayServe(Now))
    return false;
  CallRef Current(Front);
  auto Step = dispatch(*Current, Now);
  if (!Step)
    return false;
  State.m_Queue.remove(*Current);
  Current->m_IsQueued = false;
  State.m_Queue.rotate();
  m_ReadyDecisions.push_back({Current->m_Id, std::move(*Step)});
  return true;
}

void Node::failOverdue(TimePoint Now) {
  for (auto &[Name, State] : m_Services) {
    // If it were sent now, such a call would reach its deadline while running.
    for (const CallRef &Late :
         State.m_Queue.overdue(Now + State.m_MeanSlotTime)) {
      CallId Id = Late->m_Id;
      m_ReadyDecisions.push_back(
          {Id, finishCall(*Late, ErrorKind::DeadlineBeforeSend, Now)});
    }
  }
}

std::vector<CallDecision> Node::takeReadyDecisions() {
  return std::exchange(m_ReadyDecisions, {});
}

} // namespace mustardspoke
