/// \file
/// Explanations of where a request would be sent: they agree with what requests
/// get, and change nothing.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/explain.h"
#include "support/exchange_rig.h"
#include "support/two_regions.h"

#include <set>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

/// \brief A rig with the route "/split/", whose requests go to the services "s"
/// and "t" at 1:2. Upstreams answer with their identifiers.
struct ExplainRig {
  ExplainRig() {
    // Limits of upstreams are used by VMs that know the whole fleet.
    m_Rig.m_State.m_Fleet.setComplete();
    changeRoutes([](RouteTable &Table) {
      Route Split;
      Split.m_Name = "split";
      Split.m_Prefix = "/split/";
      Split.m_TargetLatency = 1s;
      Split.m_Timeout = 3s;
      Split.m_Targets = {{ServiceName("s"), 1}, {ServiceName("t"), 2}};
      Table.add("h", Split);
      Table.m_Services[ServiceName("s")].m_ColdRequestsPerSecond = 12;
    });
  }

  template <class Function> void changeRoutes(Function Change) {
    auto Changed = std::make_shared<RouteTable>(*m_Rig.m_State.m_Routes);
    ++Changed->m_Version;
    Change(*Changed);
    m_Rig.m_State.m_Routes = Changed;
  }
  void upstream(const std::string &Id, const std::string &Service = "s") {
    m_Rig.upstream(
        Id,
        [Id](ServerSide &Side) -> awaitable<void> {
          for (std::string Request = co_await Side.readRequest();
               !Request.empty(); Request = co_await Side.readRequest())
            co_await Side.respond(Request, Id);
        },
        Service);
  }
  Upstream &find(const std::string &Id) {
    return *m_Rig.m_State.m_Upstreams.find(Id);
  }
  /// \brief Replaces the limit of an upstream by one that allows no request
  /// within the time of a test, or all.
  void limit(const std::string &Id, double Rate) {
    RateLimit &Limit = find(Id).m_RateLimit;
    Limit = RateLimit();
    (void)Limit.apply({Rate, steadyNow() - 10ms});
  }

  Explanation ask(const std::string &Path, const std::string &Key = "",
                  const std::string &CustomerNamed = "",
                  const std::string &Host = "h") {
    return explain(m_Rig.m_State, {Host, Path, Key, CustomerNamed});
  }

  ExchangeRig m_Rig;
};

std::string textOf(const Explanation &Explained) {
  std::string Text;
  for (const ExplainSection &Section : Explained.m_Sections) {
    Text += Section.m_Title + "\n";
    for (const std::string &Line : Section.m_Lines)
      Text += "  " + Line + "\n";
  }
  return Text;
}

std::string decisionOf(const Explanation &Explained) {
  BOOST_REQUIRE(!Explained.m_Sections.empty());
  BOOST_TEST(Explained.m_Sections.back().m_Title == "decision");
  return Explained.m_Sections.back().m_Lines.at(0);
}

/// \brief The line about the upstream \p Id.
std::string lineAbout(const Explanation &Explained, const std::string &Id) {
  for (const ExplainSection &Section : Explained.m_Sections)
    for (const std::string &Line : Section.m_Lines)
      if (Line.starts_with(Id + ","))
        return Line;
  return "";
}

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

/// \brief Everything that a choice or a split may change.
struct MutableState {
  explicit MutableState(const GatewayState &State)
      : m_Splitter(State.m_TrafficSplit), m_Shares(State.m_LocalShares),
        m_Budgets(State.m_RetryBudgets), m_Returns(State.m_LimitedReturns),
        m_BytesUsed(State.m_Buffers.used()) {
    State.m_Upstreams.forEach([this](const Upstream &Target) {
      m_ColdTokens.push_back(Target.m_ColdTokens);
      m_RateLimits.push_back(Target.m_RateLimit);
      m_InFlight.push_back(Target.m_InFlight);
    });
  }
  friend bool operator==(const MutableState &, const MutableState &) = default;

  TrafficSplitter m_Splitter;
  LocalShares m_Shares;
  std::map<ServiceName, RetryBudget> m_Budgets;
  std::map<ServiceName, ReturnSchedule> m_Returns;
  std::size_t m_BytesUsed;
  std::vector<TokenBucket> m_ColdTokens;
  std::vector<RateLimit> m_RateLimits;
  std::vector<unsigned> m_InFlight;
};

