/// \file
/// Registrations taken over into the table of upstreams.
#include "steer/upstream_table.h"

#include <algorithm>

namespace mustardspoke::steer {

std::optional<UpstreamChange> UpstreamTable::put(const UpstreamFacts &Facts,
                                                 TimePoint Now) {
  using Kind = UpstreamChange::Kind;
  auto Found = m_ById.find(Facts.m_Id);
  if (Found == m_ById.end()) {
    UpstreamPtr Added(new Upstream(Facts));
    Added->m_Hash = stableHash(Facts.m_Id);
    Added->m_ColdUntil = Now + Facts.m_ColdFor;
    Added->m_ColdFilledAt = Now;
    m_ById.emplace(Facts.m_Id, Added);
    link(Added);
    return UpstreamChange{Kind::Added, Added};
  }
  UpstreamPtr Known = Found->second;
  if (Known->m_Facts == Facts)
    return std::nullopt;
  bool Reborn = Facts.m_BornMs > Known->m_Facts.m_BornMs;
  bool Leaves = Facts.m_Leaving && !Known->m_Facts.m_Leaving;
  bool Moved = Facts.m_Service != Known->m_Facts.m_Service;
  if (Moved)
    unlink(Known);
  Known->m_Facts = Facts;
  if (Moved)
    link(Known);
  if (Reborn)
    Known->bornAgain();
  Known->m_ColdUntil = std::max(Known->m_ColdUntil, Now + Facts.m_ColdFor);
  return UpstreamChange{Leaves   ? Kind::Leaving
                        : Reborn ? Kind::Reborn
                                 : Kind::Changed,
                        Known};
}

std::optional<UpstreamChange> UpstreamTable::remove(const std::string &Id) {
  auto Found = m_ById.find(Id);
  if (Found == m_ById.end())
    return std::nullopt;
  UpstreamPtr Gone = Found->second;
  Gone->m_Listed = false;
  unlink(Gone);
  m_ById.erase(Found);
  return UpstreamChange{UpstreamChange::Kind::Removed, Gone};
}

std::vector<std::string> UpstreamTable::ids() const {
  std::vector<std::string> Result;
  for (const auto &[Id, One] : m_ById)
    Result.push_back(Id);
  return Result;
}

UpstreamPtr UpstreamTable::find(std::string_view Id) const {
  auto Found = m_ById.find(Id);
  return Found == m_ById.end() ? nullptr : Found->second;
}

std::span<const UpstreamPtr> UpstreamTable::of(const ServiceName &Of) const {
  auto Found = m_ByService.find(Of);
  if (Found == m_ByService.end())
    return {};
  return Found->second;
}

void UpstreamTable::worked(const ServiceName &Of, Duration Work) {
  constexpr double Blend = 0.05; // A service's mean moves over ~20 answers.
  Duration &Mean = m_MeanWork[Of];
  Mean = Mean == Duration::zero()
             ? Work
             : Mean + Duration(
                          std::int64_t(double((Work - Mean).count()) * Blend));
}

Duration UpstreamTable::meanWork(const ServiceName &Of) const {
  auto Found = m_MeanWork.find(Of);
  return Found == m_MeanWork.end() ? Duration::zero() : Found->second;
}

void UpstreamTable::link(const UpstreamPtr &One) {
  std::vector<UpstreamPtr> &All = m_ByService[One->m_Facts.m_Service];
  auto Less = [](const UpstreamPtr &Left, const UpstreamPtr &Right) {
    return Left->m_Hash < Right->m_Hash;
  };
  All.insert(std::upper_bound(All.begin(), All.end(), One, Less), One);
}

void UpstreamTable::unlink(const UpstreamPtr &One) {
  std::erase(m_ByService[One->m_Facts.m_Service], One);
}

} // namespace mustardspoke::steer
