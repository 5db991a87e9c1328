/// \file
/// Updates of the upstream table from registrations.
#include "steer/upstream_table.h"

#include <algorithm>
#include <utility>

namespace mustardspoke::steer {

std::string_view exclusionName(Exclusion Reason) {
  switch (Reason) {
  case Exclusion::None:
    return "none";
  case Exclusion::NotRegistered:
    return "not-registered";
  case Exclusion::Leaving:
    return "leaving";
  case Exclusion::Evacuated:
    return "evacuated";
  case Exclusion::Quiet:
    return "quiet";
  case Exclusion::InDoubt:
    return "in-doubt";
  }
  return "";
}

bool RunLog::add(UpstreamRunKey Run, TimePoint Now) {
  if (!m_LearntAt.emplace(Run, Now).second)
    return false;
  m_Order.push_back(Run);
  if (m_Order.size() > MaxEntries) {
    m_LearntAt.erase(m_Order.front());
    m_Order.pop_front();
  }
  return true;
}

void RunLog::erase(UpstreamRunKey Run) {
  if (m_LearntAt.erase(Run) > 0)
    std::erase(m_Order, Run);
}

bool RunLog::containsSince(UpstreamRunKey Run, TimePoint Since) const {
  auto Found = m_LearntAt.find(Run);
  return Found != m_LearntAt.end() && Found->second > Since;
}

std::vector<UpstreamRunKey> RunLog::newest(TimePoint Since,
                                           std::size_t MaxRuns) const {
  std::vector<UpstreamRunKey> Result;
  for (auto Run = m_Order.rbegin();
       Run != m_Order.rend() && Result.size() < MaxRuns; ++Run) {
    if (m_LearntAt.at(*Run) <= Since)
      break;
    Result.push_back(*Run);
  }
  return Result;
}

void DepartureLog::record(const Upstream &Removed) {
  const UpstreamRegistration &Last = Removed.m_Registration;
  if (m_ById
          .insert_or_assign(
              Last.m_Id, Departure{Last.m_StartedMs, Last.m_Sequence.m_Value})
          .second)
    m_Order.push_back(Last.m_Id);
  if (m_Order.size() > MaxEntries) {
    m_ById.erase(m_Order.front());
    m_Order.pop_front();
  }
}

const Departure *
DepartureLog::find(const UpstreamRegistration &Registration) const {
  auto Found = m_ById.find(Registration.m_Id);
  bool SameStart = Found != m_ById.end() &&
                   Found->second.m_StartedMs == Registration.m_StartedMs;
  return SameStart ? &Found->second : nullptr;
}

std::optional<UpstreamChange>
UpstreamTable::put(const UpstreamRegistration &Registration, TimePoint Now) {
  using Kind = UpstreamChange::Kind;
  UpstreamRunKey Run = runKey(Registration);
  // An upstream that leaves doesn't return before its next start. A
  // registration from an older copy of the store may say otherwise.
  if (Registration.m_Leaving)
    announceLeaving(Run, Now);
  auto Found = m_ById.find(Registration.m_Id);
  if (Found == m_ById.end()) {
    const Departure *Earlier = m_Departures.find(Registration);
    if (Earlier && Earlier->m_Sequence > 0 &&
        Registration.m_Sequence.m_Value <= Earlier->m_Sequence)
      return std::nullopt; // From an older copy of the store.
    UpstreamPtr Added(new Upstream(Registration));
    Added->m_AnnouncedLeaving = m_Announcements.contains(Run);
    m_Removals.erase(Run);
    Added->m_IdHash = stableHash(Registration.m_Id);
    Added->m_ColdUntil = Now + Registration.m_WarmUpRemaining;
    Added->m_ColdTokens = TokenBucket(1, Now);
    m_ById.emplace(Registration.m_Id, Added);
    m_ByRun.insert_or_assign(Run, Added);
    addToService(Added);
    return UpstreamChange{Kind::Added, Added};
  }
  UpstreamPtr Known = Found->second;
  clearDoubt(*Known);
  m_Removals.erase(Run);
  if (Known->m_Registration == Registration) {
    Known->m_Registration.m_Sequence = Registration.m_Sequence;
    return std::nullopt;
  }
  bool Restarted = Registration.m_StartedMs > Known->m_Registration.m_StartedMs;
  bool Leaves = Registration.m_Leaving && !Known->m_Registration.m_Leaving;
  if (Registration.m_Address != Known->m_Registration.m_Address)
    Known->m_AddressLost = false;
  bool Moved = Registration.m_Service != Known->m_Registration.m_Service;
  if (Moved)
    removeFromService(Known);
  m_ByRun.erase(runKey(Known->m_Registration));
  m_ByRun.insert_or_assign(Run, Known);
  Known->m_Registration = Registration;
  if (Moved)
    addToService(Known);
  if (Restarted) {
    Known->resetAfterRestart();
    Known->m_AnnouncedLeaving = m_Announcements.contains(Run);
  }
  Known->m_ColdUntil =
      std::max(Known->m_ColdUntil, Now + Registration.m_WarmUpRemaining);
  return UpstreamChange{Leaves      ? Kind::Leaving
                        : Restarted ? Kind::Restarted
                                    : Kind::Changed,
                        Known};
}

std::optional<UpstreamChange> UpstreamTable::remove(const std::string &Id,
                                                    TimePoint Now) {
  auto Found = m_ById.find(Id);
  if (Found == m_ById.end())
    return std::nullopt;
  UpstreamPtr Removed = Found->second;
  clearDoubt(*Removed);
  Removed->m_IsRegistered = false;
  m_Departures.record(*Removed);
  m_Removals.add(runKey(Removed->m_Registration), Now);
  removeFromService(Removed);
  m_ByRun.erase(runKey(Removed->m_Registration));
  m_ById.erase(Found);
  return UpstreamChange{UpstreamChange::Kind::Removed, Removed};
}

UpstreamPtr UpstreamTable::findRun(UpstreamRunKey Run) const {
  auto Found = m_ByRun.find(Run);
  return Found == m_ByRun.end() ? nullptr : Found->second;
}

bool UpstreamTable::announceLeaving(UpstreamRunKey Run, TimePoint Now) {
  if (!m_Announcements.add(Run, Now))
    return false;
  if (UpstreamPtr Target = findRun(Run))
    Target->m_AnnouncedLeaving = true;
  return true;
}

UpstreamPtr UpstreamTable::removedByPeer(UpstreamRunKey Run, TimePoint Now) {
  if (!m_Removals.add(Run, Now))
    return nullptr;
  UpstreamPtr Target = findRun(Run);
  return Target && Target->m_RemovalInDoubt ? Target : nullptr;
}

void UpstreamTable::setRemovalInDoubt(Upstream &Target) {
  if (!std::exchange(Target.m_RemovalInDoubt, true))
    ++m_InDoubt[Target.m_Registration.m_Service];
}

void UpstreamTable::clearDoubt(Upstream &Target) {
  if (std::exchange(Target.m_RemovalInDoubt, false))
    --m_InDoubt[Target.m_Registration.m_Service];
}

Exclusion UpstreamTable::exclusion(const Upstream &Target,
                                   TimePoint Now) const {
  if (!Target.m_IsRegistered)
    return Exclusion::NotRegistered;
  if (!Target.isUsable())
    return Exclusion::Leaving;
  if (!isUsable(Target))
    return Exclusion::Evacuated;
  if (Target.isQuiet(Now))
    return Exclusion::Quiet;
  if (!Target.m_RemovalInDoubt)
    return Exclusion::None;
  const ServiceName &Service = Target.m_Registration.m_Service;
  double InDoubt = double(m_InDoubt.at(Service));
  double All = double(upstreamsOf(Service).size());
  return InDoubt > All * MaxDoubtFraction ? Exclusion::None
                                          : Exclusion::InDoubt;
}

std::vector<std::string> UpstreamTable::ids() const {
  std::vector<std::string> Result;
  for (const auto &[Id, Entry] : m_ById)
    Result.push_back(Id);
  return Result;
}

UpstreamPtr UpstreamTable::find(std::string_view Id) const {
  auto Found = m_ById.find(Id);
  return Found == m_ById.end() ? nullptr : Found->second;
}

std::span<const UpstreamPtr>
UpstreamTable::upstreamsOf(const ServiceName &Service) const {
  auto Found = m_ByService.find(Service);
  if (Found == m_ByService.end())
    return {};
  return Found->second;
}

void UpstreamTable::recordProcessingTime(const ServiceName &Service,
                                         Duration Elapsed,
                                         std::optional<bool> IsHeld) {
  if (IsHeld)
    m_ProcessingTimes[Service].record(Elapsed, *IsHeld);
  // Averages over about 20 answers of the service.
  constexpr double SampleWeight = 0.05;
  Duration &Mean = m_MeanProcessingTimes[Service];
  Mean = Mean == Duration::zero()
             ? Elapsed
             : Mean + Duration(std::int64_t(double((Elapsed - Mean).count()) *
                                            SampleWeight));
}

ProcessingTimes
UpstreamTable::processingTimes(const ServiceName &Service) const {
  auto Found = m_ProcessingTimes.find(Service);
  return Found == m_ProcessingTimes.end() ? ProcessingTimes() : Found->second;
}

Duration UpstreamTable::meanProcessingTime(const ServiceName &Service) const {
  auto Found = m_MeanProcessingTimes.find(Service);
  return Found == m_MeanProcessingTimes.end() ? Duration::zero()
                                              : Found->second;
}

void UpstreamTable::addToService(const UpstreamPtr &Entry) {
  std::vector<UpstreamPtr> &All = m_ByService[Entry->m_Registration.m_Service];
  auto Less = [](const UpstreamPtr &Left, const UpstreamPtr &Right) {
    return Left->m_IdHash < Right->m_IdHash;
  };
  All.insert(std::upper_bound(All.begin(), All.end(), Entry, Less), Entry);
}

void UpstreamTable::removeFromService(const UpstreamPtr &Entry) {
  std::erase(m_ByService[Entry->m_Registration.m_Service], Entry);
}

} // namespace mustardspoke::steer
