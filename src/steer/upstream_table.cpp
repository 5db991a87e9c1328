/// \file
/// Updates of the upstream table from registrations.
#include "steer/upstream_table.h"

#include <algorithm>

namespace mustardspoke::steer {

std::optional<UpstreamChange>
UpstreamTable::put(const UpstreamRegistration &Registration, TimePoint Now) {
  using Kind = UpstreamChange::Kind;
  auto Found = m_ById.find(Registration.m_Id);
  if (Found == m_ById.end()) {
    UpstreamPtr Added(new Upstream(Registration));
    Added->m_IdHash = stableHash(Registration.m_Id);
    Added->m_ColdUntil = Now + Registration.m_WarmUpRemaining;
    Added->m_ColdTokensUpdatedAt = Now;
    m_ById.emplace(Registration.m_Id, Added);
    addToService(Added);
    return UpstreamChange{Kind::Added, Added};
  }
  UpstreamPtr Known = Found->second;
  if (Known->m_Registration == Registration)
    return std::nullopt;
  bool Restarted = Registration.m_StartedMs > Known->m_Registration.m_StartedMs;
  bool Leaves = Registration.m_Leaving && !Known->m_Registration.m_Leaving;
  bool Moved = Registration.m_Service != Known->m_Registration.m_Service;
  if (Moved)
    removeFromService(Known);
  Known->m_Registration = Registration;
  if (Moved)
    addToService(Known);
  if (Restarted)
    Known->resetAfterRestart();
  Known->m_ColdUntil =
      std::max(Known->m_ColdUntil, Now + Registration.m_WarmUpRemaining);
  return UpstreamChange{Leaves      ? Kind::Leaving
                        : Restarted ? Kind::Restarted
                                    : Kind::Changed,
                        Known};
}

std::optional<UpstreamChange> UpstreamTable::remove(const std::string &Id) {
  auto Found = m_ById.find(Id);
  if (Found == m_ById.end())
    return std::nullopt;
  UpstreamPtr Removed = Found->second;
  Removed->m_IsRegistered = false;
  removeFromService(Removed);
  m_ById.erase(Found);
  return UpstreamChange{UpstreamChange::Kind::Removed, Removed};
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
                                         Duration Elapsed) {
  // Averages over about 20 answers of the service.
  constexpr double SampleWeight = 0.05;
  Duration &Mean = m_MeanProcessingTimes[Service];
  Mean = Mean == Duration::zero()
             ? Elapsed
             : Mean + Duration(std::int64_t(double((Elapsed - Mean).count()) *
                                            SampleWeight));
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
