/// \file
/// ShareManager: scans, renewals, planning and handling of replies.
#include "core/shares.h"

#include <algorithm>

namespace mustardspoke {
namespace {

/// Participants of one division, in the order in which they get rounding
/// remainders.
struct DivisionInput {
  std::vector<VmIncarnation> m_Holders;
  std::vector<std::uint32_t> m_Demands;
  std::vector<std::uint32_t> m_Held;
  std::vector<std::uint8_t> m_IsHome;
  std::uint32_t m_Fixed = 0; ///< Units held by VMs that don't take part.
  std::size_t m_SelfIndex = 0;
};

const Participant *findParticipant(std::span<const Participant> Among,
                                   const VmName &Wanted) {
  auto At = std::ranges::find(Among, Wanted, &Participant::m_Vm);
  return At == Among.end() ? nullptr : &*At;
}

DivisionInput divisionInput(const LimitRow &Row, const Limit &Spec,
                            const VmIncarnation &Self, std::uint32_t SelfDemand,
                            std::span<const Participant> Participants,
                            std::uint32_t FloorPercent) {
  struct Entry {
    std::uint64_t m_Order;
    VmIncarnation m_Holder;
    std::uint32_t m_Demand;
    std::uint32_t m_Held;
    bool m_IsHome;
  };
  DivisionInput Result;
  std::vector<Entry> Entries;
  std::uint64_t Seed = stableHash(Spec.m_Name.str());
  for (const Holding &H : Row.m_Holdings) {
    if (H.m_Holder == Self)
      continue;
    const Participant *Other = findParticipant(Participants, H.m_Holder.m_Vm);
    if (H.m_Holder.m_Vm == Self.m_Vm || !Other) {
      Result.m_Fixed += H.total();
      continue;
    }
    std::uint32_t Floor =
        floorShare(Spec, H.m_Holder.m_Vm, Participants, FloorPercent);
    Entries.push_back({stableHash(H.m_Holder.m_Vm.str(), Seed), H.m_Holder,
                       std::max(Floor, H.m_Requested), H.total(),
                       Spec.isHomeRegion(Other->m_Region)});
  }
  // A home VM without a holding counts too: it may not have had an opportunity
  // to write one.
  for (const Participant &Member : Participants) {
    bool Holds = std::ranges::any_of(Row.m_Holdings, [&](const Holding &H) {
      return H.m_Holder.m_Vm == Member.m_Vm;
    });
    if (Holds || Member.m_Vm == Self.m_Vm ||
        !Spec.isHomeRegion(Member.m_Region))
      continue;
    Entries.push_back(
        {stableHash(Member.m_Vm.str(), Seed),
         {Member.m_Vm, 0},
         floorShare(Spec, Member.m_Vm, Participants, FloorPercent),
         0,
         true});
  }
  const Holding *Own = Row.find(Self);
  const Participant *SelfParticipant = findParticipant(Participants, Self.m_Vm);
  Entries.push_back(
      {stableHash(Self.m_Vm.str(), Seed), Self, SelfDemand,
       Own ? Own->total() : 0,
       SelfParticipant && Spec.isHomeRegion(SelfParticipant->m_Region)});
  std::ranges::sort(Entries, {}, &Entry::m_Order);
  for (const Entry &Added : Entries) {
    if (Added.m_Holder == Self)
      Result.m_SelfIndex = Result.m_Holders.size();
    Result.m_Holders.push_back(Added.m_Holder);
    Result.m_Demands.push_back(Added.m_Demand);
    Result.m_Held.push_back(Added.m_Held);
    Result.m_IsHome.push_back(Added.m_IsHome ? 1 : 0);
  }
  return Result;
}

/// Units that the other participants lack for their fair shares, beyond the
/// free ones.
std::uint32_t shortage(const DivisionInput &Input,
                       std::span<const std::uint32_t> FairShares,
                       std::uint32_t Free) {
  std::uint32_t Lacking = 0;
  for (std::size_t I = 0; I < FairShares.size(); ++I)
    if (I != Input.m_SelfIndex && FairShares[I] > Input.m_Held[I])
      Lacking += FairShares[I] - Input.m_Held[I];
  return Lacking > Free ? Lacking - Free : 0;
}

} // namespace

std::optional<StoreRequest> ShareManager::send(StoreRequest Request,
                                               TimePoint Now, bool IsRenewal) {
  Request.m_Id = ++m_LastId;
  m_Outstanding = Outstanding{Request, Now, IsRenewal};
  return Request;
}

std::optional<StoreRequest>
ShareManager::nextRequest(const Bundle *ActiveBundle, LimitTable &Limits,
                          const MemberTable &Members, TimePoint Now,
                          Random &Rng) {
  if (m_Outstanding) {
    if (Now - m_Outstanding->m_SentAt < m_Tuning.m_ReplyTimeout)
      return std::nullopt;
    StoreReply TimedOut{m_Outstanding->m_Request.m_Id, StoreStatus::Unknown};
    onReply(TimedOut, Limits, Now);
  }
  if (m_Superseded || m_ReturnedAll)
    return std::nullopt;
  if (Now >= m_NextScan) {
    Duration Jitter = m_Tuning.m_ScanEvery * int(Rng(100)) / 500;
    m_NextScan = Now + m_Tuning.m_ScanEvery + Jitter;
    return send({0, ScanRequest{m_Revision}}, Now);
  }
  if (!m_ScannedAt)
    return std::nullopt;
  if (Now >= m_NextRenewal) {
    m_NextRenewal = Now + m_Tuning.m_RenewEvery;
    return send({0, renewalCommit()}, Now, true);
  }
  if (!m_Registered || !ActiveBundle || Now < m_NextPlan)
    return std::nullopt;
  // Reclaiming comes before planning: in a busy fleet there is always some
  // change to commit, which would delay reclaiming for ever.
  if (Now >= m_NextReclaim) {
    m_NextReclaim = Now + m_Tuning.m_ScanEvery;
    if (auto Commit = reclaim(Limits, Members, Now))
      return send({0, std::move(*Commit)}, Now);
  }
  CommitRequest Plan = planCommit(*ActiveBundle, Limits, Members, Now, Rng);
  if (!Plan.m_Writes.empty()) {
    lowerBeforeCommit(Plan, Limits);
    return send({0, std::move(Plan)}, Now);
  }
  if (m_Leaving && hasNoHoldings()) {
    CommitRequest Final = renewalCommit();
    std::get<VmRow>(*Final.m_Writes.front().m_Row).m_Left = true;
    return send({0, std::move(Final)}, Now);
  }
  m_NextPlan = Now + m_Tuning.m_PlanInterval;
  return std::nullopt;
}

bool ShareManager::hasNoHoldings() const {
  return std::ranges::none_of(m_Limits, [&](const auto &Item) {
    const Holding *Own = Item.second.m_Row.find(m_Self);
    return Item.second.m_PendingRevision || (Own && Own->total() > 0);
  });
}

CommitRequest ShareManager::renewalCommit() const {
  VmRow Row{m_Self.m_Vm, m_Self.m_Incarnation, 1, 0, false};
  std::uint64_t Expected = 0;
  if (auto At = m_Vms.find(m_Self.m_Vm); At != m_Vms.end()) {
    Expected = At->second.m_Revision;
    Row.m_Renewals = At->second.m_Row.m_Renewals + 1;
    Row.m_Fences = At->second.m_Row.m_Fences;
  }
  return {{RowWrite{vmKey(m_Self.m_Vm), Expected, Row}}};
}

CommitRequest ShareManager::planCommit(const Bundle &ActiveBundle,
                                       LimitTable &Limits,
                                       const MemberTable &Members,
                                       TimePoint Now, Random &Rng) {
  CommitRequest Commit;
  std::vector<Participant> Participants = Members.participants(Now);
  std::vector<LimitRef> Entries;
  for (const auto &[Name, Entry] : Limits.entries())
    Entries.push_back(Entry);
  if (Entries.empty())
    return Commit;
  // VMs start at random rows, so that fewer of their commits conflict.
  std::size_t Start = Rng(std::uint32_t(Entries.size()));
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    LimitEntry &Entry = *Entries[(Start + I) % Entries.size()];
    std::string Key = limitKey(Entry.m_Limit.m_Name);
    CachedLimit &Cached = m_Limits[Key];
    if (auto Row =
            planRow(Entry, Cached, ActiveBundle.m_Version, Participants, Now))
      Commit.m_Writes.push_back({Key, Cached.m_Revision, std::move(*Row)});
    if (Commit.m_Writes.size() >= m_Tuning.m_RowsPerCommit)
      break;
  }
  return Commit;
}

