/// \file
/// Repeats the decisions of the request path on copies of the state that they
/// change, and lists what each of them found.
#include "gateway/explain.h"

#include "gateway/request_routing.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>

namespace mustardspoke::steer {
namespace {

/// Page statuses.
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

/// \brief Formats like printf.
[[gnu::format(printf, 1, 2)]] std::string format(const char *Pattern, ...) {
  std::va_list Arguments;
  va_start(Arguments, Pattern);
  std::va_list Again;
  va_copy(Again, Arguments);
  int Size = std::vsnprintf(nullptr, 0, Pattern, Arguments);
  std::string Text(std::size_t(std::max(Size, 0)), '\0');
  std::vsnprintf(Text.data(), Text.size() + 1, Pattern, Again);
  va_end(Again);
  va_end(Arguments);
  return Text;
}

std::string milliseconds(Duration Span) {
  return std::to_string(toMillis(Span)) + " ms";
}

std::string regionList(std::span<const RegionName> Regions) {
  std::string Result;
  for (const RegionName &Region : Regions)
    Result += (Result.empty() ? "" : ", ") + Region.str();
  return Result.empty() ? "all" : Result;
}

std::string_view retrySafetyName(RetrySafety Safety) {
  switch (Safety) {
  case RetrySafety::Safe:
    return "safe, may run again";
  case RetrySafety::Unsafe:
    return "runs at most once";
  case RetrySafety::Download:
    return "download, may run again";
  case RetrySafety::Upload:
    return "upload, runs at most once";
  }
  return "";
}

std::string_view verdictText(Verdict Result) {
  switch (Result) {
  case Verdict::NotNeeded:
    return "not needed, one before it was selected";
  case Verdict::Selected:
    return "selected";
  case Verdict::Excluded:
    return "left out";
  case Verdict::Tried:
    return "tried already";
  case Verdict::RegionNotAllowed:
    return "its region isn't allowed";
  case Verdict::RateLimited:
    return "at the rate limit that it named";
  case Verdict::OutsideKeyRegions:
    return "outside the key's region, and no overflow is left";
  case Verdict::Ejected:
    return "ejected after failures";
  case Verdict::TooLate:
    return "can't answer within the target latency";
  case Verdict::BusyNonHolder:
    return "doesn't hold the key, and is too busy to take it";
  case Verdict::NoFreeSlot:
    return "cold or slow, and has no free slot";
  case Verdict::ColdRate:
    return "cold, and at the rate that it tolerates";
  }
  return "";
}

/// \brief Puts the tokens of upstreams back when it is destroyed: the choice
/// refills and takes them. It runs in one turn of the event loop.
class TokenGuard {
public:
  explicit TokenGuard(std::span<const UpstreamPtr> Upstreams) {
    for (const UpstreamPtr &Target : Upstreams)
      m_Saved.push_back({Target, Target->m_ColdTokens, Target->m_RateLimit});
  }
  ~TokenGuard() {
    for (const Saved &Entry : m_Saved) {
      Entry.m_Upstream->m_ColdTokens = Entry.m_ColdTokens;
      Entry.m_Upstream->m_RateLimit = Entry.m_RateLimit;
    }
  }
  TokenGuard(const TokenGuard &) = delete;
  TokenGuard &operator=(const TokenGuard &) = delete;

private:
  struct Saved {
    UpstreamPtr m_Upstream;
    TokenBucket m_ColdTokens;
    RateLimit m_RateLimit;
  };
  std::vector<Saved> m_Saved;
};

/// \brief Keeps the judgements of a selection.
class JudgementLog final : public ChoiceObserver {
public:
  struct Entry {
    const Upstream *m_Upstream = nullptr;
    std::optional<Duration> m_Expected; ///< None: not a candidate.
    Verdict m_Verdict = Verdict::NotNeeded;
  };

  void ranked(const Upstream &Candidate, Duration Expected) override {
    m_Entries.push_back({&Candidate, Expected, Verdict::NotNeeded});
  }
  void judged(const Upstream &Target, Verdict Result) override {
    auto Known = std::ranges::find(m_Entries, &Target, &Entry::m_Upstream);
    if (Known == m_Entries.end())
      m_Entries.push_back({&Target, std::nullopt, Result});
    else
      Known->m_Verdict = Result;
  }

