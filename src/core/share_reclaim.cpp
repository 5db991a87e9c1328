/// \file
/// ShareManager: reclaiming units of failed, suspended or stopped VMs.
#include "core/shares.h"

#include <algorithm>

namespace mustardspoke {

bool ShareManager::reclaimFrom(Holding &Target, const Limit &Spec,
                               const MemberTable &Members,
                               TimePoint Now) const {
  auto At = m_Vms.find(Target.m_Holder.m_Vm);
  if (At == m_Vms.end() || Target.total() == 0)
    return false;
  const CachedVm &Vm = At->second;
  bool IsCurrent = Vm.m_Row.m_Incarnation == Target.m_Holder.m_Incarnation;
  Duration SinceRenewal = Now - Vm.m_RenewalSeenAt;
  auto UnlistedSince = Members.unlistedSince(Target.m_Holder.m_Vm);
  bool HasEnded = UnlistedSince &&
                  Now - *UnlistedSince >= m_Reclaim(m_Tuning, Duration::zero(),
                                                    Spec.m_MaxCallDeadline);
  bool LongExpired = SinceRenewal >= m_Reclaim(m_Tuning, m_Tuning.m_LongLease,
                                               Spec.m_MaxCallDeadline);
  bool ShortExpired = SinceRenewal >= m_Reclaim(m_Tuning, m_Tuning.m_ShortLease,
                                                Spec.m_MaxCallDeadline);
  if ((IsCurrent && Vm.m_Row.m_Left) || (ShortExpired && HasEnded) ||
      LongExpired) {
    Target.m_Floor = 0;
    Target.m_Surplus = 0;
    Target.m_Requested = 0;
    return true;
  }
  if (!ShortExpired || Target.m_Surplus == 0)
    return false;
  Target.m_Surplus = 0;
  Target.m_Requested = 0;
  return true;
}

std::optional<CommitRequest> ShareManager::reclaim(const LimitTable &Limits,
                                                   const MemberTable &Members,
                                                   TimePoint Now) {
  for (const auto &[Vm, CachedVm] : m_Vms) {
    if (Vm == m_Self.m_Vm)
      continue;
    CommitRequest Commit;
    for (const auto &[Name, Entry] : Limits.entries()) {
      std::string Key = limitKey(Name);
      CachedLimit &Cached = m_Limits[Key];
      LimitRow Row = Cached.m_Row;
      bool Changed = false;
      for (Holding &H : Row.m_Holdings)
        if (H.m_Holder.m_Vm == Vm)
          Changed |= reclaimFrom(H, Entry->m_Limit, Members, Now);
      if (!Changed || Cached.m_PendingRevision)
        continue;
      std::erase_if(Row.m_Holdings, [](const Holding &H) {
        return H.total() == 0 && H.m_Requested == 0;
      });
      Commit.m_Writes.push_back({Key, Cached.m_Revision, std::move(Row)});
    }
    if (Commit.m_Writes.empty())
      continue;
    // Fencing: the changed row makes the holder's next renewal conflict, so it
    // has to scan and sees the reclaimed units first.
    VmRow Fenced = CachedVm.m_Row;
    ++Fenced.m_Fences;
    Commit.m_Writes.push_back({vmKey(Vm), CachedVm.m_Revision, Fenced});
    return Commit;
  }
  return std::nullopt;
}

} // namespace mustardspoke
