/// \file
/// Liveness of peers, look-up answers, and who may warm a cold upstream.
#include "steer/fleet.h"

#include <algorithm>
#include <span>

namespace mustardspoke::steer {
namespace {

/// Reports of in-flight requests older than this are left out of the sum.
constexpr Duration LoadsLife = 1500ms;
/// A sum over a part of the VMs is raised by this at most; beyond, chance
/// outweighs what the heard ones tell.
constexpr double MostRaise = 2;

std::uint32_t shortHash(const VmName &Vm) {
  return std::uint32_t(stableHash(Vm.str()) & ((1U << PeerAge::HashBits) - 1));
}

std::uint32_t shortRun(const EntryVm &Of) {
  return std::uint32_t(Of.m_Incarnation & ((1U << PeerAge::RunBits) - 1));
}

} // namespace

void Fleet::meet(const EntryVm &One) {
  if (One.m_Vm == m_Self.m_Vm)
    return;
  auto [At, New] = m_Peers.try_emplace(One.m_Vm);
  Peer &Known = At->second;
  m_ByHash[shortHash(One.m_Vm)] = &Known;
  if (!New && Known.m_Vm.m_Incarnation >= One.m_Incarnation)
    return;
  Known.m_Vm = One;
  Known.m_HeardAt.reset();
  Known.m_Loads.clear();
  Known.m_Told = false;
}

void Fleet::part(const VmName &Vm) {
  m_ByHash.erase(shortHash(Vm));
  m_Peers.erase(Vm);
}

bool Fleet::heard(const EntryVm &One, TimePoint Now) {
  if (One.m_Vm == m_Self.m_Vm)
    return false;
  auto [At, New] = m_Peers.try_emplace(One.m_Vm);
  Peer &Known = At->second;
  m_ByHash[shortHash(One.m_Vm)] = &Known;
  if (!New && Known.m_Vm.m_Incarnation > One.m_Incarnation && live(Known, Now))
    return false;
  bool News = New || !live(Known, Now) ||
              Known.m_Vm.m_Incarnation != One.m_Incarnation ||
              Known.m_Vm.m_Ready != One.m_Ready ||
              Known.m_Vm.m_Leaving != One.m_Leaving;
  if (Known.m_Vm.m_Incarnation != One.m_Incarnation)
    Known.m_Told = false;
  Known.m_Vm = One;
  Known.m_HeardAt = Now;
  return News;
}

void Fleet::loads(const VmName &Vm, std::vector<PeerLoad> Of, TimePoint Now) {
  auto Found = m_Peers.find(Vm);
  if (Found == m_Peers.end())
    return;
  Found->second.m_Loads = std::move(Of);
  Found->second.m_LoadsAt = Now;
}

std::map<std::uint64_t, double> Fleet::peersBusy(TimePoint Now) const {
  unsigned Live = 0;
  unsigned Heard = 0;
  auto Near = [this](const Peer &One) {
    return One.m_Vm.m_Region == m_Self.m_Region;
  };
  for (const auto &[Vm, One] : m_Peers) {
    Live += Near(One) && live(One, Now) ? 1U : 0U;
    Heard += Near(One) && Now - One.m_LoadsAt < LoadsLife ? 1U : 0U;
  }
  double Raise =
      Heard == 0 ? 1 : std::clamp(double(Live) / Heard, 1.0, MostRaise);
  std::map<std::uint64_t, double> Sum;
  for (const auto &[Vm, One] : m_Peers)
    if (Now - One.m_LoadsAt < LoadsLife)
      for (const PeerLoad &Load : One.m_Loads)
        Sum[Load.m_UpstreamHash] += Load.m_Busy * (Near(One) ? Raise : 1);
  return Sum;
}

PeerAge Fleet::ageOf(const Peer &One, TimePoint Now) {
  return {shortHash(One.m_Vm.m_Vm), shortRun(One.m_Vm), Now - *One.m_HeardAt};
}

void Fleet::heardOf(const PeerAge &One, TimePoint Now) {
  auto Found = m_ByHash.find(One.m_VmHash);
  if (Found == m_ByHash.end())
    return;
  Peer &Known = *Found->second;
  if (!Known.m_HeardAt || shortRun(Known.m_Vm) != One.m_Run)
    return;
  Known.m_HeardAt = std::max(*Known.m_HeardAt, Now - One.m_Age);
}

std::uint64_t Fleet::draw(std::uint64_t Number) const {
  return stableHash(m_Self.m_Vm.str(), Number);
}

std::vector<PeerAge> Fleet::ages(TimePoint Now, unsigned Round) const {
  std::vector<PeerAge> Live;
  if (small())
    return Live;
  for (const auto &[Vm, One] : m_Peers)
    if (One.m_Vm.m_Region == m_Self.m_Region && live(One, Now))
      Live.push_back(ageOf(One, Now));
  if (Live.size() <= m_Tuning.m_MostAges)
    return Live;
  // Any run of them: with the freshest only, each told the same as the others.
  std::rotate(Live.begin(),
              Live.begin() + std::ptrdiff_t(draw(Round) % Live.size()),
              Live.end());
  Live.resize(m_Tuning.m_MostAges);
  return Live;
}

std::vector<EntryVm> Fleet::audience(unsigned Round) {
  if (small())
    return peers();
  std::vector<EntryVm> Result;
  std::vector<const EntryVm *> Near;
  std::vector<const EntryVm *> Far;
  for (auto &[Vm, One] : m_Peers) {
    if (!One.m_Told && Result.size() < m_Tuning.m_FirstPerBeat) {
      One.m_Told = true;
      Result.push_back(One.m_Vm);
    }
    (One.m_Vm.m_Region == m_Self.m_Region ? Near : Far).push_back(&One.m_Vm);
  }
  // By chance: with turns that all VMs take alike, news went in circles.
  auto Take = [&](std::span<const EntryVm *const> From, std::size_t Count) {
    for (std::size_t I = 0; I < std::min(Count, From.size()); ++I) {
      std::uint64_t Drawn = draw(std::uint64_t(Round) * Count + I);
      Result.push_back(*From[Drawn % From.size()]);
    }
  };
  std::size_t Fair =
      m_Tuning.m_NearPerBeat * m_Tuning.m_NearFull / m_Peers.size();
  Take(Near, std::clamp(Fair, m_Tuning.m_NearLeast, m_Tuning.m_NearPerBeat));
  Take(Far, m_Tuning.m_FarPerBeat);
  return Result;
}

std::vector<EntryVm> Fleet::peers() const {
  std::vector<EntryVm> Result;
  for (const auto &[Vm, One] : m_Peers)
    Result.push_back(One.m_Vm);
  return Result;
}

bool Fleet::live(const Peer &One, TimePoint Now) const {
  Duration Silence =
      small() ? m_Tuning.m_SilentAfter : m_Tuning.m_CrowdSilentAfter;
  return One.m_HeardAt && Now - *One.m_HeardAt < Silence;
}

bool Fleet::alive(const VmName &Vm, TimePoint Now) const {
  auto Found = m_Peers.find(Vm);
  return Found != m_Peers.end() && live(Found->second, Now);
}

bool Fleet::sendsCold(std::uint64_t UpstreamHash, unsigned Senders) const {
  auto RankOf = [UpstreamHash](const VmName &Vm) {
    return stableHash(Vm.str(), UpstreamHash);
  };
  std::uint64_t Own = RankOf(m_Self.m_Vm);
  unsigned Before = 0;
  for (const auto &[Vm, One] : m_Peers)
    Before += RankOf(Vm) > Own ? 1U : 0U;
  return Before < Senders;
}

bool Fleet::mustRead(TimePoint Now) const {
  std::uint64_t Own = stableHash(m_Self.m_Vm.str());
  unsigned Before = 0;
  for (const auto &[Vm, One] : m_Peers)
    if (isReader(Vm, Now) && stableHash(Vm.str()) > Own)
      ++Before;
  return Before < m_Tuning.m_Readers;
}

bool Fleet::isReader(const VmName &Vm, TimePoint Now) const {
  auto Found = m_Peers.find(Vm);
  if (Found == m_Peers.end())
    return false;
  const Peer &One = Found->second;
  return One.m_HeardAt && Now - *One.m_HeardAt < m_Tuning.m_ReaderSilentAfter &&
         One.m_Vm.m_Reading && !One.m_Vm.m_Leaving &&
         One.m_Vm.m_Region == m_Self.m_Region;
}

void Fleet::dropSmall(std::vector<const EntryVm *> &From) const {
  double Largest = 0;
  for (const EntryVm *One : From)
    Largest = std::max(Largest, One->m_Capacity);
  auto Large = [&](const EntryVm *One) {
    return One->m_Capacity >= Largest * m_Tuning.m_SmallPart;
  };
  std::size_t Count = 0;
  bool Busy = false;
  for (const EntryVm *One : From)
    if (Large(One)) {
      ++Count;
      Busy = Busy || One->m_Lag > m_Tuning.m_BusyLag;
    }
  if (!Busy && Count >= m_Tuning.m_LeastNamed)
    std::erase_if(From, [&](const EntryVm *One) { return !Large(One); });
}

std::vector<std::string> Fleet::named(const Placement &At,
                                      TimePoint Now) const {
  std::vector<const EntryVm *> Near;
  std::vector<const EntryVm *> Far;
  auto Add = [&](const EntryVm &One) {
    if (One.m_Ready && !One.m_Leaving)
      (One.m_Region == At.m_Region ? Near : Far).push_back(&One);
  };
  Add(m_Self);
  for (const auto &[Vm, One] : m_Peers)
    if (live(One, Now))
      Add(One.m_Vm);
  dropSmall(Near);
  std::vector<std::string> Result;
  for (const EntryVm *One : Near)
    Result.push_back(One->m_CallerAddress);
  for (const EntryVm *One : Far)
    if (Result.size() < m_Tuning.m_LeastNamed)
      Result.push_back(One->m_CallerAddress);
  if (Result.size() > m_Tuning.m_MostNamed)
    Result.resize(m_Tuning.m_MostNamed);
  return Result;
}

} // namespace mustardspoke::steer