void addCustomer(RouteTable &Table, const std::string &Name,
                 const std::string &Key, std::vector<RegionName> Regions = {}) {
  Customer Added;
  Added.m_Name = CustomerName(Name);
  Added.m_AllowedRegions = std::move(Regions);
  Table.m_Customers.requireKeys();
  std::vector<std::string> Keys{Key};
  (void)Table.m_Customers.add(Added, Keys);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Explain)

// Guards against explanations that follow other rules than requests.
BOOST_AUTO_TEST_CASE(ExplainedUpstreamIsTheOneThatTheNextRequestGets) {
  ExplainRig E;
  for (const char *Id : {"a", "b", "c", "d", "e"})
    E.upstream(Id);
  for (const char *Id : {"f", "g"})
    E.upstream(Id, "t");
  E.limit("a", 0.01);
  E.limit("b", 10000);
  E.find("c").m_ColdUntil = steadyNow() + 1min;
  std::set<std::string> Seen;
  for (int I = 0; I < 60; ++I) {
    std::string Key = "k" + std::to_string(I % 20);
    Explanation Explained = E.ask("/split/x?y=z", Key);
    BOOST_REQUIRE(Explained.m_Upstream);
    const std::string &Id = Explained.m_Upstream->m_Registration.m_Id;
    HttpResponse Got = E.m_Rig.ask("GET /split/x?y=z HTTP/1.1\r\nHost: H:80\r\n"
                                   "X-Request-Id: r" +
                                   std::to_string(I) +
                                   "\r\nX-Affinity-Key: " + Key + "\r\n\r\n");
    BOOST_TEST(Got.m_Body == Id);
    BOOST_TEST(decisionOf(Explained) == "sent to " + Id);
    BOOST_TEST(contains(lineAbout(Explained, Id), ": selected"));
    Seen.insert(Id);
  }
  BOOST_TEST(!Seen.contains("a"));
  BOOST_TEST(!Seen.contains("c"));
  BOOST_TEST(Seen.size() == 5U);
}

// Guards against operators' questions that cost callers their tokens, or move
// the split of a route.
BOOST_AUTO_TEST_CASE(ExplanationsChangeNoState) {
  ExplainRig E;
  GatewayState &State = E.m_Rig.m_State;
  for (const char *Id : {"a", "b", "c"}) {
    E.upstream(Id);
    E.find(Id).m_ColdUntil = steadyNow() + 1min;
    E.limit(Id, 10000);
  }
  E.upstream("f", "t");
  BOOST_TEST(E.m_Rig.ask(safeRequest("first")).m_Head.m_Status == 200U);
  for (bool AllLimited : {false, true}) {
    if (AllLimited)
      for (const char *Id : {"a", "b", "c"})
        E.limit(Id, 0.01);
    MutableState Before(State);
    for (int I = 0; I < 30; ++I)
      for (const char *Path : {"/split/x", "/safe/x", "/none/"}) {
        Explanation Explained = E.ask(Path, std::to_string(I));
        // Every question finds the same tokens.
        if (std::string_view(Path) == "/safe/x")
          BOOST_TEST(bool(Explained.m_Upstream) == !AllLimited);
      }
    BOOST_TEST((MutableState(State) == Before));
    BOOST_TEST(State.m_InFlight == 0U);
  }
  // Control: a request does change it.
  MutableState Before(State);
  BOOST_TEST(
      E.m_Rig.ask("GET /split/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n")
          .m_Head.m_Status == 200U);
  BOOST_TEST(!(MutableState(State) == Before));
}