std::optional<LimitRow> ShareManager::planRow(
    LimitEntry &Entry, const CachedLimit &Cached, std::uint64_t BundleVersion,
    std::span<const Participant> Participants, TimePoint Now) {
  const Limit &Spec = Entry.m_Limit;
  LimitRow Row = Cached.m_Row;
  Row.m_Limit = Spec.m_Name;
  bool Changed = Cached.m_PendingRevision.has_value();
  if (Row.m_BundleVersion < BundleVersion &&
      Row.m_Capacity != Spec.m_Capacity) {
    Row.m_Capacity = Spec.m_Capacity;
    Row.m_BundleVersion = BundleVersion;
    Changed = true;
  }

  // Units of an earlier incarnation of this VM may be taken over only after its
  // calls must have ended.
  Duration ReclaimDelay =
      m_Reclaim(m_Tuning, Duration::zero(), Spec.m_MaxCallDeadline);
  Holding Own{m_Self};
  if (const Holding *Found = Row.find(m_Self))
    Own = *Found;
  if (Now >= m_RegisteredAt + ReclaimDelay) {
    for (const Holding &H : Row.m_Holdings)
      if (H.m_Holder.m_Vm == m_Self.m_Vm && H.m_Holder != m_Self)
        Own.m_Surplus += H.total();
    Changed |= std::erase_if(Row.m_Holdings, [&](const Holding &H) {
                 return H.m_Holder.m_Vm == m_Self.m_Vm && H.m_Holder != m_Self;
               }) > 0;
  }

  std::uint32_t Requested = m_Leaving ? 0 : Entry.requestedUnits();
  std::uint32_t FloorUnits = m_Leaving
                                 ? 0
                                 : floorShare(Spec, m_Self.m_Vm, Participants,
                                              m_Tuning.m_FloorPercent);
  std::uint32_t Capacity = std::min(Row.m_Capacity, Spec.m_Capacity);
  DivisionInput Input =
      divisionInput(Row, Spec, m_Self, std::max(Requested, FloorUnits),
                    Participants, m_Tuning.m_FloorPercent);
  std::uint32_t Divisible =
      Capacity > Input.m_Fixed ? Capacity - Input.m_Fixed : 0;
  auto FairShares = m_Divide(Divisible, Input.m_Demands, Input.m_IsHome);
  std::uint32_t Target = FairShares[Input.m_SelfIndex];
  std::uint32_t Held = Own.total();
  const Holding *InRow = Row.find(m_Self);
  std::uint32_t RowTotal =
      Row.totalHeld() - (InRow ? InRow->total() : 0) + Held;
  std::uint32_t Free = Capacity > RowTotal ? Capacity - RowTotal : 0;

  std::uint32_t Next = Held;
  Entry.m_UsageCap = LimitEntry::NoUsageCap;
  if (Held < Target) {
    Next = Held + std::min(Target - Held, Free);
  } else if (m_Leaving || RowTotal > Capacity ||
             shortage(Input, FairShares, Free) > 0) {
    // Units in use can't be returned yet, but they aren't reused when freed.
    Next = std::max(Target, std::min(Held, Entry.m_Used));
    Entry.m_UsageCap = Target;
  }
  Changed |= Next != Held;

  // A higher request is written at once if units are lacking, a lower one only
  // after m_LowerRequestDelay.
  std::string Key = limitKey(Spec.m_Name);
  if (Requested > Own.m_Requested && Requested > Next) {
    Changed = true;
  } else if (Requested < Own.m_Requested) {
    auto [Since, IsNew] = m_RequestLowerSince.try_emplace(Key, Now);
    Changed |= Now - Since->second >= m_Tuning.m_LowerRequestDelay;
  } else {
    m_RequestLowerSince.erase(Key);
  }
  bool FloorGrows = Own.m_Floor < std::min(Next, FloorUnits);
  if (!Changed && !FloorGrows)
    return std::nullopt;

  m_RequestLowerSince.erase(Key);
  Own.m_Requested = Requested;
  Own.m_Floor = std::min(Next, FloorUnits);
  Own.m_Surplus = Next - Own.m_Floor;
  std::erase_if(Row.m_Holdings,
                [&](const Holding &H) { return H.m_Holder == m_Self; });
  if (Own.total() > 0 || Own.m_Requested > 0)
    Row.m_Holdings.push_back(Own);
  return Row;
}