  /// \brief Candidates in order of preference, then all others.
  [[nodiscard]] std::vector<Entry> inOrder() const {
    std::vector<Entry> Result = m_Entries;
    std::stable_partition(Result.begin(), Result.end(), [](const Entry &Each) {
      return Each.m_Expected.has_value();
    });
    return Result;
  }

private:
  std::vector<Entry> m_Entries;
};

/// \brief Walks through the request path, one section for each step.
class Explainer {
public:
  Explainer(const GatewayState &State, const ExplainQuery &Query)
      : m_State(State), m_Query(Query), m_Now(steadyNow()) {}

  Explanation run();

private:
  /// Adds a section. Sets m_Decision if the request gets no further.
  using Step = void (Explainer::*)();
  void explainVm();
  void explainConfiguration();
  void explainRoute();
  void explainCustomer();
  void explainShutdown();
  void explainQuota();
  void explainService();
  void explainAdmission();
  void explainChoice();

  void addSection(std::string Title, std::vector<std::string> Lines) {
    m_Result.m_Sections.push_back({std::move(Title), std::move(Lines)});
  }
  /// \param PageStatus Of the explanation, if it isn't 200.
  void refuse(ErrorKind Kind, std::string_view Reason,
              unsigned PageStatus = 200) {
    m_Result.m_Status = PageStatus;
    m_Decision =
        format("refused with status %u: %.*s", errorInfo(Kind).m_HttpStatus,
               int(Reason.size()), Reason.data());
  }
  [[nodiscard]] std::string describe(const JudgementLog::Entry &Each) const;

