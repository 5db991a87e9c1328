/// \file
/// Evidence for requests that end their upstreams, and trials of them.
#include "steer/crash_suspects.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace mustardspoke::steer {

unsigned CrashSuspects::Entry::count() const {
  return unsigned(std::ranges::count_if(m_Ends, [](const End &Each) {
    return Each.m_State != EndState::Refuted;
  }));
}

unsigned CrashSuspects::Entry::verified() const {
  return unsigned(std::ranges::count_if(m_Ends, [](const End &Each) {
    return Each.m_State == EndState::Verified;
  }));
}

TimePoint CrashSuspects::Entry::lastEndAt() const {
  TimePoint Last{};
  for (const End &Each : m_Ends)
    if (Each.m_State != EndState::Refuted)
      Last = std::max(Last, Each.m_At);
  return Last;
}

bool CrashSuspects::isExpired(const Entry &Known, TimePoint Now) const {
  if (Known.m_Ends.empty())
    return Now - Known.m_AnsweredAt > AnswerLifetime;
  return Now - Known.m_SeenAt > m_Tuning.m_Lifetime;
}

void CrashSuspects::makeRoom(TimePoint Now) {
  if (m_Entries.size() < m_Tuning.m_MaxRequests)
    return;
  std::erase_if(m_Entries,
                [&](const auto &Each) { return isExpired(Each.second, Now); });
  if (m_Entries.size() < m_Tuning.m_MaxRequests)
    return;
  // The weakest evidence goes first, so that requests with varying bodies can't
  // displace one that is confirmed.
  auto Rank = [this](const auto &Each) {
    unsigned Count = std::min(Each.second.count(), m_Tuning.m_EndsForRefusal);
    return std::make_tuple(Count, Each.second.m_SeenAt);
  };
  m_Entries.erase(std::ranges::min_element(m_Entries, {}, Rank));
}

CrashSuspects::Entry &CrashSuspects::entryFor(RequestFingerprint Request,
                                              TimePoint Now) {
  auto Found = m_Entries.find(Request);
  if (Found != m_Entries.end() && isExpired(Found->second, Now))
    Found->second = Entry();
  if (Found != m_Entries.end())
    return Found->second;
  makeRoom(Now);
  return m_Entries[Request];
}

void CrashSuspects::dropAnswered(Entry &Known) {
  std::erase_if(Known.m_Ends, [&Known](const End &Each) {
    return Each.m_At <= Known.m_AnsweredAt + AgeSlack;
  });
}

bool CrashSuspects::addEnd(Entry &Known, const End &Added) {
  if (Known.m_AnsweredAt != TimePoint() &&
      Added.m_At <= Known.m_AnsweredAt + AgeSlack)
    return false;
  auto Same = std::ranges::find(Known.m_Ends, Added.m_Run, &End::m_Run);
  if (Same != Known.m_Ends.end()) {
    bool Stronger = Same->m_State < Added.m_State;
    if (Stronger)
      Same->m_State = Added.m_State;
    return Stronger;
  }
  if (Known.m_Ends.size() >= MaxEnds)
    return false;
  Known.m_Ends.push_back(Added);
  Known.m_Trials = 0;
  return true;
}

bool CrashSuspects::isConfirmed(const Entry &Known) const {
  return Known.verified() >= m_Tuning.m_EndsForRefusal &&
         Known.m_TrialStage > 0;
}

bool CrashSuspects::isConfirmed(RequestFingerprint Request) const {
  auto Found = m_Entries.find(Request);
  return Found != m_Entries.end() && isConfirmed(Found->second);
}

CrashChange CrashSuspects::changeSince(const Entry &Before,
                                       const Entry &Known) const {
  bool WasSuspected = Before.count() >= m_Tuning.m_EndsForTrial;
  if (WasSuspected && Known.count() == 0)
    return CrashChange::Cleared;
  if (!isConfirmed(Before) && isConfirmed(Known))
    return CrashChange::Confirmed;
  if (!WasSuspected && Known.count() >= m_Tuning.m_EndsForTrial)
    return CrashChange::Suspected;
  return CrashChange::None;
}

void CrashSuspects::recordLoss(RequestFingerprint Request, UpstreamRunKey Run,
                               TimePoint Now) {
  Entry &Known = entryFor(Request, Now);
  Known.m_SeenAt = Now;
  // Also an end that was refuted before: it has to be checked again.
  std::erase_if(Known.m_Ends, [Run](const End &Each) {
    return Each.m_Run == Run && Each.m_State == EndState::Refuted;
  });
  (void)addEnd(Known, {Run, Now, EndState::Unverified});
}