bool ShareManager::onReply(const StoreReply &Reply, LimitTable &Limits,
                           TimePoint Now) {
  if (!m_Outstanding || m_Outstanding->m_Request.m_Id != Reply.m_Id)
    return false;
  Outstanding Sent = std::move(*m_Outstanding);
  m_Outstanding.reset();
  bool IsScan = std::holds_alternative<ScanRequest>(Sent.m_Request.m_Body);
  if (!IsScan) {
    applyCommitReply(Sent, Reply, Limits, Now);
    return false;
  }
  if (Reply.m_Status != StoreStatus::Ok)
    return false;
  m_ScannedAt = Sent.m_SentAt;
  applyScan(Reply, Limits, Now);
  return true;
}

void ShareManager::applyScan(const StoreReply &Reply, LimitTable &Limits,
                             TimePoint Now) {
  m_Revision = std::max(m_Revision, Reply.m_Revision);
  for (const StoredRow &Stored : Reply.m_Rows) {
    if (const auto *Head = std::get_if<HeadRow>(&Stored.m_Row)) {
      if (!m_Head || Head->m_Version > m_Head->m_Version)
        m_Head = *Head;
    } else if (const auto *Vm = std::get_if<VmRow>(&Stored.m_Row)) {
      CachedVm &Cached = m_Vms[Vm->m_Vm];
      updateVm(Cached, Stored.m_Revision, *Vm, Now);
      if (Vm->m_Vm == m_Self.m_Vm && Vm->m_Incarnation > m_Self.m_Incarnation)
        m_Superseded = true;
    } else {
      CachedLimit &Cached = m_Limits[Stored.m_Key];
      Cached.m_Revision = Stored.m_Revision;
      Cached.m_Row = std::get<LimitRow>(Stored.m_Row);
    }
  }
  for (auto &[Key, Cached] : m_Limits) {
    // The row has a newer revision than the one the pending commit expects, so
    // that commit can't succeed any more.
    if (Cached.m_PendingRevision &&
        *Cached.m_PendingRevision < Cached.m_Revision)
      Cached.m_PendingRevision.reset();
    applyHolding(Cached, Limits);
  }
}