BOOST_AUTO_TEST_CASE(EachUpstreamHasAReason) {
  ExplainRig E;
  for (const char *Id : {"a", "b", "c", "d", "e", "f", "g", "i", "j"})
    E.upstream(Id);
  TimePoint Now = steadyNow();
  E.find("a").m_QuietUntil = Now + 1min;
  (void)E.m_Rig.m_State.m_Upstreams.announceLeaving(
      runKey(E.find("b").m_Registration), Now);
  E.limit("c", 0.01);
  E.find("d").m_Registration.m_Region = RegionName("elsewhere");
  E.find("e").recordEnd(Now, UpstreamHealthTuning());
  E.changeRoutes([](RouteTable &Table) {
    Route Own = *Table.find("h", "/safe/x");
    Own.m_Prefix = "/safe/own/";
    Own.m_AllowedRegions = {RegionName("")};
    Table.add("h", Own);
  });
  for (const char *Id : {"f", "g", "i"})
    E.find(Id).m_PeerActiveRequests = 1000;
  E.find("j").m_ColdUntil = Now + 1min;
  Explanation Explained = E.ask("/safe/own/x", "key");
  BOOST_TEST_CONTEXT(textOf(Explained)) {
    BOOST_TEST(contains(lineAbout(Explained, "a"), "left out, quiet"));
    BOOST_TEST(contains(lineAbout(Explained, "b"), "left out, leaving"));
    BOOST_TEST(contains(lineAbout(Explained, "c"), "rate limit"));
    BOOST_TEST(contains(lineAbout(Explained, "d"), "region isn't allowed"));
    BOOST_TEST(contains(lineAbout(Explained, "e"), "ejected"));
    unsigned Holders = 0;
    for (const char *Id : {"f", "g", "i"}) {
      std::string Line = lineAbout(Explained, Id);
      BOOST_TEST(contains(Line, "load 1000.0 of 8"));
      Holders += contains(Line, "can't answer within") ? 1 : 0;
      BOOST_TEST((contains(Line, "can't answer within") ||
                  contains(Line, "too busy to take it")));
    }
    BOOST_TEST(Holders == 1U);
    // The service tolerates a first request at a cold upstream.
    BOOST_TEST(contains(lineAbout(Explained, "j"), ": selected"));
  }
  E.find("j").m_PeerActiveRequests = 1000;
  Explained = E.ask("/safe/own/x", "key");
  BOOST_TEST(contains(lineAbout(Explained, "j"), "no free slot"));
  BOOST_TEST(contains(decisionOf(Explained), "refused with status 503: full"));
  E.find("f").m_PeerActiveRequests = 0;
  E.find("g").m_PeerActiveRequests = 0;
  Explained = E.ask("/safe/own/x", "key");
  BOOST_TEST(contains(textOf(Explained), "not needed"));
}

BOOST_AUTO_TEST_CASE(QuestionsWithoutAnUpstreamGetClearAnswers) {
  ExplainRig E;
  E.upstream("a");
  Explanation Got = E.ask("/none/x");
  BOOST_TEST(Got.m_Status == 404U);
  BOOST_TEST(contains(decisionOf(Got), "refused with status 404: no-route"));
  Got = E.ask("/safe/x", "", "", "other");
  BOOST_TEST(Got.m_Status == 404U);
  Got = E.ask("/safe/x", "", "nobody");
  BOOST_TEST(Got.m_Status == 404U);
  BOOST_TEST(contains(decisionOf(Got), "unknown-customer"));
  E.changeRoutes([](RouteTable &Table) {
    addCustomer(Table, "acme", "s3cret", {RegionName("east")});
    Route West = *Table.find("h", "/safe/x");
    West.m_Prefix = "/safe/west/";
    West.m_AllowedRegions = {RegionName("west")};
    Table.add("h", West);
    Route Public = *Table.find("h", "/safe/x");
    Public.m_Prefix = "/safe/public/";
    Public.m_IsPublic = true;
    Table.add("h", Public);
  });
  Got = E.ask("/safe/x");
  BOOST_TEST(Got.m_Status == 200U);
  BOOST_TEST(contains(decisionOf(Got), "refused with status 401"));
  BOOST_TEST(bool(E.ask("/safe/public/x").m_Upstream));
  Got = E.ask("/safe/west/x", "", "acme");
  BOOST_TEST(Got.m_Status == 200U);
  BOOST_TEST(contains(decisionOf(Got), "refused with status 503: no-region"));
  // Allowed, but no upstream is there.
  Got = E.ask("/safe/x", "", "acme");
  BOOST_TEST(contains(lineAbout(Got, "a"), "region isn't allowed"));
  BOOST_TEST(contains(decisionOf(Got), "refused with status 503: no-upstream"));
  (void)E.m_Rig.m_State.m_Upstreams.remove("a", steadyNow());
  Got = E.ask("/safe/public/x");
  BOOST_TEST(contains(textOf(Got), "none is registered for this service"));
  BOOST_TEST(contains(decisionOf(Got), "no-upstream"));
  E.m_Rig.m_State.beginStop(steadyNow());
  BOOST_TEST(contains(decisionOf(E.ask("/safe/public/x")), "leaving"));
  E.m_Rig.m_State.m_Routes = nullptr;
  Got = E.ask("/safe/x");
  BOOST_TEST(Got.m_Status == 503U);
  BOOST_TEST(contains(decisionOf(Got), "no-configuration"));
}

