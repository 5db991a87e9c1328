/// \file
/// Applying rows to the gateway's state, and relaying rows between VMs.
#include "gateway/store_replica.h"

#include "gateway/crash_report.h"
#include "gateway/task.h"
#include "observe/log.h"

#include <algorithm>
#include <set>

namespace mustardspoke::steer {
namespace {

/// Lines about single upstreams after one read; the first read of a large
/// deployment brings more than a thousand of them.
constexpr unsigned MaxUpstreamLinesPerBatch = 16;

} // namespace

void StoreReplica::logUpstreamChange(std::vector<LogField> Fields) {
  if (m_BatchUpstreamLines++ >= MaxUpstreamLinesPerBatch)
    return;
  Fields.push_back({"source", m_BatchSource});
  logEvent(LogLevel::Info, "upstream-changed", Fields);
}

void StoreReplica::finishBatch() {
  if (m_BatchUpstreamLines > MaxUpstreamLinesPerBatch)
    logEvent(LogLevel::Info, "upstreams-changed",
             {{"changes", std::to_string(m_BatchUpstreamLines)},
              {"notListed",
               std::to_string(m_BatchUpstreamLines - MaxUpstreamLinesPerBatch)},
              {"known", std::to_string(m_State.m_Upstreams.size())},
              {"source", m_BatchSource}});
  m_BatchUpstreamLines = 0;
}

void StoreReplica::recordFullRead(const std::string &Table,
                                  std::uint64_t Version,
                                  std::string_view Source) {
  m_RowCaches[Table].recordFullRead(Version);
  if (Table != m_State.m_Decoder.m_Tables.m_Vms || Version == 0 ||
      m_State.m_Fleet.isComplete())
    return;
  m_State.m_Fleet.setComplete();
  logEvent(LogLevel::Info, "fleet-complete",
           {{"vms", std::to_string(m_State.m_Fleet.knownCount())},
            {"source", std::string(Source)}});
}

void StoreReplica::removeMissing(const std::string &Table,
                                 const std::vector<StoreRow> &Rows,
                                 std::uint64_t Version) {
  // The operator writes again what an older copy of the store lacks. Until then
  // an evacuation stays in force; a later full read ends it.
  if (Table == m_State.m_Decoder.m_Tables.m_Operators && eraJustChanged())
    return;
  RowCache &Cache = m_RowCaches[Table];
  bool Tentative = eraJustChanged() || (m_ReadsStore && storeJustReturned());
  for (const std::string &Key : Cache.missingKeys(Rows, Version)) {
    Cache.remove(Key, Version);
    noteChangeBesideFeed(Table, Version);
    applyRow({Table, Key, {}, Version, true}, Tentative);
  }
}

void StoreReplica::putRow(const StoreRow &Row, bool Tentative) {
  if (!m_RowCaches[Row.m_Table].put(Row))
    return;
  noteChangeBesideFeed(Row.m_Table, Row.m_Version);
  applyRow(Row, Tentative);
}

void StoreReplica::applyRow(const StoreRow &Row, bool Tentative) {
  const StoreTables &Tables = m_State.m_Decoder.m_Tables;
  if (Row.m_Table == Tables.m_Operators)
    applyOperatorRow(Row);
  else if (Row.m_Table == Tables.m_Upstreams)
    applyUpstreamRow(Row, Tentative);
  else if (Row.m_Table == Tables.m_Vms)
    applyVmRow(Row);
}

void StoreReplica::applyOperatorRow(const StoreRow &Row) {
  OperatorRow Decoded = m_State.m_Decoder.m_DecodeOperatorRow(Row);
  if (Decoded.m_Kind == OperatorRow::Kind::Evacuation)
    return applyEvacuations();
  if (Decoded.m_Kind != OperatorRow::Kind::Routes)
    return;
  if (!Decoded.m_Routes) {
    logEvent(
        LogLevel::Error, "configuration-unreadable",
        {{"row", formatPosition(Row.m_Version)}, {"cause", Decoded.m_Error}});
    return;
  }
  if (m_State.m_Routes &&
      m_State.m_Routes->m_Version >= Decoded.m_Routes->m_Version)
    return;
  TimePoint Now = steadyNow();
  std::optional<Duration> Lag =
      m_State.m_Freshness.lag(m_State.routesVersion(), Now);
  m_State.m_Routes = Decoded.m_Routes;
  m_State.m_RoutesAdoptedAt = Now;
  m_State.m_Quotas.setQuotas(Decoded.m_Routes->m_Customers, steadyNow());
  for (const std::string &Warning : Decoded.m_Warnings)
    logEvent(LogLevel::Warning, "configuration-warning",
             {{"row", formatPosition(Row.m_Version)}, {"cause", Warning}});
  logEvent(LogLevel::Info, "configuration-adopted",
           {{"version", std::to_string(Decoded.m_Routes->m_Version)},
            {"routes", std::to_string(Decoded.m_Routes->size())},
            {"customers", std::to_string(Decoded.m_Routes->m_Customers.size())},
            {"row", formatPosition(Row.m_Version)},
            {"source", m_BatchSource},
            {"behindMs", Lag ? std::to_string(toMillis(*Lag)) : ""}});
  // Peers would learn of it with one of the next regular heartbeats.
  if (m_State.m_OnNews)
    m_State.m_OnNews();
}

void StoreReplica::applyEvacuations() {
  std::set<FailureDomainName> Domains;
  for (const auto &[Key, Row] :
       m_RowCaches[m_State.m_Decoder.m_Tables.m_Operators].rows()) {
    if (Row.m_Removed)
      continue;
    OperatorRow Decoded = m_State.m_Decoder.m_DecodeOperatorRow(Row);
    if (Decoded.m_Kind == OperatorRow::Kind::Evacuation)
      Domains.insert(Decoded.m_Evacuated);
  }
  if (Domains == m_State.m_Upstreams.evacuatedDomains())
    return;
  std::string Names;
  for (const FailureDomainName &Domain : Domains)
    Names += (Names.empty() ? "" : " ") + Domain.str();
  logEvent(LogLevel::Info, "evacuations-changed", {{"domains", Names}});
  m_State.m_Upstreams.setEvacuatedDomains(std::move(Domains));
}

void StoreReplica::applyUpstreamRow(const StoreRow &Row, bool Tentative) {
  if (Row.m_Removed) {
    UpstreamPtr Known = m_State.m_Upstreams.find(Row.m_Key);
    // A peer that never lost the store knows better than this VM or its reader.
    if (Known && Known->isUsable() && Tentative &&
        !m_State.m_Upstreams.wasRemoved(Known->m_Registration, steadyNow())) {
      m_State.m_Upstreams.setRemovalInDoubt(*Known);
      logUpstreamChange({{"upstream", Row.m_Key}, {"change", "in-doubt"}});
      startTask(
          m_State.m_Io, "delayed-removal",
          [this, Id = Row.m_Key, Version = Row.m_Version]() {
            return removeUpstreamLater(Id, Version);
          },
          [this, Id = Row.m_Key] { removeUpstream(Id); });
    } else {
      removeUpstream(Row.m_Key);
    }
    return;
  }
  UpstreamRow Decoded = m_State.m_Decoder.m_DecodeUpstreamRow(
      Row, m_State.m_Settings.m_RegionByDomain);
  if (!Decoded.m_Facts) {
    logEvent(LogLevel::Warning, "registration-unreadable",
             {{"upstream", Row.m_Key}, {"cause", Decoded.m_Error}});
    removeUpstream(Row.m_Key);
    return;
  }
  if (isInDoubt(Row))
    logUpstreamChange({{"upstream", Row.m_Key}, {"change", "returned"}});
  UpstreamPtr Before = m_State.m_Upstreams.find(Row.m_Key);
  UpstreamRunKey RunBefore = Before ? runKey(Before->m_Registration) : 0;
  auto Change = m_State.m_Upstreams.put(*Decoded.m_Facts, steadyNow());
  if (!Change)
    return;
  if (Change->m_Kind == UpstreamChange::Kind::Restarted)
    confirmEnd(m_State, RunBefore, Row.m_Key);
  using Kind = UpstreamChange::Kind;
  constexpr const char *Names[] = {"added", "changed", "leaving", "removed",
                                   "reborn"};
  if (Change->m_Kind == Kind::Leaving || Change->m_Kind == Kind::Restarted ||
      Change->m_Kind == Kind::Changed)
    m_Pool.closeIdle(*Change->m_Upstream);
  logUpstreamChange(
      {{"upstream", Row.m_Key},
       {"change", Names[std::size_t(Change->m_Kind)]},
       {"service", Decoded.m_Facts->m_Service.str()},
       {"address", Decoded.m_Facts->m_Address},
       {"coldMs", std::to_string(toMillis(Decoded.m_Facts->m_WarmUpRemaining))},
       {"row", formatPosition(Row.m_Version)}});
}

bool StoreReplica::isInDoubt(const StoreRow &Row) const {
  if (Row.m_Table != m_State.m_Decoder.m_Tables.m_Upstreams)
    return false;
  UpstreamPtr Known = m_State.m_Upstreams.find(Row.m_Key);
  return Known && Known->m_RemovalInDoubt;
}

void StoreReplica::removeUpstream(const std::string &Id) {
  auto Change = m_State.m_Upstreams.remove(Id, steadyNow());
  if (!Change)
    return;
  m_Pool.closeIdle(*Change->m_Upstream);
  logUpstreamChange({{"upstream", Id}, {"change", "removed"}});
  const Upstream &Removed = *Change->m_Upstream;
  if (!Removed.m_AnnouncedLeaving && !Removed.m_Registration.m_Leaving)
    confirmEnd(m_State, runKey(Removed.m_Registration), Id);
}

awaitable<void> StoreReplica::removeUpstreamLater(std::string Id,
                                                  std::uint64_t Version) {
  co_await sleepFor(m_State.m_Io, ReregistrationTime);
  beginBatch("delayed removal");
  const auto &Rows = m_RowCaches[m_State.m_Decoder.m_Tables.m_Upstreams].rows();
  auto Found = Rows.find(Id);
  if (Found != Rows.end() && Found->second.m_Removed &&
      Found->second.m_Version == Version)
    removeUpstream(Id);
  finishBatch();
}

void StoreReplica::receivedDepartures(std::span<const UpstreamRunKey> Announced,
                                      std::span<const UpstreamRunKey> Removed,
                                      const VmName &Peer) {
  beginBatch("heartbeat");
  UpstreamTable &Upstreams = m_State.m_Upstreams;
  for (UpstreamRunKey Run : Announced) {
    if (!Upstreams.announceLeaving(Run, steadyNow()))
      continue;
    UpstreamPtr Target = Upstreams.findRun(Run);
    if (!Target)
      continue;
    m_Pool.closeIdle(*Target);
    logUpstreamChange({{"upstream", Target->m_Registration.m_Id},
                       {"change", "announced-leaving"},
                       {"peer", Peer.str()}});
  }
  for (UpstreamRunKey Run : Removed)
    if (UpstreamPtr Doubted = Upstreams.removedByPeer(Run, steadyNow())) {
      logUpstreamChange({{"upstream", Doubted->m_Registration.m_Id},
                         {"change", "doubt-ended"},
                         {"peer", Peer.str()}});
      removeUpstream(Doubted->m_Registration.m_Id);
    }
  finishBatch();
}

void StoreReplica::applyVmRow(const StoreRow &Row) {
  if (Row.m_Key.starts_with(CrashRowPrefix))
    return applyCrashRow(Row);
  VmName Vm(Row.m_Key);
  if (Row.m_Removed) {
    // A live VM writes its row again in a new era of the store.
    if (!eraJustChanged() || !m_State.m_Fleet.isAlive(Vm, steadyNow()))
      m_State.m_Fleet.removePeer(Vm);
    return;
  }
  JsonResult Parsed = parseJson(Row.m_Value);
  if (!Parsed) {
    logEvent(LogLevel::Warning, "meeting-row-unreadable",
             {{"vm", Row.m_Key}, {"cause", Parsed.m_Error}});
    return;
  }
  EntryVm Peer;
  Peer.m_Vm = Vm;
  Peer.m_Incarnation =
      std::uint64_t(Parsed.m_Value.integerOr("incarnation", 0));
  Peer.m_Region = RegionName(Parsed.m_Value.textOr("region", ""));
  Peer.m_Domain = FailureDomainName(Parsed.m_Value.textOr("domain", ""));
  Peer.m_CallerAddress = Parsed.m_Value.textOr("callers", "");
  Peer.m_PeerAddress = Parsed.m_Value.textOr("peers", "");
  m_State.m_Fleet.addPeer(Peer);
}

std::vector<std::string> StoreReplica::tableNames() const {
  const StoreTables &Tables = m_State.m_Decoder.m_Tables;
  return {Tables.m_Operators, Tables.m_Upstreams, Tables.m_Vms};
}

std::vector<std::uint64_t> StoreReplica::syncedVersions() const {
  std::vector<std::uint64_t> Result;
  for (const std::string &Table : tableNames()) {
    auto Found = m_RowCaches.find(Table);
    Result.push_back(
        Found == m_RowCaches.end() ? 0 : Found->second.syncedVersion());
  }
  return Result;
}

RelayedRows
StoreReplica::relayedRows(std::span<const std::uint64_t> After) const {
  RelayedRows Result;
  std::vector<std::string> Names = tableNames();
  bool SendAll = After.size() != Names.size();
  for (std::size_t I = 0; !SendAll && I < Names.size(); ++I) {
    auto Found = m_RowCaches.find(Names[I]);
    SendAll =
        Found == m_RowCaches.end() || !Found->second.hasChangesSince(After[I]);
  }
  for (std::size_t I = 0; I < Names.size(); ++I) {
    auto Found = m_RowCaches.find(Names[I]);
    if (Found == m_RowCaches.end())
      continue;
    for (const auto &[Key, Row] : Found->second.rows())
      // A tentative removal must not be relayed as a final one.
      if (SendAll ? !Row.m_Removed || isInDoubt(Row) : Row.m_Version > After[I])
        Result.m_Rows.push_back({Row, Row.m_Removed && isInDoubt(Row)});
  }
  Result.m_IsFullRead = SendAll;
  Result.m_SyncedVersions = syncedVersions();
  return Result;
}

void StoreReplica::applyRelayedRows(const RelayedRows &Rows) {
  // A table that the peer hasn't read yet has version 0, which is of no era.
  for (std::uint64_t Version : Rows.m_SyncedVersions)
    if (Version != 0)
      noteEra(eraOf(Version), "peer");
  beginBatch("peer");
  std::vector<std::string> Names = tableNames();
  std::map<std::string, std::vector<StoreRow>> ByTable;
  for (const RelayedRow &Relayed : Rows.m_Rows) {
    const StoreRow &Row = Relayed.m_Row;
    if (std::find(Names.begin(), Names.end(), Row.m_Table) == Names.end())
      continue;
    putRow(Row, Relayed.m_Tentative);
    ByTable[Row.m_Table].push_back(Row);
  }
  for (std::size_t I = 0; I < Names.size() && I < Rows.m_SyncedVersions.size();
       ++I) {
    if (Rows.m_IsFullRead) {
      removeMissing(Names[I], ByTable[Names[I]], Rows.m_SyncedVersions[I]);
      recordFullRead(Names[I], Rows.m_SyncedVersions[I], "peer");
    }
    m_RowCaches[Names[I]].advanceSyncedVersion(Rows.m_SyncedVersions[I]);
  }
  finishBatch();
}

} // namespace mustardspoke::steer
