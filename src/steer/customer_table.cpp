/// \file
/// Index of customers by name and by key.
#include "steer/customer_table.h"

#include <algorithm>
#include <utility>

namespace mustardspoke::steer {

bool Customer::allows(const RegionName &Region) const noexcept {
  return m_AllowedRegions.empty() ||
         std::ranges::find(m_AllowedRegions, Region) != m_AllowedRegions.end();
}

bool haveCommonRegion(std::span<const RegionName> Left,
                      std::span<const RegionName> Right) noexcept {
  return Left.empty() || Right.empty() ||
         std::ranges::find_first_of(Left, Right) != Left.end();
}

std::vector<CustomerName>
CustomerTable::add(Customer Added, std::span<const std::string> Keys) {
  m_RequiresKeys = true;
  std::size_t Index = m_Customers.size();
  if (!m_ByName.try_emplace(Added.m_Name, Index).second)
    return {Added.m_Name};
  m_Customers.push_back(std::move(Added));
  std::vector<CustomerName> Others;
  for (const std::string &Key : Keys) {
    auto [Owner, IsNewKey] = m_ByKey.try_emplace(Key, Index);
    if (IsNewKey || Owner->second == Index)
      continue;
    if (Owner->second)
      Others.push_back(m_Customers[*Owner->second].m_Name);
    Owner->second.reset();
  }
  return Others;
}

const Customer *CustomerTable::findByKey(std::string_view Key) const noexcept {
  auto Found = m_ByKey.find(Key);
  return Found == m_ByKey.end() || !Found->second
             ? nullptr
             : &m_Customers[*Found->second];
}

const Customer *CustomerTable::find(const CustomerName &Name) const noexcept {
  auto Found = m_ByName.find(Name);
  return Found == m_ByName.end() ? nullptr : &m_Customers[Found->second];
}

} // namespace mustardspoke::steer
