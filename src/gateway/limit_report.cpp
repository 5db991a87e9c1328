/// \file
/// Log lines, metrics and messages about rate limits.
#include "gateway/limit_report.h"

#include "observe/log.h"

#include <cmath>

namespace mustardspoke::steer {
namespace {

/// Peers are told of a statement until it is this old; enough for the end of a
/// limit to reach all VMs of a large fleet.
constexpr Duration NewsAge = 10s;
constexpr std::size_t MaxNews = 32; ///< In one heartbeat.
/// Assumed time from one VM to another, not below the real one: a statement
/// that is passed on must not appear newer than it is.
constexpr Duration MaxTransitTime = 60ms;
/// A limit may vary with each answer; smaller changes from one to the next, as
/// a fraction, aren't logged.
constexpr double LoggedChange = 0.1;

std::string formatRate(const std::optional<double> &Rate) {
  return Rate ? std::to_string(*Rate) : "none";
}

} // namespace

void applyStatedLimit(Upstream &Target, const StatedLimit &Statement,
                      std::string_view Source) {
  std::optional<double> Before = Target.m_RateLimit.stated().m_Rate;
  LimitChange Change = Target.m_RateLimit.apply(Statement);
  if (Change == LimitChange::None ||
      (Change == LimitChange::Changed &&
       std::abs(*Statement.m_Rate - *Before) < *Before * LoggedChange))
    return;
  constexpr const char *Names[] = {"", "named", "changed", "ended"};
  logEvent(LogLevel::Info, "upstream-limit",
           {{"upstream", Target.m_Registration.m_Id},
            {"change", Names[std::size_t(Change)]},
            {"perSecond", formatRate(Statement.m_Rate)},
            {"before", formatRate(Before)},
            {"source", std::string(Source)}});
}

void applyPeerLimits(const UpstreamTable &Upstreams,
                     std::span<const PeerLimit> Limits, const VmName &Peer,
                     TimePoint Now) {
  for (const PeerLimit &Limit : Limits)
    if (UpstreamPtr Target = Upstreams.findRun(Limit.m_Run))
      applyStatedLimit(*Target,
                       {Limit.m_Rate, Now - Limit.m_Age - MaxTransitTime},
                       Peer.str());
}

std::vector<PeerLimit> limitsToSend(const UpstreamTable &Upstreams,
                                    TimePoint Now) {
  std::vector<PeerLimit> Result;
  Upstreams.forEach([&](const Upstream &Target) {
    const StatedLimit &Stated = Target.m_RateLimit.stated();
    if (Result.size() < MaxNews && Stated.m_At != TimePoint() &&
        Now - Stated.m_At < NewsAge)
      Result.push_back(
          {runKey(Target.m_Registration), Stated.m_Rate, Now - Stated.m_At});
  });
  return Result;
}

std::string limitExposition(const UpstreamTable &Upstreams, TimePoint Now) {
  std::size_t Limited = 0;
  Upstreams.forEach([&](const Upstream &Target) {
    Limited += Target.m_RateLimit.isSet(Now) ? 1 : 0;
  });
  constexpr std::string_view Name = "mustardspoke_limited_upstreams";
  return "# TYPE " + std::string(Name) + " gauge\n" + std::string(Name) + " " +
         std::to_string(Limited) + "\n";
}

} // namespace mustardspoke::steer