// Keys of customers are in no answer, whatever is asked.
BOOST_AUTO_TEST_CASE(PageTakesNoKeyAndPrintsNone) {
  ExplainRig E;
  E.upstream("a");
  E.changeRoutes([](RouteTable &Table) {
    addCustomer(Table, "acme", "s3cret");
    addCustomer(Table, "R&D 1", "s3cret2");
  });
  auto Page = [&E](const std::string &Query) {
    return explainPage(E.m_Rig.m_State, "/explain" + Query);
  };
  std::string Good = Page("?host=h&path=%2Fsafe%2Fx&key=k&customer=acme");
  BOOST_TEST(Good.starts_with("HTTP/1.1 200"));
  BOOST_TEST(contains(Good, "sent to a"));
  BOOST_TEST(contains(
      Page("?host=h&path=/safe/x&customer=" + encodeQueryValue("R&D 1")),
      "sent to a"));
  for (const char *Query :
       {"?host=h&path=/safe/x&customer=s3cret",
        "?host=h&path=/safe/x&customer=acme&key=s3cret",
        "?host=s3cret&path=/safe/x", "?host=h&path=/s3cret/x",
        "?host=h&path=/safe/x&token=s3cret", "?customer=s3cret"})
    BOOST_TEST(!contains(Page(Query), "s3cret"), Query);
  BOOST_TEST(
      Page("?host=h&path=/safe/x&customer=s3cret").starts_with("HTTP/1.1 404"));
  for (const char *Query : {"", "?host=h", "?path=/safe/x", "?host=h&path=x"})
    BOOST_TEST(Page(Query).starts_with("HTTP/1.1 400"), Query);
}

// Guards against an observer that changes the choice, or is told less than
// everything.
BOOST_AUTO_TEST_CASE(ObservedChoicesAreTheSame) {
  struct Counter final : ChoiceObserver {
    void ranked(const Upstream &, Duration) override { ++m_Ranked; }
    void judged(const Upstream &, Verdict Result) override {
      m_Selected += Result == Verdict::Selected ? 1 : 0;
    }
    unsigned m_Ranked = 0;
    unsigned m_Selected = 0;
  };
  for (RetrySafety Safety : {RetrySafety::Safe, RetrySafety::Upload})
    for (unsigned Seed = 0; Seed < 300; ++Seed) {
      TwoRegions Systems[2];
      Choice Choices[2];
      Counter Seen;
      for (int I = 0; I < 2; ++I) {
        Systems[I].m_Route.m_RetrySafety = Safety;
        std::uint64_t Random = stableHash("state", Seed);
        Systems[I].m_Table.forEach([&](Upstream &Target) {
          Random = stableHash("next", Random);
          Target.m_InFlight = unsigned(Random % 8);
          if (Random % 7 == 0)
            Target.m_ColdUntil = Start + 1s;
          if (Random % 11 == 0)
            (void)Target.m_RateLimit.apply({5, Start - 1s});
        });
        ChoiceInput Input = Systems[I].input(int(Seed));
        Input.m_LocalShare = 0.5;
        Input.m_MayOverflow = Seed % 3 != 0;
        Input.m_Observer = I == 0 ? nullptr : &Seen;
        Choices[I] = chooseByKeyLocalFirst(Input, Systems[I].m_Table, Small,
                                           Systems[I].m_Tuning);
      }
      BOOST_TEST(bool(Choices[0].m_Upstream) == bool(Choices[1].m_Upstream));
      if (Choices[0].m_Upstream) {
        BOOST_TEST(Choices[0].m_Upstream->m_Registration.m_Id ==
                   Choices[1].m_Upstream->m_Registration.m_Id);
        BOOST_TEST(Seen.m_Ranked > 0U);
      }
      BOOST_TEST((Choices[0].m_RetryAfter == Choices[1].m_RetryAfter));
      BOOST_TEST(Seen.m_Selected == (Choices[1].m_Upstream ? 1U : 0U));
    }
}

BOOST_AUTO_TEST_SUITE_END()