  const GatewayState &m_State;
  const ExplainQuery &m_Query;
  TimePoint m_Now;
  Explanation m_Result;
  std::string m_Decision;
  const Route *m_Route = nullptr;
  const Customer *m_Customer = nullptr;
  ServiceName m_Service;
};

Explanation Explainer::run() {
  // In the order of the request path.
  constexpr Step Steps[] = {
      &Explainer::explainVm,       &Explainer::explainConfiguration,
      &Explainer::explainRoute,    &Explainer::explainCustomer,
      &Explainer::explainShutdown, &Explainer::explainQuota,
      &Explainer::explainService,  &Explainer::explainAdmission,
      &Explainer::explainChoice};
  for (Step Next : Steps) {
    m_Decision.clear();
    (this->*Next)();
    if (!m_Decision.empty())
      break;
  }
  addSection("decision", {m_Decision});
  return std::move(m_Result);
}

void Explainer::explainVm() {
  const Placement &Own = m_State.m_Settings.m_Placement;
  addSection("vm",
             {format("region %s, failure domain %s", Own.m_Region.str().c_str(),
                     Own.m_Domain.str().c_str()),
              "links to upstreams: " +
                  std::string(linkStateName(m_State.m_OwnLinks.state()))});
  if (m_State.m_Buffers.room() == BufferRoom::None)
    refuse(ErrorKind::NoCapacity, "buffers-full, callers don't read");
}

void Explainer::explainConfiguration() {
  if (!m_State.m_Routes) {
    refuse(ErrorKind::NoBundle, "no-configuration, none has arrived yet",
           StatusUnavailable);
    return;
  }
  addSection(
      "configuration",
      {format("version %llu, %zu routes",
              static_cast<unsigned long long>(m_State.m_Routes->m_Version),
              m_State.m_Routes->size())});
}

void Explainer::explainRoute() {
  HttpHead Head;
  Head.m_Target = m_Query.m_Path;
  Head.m_Fields.push_back({"Host", m_Query.m_Host});
  m_Route = findRoute(*m_State.m_Routes, Head);
  if (!m_Route) {
    refuse(ErrorKind::UnknownService,
           "no-route, the configuration has none for this host and path",
           StatusNotFound);
    return;
  }
  addSection("route", {format("%s, prefix %s", m_Route->m_Name.c_str(),
                              m_Route->m_Prefix.c_str()),
                       std::string(retrySafetyName(m_Route->m_RetrySafety)),
                       format("target latency %s, timeout %s, priority %u",
                              milliseconds(m_Route->m_TargetLatency).c_str(),
                              milliseconds(m_Route->m_Timeout).c_str(),
                              m_Route->m_Priority),
                       "regions: " + regionList(m_Route->m_AllowedRegions)});
}

void Explainer::explainCustomer() {
  const CustomerTable &Customers = m_State.m_Routes->m_Customers;
  if (!m_Query.m_Customer.empty()) {
    m_Customer = Customers.find(CustomerName(m_Query.m_Customer));
    // The name isn't repeated: it may be a key, by mistake.
    if (!m_Customer) {
      refuse(ErrorKind::UnknownKey,
             "unknown-customer, the configuration has none of this name",
             StatusNotFound);
      return;
    }
  }
  if (!m_Customer) {
    bool NeedsKey = Customers.requiresKeys() && !m_Route->m_IsPublic;
    addSection("customer",
               {NeedsKey ? "none" : "none; callers of this route need no key"});
    if (NeedsKey)
      refuse(ErrorKind::UnknownKey,
             "unknown-key, callers of this route need a customer's key");
    return;
  }
  addSection("customer",
             {m_Customer->m_Name.str(),
              format("priority %u, %s",
                     m_Customer->m_Priority.value_or(m_Route->m_Priority),
                     m_Customer->m_Priority ? "its own" : "the route's"),
              "regions: " + regionList(m_Customer->m_AllowedRegions)});
  if (!Residency(*m_Route, m_Customer).isSatisfiable())
    refuse(ErrorKind::NoCapacity,
           "no-region, route and customer have no region in common");
}

void Explainer::explainShutdown() {
  if (m_State.mayCutOff(m_Now + m_Route->m_Timeout))
    refuse(ErrorKind::Leaving, "leaving, this VM is shutting down");
}

void Explainer::explainQuota() {
  if (!m_Customer || !m_Customer->m_Quota.isLimited())
    return;
  for (const QuotaStatus &Status : m_State.m_Quotas.status())
    if (Status.m_Customer == m_Customer->m_Name)
      addSection("quota",
                 {format("%.1f requests/s and a burst of %.1f at all VMs",
                         Status.m_RatePerSecond, m_Customer->m_Quota.m_Burst),
                  format("estimated demand at all VMs %.1f/s",
                         Status.m_DemandPerSecond),
                  format("admitted here: %.0f%% of the requests",
                         100 * Status.m_AdmittedFraction)});
}

void Explainer::explainAdmission() {
  Priority Urgency = m_Customer
                         ? m_Customer->m_Priority.value_or(m_Route->m_Priority)
                         : m_Route->m_Priority;
  m_State.m_Admission.forEach(
      [&](const ServiceName &Service, const AdmissionControl &Control) {
        if (Service != m_Service)
          return;
        double Refused = Control.refusedPart(Urgency);
        addSection("admission",
                   {format("%.0f%% of the service's requests are refused, the "
                           "least urgent first",
                           100 * Control.refusedFraction()),
                    format("of priority %u: %.0f%%", Urgency, 100 * Refused)});
        if (Refused >= 1)
          refuse(ErrorKind::NoCapacity,
                 "shortage, more urgent requests need the room");
      });
}

void Explainer::explainService() {
  TrafficSplitter Splitter = m_State.m_TrafficSplit;
  m_Service = Splitter.next(*m_Route);
  std::vector<std::string> Lines{m_Service.str()};
  for (const TrafficTarget &Target : m_Route->m_Targets)
    Lines.push_back(format("weight %u: %s", Target.m_Weight,
                           Target.m_Service.str().c_str()));
  addSection("service", std::move(Lines));
  if (m_State.m_OwnLinks.state() == LinkState::Lost && !m_State.hasRelay())
    refuse(ErrorKind::NoCapacity,
           "links-lost, neither this VM nor a peer reaches an upstream");
}

std::string Explainer::describe(const JudgementLog::Entry &Each) const {
  const Upstream &Target = *Each.m_Upstream;
  const UpstreamRegistration &Facts = Target.m_Registration;
  std::string Text =
      format("%s, region %s, domain %s, load %.1f of %u", Facts.m_Id.c_str(),
             Facts.m_Region.str().c_str(), Facts.m_Domain.str().c_str(),
             Target.load(m_Now, m_State.m_Settings.m_Choice.m_HealthTuning),
             Facts.m_Slots);
  if (Each.m_Expected)
    Text += ", expected " + milliseconds(*Each.m_Expected);
  Text.append(": ").append(verdictText(Each.m_Verdict));
  if (Each.m_Verdict == Verdict::Excluded)
    Text.append(", ").append(
        exclusionName(m_State.m_Upstreams.exclusion(Target, m_Now)));
  return Text;
}

void Explainer::explainChoice() {
  // The request path counts the request before it chooses.
  LocalShares Shares = m_State.m_LocalShares;
  const GatewaySettings &Settings = m_State.m_Settings;
  Shares.deriveMissing(m_Service, m_State.m_Upstreams, Settings.m_Placement,
                       m_Now, Settings.m_LocalShare);
  Shares.recordRequest(m_Service, Settings.m_LocalShare);
  RoutedRequest Request{
      *m_State.m_Routes,
      *m_Route,
      Residency(*m_Route, m_Customer),
      m_Service,
      requestKeyHash(m_Query.m_AffinityKey, ""),
      m_Now,
      requestPlacementKey(*m_Route, m_Service, m_Query.m_AffinityKey)};
  JudgementLog Log;
  ChoiceInput Input = choiceInput(m_State, Shares, Request, m_Now);
  Input.m_Observer = &Log;
  Choice Selected;
  {
    TokenGuard Guard(m_State.m_Upstreams.upstreamsOf(m_Service));
    Selected = m_State.m_Strategies.m_Choose(
        Input, m_State.m_Upstreams, Settings.m_Placement, Settings.m_Choice);
  }
  addSection("key",
             {m_Query.m_AffinityKey.empty()
                  ? "none; the request's identifier takes its place, and "
                    "others are distributed differently"
                  : "given",
              format("belongs to %s; share of the own region %.2f, overflow %s",
                     Selected.m_IsLocalKey ? "the own region" : "other regions",
                     Input.m_LocalShare,
                     Input.m_MayOverflow ? "allowed" : "used up")});
  std::vector<std::string> Lines;
  for (const JudgementLog::Entry &Each : Log.inOrder())
    Lines.push_back(describe(Each));
  if (Lines.empty())
    Lines.push_back("none is registered for this service");
  addSection("upstreams, in order of preference", std::move(Lines));
  if (!Selected.m_Upstream) {
    std::string Reason(refusalName(Selected.m_RefusalReason));
    if (Selected.m_RefusalReason == RefusalReason::AllLimited) {
      ReturnSchedule Returns;
      if (auto Known = m_State.m_LimitedReturns.find(m_Service);
          Known != m_State.m_LimitedReturns.end())
        Returns = Known->second;
      Selected.m_RetryAfter = Returns.reserve(m_Now, Selected.m_LimitedRate);
    }
    refuse(ErrorKind::NoCapacity,
           Reason + ", retry after " + milliseconds(Selected.m_RetryAfter));
    return;
  }
  m_Result.m_Upstream = Selected.m_Upstream;
  m_Decision = "sent to " + Selected.m_Upstream->m_Registration.m_Id;
  if (Selected.m_IsOverflow)
    m_Decision += ", outside the key's region";
  if (m_State.m_OwnLinks.state() != LinkState::Up && m_State.hasRelay())
    m_Decision += ", by a peer if this VM has no open connection";
}

std::string pageText(const Explanation &Explained) {
  std::string Text;
  for (const ExplainSection &Section : Explained.m_Sections) {
    Text.append(Section.m_Title).append("\n");
    for (const std::string &Line : Section.m_Lines)
      Text.append("  ").append(Line).append("\n");
  }
  return Text;
}

} // namespace

Explanation explain(const GatewayState &State, const ExplainQuery &Query) {
  return Explainer(State, Query).run();
}

std::string explainPage(const GatewayState &State, std::string_view Target) {
  ExplainQuery Query{queryValue(Target, "host"), queryValue(Target, "path"),
                     queryValue(Target, "key"), queryValue(Target, "customer")};
  if (Query.m_Host.empty() || !Query.m_Path.starts_with('/'))
    return completeResponse(
        StatusBadRequest, "text/plain",
        "host and path are needed; a path begins with a slash\n");
  Explanation Explained = explain(State, Query);
  return completeResponse(Explained.m_Status, "text/plain",
                          pageText(Explained));
}

} // namespace mustardspoke::steer
