/// \file
/// Status, traces, metrics and acceptance for operators.
#include "entry/operator_api.h"

#include "entry/bundle_accept.h"

#include <array>
#include <charconv>
#include <sstream>

namespace mustardspoke {
namespace {

constexpr std::string_view IdParameter = "id=";

HttpAnswer errorAnswer(ErrorKind Error, const Faults &Found = {}) {
  const ErrorInfo &Rule = errorInfo(Error);
  Json Body = Json::object();
  Body.set("error", Json(std::string(Rule.m_Name)));
  Body.set("outcome", Json(std::string(outcomeName(Rule.m_Outcome))));
  Body.set("comeBackMs", Json(toMillis(Rule.m_RetryAfter)));
  Body.set("text", Json(std::string(Rule.m_Text)));
  Json List = Json::array();
  for (const Fault &F : Found)
    List.push(Json(F.toText()));
  Body.set("faults", std::move(List));
  return {Rule.m_HttpStatus, "application/json", Body.toText()};
}

std::string_view stateName(MemberState State) {
  constexpr std::array<std::string_view, 4> Names{"starting", "live", "leaving",
                                                  "left"};
  return Names[std::size_t(State)];
}

std::string_view endName(AttemptResult End) {
  constexpr std::array<std::string_view, 6> Names{
      "answered", "not-connected", "shed", "lost", "timed-out", "caller-gone"};
  return Names[std::size_t(End)];
}

Json memberToJson(const MemberInfo &Info, bool Alive) {
  Json To = Json::object();
  To.set("vm", Json(Info.m_Identity.m_Vm.str()));
  To.set("region", Json(Info.m_Region.str()));
  To.set("failureDomain", Json(Info.m_FailureDomain.str()));
  To.set("state", Json(std::string(stateName(Info.m_State))));
  To.set("alive", Json(Alive));
  To.set("bundle", Json(Info.m_BundleVersion));
  return To;
}

Json traceToJson(const CallTrace &From) {
  Json To = Json::object();
  To.set("id", Json(std::uint64_t(From.m_Id)));
  To.set("service", Json(From.m_Service.str()));
  To.set("tenant", Json(From.m_Tenant.str()));
  To.set("bundle", Json(From.m_BundleVersion));
  To.set("waitedMicros", Json(From.m_QueueTime.count()));
  To.set("ended", Json(From.m_Ended));
  To.set("error", Json(std::string(errorInfo(From.m_Error).m_Name)));
  Json List = Json::array();
  for (const AttemptTrace &Attempt : From.m_Attempts) {
    Json One = Json::object();
    One.set("upstream", Json(Attempt.m_Upstream.str()));
    One.set("candidates", Json(Attempt.m_Candidates));
    One.set("share", Json(Attempt.m_Allowance));
    One.set("shift", Json(Attempt.m_Shift.str()));
    One.set("end",
            Json(Attempt.m_Result ? std::string(endName(*Attempt.m_Result))
                                  : std::string("running")));
    List.push(std::move(One));
  }
  To.set("attempts", std::move(List));
  return To;
}

} // namespace

HttpAnswer OperatorApi::serve(const HttpQuery &Query) {
  bool IsGet = Query.m_Method == "GET";
  if (IsGet && Query.m_Path == "/health")
    return {200, "text/plain", "ok\n"};
  if (IsGet && Query.m_Path == "/metrics")
    return metrics();
  std::string Wanted = "Bearer " + m_Core.settings().m_OperatorToken;
  if (!sameSecret(Query.m_Authorization, Wanted))
    return errorAnswer(ErrorKind::Unauthorized);
  if (IsGet && Query.m_Path == "/status")
    return status();
  if (IsGet && Query.m_Path == "/explain")
    return explain(Query.m_Parameters);
  if (IsGet && Query.m_Path == "/bundle")
    return {200, "application/json", m_Core.document()};
  if (Query.m_Method == "POST" && Query.m_Path == "/bundle")
    return accept(Query.m_Body);
  return errorAnswer(ErrorKind::BadRequest,
                     {{"path", Query.m_Method + " " + Query.m_Path,
                       "a request of the operators' interface"}});
}

HttpAnswer OperatorApi::status() {
  Json To = Json::object();
  auto Core = m_Core.access();
  TimePoint Now = monotonicNow();
  const MemberTable &Members = Core->members();
  To.set("self", memberToJson(Members.self(), true));
  To.set("bundle", Json(Core->bundle() ? Core->bundle()->m_Version : 0));
  auto Age = Core->confirmationAge(Now);
  To.set("bundleConfirmedMs", Json(Age ? toMillis(*Age) : std::int64_t(-1)));
  To.set("mayServe", Json(Core->mayServe(Now)));
  To.set("inFlight", Json(std::uint64_t(Core->callsInFlight())));
  Json List = Json::array();
  for (const auto &[Vm, Other] : Members.others())
    List.push(memberToJson(Other.m_Info, Members.isAlive(Vm, Now)));
  To.set("members", std::move(List));
  Json Limits = Json::array();
  for (const auto &[Name, Entry] : Core->limits().entries()) {
    Json One = Json::object();
    One.set("limit", Json(Name.str()));
    One.set("capacity", Json(Entry->m_Limit.m_Capacity));
    One.set("floor", Json(Entry->m_Floor));
    One.set("surplus", Json(Entry->m_Surplus));
    One.set("usable", Json(Core->limits().usable(*Entry, Now)));
    One.set("used", Json(Entry->m_Used));
    Limits.push(std::move(One));
  }
  To.set("limits", std::move(Limits));
  Json Upstreams = Json::array();
  for (const auto &[Name, U] : Core->upstreams()) {
    Json One = Json::object();
    One.set("upstream", Json(Name.str()));
    One.set("latencyMicros", Json(U->m_Latency.count()));
    One.set("inFlight", Json(U->m_InFlight));
    One.set("ejected", Json(U->isEjected(Now)));
    One.set("draining",
            Json(U->m_Spec.m_Leaving ||
                 U->isDraining(Now, m_Core.settings().m_Tuning.m_Upstreams)));
    Upstreams.push(std::move(One));
  }
  To.set("upstreams", std::move(Upstreams));
  return {200, "application/json", To.toText(true)};
}

HttpAnswer OperatorApi::explain(const std::string &Parameters) {
  std::optional<std::uint64_t> Wanted;
  if (Parameters.starts_with(IdParameter)) {
    std::uint64_t Id = 0;
    const char *End = Parameters.data() + Parameters.size();
    auto [Stop, Error] =
        std::from_chars(Parameters.data() + IdParameter.size(), End, Id);
    if (Error != std::errc() || Stop != End)
      return errorAnswer(ErrorKind::BadRequest,
                         {{"id", Parameters, "a whole number"}});
    Wanted = Id;
  }
  Json List = Json::array();
  {
    auto Core = m_Core.access();
    for (const CallTrace &Trace : Core->traces())
      if (!Wanted || std::uint64_t(Trace.m_Id) == *Wanted)
        List.push(traceToJson(Trace));
  }
  Json To = Json::object();
  To.set("calls", std::move(List));
  return {200, "application/json", To.toText(true)};
}

HttpAnswer OperatorApi::metrics() {
  std::ostringstream Out;
  {
    auto Core = m_Core.access();
    const NodeCounters &C = Core->counters();
    Out << "mustardspoke_calls_total " << C.m_Calls << "\n"
        << "mustardspoke_sends_total " << C.m_Sends << "\n"
        << "mustardspoke_retries_total " << C.m_Retries << "\n"
        << "mustardspoke_relays_total " << C.m_Relays << "\n"
        << "mustardspoke_replays_total " << C.m_Replays << "\n"
        << "mustardspoke_queued_total " << C.m_Queued << "\n"
        << "mustardspoke_lookups_total " << C.m_Lookups << "\n"
        << "mustardspoke_lease_refusals_total " << C.m_LeaseRefusals << "\n"
        << "mustardspoke_in_flight " << Core->callsInFlight() << "\n"
        << "mustardspoke_bundle_version "
        << (Core->bundle() ? Core->bundle()->m_Version : 0) << "\n"
        << "mustardspoke_members_alive "
        << Core->members().aliveCount(monotonicNow()) << "\n";
  }
  Out << m_Core.metrics().exposition();
  return {200, "text/plain; version=0.0.4", Out.str()};
}

HttpAnswer OperatorApi::accept(const std::string &Body) {
  Faults Found;
  BundleDocument Submitted = parseDocument(Body, Found);
  if (Found.empty() && Submitted.m_Sections.empty())
    Found.push_back({"sections", "nothing", "at least one signed section"});
  if (!Found.empty())
    return errorAnswer(ErrorKind::BundleRefused, Found);
  AcceptResult Result =
      acceptSections(m_Core, m_Platform, Submitted.m_Sections);
  if (Result.m_Error != ErrorKind::None)
    return errorAnswer(Result.m_Error, Result.m_Faults);
  Json To = Json::object();
  To.set("version", Json(Result.m_Version));
  return {200, "application/json", To.toText()};
}

} // namespace mustardspoke