void ShareManager::applyCommitReply(const Outstanding &Sent,
                                    const StoreReply &Reply, LimitTable &Limits,
                                    TimePoint Now) {
  const auto &Commit = std::get<CommitRequest>(Sent.m_Request.m_Body);
  if (Reply.m_Status != StoreStatus::Ok) {
    m_NextScan =
        Reply.m_Status == StoreStatus::Conflict ? TimePoint{} : m_NextScan;
    if (Sent.m_IsRenewal && Reply.m_Status == StoreStatus::Conflict)
      m_NextRenewal = Now;
    for (const RowWrite &Write : Commit.m_Writes) {
      if (!Write.m_Row || !std::holds_alternative<LimitRow>(*Write.m_Row))
        continue;
      CachedLimit &Cached = m_Limits[Write.m_Key];
      if (Reply.m_Status == StoreStatus::Unknown) {
        const Holding *Own = std::get<LimitRow>(*Write.m_Row).find(m_Self);
        Cached.m_PendingRevision = Write.m_ExpectedRevision;
        Cached.m_PendingHolding = Own ? *Own : Holding{m_Self};
      }
      applyHolding(Cached, Limits);
    }
    return;
  }
  for (const RowWrite &Write : Commit.m_Writes) {
    if (const auto *Vm = std::get_if<VmRow>(&*Write.m_Row)) {
      updateVm(m_Vms[Vm->m_Vm], Reply.m_Revision, *Vm, Now);
      if (Vm->m_Vm != m_Self.m_Vm)
        continue;
      m_ReturnedAll = Vm->m_Left;
      if (!m_Registered)
        m_RegisteredAt = Now;
      m_Registered = true;
      Limits.setLeases({Sent.m_SentAt + m_Tuning.m_LongLease,
                        Sent.m_SentAt + m_Tuning.m_ShortLease});
    } else if (const auto *Limit = std::get_if<LimitRow>(&*Write.m_Row)) {
      m_Limits[Write.m_Key] = {Reply.m_Revision, *Limit, std::nullopt, {}};
      applyHolding(m_Limits[Write.m_Key], Limits);
    }
  }
}

