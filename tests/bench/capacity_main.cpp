/// \file
/// Measures how costs grow with size, for docs/CAPACITY.md. Most sections run
/// at three or more sizes.
#include "core/core.h"
#include "inner/inner.h"
#include "support/deployments.h"
#include "tables/tables.h"

#include <capnp/serialize.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace {

using namespace mustardspoke;

double measureSeconds(const std::function<void()> &Work) {
  auto StartedAt = std::chrono::steady_clock::now();
  Work();
  std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - StartedAt;
  return Took.count();
}

std::vector<ClientBlock> randomBlocks(std::size_t Count, Random &Rng) {
  std::vector<ClientBlock> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back({Rng() & 0xffffff00U, 24,
                      RegionName("site-" + std::to_string(Rng(120)))});
  return Result;
}

void measurePrefixes() {
  std::printf("prefix table: blocks, ranges, MiB, build ms, look-ups/s\n");
  for (std::size_t Count : {10000UL, 100000UL, 400000UL, 1200000UL}) {
    Random Rng(1);
    auto All = randomBlocks(Count, Rng);
    PrefixTable Table;
    double Build = measureSeconds([&] { Table = PrefixTable(All); });
    constexpr int Lookups = 2000000;
    std::size_t Hits = 0;
    double Took = measureSeconds([&] {
      for (int I = 0; I < Lookups; ++I)
        Hits += Table.find(Rng()) != nullptr ? 1 : 0;
    });
    std::printf("  %zu, %zu, %.1f, %.0f, %.0f (%zu hits)\n", Count,
                Table.rangeCount(), double(Table.memoryBytes()) / 1048576.0,
                Build * 1000, Lookups / Took, Hits);
  }
}

MemberInfo member(std::size_t Index) {
  MemberInfo Info;
  Info.m_Identity = {VmName("vm-" + std::to_string(Index)), 1};
  Info.m_CallerAddress = "10.0." + std::to_string(Index / 256) + "." +
                         std::to_string(Index % 256) + ":7340";
  Info.m_PeerAddress = Info.m_CallerAddress;
  Info.m_Region = RegionName("region-" + std::to_string(Index % 4));
  Info.m_FailureDomain =
      FailureDomainName("domain-" + std::to_string(Index % 11));
  return Info;
}

std::size_t encodedBytes(const std::vector<MemberInfo> &Members) {
  capnp::MallocMessageBuilder Message;
  auto List = Message.initRoot<wire::Peer::GossipParams>().initMembers(
      unsigned(Members.size()));
  encodeMembers(Members, List);
  return capnp::computeSerializedSizeInWords(Message) * sizeof(capnp::word);
}

/// A fleet of nodes that exchange gossip without network delay, one heartbeat
/// interval at a time.
struct GossipFleet {
  explicit GossipFleet(std::size_t Size) {
    std::vector<ListedVm> List;
    for (std::size_t I = 0; I < Size; ++I)
      List.push_back(
          {VmName("vm-" + std::to_string(I)), std::to_string(I), false});
    for (std::size_t I = 0; I < Size; ++I) {
      MemberInfo Self = member(I);
      Self.m_PeerAddress = std::to_string(I);
      m_Nodes.push_back(
          std::make_unique<Node>(Self, Tuning{}, Strategies{}, I + 1, m_Now));
      m_Nodes.back()->onVmList(List, m_Now);
    }
  }

  void runHeartbeat(std::size_t DeadNode) {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I) {
      if (I == DeadNode)
        continue;
      auto Peers = m_Nodes[I]->heartbeat(m_Now);
      for (const std::string &Peer : Peers) {
        std::size_t To = std::stoul(Peer);
        if (To == DeadNode)
          continue;
        GossipPush Push = m_Nodes[I]->makeGossipPush();
        if (m_CountBytes)
          m_Bytes += encodedBytes(Push.m_Members);
        GossipReply Reply = m_Nodes[To]->onGossipPush(Push, m_Now);
        if (m_CountBytes)
          m_Bytes += encodedBytes(Reply.m_Members);
        ++m_Exchanges;
        m_Nodes[I]->onGossipReply(Reply, m_Now, m_Now);
      }
    }
    m_Now += 500ms;
  }

  TimePoint m_Now{100s};
  std::vector<std::unique_ptr<Node>> m_Nodes;
  std::uint64_t m_Bytes = 0;
  std::uint64_t m_Exchanges = 0;
  bool m_CountBytes = false;
};

