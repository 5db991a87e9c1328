/// \file
/// Strategies of the controls, and their table by name.
#include "proof/controls.h"

#include <algorithm>
#include <array>

namespace mustardspoke::test {

bool leaseNeverEnds(TimePoint /*End*/, TimePoint /*Now*/) { return true; }

Duration reclaimIgnoringUse(const ShareTuning &Tuning, Duration Lease,
                            Duration /*LongestUse*/) {
  return Lease + Tuning.m_LapseMargin;
}

Duration reclaimAtOnce(const ShareTuning &Tuning, Duration /*Lease*/,
                       Duration /*LongestUse*/) {
  return Tuning.m_LapseMargin;
}

std::uint32_t pendingGreater(std::uint32_t Before, std::uint32_t After) {
  return std::max(Before, After);
}

bool ownsEverything(const TicketTable & /*Table*/,
                    const VmIncarnation & /*Owner*/) {
  return true;
}

TicketVerdict claimAlways(TicketTable & /*Table*/, const Ticket & /*Presented*/,
                          TimePoint /*Now*/) {
  return {TicketVerdict::Kind::Run};
}

bool retryAlways(const Call &Retried, AttemptResult End,
                 RetryBudget & /*Budget*/) {
  return Retried.m_Attempts < 4 && End != AttemptResult::Answered;
}

bool adoptAny(const Bundle * /*InForce*/, const Bundle & /*Offered*/) {
  return true;
}

bool serveAlways(std::optional<Duration> /*Age*/, Duration /*Lease*/,
                 bool /*SeesMajority*/) {
  return true;
}

bool drainByBundle(const UpstreamState &Upstream, TimePoint /*Now*/,
                   const UpstreamTuning & /*Tuning*/) {
  return Upstream.m_Spec.m_Leaving;
}

namespace {

struct Mechanism {
  std::string_view m_Name;
  void (*m_Disable)(Strategies &);
};

constexpr std::array<Mechanism, 7> Mechanisms{{
    {"lease", [](Strategies &S) { S.m_Lease = leaseNeverEnds; }},
    {"ticket-memory", [](Strategies &S) { S.m_Claim = claimAlways; }},
    {"ticket-owner",
     [](Strategies &S) {
       S.m_Owner = ownsEverything;
       S.m_Claim = claimAlways;
     }},
    {"retry", [](Strategies &S) { S.m_Retry = retryAlways; }},
    {"adopt", [](Strategies &S) { S.m_Adopt = adoptAny; }},
    {"serve", [](Strategies &S) { S.m_Serve = serveAlways; }},
    {"drain", [](Strategies &S) { S.m_Drain = drainByBundle; }},
}};

} // namespace

bool disableMechanism(Strategies &Target, std::string_view Name) {
  auto Found = std::ranges::find(Mechanisms, Name, &Mechanism::m_Name);
  if (Found == Mechanisms.end())
    return false;
  Found->m_Disable(Target);
  return true;
}

} // namespace mustardspoke::test
