/// \file
/// Wait queue, retry budget and retry rule.
#include "core/calls.h"

#include <algorithm>

namespace mustardspoke {

WaitQueue::~WaitQueue() {
  for (auto &[Tenant, Queue] : m_Tenants)
    Queue.clear();
}

void WaitQueue::push(Call &Waiting) {
  m_Tenants[Waiting.m_Request.m_Tenant].push_back(Waiting);
  ++m_Size;
}

void WaitQueue::remove(Call &Waiting) {
  auto At = m_Tenants.find(Waiting.m_Request.m_Tenant);
  At->second.erase(TenantQueue::s_iterator_to(Waiting));
  if (At->second.empty())
    m_Tenants.erase(At);
  --m_Size;
}

Call *WaitQueue::front() {
  if (m_Tenants.empty())
    return nullptr;
  auto At = m_Tenants.lower_bound(m_NextTenant);
  if (At == m_Tenants.end())
    At = m_Tenants.begin();
  m_NextTenant = At->first;
  return &At->second.front();
}

void WaitQueue::rotate() {
  auto At = m_Tenants.upper_bound(m_NextTenant);
  if (At == m_Tenants.end())
    At = m_Tenants.begin();
  m_NextTenant = At == m_Tenants.end() ? TenantName() : At->first;
}

std::vector<CallRef> WaitQueue::overdue(TimePoint LatestStart) {
  std::vector<CallRef> Late;
  for (auto &[Tenant, Queue] : m_Tenants)
    for (Call &Waiting : Queue)
      if (Waiting.m_Deadline <= LatestStart)
        Late.emplace_back(&Waiting);
  return Late;
}

void RetryBudget::deposit() noexcept {
  m_Balance = std::min(m_Balance + 1, MaxBalance);
}

bool RetryBudget::tryWithdraw() noexcept {
  if (m_Balance < CostPerRetry)
    return false;
  m_Balance -= CostPerRetry;
  return true;
}

bool retryUnsentOrRepeatable(const Call &Failed, AttemptResult Result,
                             RetryBudget &Budget) {
  if (Result == AttemptResult::NotConnected)
    return Budget.tryWithdraw();
  if (Result == AttemptResult::Shed || Result == AttemptResult::Lost)
    return Failed.m_Repeatable && Budget.tryWithdraw();
  return false;
}

} // namespace mustardspoke
