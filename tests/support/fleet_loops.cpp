/// \file
/// What each VM of the fleet does by itself: heartbeats, the store, load polls.
#include "support/fleet.h"

#include <algorithm>

namespace mustardspoke::test {
namespace {

constexpr Duration StoreDelay = 3ms;
constexpr Duration SlowStoreDelay = 1500ms;

} // namespace

void Fleet::handOver(std::size_t Vm) {
  onVm(Vm, [this, Vm] {
    Node &Giver = *m_Vms[Vm].m_Node;
    if (Giver.ticketedInFlight() > 0) {
      after(TickEvery, [this, Vm] { handOver(Vm); });
      return;
    }
    const MemberInfo *To = Giver.successor(m_Clock.m_Now);
    if (!To)
      return;
    std::size_t Taker = vmAt(To->m_CallerAddress);
    auto Batch = Giver.handOverTickets(To->m_Identity, m_Clock.m_Now);
    if (!m_Plan.m_HandOverRecords)
      Batch.m_Records.clear();
    after(m_Plan.m_DomainDelay, [this, Taker, Batch] {
      onVm(Taker, [this, Taker, Batch] {
        m_Vms[Taker].m_Node->takeOverTickets(Batch, m_Clock.m_Now);
      });
    });
    Giver.returnShares();
  });
}

void Fleet::beatLoop(std::size_t Vm, std::uint64_t Run) {
  if (m_Vms[Vm].m_Run != Run || !m_Vms[Vm].m_Alive)
    return;
  after(BeatEvery, [=, this] { beatLoop(Vm, Run); });
  if (m_Vms[Vm].m_Paused)
    return;
  Node &From = *m_Vms[Vm].m_Node;
  std::vector<std::string> Peers = From.heartbeat(m_Clock.m_Now);
  TimePoint SentAt = m_Clock.m_Now;
  for (const std::string &Address : Peers) {
    std::size_t To = vmAt(Address);
    if (To >= m_Vms.size() || m_Vms[To].m_Group != m_Vms[Vm].m_Group)
      continue;
    GossipPush Push = From.makeGossipPush();
    bool Far = m_Vms[To].m_Self.m_Region != m_Vms[Vm].m_Self.m_Region;
    Duration Delay = Far ? m_Plan.m_RegionDelay : m_Plan.m_DomainDelay;
    after(Delay, [=, this] {
      onVm(To, [=, this] {
        GossipReply Reply = m_Vms[To].m_Node->onGossipPush(Push, m_Clock.m_Now);
        after(Delay, [=, this] {
          if (m_Vms[Vm].m_Run == Run)
            onVm(Vm, [=, this] {
              m_Vms[Vm].m_Node->onGossipReply(Reply, SentAt, m_Clock.m_Now);
              fetchBundles(Vm);
            });
        });
      });
    });
  }
}

void Fleet::tickLoop(std::size_t Vm, std::uint64_t Run) {
  if (m_Vms[Vm].m_Run != Run || !m_Vms[Vm].m_Alive)
    return;
  after(TickEvery, [=, this] { tickLoop(Vm, Run); });
  if (!m_Vms[Vm].m_Paused)
    onVm(Vm, [=, this] { m_Vms[Vm].m_Node->tick(m_Clock.m_Now); });
}

void Fleet::fetchBundles(std::size_t Vm) {
  Node &Self = *m_Vms[Vm].m_Node;
  auto Wanted = Self.bundleToFetch();
  if (!Wanted)
    return;
  auto At = m_Bundles.find(*Wanted);
  if (At == m_Bundles.end() || !m_Vms[Vm].m_Fetching.insert(*Wanted).second)
    return;
  // Documents may arrive in another order than they were asked for.
  std::uint64_t Run = m_Vms[Vm].m_Run;
  after(exponential(200ms), [=, this, Document = At->second] {
    if (m_Vms[Vm].m_Run != Run)
      return;
    m_Vms[Vm].m_Fetching.erase(Document->m_Version);
    onVm(Vm,
         [=, this] { (void)m_Vms[Vm].m_Node->adopt(Document, m_Clock.m_Now); });
  });
}

void Fleet::storeStep(std::size_t Vm, std::uint64_t Run) {
  if (m_Vms[Vm].m_Run != Run || !m_Vms[Vm].m_Alive)
    return;
  after(StoreEvery, [=, this] { storeStep(Vm, Run); });
  if (m_Vms[Vm].m_Paused)
    return;
  Node &Self = *m_Vms[Vm].m_Node;
  auto Request = Self.nextStoreRequest(m_Clock.m_Now);
  fetchBundles(Vm);
  noteVersion(Vm);
  if (!Request || m_Vms[Vm].m_StoreCut || m_StoreMode == StoreMode::Down)
    return;
  bool Slow = m_StoreMode == StoreMode::Slow;
  Duration Way = Slow ? exponential(SlowStoreDelay) : StoreDelay;
  after(Way, [=, this, Asked = *Request] {
    if (m_StoreMode == StoreMode::Down)
      return;
    if (std::holds_alternative<CommitRequest>(Asked.m_Body))
      ++m_StoreWrites;
    StoreReply Reply = m_Table.execute(Asked);
    bool Lost = m_StoreMode == StoreMode::LoseAnswers &&
                std::holds_alternative<CommitRequest>(Asked.m_Body) &&
                uniform() < 0.5;
    if (Lost)
      return;
    after(Way, [=, this] {
      if (m_Vms[Vm].m_Run == Run)
        onVm(Vm, [=, this] {
          m_Vms[Vm].m_Node->onStoreReply(Reply, m_Clock.m_Now);
          fetchBundles(Vm);
        });
    });
  });
}

void Fleet::pollLoads(std::size_t Vm, std::uint64_t Run) {
  if (m_Vms[Vm].m_Run != Run || !m_Vms[Vm].m_Alive)
    return;
  after(PollEvery, [=, this] { pollLoads(Vm, Run); });
  if (m_Vms[Vm].m_Paused)
    return;
  for (const Upstream &U : m_Vms[Vm].m_Node->upstreamsToPoll(m_Clock.m_Now)) {
    const FakeUpstream &Fake = m_Upstreams.at(U.m_Name);
    LoadReport Report{Fake.m_Spec.m_Slots, Fake.m_Busy,
                      Fake.m_DrainSince.has_value()};
    Duration Way = delayBetween(m_Vms[Vm], Fake);
    after(Way * 2, [=, this, Name = U.m_Name] {
      if (m_Vms[Vm].m_Run == Run)
        onVm(Vm, [=, this] {
          m_Vms[Vm].m_Node->onLoadReport(Name, Report, m_Clock.m_Now);
        });
    });
  }
}

} // namespace mustardspoke::test
