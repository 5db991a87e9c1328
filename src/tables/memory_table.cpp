/// \file
/// In-memory scans and conditional commits.
#include "tables/memory_table.h"

#include <algorithm>

namespace mustardspoke {

StoreReply MemoryTable::execute(const StoreRequest &Request) {
  StoreReply Reply;
  if (const auto *Scan = std::get_if<ScanRequest>(&Request.m_Body))
    Reply = scan(*Scan);
  else
    Reply = commit(std::get<CommitRequest>(Request.m_Body));
  Reply.m_Id = Request.m_Id;
  return Reply;
}

const StoredRow *MemoryTable::find(const std::string &Key) const {
  auto Found = m_Rows.find(Key);
  return Found == m_Rows.end() ? nullptr : &Found->second;
}

StoreReply MemoryTable::scan(const ScanRequest &Request) const {
  StoreReply Reply{0, StoreStatus::Ok, m_Revision, {}};
  for (const auto &[Key, Stored] : m_Rows)
    if (Stored.m_Revision > Request.m_SinceRevision)
      Reply.m_Rows.push_back(Stored);
  return Reply;
}

StoreReply MemoryTable::commit(const CommitRequest &Request) {
  auto RevisionMatches = [&](const RowWrite &Write) {
    const StoredRow *Existing = find(Write.m_Key);
    return (Existing ? Existing->m_Revision : 0) == Write.m_ExpectedRevision;
  };
  if (!std::ranges::all_of(Request.m_Writes, RevisionMatches))
    return {0, StoreStatus::Conflict, m_Revision, {}};
  ++m_Revision;
  for (const RowWrite &Write : Request.m_Writes)
    if (Write.m_Row)
      m_Rows[Write.m_Key] = {Write.m_Key, m_Revision, *Write.m_Row};
  return {0, StoreStatus::Ok, m_Revision, {}};
}

} // namespace mustardspoke
