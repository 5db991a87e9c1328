/// \file
/// What rows mean: routes, evacuations, registrations and peers taken over, and
/// rows passed from VM to VM.
#include "gateway/belief.h"

#include "observe/log.h"

#include <algorithm>

namespace mustardspoke::steer {

void Belief::dropMissing(const std::string &Table,
                         const std::vector<StoreRow> &All, std::uint64_t AsOf) {
  RowCache &Cache = m_Tables[Table];
  for (const std::string &Key : Cache.missing(All, AsOf)) {
    Cache.remove(Key, AsOf);
    apply({Table, Key, {}, AsOf, true}, m_Reads && storeJustBack());
  }
}

void Belief::take(const StoreRow &Row, bool Doubtful) {
  if (m_Tables[Row.m_Table].put(Row))
    apply(Row, Doubtful);
}

void Belief::apply(const StoreRow &Row, bool Doubtful) {
  const StoreTables &Tables = m_State.m_Decoder.m_Tables;
  if (Row.m_Table == Tables.m_Operators)
    applyOperator(Row);
  else if (Row.m_Table == Tables.m_Upstreams)
    applyUpstream(Row, Doubtful);
  else if (Row.m_Table == Tables.m_Vms)
    applyVm(Row);
}

void Belief::applyOperator(const StoreRow &Row) {
  OperatorRow What = m_State.m_Decoder.m_Operator(Row);
  if (What.m_Kind == OperatorRow::Kind::Evacuation)
    return applyEvacuations();
  if (What.m_Kind != OperatorRow::Kind::Routes)
    return;
  if (!What.m_Routes) {
    logEvent(LogLevel::Error, "configuration-unreadable",
             {{"row", std::to_string(Row.m_Version)}, {"cause", What.m_Fault}});
    return;
  }
  if (m_State.m_Routes &&
      m_State.m_Routes->m_Version >= What.m_Routes->m_Version)
    return;
  m_State.m_Routes = What.m_Routes;
  logEvent(LogLevel::Info, "configuration-adopted",
           {{"version", std::to_string(What.m_Routes->m_Version)},
            {"routes", std::to_string(What.m_Routes->size())},
            {"row", std::to_string(Row.m_Version)}});
}

void Belief::applyEvacuations() {
  std::set<FailureDomainName> Domains;
  for (const auto &[Key, Row] :
       m_Tables[m_State.m_Decoder.m_Tables.m_Operators].rows()) {
    if (Row.m_Removed)
      continue;
    OperatorRow What = m_State.m_Decoder.m_Operator(Row);
    if (What.m_Kind == OperatorRow::Kind::Evacuation)
      Domains.insert(What.m_Evacuated);
  }
  if (Domains == m_State.m_Upstreams.evacuated())
    return;
  std::string Names;
  for (const FailureDomainName &One : Domains)
    Names += (Names.empty() ? "" : " ") + One.str();
  logEvent(LogLevel::Info, "evacuations-changed", {{"domains", Names}});
  m_State.m_Upstreams.evacuate(std::move(Domains));
}

void Belief::applyUpstream(const StoreRow &Row, bool Doubtful) {
  if (Row.m_Removed) {
    UpstreamPtr Known = m_State.m_Upstreams.find(Row.m_Key);
    if (Known && Known->usable() && Doubtful) {
      m_RemovedLater.insert(Row.m_Key);
      asio::co_spawn(
          m_State.m_Io,
          [this, Id = Row.m_Key, Version = Row.m_Version]() {
            return removeLater(Id, Version);
          },
          asio::detached);
    } else {
      removeUpstream(Row.m_Key);
    }
    return;
  }
  UpstreamRow What =
      m_State.m_Decoder.m_Upstream(Row, m_State.m_Settings.m_Regions);
  if (!What.m_Facts) {
    logEvent(LogLevel::Warning, "registration-unreadable",
             {{"upstream", Row.m_Key}, {"cause", What.m_Fault}});
    removeUpstream(Row.m_Key);
    return;
  }
  auto Change = m_State.m_Upstreams.put(*What.m_Facts, steadyNow());
  if (!Change)
    return;
  using Kind = UpstreamChange::Kind;
  constexpr const char *Names[] = {"added", "changed", "leaving", "removed",
                                   "reborn"};
  if (Change->m_Kind == Kind::Leaving || Change->m_Kind == Kind::Reborn ||
      Change->m_Kind == Kind::Changed)
    m_Pool.drop(*Change->m_Upstream);
  logEvent(LogLevel::Info, "upstream-changed",
           {{"upstream", Row.m_Key},
            {"change", Names[std::size_t(Change->m_Kind)]},
            {"service", What.m_Facts->m_Service.str()},
            {"address", What.m_Facts->m_Address},
            {"coldMs", std::to_string(toMillis(What.m_Facts->m_ColdFor))},
            {"row", std::to_string(Row.m_Version)}});
}

void Belief::removeUpstream(const std::string &Id) {
  auto Change = m_State.m_Upstreams.remove(Id);
  if (!Change)
    return;
  m_Pool.drop(*Change->m_Upstream);
  logEvent(LogLevel::Info, "upstream-changed",
           {{"upstream", Id}, {"change", "removed"}});
}

awaitable<void> Belief::removeLater(std::string Id, std::uint64_t Version) {
  co_await sleepFor(m_State.m_Io, LapsedReturn);
  m_RemovedLater.erase(Id);
  const auto &Rows = m_Tables[m_State.m_Decoder.m_Tables.m_Upstreams].rows();
  auto Found = Rows.find(Id);
  if (Found != Rows.end() && Found->second.m_Removed &&
      Found->second.m_Version == Version)
    removeUpstream(Id);
}

void Belief::applyVm(const StoreRow &Row) {
  VmName Vm(Row.m_Key);
  if (Row.m_Removed) {
    m_State.m_Fleet.part(Vm);
    return;
  }
  JsonResult Parsed = parseJson(Row.m_Value);
  if (!Parsed) {
    logEvent(LogLevel::Warning, "meeting-row-unreadable",
             {{"vm", Row.m_Key}, {"cause", Parsed.m_Error}});
    return;
  }
  EntryVm One;
  One.m_Vm = Vm;
  One.m_Incarnation = std::uint64_t(Parsed.m_Value.integerOr("incarnation", 0));
  One.m_Region = RegionName(Parsed.m_Value.textOr("region", ""));
  One.m_Domain = FailureDomainName(Parsed.m_Value.textOr("domain", ""));
  One.m_CallerAddress = Parsed.m_Value.textOr("callers", "");
  One.m_PeerAddress = Parsed.m_Value.textOr("peers", "");
  m_State.m_Fleet.meet(One);
}

std::vector<std::string> Belief::tableNames() const {
  const StoreTables &Tables = m_State.m_Decoder.m_Tables;
  return {Tables.m_Operators, Tables.m_Upstreams, Tables.m_Vms};
}

std::vector<std::uint64_t> Belief::reach() const {
  std::vector<std::uint64_t> Result;
  for (const std::string &Table : tableNames()) {
    auto Found = m_Tables.find(Table);
    Result.push_back(Found == m_Tables.end() ? 0 : Found->second.reach());
  }
  return Result;
}

CarriedRows Belief::carried(std::span<const std::uint64_t> After) const {
  CarriedRows Result;
  std::vector<std::string> Names = tableNames();
  bool Whole = After.size() != Names.size();
  for (std::size_t I = 0; !Whole && I < Names.size(); ++I) {
    auto Found = m_Tables.find(Names[I]);
    Whole = Found == m_Tables.end() || !Found->second.knowsSince(After[I]);
  }
  for (std::size_t I = 0; I < Names.size(); ++I) {
    auto Found = m_Tables.find(Names[I]);
    if (Found == m_Tables.end())
      continue;
    for (const auto &[Key, Row] : Found->second.rows())
      // A removal that may be taken back must not look like a settled one.
      if (Whole ? !Row.m_Removed || m_RemovedLater.contains(Key)
                : Row.m_Version > After[I])
        Result.m_Rows.push_back(
            {Row, Row.m_Removed && m_RemovedLater.contains(Key)});
  }
  Result.m_Whole = Whole;
  Result.m_Reach = reach();
  return Result;
}

void Belief::takeOver(const CarriedRows &Rows) {
  std::vector<std::string> Names = tableNames();
  std::map<std::string, std::vector<StoreRow>> ByTable;
  for (const CarriedRow &One : Rows.m_Rows) {
    const StoreRow &Row = One.m_Row;
    if (std::find(Names.begin(), Names.end(), Row.m_Table) == Names.end())
      continue;
    take(Row, One.m_Doubtful);
    ByTable[Row.m_Table].push_back(Row);
  }
  for (std::size_t I = 0; I < Names.size() && I < Rows.m_Reach.size(); ++I) {
    RowCache &Cache = m_Tables[Names[I]];
    if (Rows.m_Whole) {
      dropMissing(Names[I], ByTable[Names[I]], Rows.m_Reach[I]);
      Cache.readWhole(Rows.m_Reach[I]);
    }
    Cache.reached(Rows.m_Reach[I]);
  }
}

} // namespace mustardspoke::steer
