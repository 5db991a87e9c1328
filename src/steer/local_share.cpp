/// \file
/// Control of the shares by how busy the region's upstreams are.
#include "steer/local_share.h"

#include <algorithm>
#include <set>

namespace mustardspoke::steer {
namespace {

struct RegionLoad {
  unsigned m_OwnSlots = 0;
  unsigned m_OwnSound = 0; ///< Upstreams in use.
  unsigned m_AllSlots = 0;
  double m_OwnLoad = 0;
  double m_AllLoad = 0;
  std::set<RegionName> m_Regions;
};

std::map<ServiceName, RegionLoad> loads(const UpstreamTable &Table,
                                        const Placement &Here, TimePoint Now) {
  std::map<ServiceName, RegionLoad> Result;
  UpstreamJudgement By;
  Table.each([&](const Upstream &One) {
    if (!Table.usable(One))
      return;
    RegionLoad &Of = Result[One.m_Facts.m_Service];
    Of.m_AllSlots += One.m_Facts.m_Slots;
    Of.m_Regions.insert(One.m_Facts.m_Region);
    double Load = One.load(Now, By);
    Of.m_AllLoad += Load;
    if (One.m_Facts.m_Region != Here.m_Region)
      return;
    Of.m_OwnSlots += One.m_Facts.m_Slots;
    Of.m_OwnSound += One.ejected(Now) ? 0 : 1;
    Of.m_OwnLoad += Load;
  });
  return Result;
}

/// \brief The region's part of all slots against an even demand of all
/// regions; a start from which the control goes on. A region that is short of
/// slots starts lower: work on keys that nobody holds yet would fill it at
/// once, and its callers would be refused until the first answers.
double startingShare(const RegionLoad &Of, const LocalShareTuning &Tuning) {
  if (Of.m_AllSlots == 0)
    return 1;
  double Share = double(Of.m_OwnSlots) / double(Of.m_AllSlots) *
                 double(Of.m_Regions.size());
  return Share < 1 ? Share * Tuning.m_ShortStart : 1.0;
}

} // namespace

double LocalShares::of(const ServiceName &Service) const {
  auto Found = m_Shares.find(Service);
  return Found == m_Shares.end() ? 1 : Found->second.m_Share;
}

void LocalShares::request(const ServiceName &Service,
                          const LocalShareTuning &Tuning) {
  double &Allowed = m_Shares[Service].m_MayOverflow;
  Allowed = std::min(Allowed + Tuning.m_Overflow, Tuning.m_MostOverflows);
}

bool LocalShares::mayOverflow(const ServiceName &Service, TimePoint Now,
                              const LocalShareTuning &Tuning) const {
  auto Found = m_Shares.find(Service);
  if (Found == m_Shares.end())
    return true;
  const Share &One = Found->second;
  bool Loss =
      One.m_LostAt != TimePoint() && Now - One.m_LostAt < Tuning.m_LossLasts;
  return Loss || One.m_MayOverflow >= 1;
}

void LocalShares::overflowed(const ServiceName &Service) {
  double &Allowed = m_Shares[Service].m_MayOverflow;
  Allowed = std::max(Allowed - 1, 0.0);
}

void LocalShares::update(const UpstreamTable &Table, const Placement &Here,
                         TimePoint Now, const LocalShareTuning &Tuning,
                         bool Crowd) {
  if (Now - m_SteppedAt < (Crowd ? Tuning.m_CrowdEvery : Tuning.m_Every))
    return;
  m_SteppedAt = Now;
  for (const auto &[Service, Load] : loads(Table, Here, Now)) {
    Share &One = m_Shares[Service];
    if (!std::exchange(One.m_Begun, true)) {
      One.m_Share = startingShare(Load, Tuning);
      One.m_OwnSound = Load.m_OwnSound;
      continue;
    }
    if (Load.m_OwnSound < One.m_OwnSound)
      One.m_LostAt = Now;
    One.m_OwnSound = Load.m_OwnSound;
    double Step = 0;
    double Busy =
        Load.m_OwnSlots == 0 ? 1 : Load.m_OwnLoad / double(Load.m_OwnSlots);
    One.m_Busy = Busy;
    unsigned OtherSlots = Load.m_AllSlots - Load.m_OwnSlots;
    double There = OtherSlots == 0
                       ? 1
                       : (Load.m_AllLoad - Load.m_OwnLoad) / double(OtherSlots);
    if (OtherSlots > 0 && One.m_FarBusy)
      There = *One.m_FarBusy;
    if (Busy > Tuning.m_Busy && Busy > There + Tuning.m_Margin)
      Step = -Tuning.m_Step;
    else if (Busy < Tuning.m_Idle || Busy < There)
      Step = Tuning.m_Step;
    double Agreed = (One.m_Share + One.m_HeardSum) / (One.m_Heard + 1);
    One.m_Share = std::clamp(Agreed + Step, Tuning.m_Least, 1.0);
    One.m_HeardSum = 0;
    One.m_Heard = 0;
  }
}

void LocalShares::heardNear(std::uint64_t ServiceHash, double Share) {
  for (auto &[Service, One] : m_Shares)
    if (stableHash(Service.str()) == ServiceHash) {
      One.m_HeardSum += Share;
      ++One.m_Heard;
    }
}

void LocalShares::heardFar(std::uint64_t ServiceHash, double Busy) {
  constexpr double Blend = 0.1; // Over some ten beats of several VMs.
  for (auto &[Service, One] : m_Shares)
    if (stableHash(Service.str()) == ServiceHash)
      One.m_FarBusy = One.m_FarBusy
                          ? *One.m_FarBusy + (Busy - *One.m_FarBusy) * Blend
                          : Busy;
}

} // namespace mustardspoke::steer
