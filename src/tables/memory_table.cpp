/// \file
/// Scans and conditional commits in memory.
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
  auto At = m_Rows.find(Key);
  return At == m_Rows.end() ? nullptr : &At->second;
}

StoreReply MemoryTable::scan(const ScanRequest &Request) const {
  StoreReply Reply{0, StoreStatus::Ok, m_Revision, {}};
  for (const auto &[Key, Stored] : m_Rows)
    if (Stored.m_Revision > Request.m_SinceRevision)
      Reply.m_Rows.push_back(Stored);
  return Reply;
}

StoreReply MemoryTable::commit(const CommitRequest &Request) {
  auto Matches = [&](const RowWrite &Write) {
    const StoredRow *Present = find(Write.m_Key);
    return (Present ? Present->m_Revision : 0) == Write.m_ExpectedRevision;
  };
  if (!std::ranges::all_of(Request.m_Writes, Matches))
    return {0, StoreStatus::Conflict, m_Revision, {}};
  ++m_Revision;
  for (const RowWrite &Write : Request.m_Writes)
    if (Write.m_Row)
      m_Rows[Write.m_Key] = {Write.m_Key, m_Revision, *Write.m_Row};
  return {0, StoreStatus::Ok, m_Revision, {}};
}

} // namespace mustardspoke
