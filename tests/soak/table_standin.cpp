/// \file
/// Reads, conditional writes and change feeds of the store stand-in.
#include "soak/table_standin.h"

#include "config/base64.h"
#include "json/json.h"

#include <algorithm>
#include <cstdlib>

namespace mustardspoke::soak {

using namespace steer;
using test::ServerSide;

namespace {

constexpr Duration PollInterval = 5ms;
constexpr Duration SlowAnswer = 1s;

std::uint64_t queryNumber(const std::string &Target, const char *Name) {
  return std::strtoull(queryValue(Target, Name).c_str(), nullptr, 10);
}

std::string jsonAnswer(unsigned Status, const std::string &Body) {
  return completeResponse(Status, "application/json", Body);
}

} // namespace

TableStandIn::TableStandIn(asio::io_context &Io, const std::string &Address)
    : m_Io(Io), m_Acceptor(Io, parseEndpoint<Tcp>(Address).value()) {
  test::acceptEach(m_Io, m_Acceptor, [this](Tcp::socket Socket) {
    auto Connection = std::make_shared<ServerSide>(m_Io, std::move(Socket));
    test::spawn(m_Io, [this, Connection]() { return serve(Connection); });
  });
}

void TableStandIn::put(const std::string &Table, const std::string &Key,
                       const std::string &Value) {
  m_Tables[Table][Key] = {Value, ++m_Version, false};
}

void TableStandIn::remove(const std::string &Table, const std::string &Key) {
  m_Tables[Table][Key] = {{}, ++m_Version, true};
}

void TableStandIn::comeBackOlder() {
  m_Lost = std::exchange(m_Tables, m_BackUp.m_Tables);
  m_Version = m_BackUp.m_Version;
  m_OldestVersion = std::min(m_OldestVersion, m_Version);
  ++m_Era;
}

void TableStandIn::rewriteLostRows() {
  for (const char *Name : {"op", "servers"}) {
    const Table &Old = m_BackUp.m_Tables[Name];
    for (const auto &[Key, Lost] : m_Lost[Name]) {
      // Rows that were written since then are newer.
      auto Copied = Old.find(Key);
      bool Same =
          Copied != Old.end() && Copied->second.m_Version == Lost.m_Version;
      Row Current = m_Tables[Name][Key];
      bool Untouched = Current.m_Version <= m_BackUp.m_Version;
      if (Same || !Untouched)
        continue;
      if (Lost.m_Removed)
        remove(Name, Key);
      else
        put(Name, Key, Lost.m_Value);
    }
  }
  m_Lost.clear();
}

awaitable<void> TableStandIn::serve(std::shared_ptr<ServerSide> Connection) {
  while (!(co_await Connection->readRequest()).empty()) {
    if (m_Mode == TableMode::Silent)
      co_return co_await staySilent(*Connection);
    if (m_Mode == TableMode::Busy) {
      co_await Connection->sendRaw(jsonAnswer(503, "{}"));
      continue;
    }
    if (m_Mode == TableMode::Slow)
      co_await Connection->sleep(SlowAnswer);
    std::string Answer = co_await execute(*Connection);
    // An answer that falls due in the silence is lost.
    if (m_Mode == TableMode::Silent)
      co_return co_await staySilent(*Connection);
    constexpr std::string_view LineEnd = "\r\n";
    Answer.insert(Answer.find(LineEnd) + LineEnd.size(),
                  "Store-Era: " + std::to_string(m_Era) + "\r\n");
    if (m_Mode == TableMode::LoseAnswers) {
      Connection->close();
      co_return;
    }
    co_await Connection->sendRaw(std::move(Answer));
  }
}

awaitable<void> TableStandIn::staySilent(ServerSide &Connection) {
  while (!Connection.peerClosed())
    co_await Connection.sleep(PollInterval);
}

awaitable<std::string> TableStandIn::execute(ServerSide &Connection) {
  std::string Target = Connection.head().m_Target;
  std::string Call = Target.substr(0, Target.find('?'));
  if (Call.ends_with("rows-get"))
    co_return read(Target);
  if (Call.ends_with("rows-feed"))
    co_return co_await feed(Target);
  if (Call.ends_with("rows-tx"))
    co_return transact(Connection.body());
  co_return jsonAnswer(404, "{}");
}

std::string TableStandIn::read(const std::string &Target) const {
  std::string Name = queryValue(Target, "table");
  std::string From = queryValue(Target, "from");
  Json Rows = Json::array();
  bool HasMore = false;
  auto Found = m_Tables.find(Name);
  if (Found != m_Tables.end())
    for (const auto &[Key, Row] : Found->second) {
      if (Row.m_Removed || Key < From)
        continue;
      HasMore = Rows.items().size() == m_PageSize;
      if (HasMore)
        break;
      Json Entry = Json::object();
      Entry.set("table", Json(Name)).set("key", Json(Key));
      Entry.set("value", Json(encodeBase64(Row.m_Value)));
      Entry.set("ver", Json(Row.m_Version));
      Rows.push(std::move(Entry));
    }
  Json Body = Json::object();
  Body.set("rows", std::move(Rows)).set("ver", Json(m_Version));
  Body.set("hasMore", Json(HasMore));
  return jsonAnswer(200, Body.toText());
}

awaitable<std::string> TableStandIn::feed(std::string Target) {
  std::string Name = queryValue(Target, "table");
  std::uint64_t After = queryNumber(Target, "after");
  TimePoint End = steadyNow() + queryNumber(Target, "waitMs") * 1ms;
  for (;;) {
    if (After < m_OldestVersion || After > m_Version)
      co_return jsonAnswer(410, "{}");
    std::map<std::uint64_t, Json> Changed; // Ordered by version.
    for (const auto &[Key, Row] : m_Tables[Name]) {
      if (Row.m_Version <= After)
        continue;
      Json Entry = Json::object();
      Entry.set("table", Json(Name)).set("key", Json(Key));
      Entry.set("value", Json(encodeBase64(Row.m_Value)));
      Entry.set("ver", Json(Row.m_Version)).set("removed", Json(Row.m_Removed));
      Changed[Row.m_Version] = std::move(Entry);
    }
    if (!Changed.empty() || steadyNow() >= End) {
      Json Rows = Json::array();
      for (auto &[Version, Entry] : Changed)
        Rows.push(std::move(Entry));
      Json Body = Json::object();
      Body.set("rows", std::move(Rows)).set("ver", Json(m_Version));
      co_return jsonAnswer(200, Body.toText());
    }
    co_await steer::sleepFor(m_Io, PollInterval);
  }
}

std::string TableStandIn::transact(const std::string &Body) {
  JsonResult Parsed = parseJson(Body);
  auto Each = [&Parsed](const char *Key, const auto &Visit) {
    if (const Json *List = Parsed.m_Value.find(Key))
      for (const Json &Entry : List->items())
        Visit(Entry, Entry.textOr("table", ""), Entry.textOr("key", ""));
  };
  bool Holds = true;
  Each("expect", [&](const Json &Entry, const std::string &Table,
                     const std::string &Key) {
    const Row &Known = m_Tables[Table][Key];
    std::uint64_t Version = Known.m_Removed ? 0 : Known.m_Version;
    Holds = Holds && Version == std::uint64_t(Entry.integerOr("ver", 0));
  });
  if (!Holds)
    return jsonAnswer(412, "{}");
  Each("writes", [&](const Json &Entry, const std::string &Table,
                     const std::string &Key) {
    put(Table, Key, decodeBase64(Entry.textOr("value", "")).value_or(""));
  });
  Each("remove", [&](const Json & /*Entry*/, const std::string &Table,
                     const std::string &Key) { remove(Table, Key); });
  Json Done = Json::object();
  Done.set("ver", Json(m_Version));
  return jsonAnswer(200, Done.toText());
}

} // namespace mustardspoke::soak
