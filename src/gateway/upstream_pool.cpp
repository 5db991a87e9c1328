/// \file
/// Taking, opening and keeping connections.
#include "gateway/upstream_pool.h"

namespace mustardspoke::steer {
namespace {

constexpr std::size_t MostIdlePerUpstream = 16;
/// Sent bytes may stay unacknowledged for so long: twice the first
/// retransmissions on the longest path, so that single losses are borne.
constexpr Duration Unacknowledged = 1500ms;

} // namespace

UpstreamConnectionPtr UpstreamPool::take(const Upstream &To, TimePoint Now,
                                         Duration MostIdle) {
  auto Found = m_Idle.find(&To);
  if (Found == m_Idle.end())
    return nullptr;
  std::vector<UpstreamConnectionPtr> &Kept = Found->second;
  while (!Kept.empty()) {
    UpstreamConnectionPtr One = std::move(Kept.back());
    Kept.pop_back();
    Duration Idle = Now - One->m_IdleSince;
    if (Idle < std::min(One->m_IdleLife, MostIdle) &&
        peek(One->m_Socket) == Waiting::Nothing)
      return One;
  }
  return nullptr;
}

awaitable<UpstreamConnectionPtr>
UpstreamPool::open(UpstreamPtr To, Duration Within, NetError &Error) {
  auto Address = endpointOf<Tcp>(To->m_Registration.m_Address);
  UpstreamConnectionPtr One(new UpstreamConnection(m_Io));
  Error = {};
  if (!Address)
    Error = asio::error::make_error_code(asio::error::host_not_found);
  else
    One->m_Socket.open(Address->protocol(), Error);
  if (Error)
    co_return nullptr;
  detectSilence(One->m_Socket, Unacknowledged);
  CloseTimer Timer(m_Io);
  Timer.arm(One->m_Socket, steadyNow() + Within);
  TimePoint Began = steadyNow();
  co_await One->m_Socket.async_connect(*Address, noThrow(Error));
  bool Late = Timer.fired();
  Timer.disarm();
  if (Late)
    Error = asio::error::make_error_code(asio::error::timed_out);
  if (Error)
    co_return nullptr;
  To->recordConnect(steadyNow() - Began);
  co_return One;
}

void UpstreamPool::keep(const Upstream &To, UpstreamConnectionPtr One,
                        TimePoint Now) {
  if (!To.isUsable())
    return;
  std::vector<UpstreamConnectionPtr> &Kept = m_Idle[&To];
  if (Kept.size() >= MostIdlePerUpstream)
    Kept.erase(Kept.begin());
  One->m_IdleSince = Now;
  One->m_Used = true;
  Kept.push_back(std::move(One));
}

void UpstreamPool::sweep(TimePoint Now) {
  for (auto &[To, Kept] : m_Idle)
    std::erase_if(Kept, [Now](const UpstreamConnectionPtr &One) {
      return Now - One->m_IdleSince > One->m_IdleLife ||
             peek(One->m_Socket) != Waiting::Nothing;
    });
  std::erase_if(m_Idle, [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace mustardspoke::steer
