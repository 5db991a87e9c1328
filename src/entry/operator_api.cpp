/// \file
/// Status, call traces, metrics and bundle acceptance.
#include "entry/operator_api.h"

#include "entry/bundle_accept.h"

#include <array>
#include <charconv>
#include <sstream>

namespace mustardspoke {
namespace {

constexpr std::string_view IdParameter = "id=";

HttpResponse errorAnswer(ErrorKind Error,
                         const ValidationErrors &Problems = {}) {
  const ErrorInfo &Rule = errorInfo(Error);
  Json Body = Json::object();
  Body.set("error", Json(std::string(Rule.m_Name)));
  Body.set("outcome", Json(std::string(outcomeName(Rule.m_Outcome))));
  Body.set("comeBackMs", Json(toMillis(Rule.m_RetryAfter)));
  Body.set("text", Json(std::string(Rule.m_Text)));
  Json List = Json::array();
  for (const ValidationError &Problem : Problems)
    List.push(Json(Problem.toText()));
  Body.set("faults", std::move(List));
  return {Rule.m_HttpStatus, "application/json", Body.toText()};
}

std::string_view stateName(MemberState State) {
  constexpr std::array<std::string_view, 4> Names{"starting", "live", "leaving",
                                                  "left"};
  return Names[std::size_t(State)];
}

std::string_view attemptEndName(AttemptResult End) {
  constexpr std::array<std::string_view, 6> Names{
      "answered", "not-connected", "shed", "lost", "timed-out", "caller-gone"};
  return Names[std::size_t(End)];
}

Json memberToJson(const MemberInfo &Info, bool Alive) {
  Json Result = Json::object();
  Result.set("vm", Json(Info.m_Identity.m_Vm.str()));
  Result.set("region", Json(Info.m_Region.str()));
  Result.set("failureDomain", Json(Info.m_FailureDomain.str()));
  Result.set("state", Json(std::string(stateName(Info.m_State))));
  Result.set("alive", Json(Alive));
  Result.set("bundle", Json(Info.m_BundleVersion));
  return Result;
}

Json traceToJson(const CallTrace &Trace) {
  Json Result = Json::object();
  Result.set("id", Json(std::uint64_t(Trace.m_Id)));
  Result.set("service", Json(Trace.m_Service.str()));
  Result.set("tenant", Json(Trace.m_Tenant.str()));
  Result.set("bundle", Json(Trace.m_BundleVersion));
  Result.set("waitedMicros", Json(Trace.m_QueueTime.count()));
  Result.set("ended", Json(Trace.m_Ended));
  Result.set("error", Json(std::string(errorInfo(Trace.m_Error).m_Name)));
  Json List = Json::array();
  for (const AttemptTrace &Attempt : Trace.m_Attempts) {
    Json Entry = Json::object();
    Entry.set("upstream", Json(Attempt.m_Upstream.str()));
    Entry.set("candidates", Json(Attempt.m_Candidates));
    Entry.set("share", Json(Attempt.m_Allowance));
    Entry.set("shift", Json(Attempt.m_Shift.str()));
    Entry.set("end", Json(Attempt.m_Result
                              ? std::string(attemptEndName(*Attempt.m_Result))
                              : std::string("running")));
    List.push(std::move(Entry));
  }
  Result.set("attempts", std::move(List));
  return Result;
}

} // namespace

HttpResponse OperatorApi::serve(const HttpRequest &Request) {
  bool IsGet = Request.m_Method == "GET";
  if (IsGet && Request.m_Path == "/health")
    return {200, "text/plain", "ok\n"};
  if (IsGet && Request.m_Path == "/metrics")
    return metrics();
  std::string Expected = "Bearer " + m_Core.settings().m_OperatorToken;
  if (!constantTimeEqual(Request.m_Authorization, Expected))
    return errorAnswer(ErrorKind::Unauthorized);
  if (IsGet && Request.m_Path == "/status")
    return status();
  if (IsGet && Request.m_Path == "/explain")
    return explain(Request.m_QueryString);
  if (IsGet && Request.m_Path == "/bundle")
    return {200, "application/json", m_Core.document()};
  if (Request.m_Method == "POST" && Request.m_Path == "/bundle")
    return acceptBundle(Request.m_Body);
  return errorAnswer(ErrorKind::BadRequest,
                     {{"path", Request.m_Method + " " + Request.m_Path,
                       "a request listed in the operator interface"}});
}

HttpResponse OperatorApi::status() {
  Json Result = Json::object();
  auto Core = m_Core.access();
  TimePoint Now = monotonicNow();
  const MemberTable &Members = Core->members();
  Result.set("self", memberToJson(Members.self(), true));
  Result.set("bundle", Json(Core->bundle() ? Core->bundle()->m_Version : 0));
  auto ConfirmAge = Core->confirmationAge(Now);
  Result.set("bundleConfirmedMs",
             Json(ConfirmAge ? toMillis(*ConfirmAge) : std::int64_t(-1)));
  Result.set("mayServe", Json(Core->mayServe(Now)));
  Result.set("inFlight", Json(std::uint64_t(Core->callsInFlight())));
  Json MemberList = Json::array();
  for (const auto &[Vm, Other] : Members.others())
    MemberList.push(memberToJson(Other.m_Info, Members.isAlive(Vm, Now)));
  Result.set("members", std::move(MemberList));
  Json Limits = Json::array();
  for (const auto &[Name, Entry] : Core->limits().entries()) {
    Json Object = Json::object();
    Object.set("limit", Json(Name.str()));
    Object.set("capacity", Json(Entry->m_Limit.m_Capacity));
    Object.set("floor", Json(Entry->m_Floor));
    Object.set("surplus", Json(Entry->m_Surplus));
    Object.set("usable", Json(Core->limits().usable(*Entry, Now)));
    Object.set("used", Json(Entry->m_Used));
    Limits.push(std::move(Object));
  }
  Result.set("limits", std::move(Limits));
  Json Upstreams = Json::array();
  for (const auto &[Name, Upstream] : Core->upstreams()) {
    Json Object = Json::object();
    Object.set("upstream", Json(Name.str()));
    Object.set("latencyMicros", Json(Upstream->m_Latency.count()));
    Object.set("inFlight", Json(Upstream->m_InFlight));
    Object.set("ejected", Json(Upstream->isEjected(Now)));
    Object.set("draining",
               Json(Upstream->m_Spec.m_Leaving ||
                    Upstream->isDraining(
                        Now, m_Core.settings().m_Tuning.m_Upstreams)));
    Upstreams.push(std::move(Object));
  }
  Result.set("upstreams", std::move(Upstreams));
  return {200, "application/json", Result.toText(true)};
}

HttpResponse OperatorApi::explain(const std::string &QueryString) {
  std::optional<std::uint64_t> WantedId;
  if (QueryString.starts_with(IdParameter)) {
    std::uint64_t Id = 0;
    const char *End = QueryString.data() + QueryString.size();
    auto [ParseEnd, Error] =
        std::from_chars(QueryString.data() + IdParameter.size(), End, Id);
    if (Error != std::errc() || ParseEnd != End)
      return errorAnswer(ErrorKind::BadRequest,
                         {{"id", QueryString, "a whole number"}});
    WantedId = Id;
  }
  Json List = Json::array();
  {
    auto Core = m_Core.access();
    for (const CallTrace &Trace : Core->traces())
      if (!WantedId || std::uint64_t(Trace.m_Id) == *WantedId)
        List.push(traceToJson(Trace));
  }
  Json Result = Json::object();
  Result.set("calls", std::move(List));
  return {200, "application/json", Result.toText(true)};
}

HttpResponse OperatorApi::metrics() {
  std::ostringstream Out;
  {
    auto Core = m_Core.access();
    const NodeCounters &Counters = Core->counters();
    Out << "mustardspoke_calls_total " << Counters.m_Calls << "\n"
        << "mustardspoke_sends_total " << Counters.m_Sends << "\n"
        << "mustardspoke_retries_total " << Counters.m_Retries << "\n"
        << "mustardspoke_relays_total " << Counters.m_Relays << "\n"
        << "mustardspoke_replays_total " << Counters.m_Replays << "\n"
        << "mustardspoke_queued_total " << Counters.m_Queued << "\n"
        << "mustardspoke_lookups_total " << Counters.m_Lookups << "\n"
        << "mustardspoke_lease_refusals_total " << Counters.m_LeaseRefusals
        << "\n"
        << "mustardspoke_in_flight " << Core->callsInFlight() << "\n"
        << "mustardspoke_bundle_version "
        << (Core->bundle() ? Core->bundle()->m_Version : 0) << "\n"
        << "mustardspoke_members_alive "
        << Core->members().aliveCount(monotonicNow()) << "\n";
  }
  Out << m_Core.metrics().exposition();
  return {200, "text/plain; version=0.0.4", Out.str()};
}

HttpResponse OperatorApi::acceptBundle(const std::string &Body) {
  ValidationErrors Found;
  BundleDocument Submitted = parseDocument(Body, Found);
  if (Found.empty() && Submitted.m_Sections.empty())
    Found.push_back({"sections", "nothing", "at least one signed section"});
  if (!Found.empty())
    return errorAnswer(ErrorKind::BundleRefused, Found);
  AcceptResult Result =
      acceptSections(m_Core, m_Platform, Submitted.m_Sections);
  if (Result.m_Error != ErrorKind::None)
    return errorAnswer(Result.m_Error, Result.m_ValidationErrors);
  Json Response = Json::object();
  Response.set("version", Json(Result.m_Version));
  return {200, "application/json", Response.toText()};
}

} // namespace mustardspoke
