/// \file
/// Evidence of lost links, and the choice of what to probe.
#include "steer/upstream_links.h"

#include <algorithm>
#include <tuple>

namespace mustardspoke::steer {
namespace {

/// Weight of one gap in the running mean of the gaps between answers.
constexpr double GapWeight = 0.1;

/// \brief Whether a connection to \p Target is no burden for it, and should
/// succeed.
bool isProbeable(const UpstreamTable &Table, const Upstream &Target,
                 TimePoint Now) {
  return Table.exclusion(Target, Now) == Exclusion::None && !Target.isCold(Now);
}

} // namespace

std::string_view linkStateName(LinkState State) {
  switch (State) {
  case LinkState::Up:
    return "up";
  case LinkState::NewLost:
    return "new-connections-lost";
  case LinkState::Lost:
    break;
  }
  return "lost";
}

LinkScope linkScope(const UpstreamTable &Table, TimePoint Now) {
  LinkScope Result;
  Table.forEach([&](const Upstream &Target) {
    if (!isProbeable(Table, Target, Now))
      return;
    Result.m_Regions.insert(Target.m_Registration.m_Region);
    Result.m_Domains.insert(Target.m_Registration.m_Domain);
    Result.m_Services.insert(Target.m_Registration.m_Service);
  });
  return Result;
}

void UpstreamLinks::Failures::add(const UpstreamRegistration &Target,
                                  TimePoint Began) {
  if (m_Upstreams.empty())
    m_FirstBegan = Began;
  m_Upstreams.insert(Target.m_Id);
  m_Domains.insert(Target.m_Domain);
  m_Regions.insert(Target.m_Region);
  m_Services.insert(Target.m_Service);
}

bool UpstreamLinks::Failures::cover(const LinkScope &Scope,
                                    const LinkTuning &Tuning) const {
  return m_Upstreams.size() >= Tuning.m_MinUpstreams &&
         m_Domains.size() >= std::min<std::size_t>(Tuning.m_MinDomains,
                                                   Scope.m_Domains.size()) &&
         m_Services.size() >= std::min<std::size_t>(Tuning.m_MinServices,
                                                    Scope.m_Services.size()) &&
         std::ranges::includes(m_Regions, Scope.m_Regions);
}

void UpstreamLinks::recordContact(TimePoint Now) {
  m_ContactAt = Now;
  m_HadContact = true;
  m_LostRequest = false;
  m_FailedSinceContact = {};
  m_SentAt.reset();
}

void UpstreamLinks::recordAnswer(TimePoint Now) {
  if (m_AnswerAt) {
    double Gap = double((Now - *m_AnswerAt).count());
    m_MeanGap =
        m_MeanGap == 0 ? Gap : m_MeanGap + (Gap - m_MeanGap) * GapWeight;
  }
  m_AnswerAt = Now;
  m_Silence =
      std::clamp(Duration(std::int64_t(m_MeanGap * m_Tuning.m_SilenceFactor)),
                 m_Tuning.m_MinSilence, m_Tuning.m_MaxSilence);
  recordContact(Now);
}

void UpstreamLinks::recordProbe(TimePoint Now) {
  // The upstreams take their time: the next probe can wait for longer.
  m_Silence = std::min(m_Silence * 2, m_Tuning.m_MaxSilence);
  recordOpened(Now);
  recordContact(Now);
}

void UpstreamLinks::beginWait(TimePoint Now) {
  ++m_Waiting;
  if (!m_SentAt)
    m_SentAt = Now;
}

void UpstreamLinks::recordOpened(TimePoint Now) {
  m_OpenedAt = Now;
  m_FailedSinceOpened = {};
  m_FailedProbes = {};
}

void UpstreamLinks::recordOpenFailure(const UpstreamRegistration &Target,
                                      TimePoint Began, bool IsProbe) {
  if (Began < m_ValidSince)
    return;
  // An opening that began before the last contact may have failed by itself.
  if (Began >= m_ContactAt)
    m_FailedSinceContact.add(Target, Began);
  if (Began < m_OpenedAt)
    return;
  m_FailedSinceOpened.add(Target, Began);
  if (IsProbe)
    m_FailedProbes.add(Target, Began);
}

void UpstreamLinks::recordLoss(TimePoint SentAt) {
  m_LostRequest = m_LostRequest || SentAt >= m_ValidSince;
}

void UpstreamLinks::recordStall(TimePoint Now) {
  m_ValidSince = Now;
  m_LostRequest = false;
  m_FailedSinceContact = {};
  m_FailedSinceOpened = {};
  m_FailedProbes = {};
  if (m_SentAt)
    m_SentAt = Now;
}

bool UpstreamLinks::isInDoubt(TimePoint Now) const {
  if (m_FailedSinceOpened.m_Upstreams.size() >=
      m_Tuning.m_OpenFailuresBeforeProbe)
    return true;
  TimePoint Since = std::max(m_ContactAt, m_ValidSince);
  bool Failed = m_LostRequest || !m_FailedSinceContact.m_Upstreams.empty();
  if (Failed && Now - Since > m_Tuning.m_SilenceAfterFailure)
    return true;
  return m_Waiting > 0 && m_SentAt &&
         Now - std::max(Since, *m_SentAt) > m_Silence;
}

LinkState UpstreamLinks::state(const LinkScope &Scope) const {
  auto Proves = [&](const Failures &Failed) {
    return Failed.cover(Scope, m_Tuning) &&
           (!Scope.m_HasPeers || m_PeerReachedAt >= Failed.m_FirstBegan);
  };
  if (Proves(m_FailedSinceContact))
    return LinkState::Lost;
  if (Proves(m_FailedProbes))
    return LinkState::NewLost;
  return LinkState::Up;
}

std::vector<UpstreamPtr> UpstreamLinks::probeTargets(const UpstreamTable &Table,
                                                     const Placement &Local,
                                                     std::size_t Count,
                                                     std::uint64_t Round,
                                                     TimePoint Now) const {
  // What has failed so far, and what is being probed.
  Failures Covered = m_FailedSinceOpened.m_Upstreams.size() >
                             m_FailedSinceContact.m_Upstreams.size()
                         ? m_FailedSinceOpened
                         : m_FailedSinceContact;
  std::vector<UpstreamPtr> All;
  Table.forEach([&](const Upstream &Target) {
    if (isProbeable(Table, Target, Now))
      All.push_back(Table.find(Target.m_Registration.m_Id));
  });
  std::vector<UpstreamPtr> Result;
  while (Result.size() < std::min(Count, All.size())) {
    // What has no failure yet comes first, the own region before the others, as
    // its answer comes soonest.
    auto Order = [&](const UpstreamPtr &Target) {
      const UpstreamRegistration &At = Target->m_Registration;
      bool IsTaken = std::ranges::find(Result, Target) != Result.end();
      return std::tuple(IsTaken, Covered.m_Regions.contains(At.m_Region),
                        Covered.m_Services.contains(At.m_Service),
                        Covered.m_Domains.contains(At.m_Domain),
                        Covered.m_Upstreams.contains(At.m_Id),
                        At.m_Region != Local.m_Region,
                        stableHash(At.m_Id, Round));
    };
    UpstreamPtr Best = *std::ranges::min_element(All, {}, Order);
    Covered.add(Best->m_Registration, Now);
    Result.push_back(std::move(Best));
  }
  return Result;
}

} // namespace mustardspoke::steer