void ShareManager::updateVm(CachedVm &Cached, std::uint64_t Revision,
                            const VmRow &Row, TimePoint Now) {
  // Other VMs write the fence, so it doesn't show that the VM is alive; only a
  // renewal does.
  bool IsRenewal = Cached.m_Revision == 0 ||
                   Cached.m_Row.m_Renewals != Row.m_Renewals ||
                   Cached.m_Row.m_Incarnation != Row.m_Incarnation;
  if (IsRenewal)
    Cached.m_RenewalSeenAt = Now;
  Cached.m_Revision = Revision;
  Cached.m_Row = Row;
}

void ShareManager::applyHoldings(LimitTable &Limits) const {
  for (const auto &[Key, Cached] : m_Limits)
    applyHolding(Cached, Limits);
}

void ShareManager::applyHolding(const CachedLimit &Cached,
                                LimitTable &Limits) const {
  LimitRef Entry = Limits.find(Cached.m_Row.m_Limit);
  if (!Entry)
    return;
  Holding Own{m_Self};
  if (const Holding *Found = Cached.m_Row.find(m_Self))
    Own = *Found;
  if (Cached.m_PendingRevision) {
    Own.m_Floor = m_Pending(Own.m_Floor, Cached.m_PendingHolding.m_Floor);
    Own.m_Surplus = m_Pending(Own.m_Surplus, Cached.m_PendingHolding.m_Surplus);
  }
  Entry->m_Floor = Own.m_Floor;
  Entry->m_Surplus = Own.m_Surplus;
  Entry->m_TotalHeld = Cached.m_Row.totalHeld();
}

void ShareManager::lowerBeforeCommit(const CommitRequest &Commit,
                                     LimitTable &Limits) {
  for (const RowWrite &Write : Commit.m_Writes) {
    const auto &Row = std::get<LimitRow>(*Write.m_Row);
    LimitRef Entry = Limits.find(Row.m_Limit);
    const Holding *Own = Row.find(m_Self);
    if (!Entry)
      continue;
    Entry->m_Floor = m_Pending(Entry->m_Floor, Own ? Own->m_Floor : 0);
    Entry->m_Surplus = m_Pending(Entry->m_Surplus, Own ? Own->m_Surplus : 0);
  }
}

} // namespace mustardspoke
