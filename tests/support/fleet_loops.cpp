/// \file
/// Periodic work of each simulated VM: heartbeats, store requests, load polls.
#include "support/fleet.h"

#include <algorithm>

namespace mustardspoke::test {
namespace {

constexpr Duration StoreDelay = 3ms;
constexpr Duration SlowStoreDelay = 1500ms;

} // namespace

void SimulatedFleet::handOverTickets(std::size_t Vm) {
  runOnVm(Vm, [this, Vm] {
    Node &Leaving = *m_Vms[Vm].m_Node;
    if (Leaving.ticketedInFlight() > 0) {
      scheduleAfter(TickInterval, [this, Vm] { handOverTickets(Vm); });
      return;
    }
    const MemberInfo *Successor = Leaving.successor(m_Clock.m_Now);
    if (!Successor)
      return;
    std::size_t SuccessorIndex = vmIndexOf(Successor->m_CallerAddress);
    auto Batch = Leaving.handOverTickets(Successor->m_Identity, m_Clock.m_Now);
    if (!m_Config.m_HandOverRecords)
      Batch.m_Records.clear();
    scheduleAfter(m_Config.m_DomainDelay, [this, SuccessorIndex, Batch] {
      runOnVm(SuccessorIndex, [this, SuccessorIndex, Batch] {
        m_Vms[SuccessorIndex].m_Node->takeOverTickets(Batch, m_Clock.m_Now);
      });
    });
    Leaving.returnShares();
  });
}

void SimulatedFleet::heartbeatLoop(std::size_t Vm, std::uint64_t Incarnation) {
  if (m_Vms[Vm].m_Incarnation != Incarnation || !m_Vms[Vm].m_Alive)
    return;
  scheduleAfter(HeartbeatInterval,
                [=, this] { heartbeatLoop(Vm, Incarnation); });
  if (m_Vms[Vm].m_Paused)
    return;
  Node &Sender = *m_Vms[Vm].m_Node;
  std::vector<std::string> Peers = Sender.heartbeat(m_Clock.m_Now);
  TimePoint SentAt = m_Clock.m_Now;
  for (const std::string &Address : Peers) {
    std::size_t Receiver = vmIndexOf(Address);
    if (Receiver >= m_Vms.size() ||
        m_Vms[Receiver].m_Partition != m_Vms[Vm].m_Partition)
      continue;
    GossipPush Push = Sender.makeGossipPush();
    bool IsRemote =
        m_Vms[Receiver].m_Self.m_Region != m_Vms[Vm].m_Self.m_Region;
    Duration Delay = IsRemote ? m_Config.m_RegionDelay : m_Config.m_DomainDelay;
    scheduleAfter(Delay, [=, this] {
      runOnVm(Receiver, [=, this] {
        GossipReply Reply =
            m_Vms[Receiver].m_Node->onGossipPush(Push, m_Clock.m_Now);
        scheduleAfter(Delay, [=, this] {
          if (m_Vms[Vm].m_Incarnation == Incarnation)
            runOnVm(Vm, [=, this] {
              m_Vms[Vm].m_Node->onGossipReply(Reply, SentAt, m_Clock.m_Now);
              fetchWantedBundle(Vm);
            });
        });
      });
    });
  }
}

void SimulatedFleet::tickLoop(std::size_t Vm, std::uint64_t Incarnation) {
  if (m_Vms[Vm].m_Incarnation != Incarnation || !m_Vms[Vm].m_Alive)
    return;
  scheduleAfter(TickInterval, [=, this] { tickLoop(Vm, Incarnation); });
  if (!m_Vms[Vm].m_Paused)
    runOnVm(Vm, [=, this] { m_Vms[Vm].m_Node->tick(m_Clock.m_Now); });
}

void SimulatedFleet::fetchWantedBundle(std::size_t Vm) {
  Node &Self = *m_Vms[Vm].m_Node;
  auto Wanted = Self.bundleToFetch();
  if (!Wanted)
    return;
  auto At = m_Bundles.find(*Wanted);
  if (At == m_Bundles.end() ||
      !m_Vms[Vm].m_BundlesInTransit.insert(*Wanted).second)
    return;
  // Documents may arrive in another order than they were requested.
  std::uint64_t Incarnation = m_Vms[Vm].m_Incarnation;
  scheduleAfter(exponential(200ms), [=, this, Document = At->second] {
    if (m_Vms[Vm].m_Incarnation != Incarnation)
      return;
    m_Vms[Vm].m_BundlesInTransit.erase(Document->m_Version);
    runOnVm(Vm, [=, this] {
      (void)m_Vms[Vm].m_Node->adopt(Document, m_Clock.m_Now);
    });
  });
}

void SimulatedFleet::storeLoop(std::size_t Vm, std::uint64_t Incarnation) {
  if (m_Vms[Vm].m_Incarnation != Incarnation || !m_Vms[Vm].m_Alive)
    return;
  scheduleAfter(StoreInterval, [=, this] { storeLoop(Vm, Incarnation); });
  if (m_Vms[Vm].m_Paused)
    return;
  Node &Self = *m_Vms[Vm].m_Node;
  auto Request = Self.nextStoreRequest(m_Clock.m_Now);
  fetchWantedBundle(Vm);
  recordBundleVersion(Vm);
  if (!Request || m_Vms[Vm].m_StoreCut || m_StoreMode == StoreMode::Down)
    return;
  bool Slow = m_StoreMode == StoreMode::Slow;
  Duration OneWayDelay = Slow ? exponential(SlowStoreDelay) : StoreDelay;
  scheduleAfter(OneWayDelay, [=, this, Sent = *Request] {
    if (m_StoreMode == StoreMode::Down)
      return;
    if (std::holds_alternative<CommitRequest>(Sent.m_Body))
      ++m_StoreWrites;
    StoreReply Reply = m_Table.execute(Sent);
    bool Lost = m_StoreMode == StoreMode::LoseAnswers &&
                std::holds_alternative<CommitRequest>(Sent.m_Body) &&
                uniform() < 0.5;
    if (Lost)
      return;
    scheduleAfter(OneWayDelay, [=, this] {
      if (m_Vms[Vm].m_Incarnation == Incarnation)
        runOnVm(Vm, [=, this] {
          m_Vms[Vm].m_Node->onStoreReply(Reply, m_Clock.m_Now);
          fetchWantedBundle(Vm);
        });
    });
  });
}

void SimulatedFleet::loadPollLoop(std::size_t Vm, std::uint64_t Incarnation) {
  if (m_Vms[Vm].m_Incarnation != Incarnation || !m_Vms[Vm].m_Alive)
    return;
  scheduleAfter(LoadPollInterval, [=, this] { loadPollLoop(Vm, Incarnation); });
  if (m_Vms[Vm].m_Paused)
    return;
  for (const Upstream &U : m_Vms[Vm].m_Node->upstreamsToPoll(m_Clock.m_Now)) {
    const FakeUpstream &Fake = m_Upstreams.at(U.m_Name);
    LoadReport Report{Fake.m_Spec.m_Slots, Fake.m_InFlight,
                      Fake.m_DrainingSince.has_value()};
    Duration OneWayDelay = delayBetween(m_Vms[Vm], Fake);
    scheduleAfter(OneWayDelay * 2, [=, this, Name = U.m_Name] {
      if (m_Vms[Vm].m_Incarnation == Incarnation)
        runOnVm(Vm, [=, this] {
          m_Vms[Vm].m_Node->onLoadReport(Name, Report, m_Clock.m_Now);
        });
    });
  }
}

} // namespace mustardspoke::test
