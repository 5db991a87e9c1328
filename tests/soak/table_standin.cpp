/// \file
/// Rows, conditional writes and feeds of the store stand-in.
#include "soak/table_standin.h"

#include "config/base64.h"
#include "json/json.h"

#include <cstdlib>

namespace mustardspoke::soak {

using namespace steer;
using test::ServerSide;

namespace {

constexpr Duration FeedLook = 5ms;
constexpr Duration SlowAnswer = 1s;

std::uint64_t numberIn(const std::string &Target, const char *Name) {
  return std::strtoull(queryValue(Target, Name).c_str(), nullptr, 10);
}

std::string answerOf(unsigned Status, const std::string &Body) {
  return completeResponse(Status, "application/json", Body);
}

} // namespace

TableStandIn::TableStandIn(asio::io_context &Io, const std::string &Address)
    : m_Io(Io), m_On(Io, parseEndpoint<Tcp>(Address).value()) {
  test::acceptEach(m_Io, m_On, [this](Tcp::socket One) {
    auto Side = std::make_shared<ServerSide>(m_Io, std::move(One));
    test::spawn(m_Io, [this, Side]() { return serve(Side); });
  });
}

void TableStandIn::put(const std::string &Table, const std::string &Key,
                       const std::string &Value) {
  m_Tables[Table][Key] = {Value, ++m_Version, false};
}

void TableStandIn::remove(const std::string &Table, const std::string &Key) {
  m_Tables[Table][Key] = {{}, ++m_Version, true};
}

awaitable<void> TableStandIn::serve(std::shared_ptr<ServerSide> Side) {
  while (!(co_await Side->readRequest()).empty()) {
    while (m_Mode == TableMode::Silent)
      co_await Side->sleep(FeedLook);
    if (m_Mode == TableMode::Busy) {
      co_await Side->sendRaw(answerOf(503, "{}"));
      continue;
    }
    if (m_Mode == TableMode::Slow)
      co_await Side->sleep(SlowAnswer);
    std::string Answer = co_await execute(*Side);
    if (m_Mode == TableMode::LoseAnswers) {
      Side->close();
      co_return;
    }
    co_await Side->sendRaw(std::move(Answer));
  }
}

awaitable<std::string> TableStandIn::execute(ServerSide &Side) {
  std::string Target = Side.head().m_Target;
  std::string Call = Target.substr(0, Target.find('?'));
  if (Call.ends_with("rows-get"))
    co_return read(Target);
  if (Call.ends_with("rows-feed"))
    co_return co_await feed(Target);
  if (Call.ends_with("rows-tx"))
    co_return transact(Side.body());
  co_return answerOf(404, "{}");
}

std::string TableStandIn::read(const std::string &Target) const {
  std::string Name = queryValue(Target, "table");
  Json Rows = Json::array();
  auto Found = m_Tables.find(Name);
  if (Found != m_Tables.end())
    for (const auto &[Key, Row] : Found->second) {
      if (Row.m_Removed || Key < queryValue(Target, "from"))
        continue;
      Json One = Json::object();
      One.set("table", Json(Name)).set("key", Json(Key));
      One.set("value", Json(encodeBase64(Row.m_Value)));
      One.set("ver", Json(Row.m_Version));
      Rows.push(std::move(One));
    }
  Json Body = Json::object();
  Body.set("rows", std::move(Rows)).set("ver", Json(m_Version));
  return answerOf(200, Body.toText());
}

awaitable<std::string> TableStandIn::feed(std::string Target) {
  std::string Name = queryValue(Target, "table");
  std::uint64_t After = numberIn(Target, "after");
  TimePoint End = steadyNow() + numberIn(Target, "waitMs") * 1ms;
  for (;;) {
    if (After < m_Oldest)
      co_return answerOf(410, "{}");
    std::map<std::uint64_t, Json> Changed; // In the order of their versions.
    for (const auto &[Key, Row] : m_Tables[Name]) {
      if (Row.m_Version <= After)
        continue;
      Json One = Json::object();
      One.set("table", Json(Name)).set("key", Json(Key));
      One.set("value", Json(encodeBase64(Row.m_Value)));
      One.set("ver", Json(Row.m_Version)).set("removed", Json(Row.m_Removed));
      Changed[Row.m_Version] = std::move(One);
    }
    if (!Changed.empty() || steadyNow() >= End) {
      Json Rows = Json::array();
      for (auto &[Version, One] : Changed)
        Rows.push(std::move(One));
      Json Body = Json::object();
      Body.set("rows", std::move(Rows)).set("ver", Json(m_Version));
      co_return answerOf(200, Body.toText());
    }
    co_await steer::sleepFor(m_Io, FeedLook);
  }
}

std::string TableStandIn::transact(const std::string &Body) {
  JsonResult Parsed = parseJson(Body);
  auto Each = [&Parsed](const char *Key, const auto &Visit) {
    if (const Json *List = Parsed.m_Value.find(Key))
      for (const Json &One : List->items())
        Visit(One, One.textOr("table", ""), One.textOr("key", ""));
  };
  bool Holds = true;
  Each("expect",
       [&](const Json &One, const std::string &Table, const std::string &Key) {
         const Row &Known = m_Tables[Table][Key];
         std::uint64_t Version = Known.m_Removed ? 0 : Known.m_Version;
         Holds = Holds && Version == std::uint64_t(One.integerOr("ver", 0));
       });
  if (!Holds)
    return answerOf(412, "{}");
  Each("writes",
       [&](const Json &One, const std::string &Table, const std::string &Key) {
         put(Table, Key, decodeBase64(One.textOr("value", "")).value_or(""));
       });
  Each("remove", [&](const Json & /*One*/, const std::string &Table,
                     const std::string &Key) { remove(Table, Key); });
  Json Done = Json::object();
  Done.set("ver", Json(m_Version));
  return answerOf(200, Done.toText());
}

} // namespace mustardspoke::soak
