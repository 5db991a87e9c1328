/// \file
/// Following the store's tables and applying their rows.
#include "gateway/belief.h"

#include "observe/log.h"

#include <algorithm>

namespace mustardspoke::steer {
namespace {

/// One wait of a feed; each costs a call, and a silent link shows after it.
constexpr Duration FeedWait = 20s;
/// The same where whole readings are rare, which would show it otherwise.
constexpr Duration ShortFeedWait = 3s;
/// Between whole readings for each row; about 350 bytes of an answer, so that
/// readings take 44 KB/s at most.
constexpr Duration PerRow = 8ms;
/// Full readings that find what a feed has missed. Upstreams must be known to
/// leave within 2 s at the strictest deployment.
constexpr Duration ReadUpstreamsEvery = 3s;
constexpr Duration ReadOperatorsEvery = 3s;
constexpr Duration ReadVmsEvery = 8s;
/// Time within which a VM notices that it has to follow the store.
constexpr Duration FollowerCheck = 200ms;
constexpr Duration AfterFailure = 300ms;
/// Between two answers of a feed, so that a series of changes costs few calls.
constexpr Duration FeedEvery = 250ms;
Json textOf(const EntryVm &One) {
  Json To = Json::object();
  To.set("incarnation", Json(One.m_Incarnation));
  To.set("region", Json(One.m_Region.str()));
  To.set("domain", Json(One.m_Domain.str()));
  To.set("callers", Json(One.m_CallerAddress));
  To.set("peers", Json(One.m_PeerAddress));
  return To;
}

} // namespace

Duration pauseBetweenReadings(Duration Least, std::size_t Rows) {
  return std::max(Least, PerRow * std::int64_t(Rows));
}

Belief::Belief(GatewayState &State, UpstreamPool &Pool, RowStore &Store)
    : m_State(State), m_Pool(Pool), m_Store(Store), m_FeedMayGoOn(State.m_Io) {}

void Belief::start() {
  const StoreTables &Tables = m_State.m_Decoder.m_Tables;
  struct Follow {
    std::string m_Table;
    Duration m_Every;
  };
  for (const Follow &One : {Follow{Tables.m_Operators, ReadOperatorsEvery},
                            Follow{Tables.m_Upstreams, ReadUpstreamsEvery},
                            Follow{Tables.m_Vms, ReadVmsEvery}}) {
    std::string Table = One.m_Table;
    Duration Every = One.m_Every;
    asio::co_spawn(
        m_State.m_Io, [this, Table]() { return followFeed(Table); },
        asio::detached);
    asio::co_spawn(
        m_State.m_Io,
        [this, Table, Every]() { return readAgain(Table, Every); },
        asio::detached);
  }
}

void Belief::doubt(std::string_view Why) {
  logEvent(LogLevel::Info, "tables-doubted", {{"why", std::string(Why)}});
  for (const std::string &Table : tableNames())
    m_Doubted[Table] = true;
}

void Belief::noteStore(const StoreRead &Read, std::string_view Call) {
  bool Reached = Read.m_End == StoreEnd::Done ||
                 Read.m_End == StoreEnd::Conflict ||
                 Read.m_End == StoreEnd::HistoryGone;
  if (Reached == m_StoreReached)
    return;
  m_StoreReached = Reached;
  (Reached ? m_StoreBackAt : m_StoreLostAt) = steadyNow();
  logEvent(Reached ? LogLevel::Info : LogLevel::Warning,
           Reached ? "store-reached" : "store-lost",
           {{"call", std::string(Call)}, {"cause", Read.m_Detail}});
}

bool Belief::storeJustBack() const {
  return m_StoreLostAt != TimePoint() &&
         (!m_StoreReached || steadyNow() - m_StoreBackAt < LapsedReturn);
}

awaitable<bool> Belief::readTable(std::string Table) {
  StoreRead All = co_await m_Store.read(Table);
  noteStore(All, "read " + Table);
  if (All.m_End != StoreEnd::Done)
    co_return false;
  RowCache &Cache = m_Tables[Table];
  for (StoreRow &Row : All.m_Rows) {
    Row.m_Table = Table;
    take(Row, storeJustBack());
  }
  dropMissing(Table, All.m_Rows, All.m_Version);
  Cache.recordFullRead(All.m_Version);
  std::uint64_t &From = m_FeedFrom[Table];
  From = std::max(From, All.m_Version);
  m_FeedMayGoOn.notify();
  co_return true;
}

void Belief::noteReads(bool Reads) {
  if (Reads == m_Reads)
    return;
  m_Reads = Reads;
  logEvent(LogLevel::Info, Reads ? "follows-store" : "follows-peers");
  if (!Reads) {
    // Whether the store is away is not known from here on; a loss of long ago
    // must not make later removals doubtful.
    m_StoreReached = false;
    m_StoreLostAt = {};
  }
}

awaitable<void> Belief::readAgain(std::string Table, Duration Every) {
  while (!m_State.m_Leaving) {
    Duration Pause = FollowerCheck;
    bool Reads = m_State.m_Fleet.mustFollowStore(steadyNow());
    noteReads(Reads);
    if (Reads)
      Pause = co_await readTable(Table)
                  ? pauseBetweenReadings(Every, m_Tables[Table].rows().size())
                  : AfterFailure;
    // A VM that has to follow the store from now on must not sleep longer.
    for (TimePoint Until = steadyNow() + Pause; steadyNow() < Until;) {
      co_await sleepFor(m_State.m_Io, std::min(Pause, FollowerCheck));
      bool Changed = m_State.m_Fleet.mustFollowStore(steadyNow()) != Reads;
      if (std::exchange(m_Doubted[Table], false) || Changed)
        break;
    }
  }
}

awaitable<void> Belief::followFeed(std::string Table) {
  while (!m_State.m_Leaving) {
    std::uint64_t After = m_FeedFrom[Table];
    if (After == 0 || !m_Reads) {
      // The first full reading is still under way, or others follow.
      m_FeedFrom[Table] = 0;
      co_await m_FeedMayGoOn.wait();
      continue;
    }
    Duration Pause =
        pauseBetweenReadings(ReadVmsEvery, m_Tables[Table].rows().size());
    StoreRead News = co_await m_Store.changes(
        Table, After, Pause > ReadVmsEvery ? ShortFeedWait : FeedWait);
    noteStore(News, "feed " + Table);
    if (News.m_End == StoreEnd::Done) {
      for (StoreRow &Row : News.m_Rows) {
        Row.m_Table = Table;
        take(Row, storeJustBack());
      }
      m_Tables[Table].advanceSyncedVersion(News.m_Version);
      std::uint64_t &From = m_FeedFrom[Table];
      From = std::max(From, News.m_Version);
      co_await sleepFor(m_State.m_Io, FeedEvery);
      continue;
    }
    if (News.m_End == StoreEnd::HistoryGone)
      logEvent(LogLevel::Warning, "feed-history-gone",
               {{"table", Table}, {"after", std::to_string(After)}});
    // What the feed would have told meanwhile stands in the table.
    (void)co_await readTable(Table);
    co_await sleepFor(m_State.m_Io, AfterFailure);
  }
}

awaitable<void> Belief::publish() {
  const EntryVm &Self = m_State.m_Fleet.m_Self;
  while (!m_State.m_Leaving) {
    StoreWrite One;
    One.m_Row.m_Table = m_State.m_Decoder.m_Tables.m_Vms;
    One.m_Row.m_Key = Self.m_Vm.str();
    One.m_Row.m_Value = textOf(Self).toText();
    StoreRead End = co_await m_Store.write(One);
    noteStore(End, "meeting row");
    if (End.m_End == StoreEnd::Done)
      co_return;
    co_await sleepFor(m_State.m_Io, AfterFailure);
  }
}

awaitable<void> Belief::withdraw() {
  StoreWrite One;
  One.m_Row.m_Table = m_State.m_Decoder.m_Tables.m_Vms;
  One.m_Row.m_Key = m_State.m_Fleet.m_Self.m_Vm.str();
  One.m_Row.m_Removed = true;
  StoreRead End = co_await m_Store.write(One);
  noteStore(End, "withdraw meeting row");
}

} // namespace mustardspoke::steer