void CrashSuspects::refuteEnd(UpstreamRunKey Run, TimePoint Now) {
  for (auto &[Request, Known] : m_Entries) {
    std::erase_if(Known.m_Ends, [Now](const End &Each) {
      return Each.m_State == EndState::Refuted &&
             Now - Each.m_At > RefutedLifetime;
    });
    for (End &Each : Known.m_Ends)
      if (Each.m_Run == Run && Each.m_State == EndState::Unverified)
        Each.m_State = EndState::Refuted;
  }
}

std::vector<RequestFingerprint> CrashSuspects::confirmEnd(UpstreamRunKey Run,
                                                          TimePoint Now) {
  std::vector<RequestFingerprint> Confirmed;
  for (auto &[Request, Known] : m_Entries)
    for (End &Each : Known.m_Ends) {
      bool TooLate = Each.m_State == EndState::Refuted &&
                     Now - Each.m_At > RefutedLifetime;
      if (Each.m_Run != Run || Each.m_State == EndState::Verified || TooLate)
        continue;
      Each.m_State = EndState::Verified;
      Known.m_ChangedAt = Now;
      if (isConfirmed(Known))
        Confirmed.push_back(Request);
    }
  return Confirmed;
}

CrashChange CrashSuspects::recordAnswer(RequestFingerprint Request,
                                        TimePoint Now) {
  auto Found = m_Entries.find(Request);
  if (Found == m_Entries.end() || Found->second.m_Ends.empty())
    return CrashChange::None;
  Entry &Known = Found->second;
  Entry Before = std::exchange(Known, Entry());
  Known.m_AnsweredAt = Now;
  Known.m_SeenAt = Now;
  Known.m_ChangedAt = Now;
  return changeSince(Before, Known);
}

CrashChange CrashSuspects::merge(const CrashReport &Report, TimePoint Now) {
  bool IsAnswered = Report.m_AnswerAge && *Report.m_AnswerAge < AnswerLifetime;
  if (Report.m_Ends.empty() && !IsAnswered)
    return CrashChange::None;
  Entry &Known = entryFor(Report.m_Request, Now);
  const Entry Before = Known;
  bool Changed = false;
  if (Report.m_AnswerAge &&
      Now - *Report.m_AnswerAge > Known.m_AnsweredAt + AgeSlack) {
    Known.m_AnsweredAt = Now - *Report.m_AnswerAge;
    dropAnswered(Known);
    if (Known.m_Ends.empty())
      Known.m_TrialStage = Known.m_Trials = 0;
    Changed = true;
  }
  for (const CrashReport::End &Told : Report.m_Ends)
    Changed |=
        addEnd(Known, {Told.m_Run, Now - Told.m_Age, EndState::Verified});
  // A trial that another VM tells of was sent after the ends it tells of.
  if (Report.m_TrialAge &&
      Now - *Report.m_TrialAge > Known.m_TrialAt + AgeSlack &&
      !Known.m_Ends.empty()) {
    Known.m_TrialAt = Now - *Report.m_TrialAge;
    ++Known.m_Trials;
    Changed = true;
  }
  if (!Known.m_Ends.empty())
    Known.m_TrialStage = std::max(Known.m_TrialStage, Report.m_TrialStage);
  Known.m_SeenAt = std::max(Known.m_SeenAt, Now - Report.m_SeenAge);
  if (Changed)
    Known.m_ChangedAt = Now;
  return changeSince(Before, Known);
}

bool CrashSuspects::knowsRun(UpstreamRunKey Run) const {
  return std::ranges::any_of(m_Entries, [Run](const auto &Each) {
    return std::ranges::find(Each.second.m_Ends, Run, &End::m_Run) !=
           Each.second.m_Ends.end();
  });
}

bool CrashSuspects::knowsHead(std::uint32_t HeadDigest) const {
  auto First = m_Entries.lower_bound(makeFingerprint(HeadDigest, 0));
  return First != m_Entries.end() && First->first >> 32 == HeadDigest;
}