void measureGossip() {
  std::printf(
      "gossip at 2 heartbeats/s: nodes, B/s sent and received a node, CPU "
      "us/s a node, alive of known, heartbeats until all suspect a dead "
      "one\n");
  constexpr std::size_t NoNode = ~std::size_t(0);
  constexpr int WarmUpHeartbeats = 30;
  constexpr int MeasuredHeartbeats = 10;
  constexpr int MaxHeartbeats = 40;
  for (std::size_t Size : {10UL, 50UL, 150UL, 420UL}) {
    GossipFleet Fleet(Size);
    for (int I = 0; I < WarmUpHeartbeats; ++I)
      Fleet.runHeartbeat(NoNode);
    Fleet.m_Exchanges = 0;
    double Took = measureSeconds([&] {
      for (int I = 0; I < MeasuredHeartbeats; ++I)
        Fleet.runHeartbeat(NoNode);
    });
    Fleet.m_CountBytes = true;
    Fleet.runHeartbeat(NoNode);
    const MemberTable &View = Fleet.m_Nodes[0]->members();
    std::size_t Alive = View.aliveCount(Fleet.m_Now);
    std::size_t Known = View.knownCount(Fleet.m_Now);
    Fleet.m_CountBytes = false;
    int HeartbeatsToSuspect = 0;
    auto AllSuspect = [&] {
      for (std::size_t I = 1; I < Size; ++I)
        if (Fleet.m_Nodes[I]->members().isAlive(VmName("vm-0"), Fleet.m_Now))
          return false;
      return true;
    };
    while (HeartbeatsToSuspect < MaxHeartbeats && !AllSuspect()) {
      Fleet.runHeartbeat(0);
      ++HeartbeatsToSuspect;
    }
    // Every byte is sent by one node and received by another.
    double BytesPerNode = 2.0 * 2.0 * double(Fleet.m_Bytes) / double(Size);
    double Cpu = Took / MeasuredHeartbeats * 2.0 / double(Size) * 1e6;
    std::printf("  %zu, %.0f, %.0f, %zu of %zu, %d\n", Size, BytesPerNode, Cpu,
                Alive, Known, HeartbeatsToSuspect);
  }
}

void measureShares() {
  std::printf("share protocol: holders, store writes until settled, a renewal "
              "round's writes, row bytes, scan bytes, CPU ms a holder for "
              "the settling\n");
  auto B = std::make_shared<const Bundle>(test::exampleBundle("lone-star"));
  for (std::size_t Holders : {12UL, 60UL, 120UL}) {
    MemoryTable Table;
    TimePoint Now{100s};
    Random Rng(1);
    struct Holder {
      MemberTable m_Members;
      LimitTable m_Limits{leaseByClock};
      ShareManager m_ShareManager;
    };
    std::vector<std::unique_ptr<Holder>> All;
    std::vector<MemberInfo> Members;
    for (std::size_t I = 0; I < Holders; ++I) {
      MemberInfo Info = member(I);
      Info.m_HeartbeatCount = 1;
      Info.m_State = MemberState::Live;
      Info.m_Region = B->m_Regions[I % 3].m_Name;
      Members.push_back(Info);
    }
    for (const MemberInfo &Info : Members) {
      All.push_back(std::make_unique<Holder>(
          Holder{MemberTable(Info, {}), LimitTable(leaseByClock),
                 ShareManager(Info.m_Identity, {}, reclaimAfterExpiry,
                              assumeLesser, homeFirstShares)}));
      All.back()->m_Limits.applyBundle(*B);
      All.back()->m_Members.merge(Members, Now);
    }
    std::uint64_t Writes = 0;
    double Took = measureSeconds([&] {
      constexpr int Rounds = 30;
      for (int Round = 0; Round < Rounds; ++Round) {
        Now += 200ms;
        for (auto &One : All) {
          auto Request = One->m_ShareManager.nextRequest(
              B.get(), One->m_Limits, One->m_Members, Now, Rng);
          if (!Request)
            continue;
          bool IsCommit =
              std::holds_alternative<CommitRequest>(Request->m_Body);
          Writes += IsCommit ? 1 : 0;
          One->m_ShareManager.onReply(Table.execute(*Request), One->m_Limits,
                                      Now);
        }
      }
    });
    std::size_t RowBytes = 0;
    for (const auto &[Key, Stored] : Table.rows())
      RowBytes = std::max(RowBytes, rowToJson(Stored.m_Row).toText().size());
    StoreReply Whole = Table.execute({0, ScanRequest{}});
    std::printf("  %zu, %llu, %zu, %zu, %zu, %.2f\n", Holders,
                (unsigned long long)Writes, Holders, RowBytes,
                scanReplyToJson(Whole).toText().size(),
                Took * 1000 / double(Holders));
  }
}

