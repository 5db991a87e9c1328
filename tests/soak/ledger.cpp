/// \file
/// Invariants judged from the outside.
#include "soak/ledger.h"

#include <algorithm>
#include <set>

namespace mustardspoke::soak {
namespace {

/// A process is looked at so often; its end may be that much earlier.
constexpr Duration EndSeen = 60ms;

bool overlaps(const std::vector<Harm> &Harms, TimePoint From, TimePoint To) {
  return std::ranges::any_of(Harms, [&](const Harm &One) {
    return One.m_From <= To && One.m_To >= From;
  });
}

bool within(const std::vector<TimePoint> &Times, TimePoint From, TimePoint To) {
  return std::ranges::any_of(
      Times, [&](TimePoint One) { return One >= From && One <= To; });
}

std::string line(const Attempt &One, const std::string &What) {
  return One.m_Id + " (vm " + std::to_string(One.m_Vm) + ", status " +
         std::to_string(One.m_Status) + "): " + What;
}

/// \brief Statuses that say that the request never runs.
bool saysNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

unsigned Ledger::runsOf(const std::string &Id) const {
  auto Found = m_Runs.find(Id);
  return Found == m_Runs.end() ? 0 : unsigned(Found->second.size());
}

bool Ledger::calm(TimePoint From, TimePoint To) const {
  if (overlaps(m_StoreHarms, From, To))
    return false;
  return std::ranges::none_of(m_Vms, [&](const VmHistory &Vm) {
    return overlaps(Vm.m_Paused, From, To) || within(Vm.m_Killed, From, To) ||
           within(Vm.m_Stopped, From, To) || within(Vm.m_Ended, From, To);
  });
}

std::vector<std::string> Ledger::judge(const Bounds &By) const {
  Lines Result = m_Violations;
  std::set<std::string> Sent;
  for (const Attempt &One : m_Attempts) {
    Sent.insert(One.m_Id);
    judgeAttempt(One, By, Result);
  }
  for (const auto &[Id, Runs] : m_Runs)
    if (!Sent.contains(Id))
      Result.push_back(Id + ": ran, but no caller sent it");
  judgeEditions(Result);
  judgeRetries(By, Result);
  if (By.m_Timed)
    judgeOrders(By, Result);
  return Result;
}

void Ledger::judgeAttempt(const Attempt &One, const Bounds &By,
                          Lines &Into) const {
  unsigned Runs = runsOf(One.m_Id);
  if (!One.m_Repeatable && Runs > 1)
    Into.push_back(line(One, "ran " + std::to_string(Runs) + " times"));
  if (One.m_Ending == Ending::Unread && !One.m_Repeatable && Runs > 0)
    Into.push_back(line(One, "ran behind an answer that closed"));
  if (One.m_Ending == Ending::Cut)
    judgeCut(One, Into);
  if (One.m_Ending != Ending::Answered)
    return;
  if (saysNotRun(One.m_Status) && Runs > 0)
    Into.push_back(line(One, "said not to have run, but ran"));
  if (One.m_Status == 200 && !One.m_Body.starts_with(One.m_Id + " "))
    Into.push_back(line(One, "got the answer of another: " + One.m_Body));
  if (One.m_Status == 200 && Runs == 0)
    Into.push_back(line(One, "said done, but never ran"));
  if (One.m_Status == 404 || One.m_Status == 400)
    Into.push_back(line(One, "a proper request was denied"));
  const VmHistory &Vm = m_Vms.at(One.m_Vm);
  if (One.m_EndedAt - One.m_SentAt > By.m_Answer &&
      !overlaps(Vm.m_Paused, One.m_SentAt, One.m_EndedAt))
    Into.push_back(
        line(One, "answered after " +
                      std::to_string(toMillis(One.m_EndedAt - One.m_SentAt)) +
                      " ms"));
}

void Ledger::judgeCut(const Attempt &One, Lines &Into) const {
  const VmHistory &Vm = m_Vms.at(One.m_Vm);
  // The process was killed, or had ended when the request was sent.
  if (within(Vm.m_Killed, One.m_SentAt - EndSeen, One.m_EndedAt) ||
      within(Vm.m_Ended, One.m_SentAt - EndSeen, One.m_SentAt + EndSeen))
    return;
  // One that stood still past the end of its grace can only cut.
  bool Stopping = std::ranges::any_of(Vm.m_Stopped, [&](TimePoint At) {
    return At <= One.m_EndedAt && overlaps(Vm.m_Paused, At, One.m_EndedAt);
  });
  if (!Stopping)
    Into.push_back(line(One, "cut off by a running process, after " +
                                 std::to_string(toMillis(One.m_IdleBefore)) +
                                 " ms idle"));
}

void Ledger::judgeEditions(Lines &Into) const {
  // Editions are numbered services; a process must never go back to an older.
  std::map<unsigned, std::vector<std::pair<TimePoint, const Attempt *>>> ByVm;
  for (const Attempt &One : m_Attempts)
    if (One.m_Ending == Ending::Answered && One.m_Status == 200 &&
        One.m_Body.find(" edition-") != std::string::npos)
      ByVm[One.m_Vm].emplace_back(One.m_EndedAt, &One);
  auto EditionOf = [](const Attempt &One) {
    return std::stoul(One.m_Body.substr(One.m_Body.find(" edition-") + 9));
  };
  for (auto &[Vm, Seen] : ByVm) {
    std::ranges::sort(Seen, {}, [](const auto &One) { return One.first; });
    const Attempt *Newest = nullptr;
    for (const auto &[At, One] : Seen) {
      bool Restarted = Newest && within(m_Vms.at(Vm).m_Ended, Newest->m_SentAt,
                                        One->m_EndedAt);
      if (Newest && !Restarted && EditionOf(*One) < EditionOf(*Newest) &&
          One->m_SentAt > Newest->m_EndedAt)
        Into.push_back(line(*One, "served under an older configuration than " +
                                      Newest->m_Id));
      if (!Newest || Restarted || EditionOf(*One) > EditionOf(*Newest))
        Newest = One;
    }
  }
}

void Ledger::judgeRetries(const Bounds &By, Lines &Into) const {
  struct Arrival {
    TimePoint m_At;
    bool m_Repeat;
  };
  std::map<std::string, std::vector<Arrival>> ByService;
  for (const auto &[Id, Runs] : m_Runs)
    for (std::size_t I = 0; I < Runs.size(); ++I)
      ByService[Runs[I].m_Service].push_back({Runs[I].m_At, I > 0});
  for (auto &[Service, All] : ByService) {
    std::ranges::sort(All, {}, &Arrival::m_At);
    double Repeats = 0;
    std::size_t First = 0;
    for (std::size_t I = 0; I < All.size(); ++I) {
      Repeats += All[I].m_Repeat ? 1 : 0;
      for (; All[I].m_At - All[First].m_At > By.m_RetryWindow; ++First)
        Repeats -= All[First].m_Repeat ? 1 : 0;
      double Requests = double(I + 1 - First) - Repeats;
      if (Repeats > By.m_RetryRatio * Requests + By.m_RetrySlack) {
        Into.push_back(Service + ": " + std::to_string(int(Repeats)) +
                       " repeats to " + std::to_string(int(Requests)) +
                       " requests within the window");
        break;
      }
    }
  }
}

void Ledger::judgeOrders(const Bounds &By, Lines &Into) const {
  for (const Order &One : m_Orders) {
    bool ByService = One.m_Kind == Order::Kind::Edition;
    Duration Bound = One.m_Kind == Order::Kind::Leaving ? By.m_Leaving
                     : One.m_Kind == Order::Kind::Evacuated
                         ? By.m_Evacuation
                         : By.m_Configuration;
    TimePoint From = One.m_At + Bound;
    for (const auto &[Id, Runs] : m_Runs)
      for (const Run &At : Runs) {
        const std::string &Where = ByService ? At.m_Service : At.m_Upstream;
        if (Where != One.m_What || At.m_At <= From || At.m_At > One.m_Until)
          continue;
        // Held up on the way to the upstream, or by a disruption before.
        if (overlaps(m_LinkHarms, At.m_At - By.m_Contact, At.m_At) ||
            !calm(One.m_At - By.m_Contact, At.m_At))
          continue;
        Into.push_back(Id + ": reached " + One.m_What + " " +
                       std::to_string(toMillis(At.m_At - One.m_At)) +
                       " ms after it was taken out");
      }
  }
}

} // namespace mustardspoke::soak