CrashVerdict CrashSuspects::verdict(RequestFingerprint Request, TimePoint Now,
                                    TrialTurn Turn, bool IsSmallFleet) const {
  auto Found = m_Entries.find(Request);
  if (Found == m_Entries.end() || isExpired(Found->second, Now))
    return CrashVerdict::Send;
  const Entry &Known = Found->second;
  unsigned Count = Known.count();
  unsigned Verified = Known.verified();
  if (Count < m_Tuning.m_EndsForTrial)
    return CrashVerdict::Send;
  Duration Step =
      IsSmallFleet ? m_Tuning.m_TrialStep : m_Tuning.m_LargeFleetTrialStep;
  bool FewTrialsLeft =
      Verified >= m_Tuning.m_EndsForRefusal && Known.m_TrialStage > 0;
  Duration TurnDelay =
      Step *
      std::int64_t(FewTrialsLeft ? Turn.m_AmongAll : Turn.m_AmongCarriers);
  TimePoint Due = Known.lastEndAt() + TurnDelay;
  if (Verified >= m_Tuning.m_EndsForRefusal) {
    if (Known.m_TrialStage >= m_Tuning.m_TrialDelays.size())
      return CrashVerdict::Refuse;
    Due += m_Tuning.m_TrialDelays[Known.m_TrialStage];
  } else if (Verified < Count) {
    return CrashVerdict::Wait;
  } else if (Known.m_Trials > 0) {
    Duration Interval = m_Tuning.m_TrialInterval;
    for (unsigned I = 1; I < Known.m_Trials; ++I)
      Interval = std::min(Interval * 2, m_Tuning.m_MaxTrialInterval);
    Due = Known.m_TrialAt + Interval + TurnDelay;
  }
  return Now >= Due ? CrashVerdict::Trial : CrashVerdict::Refuse;
}

void CrashSuspects::recordRefusal(RequestFingerprint Request, TimePoint Now) {
  auto Found = m_Entries.find(Request);
  if (Found != m_Entries.end())
    Found->second.m_SeenAt = Now;
}

void CrashSuspects::beginTrial(RequestFingerprint Request, TimePoint Now) {
  auto Found = m_Entries.find(Request);
  if (Found == m_Entries.end())
    return;
  Entry &Known = Found->second;
  Known.m_TrialAt = Now;
  ++Known.m_Trials;
  if (Known.count() >= m_Tuning.m_EndsForRefusal)
    ++Known.m_TrialStage;
  else
    Known.m_TrialStage = std::max(Known.m_TrialStage, 1U);
  Known.m_SeenAt = Now;
  Known.m_ChangedAt = Now;
}

unsigned CrashSuspects::endsOf(RequestFingerprint Request) const {
  auto Found = m_Entries.find(Request);
  return Found == m_Entries.end() ? 0 : Found->second.count();
}

std::vector<RequestFingerprint> CrashSuspects::confirmedRequests() const {
  std::vector<RequestFingerprint> Result;
  for (const auto &[Request, Known] : m_Entries)
    if (isConfirmed(Known))
      Result.push_back(Request);
  return Result;
}

CrashReport CrashSuspects::makeReport(RequestFingerprint Request,
                                      const Entry &Known, TimePoint Now) const {
  CrashReport Result;
  Result.m_Request = Request;
  for (const End &Each : Known.m_Ends)
    if (Each.m_State == EndState::Verified &&
        Result.m_Ends.size() <= m_Tuning.m_EndsForRefusal)
      Result.m_Ends.push_back({Each.m_Run, Now - Each.m_At});
  if (Known.m_AnsweredAt != TimePoint())
    Result.m_AnswerAge = Now - Known.m_AnsweredAt;
  if (Known.m_TrialAt != TimePoint())
    Result.m_TrialAge = Now - Known.m_TrialAt;
  Result.m_TrialStage = Known.m_TrialStage;
  Result.m_SeenAge = Now - Known.m_SeenAt;
  return Result;
}

CrashReport CrashSuspects::report(RequestFingerprint Request,
                                  TimePoint Now) const {
  auto Found = m_Entries.find(Request);
  return Found == m_Entries.end() ? CrashReport{Request}
                                  : makeReport(Request, Found->second, Now);
}

std::vector<CrashReport> CrashSuspects::reportsToSend(TimePoint Now,
                                                      unsigned Round) const {
  using Item = std::pair<RequestFingerprint, const Entry *>;
  std::vector<Item> News;
  std::vector<Item> Confirmed;
  for (const auto &[Request, Known] : m_Entries) {
    bool IsNew =
        Known.m_ChangedAt != TimePoint() && Now - Known.m_ChangedAt < NewsAge;
    if (IsNew)
      News.emplace_back(Request, &Known);
    else if (Known.verified() >= m_Tuning.m_EndsForRefusal)
      Confirmed.emplace_back(Request, &Known);
  }
  std::ranges::sort(News, std::greater<>(), [](const Item &Each) {
    return std::make_pair(Each.second->count(), Each.second->m_ChangedAt);
  });
  News.resize(std::min(News.size(), MaxNews));
  for (std::size_t I = 0; I < std::min(Confirmed.size(), MaxReminders); ++I)
    News.push_back(Confirmed[(Round * MaxReminders + I) % Confirmed.size()]);
  std::vector<CrashReport> Result;
  for (const auto &[Request, Known] : News)
    Result.push_back(makeReport(Request, *Known, Now));
  return Result;
}

} // namespace mustardspoke::steer
