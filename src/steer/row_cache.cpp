/// \file
/// Detection of new and removed rows.
#include "steer/row_cache.h"

#include <set>
#include <string_view>

namespace mustardspoke::steer {

bool RowCache::put(const StoreRow &Row) {
  auto Found = m_Rows.find(Row.m_Key);
  if (Found != m_Rows.end() ? Found->second.m_Version >= Row.m_Version
                            : wasRemovedBeforeTheFirstRead(Row))
    return false;
  m_Rows[Row.m_Key] = Row;
  return true;
}

bool RowCache::wasRemovedBeforeTheFirstRead(const StoreRow &Unknown) const {
  return eraOf(Unknown.m_Version) == eraOf(m_FirstFullRead) &&
         Unknown.m_Version <= m_FirstFullRead;
}

std::vector<std::string> RowCache::missingKeys(const std::vector<StoreRow> &All,
                                               std::uint64_t AsOf) const {
  std::set<std::string_view> Present;
  for (const StoreRow &Row : All)
    Present.insert(Row.m_Key);
  std::vector<std::string> Result;
  for (const auto &[Key, Row] : m_Rows)
    if (!Row.m_Removed && Row.m_Version <= AsOf && !Present.contains(Key))
      Result.push_back(Key);
  return Result;
}

void RowCache::remove(const std::string &Key, std::uint64_t Version) {
  StoreRow &Known = m_Rows[Key];
  Known.m_Key = Key;
  Known.m_Removed = true;
  Known.m_Value.clear();
  Known.m_Version = std::max(Known.m_Version, Version);
}

} // namespace mustardspoke::steer
