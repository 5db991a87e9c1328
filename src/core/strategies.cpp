/// \file
/// Default drain and lease rules.
#include "core/strategies.h"

namespace mustardspoke {

bool drainByAnySignal(const UpstreamState &State, TimePoint Now,
                      const UpstreamTuning &Tuning) {
  return State.m_Spec.m_Leaving || State.isDraining(Now, Tuning);
}

bool leaseByClock(TimePoint Expiry, TimePoint Now) { return Now < Expiry; }

} // namespace mustardspoke