void measureBundles() {
  std::printf("bundles: deployment, whole document bytes, largest section "
              "bytes, check ms\n");
  for (const char *Folder : {"lone-star", "zuinig"}) {
    BundleDocument Whole = test::exampleDocument(Folder);
    std::size_t Largest = 0;
    for (const Section &S : Whole.m_Sections)
      Largest = std::max(Largest, S.m_Text.size());
    std::string Text = Whole.toText();
    double Took = measureSeconds([&] {
      ValidationErrors Found;
      BundleDocument Parsed = parseDocument(Text, Found);
      (void)readBundle(Parsed, test::exampleRootKey(Folder), Found);
    });
    std::printf("  %s, %zu, %zu, %.2f\n", Folder, Text.size(), Largest,
                Took * 1000);
  }
}

void measureCalls() {
  std::printf("calls and look-ups in one core: look-ups/s, calls/s, B a "
              "remembered ticket\n");
  MemberInfo Self = member(0);
  Self.m_Region = RegionName("dfw");
  TimePoint Now{100s};
  Node Vm(Self, Tuning{}, Strategies{}, 1, Now);
  auto B = std::make_shared<const Bundle>(test::exampleBundle("lone-star"));
  MemoryTable Table;
  (void)Table.execute(
      {0, CommitRequest{{RowWrite{HeadKey, 0, HeadRow{1, "b"}}}}});
  (void)Vm.adopt(B, Now);
  (void)Vm.heartbeat(Now);
  while (auto Request = Vm.nextStoreRequest(Now))
    Vm.onStoreReply(Table.execute(*Request), Now);
  std::vector<MemberInfo> Others;
  for (std::size_t I = 1; I < 12; ++I) {
    Others.push_back(member(I));
    Others.back().m_HeartbeatCount = 1;
    Others.back().m_State = MemberState::Live;
  }
  (void)Vm.onGossipPush({Others}, Now);
  constexpr int Count = 100000;
  double Lookups = measureSeconds([&] {
    for (int I = 0; I < Count; ++I)
      (void)Vm.lookUp({ServiceName("stock-lookup"), 0x0a010203}, Now);
  });
  CallRequest Request;
  Request.m_Service = ServiceName("stock-lookup");
  double Calls = measureSeconds([&] {
    for (int I = 0; I < Count; ++I) {
      CallDecision Turn = Vm.startCall(Request, Now);
      (void)Vm.confirmSend(Turn.m_Id, Now);
      (void)Vm.finishAttempt(Turn.m_Id, AttemptResult::Answered, Now);
    }
  });
  std::printf("  %.0f, %.0f, %zu\n", Count / Lookups, Count / Calls,
              sizeof(TicketRecord) + sizeof(TicketId) + 4 * sizeof(void *));
}

} // namespace

int main() {
  // Line-buffered, so that each result is printed at once.
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  measurePrefixes();
  measureGossip();
  measureShares();
  measureBundles();
  measureCalls();
}
