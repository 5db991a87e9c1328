/// \file
/// Load estimate, running means and ejection of one upstream.
#include "steer/upstream.h"

#include <algorithm>

namespace mustardspoke::steer {

void Upstream::report(const LoadReport &Load, TimePoint Now) {
  m_Load = Load;
  m_LoadAt = Now;
  m_SentSince = m_InFlight;
}

Duration Upstream::succeeded(TimePoint Now, Duration Took, double LoadBefore,
                             const UpstreamJudgement &By) {
  m_LastAnswerAt = Now;
  m_FailuresInRow = 0;
  m_FailedShare *= 1 - By.m_Blend;
  m_LastEjection = Duration::zero();
  double Waits = std::max(1.0, LoadBefore / double(m_Facts.m_Slots));
  double Path = double(m_Path.count());
  double Work = Path + std::max(0.0, double(Took.count()) - Path) / Waits;
  double Mean = double(m_MeanLatency.count());
  if (m_Samples++ == 0)
    Mean = Work;
  else
    Mean += (std::min(Work, Mean * By.m_MostSample) - Mean) * By.m_Blend;
  m_MeanLatency = Duration(std::int64_t(Mean));
  return Duration(std::int64_t(std::max(0.0, Work - Path)));
}

bool Upstream::failed(TimePoint Now, const UpstreamJudgement &By,
                      bool AnswersOthers) {
  if (!AnswersOthers)
    ++m_FailuresInRow;
  m_FailedShare += (1 - m_FailedShare) * By.m_Blend;
  bool Eject =
      m_FailuresInRow >= By.m_EjectAfter || m_FailedShare > By.m_EjectShare;
  if (!Eject || ejected(Now))
    return false;
  m_LastEjection = m_LastEjection == Duration::zero()
                       ? By.m_EjectFor
                       : std::min(m_LastEjection * 2, By.m_EjectMost);
  m_EjectedUntil = Now + m_LastEjection;
  return true;
}

void Upstream::connected(Duration Took) noexcept {
  m_Path = m_Path == Duration::zero() ? Took : std::min(m_Path, Took);
}

Duration Upstream::meanWork() const noexcept {
  return std::max(m_MeanLatency - m_Path, m_MeanLatency / 10);
}

double Upstream::busyHere() const noexcept {
  if (m_MeanLatency == Duration::zero())
    return m_InFlight;
  return double(m_InFlight) * double(meanWork().count()) /
         double(m_MeanLatency.count());
}

double Upstream::load(TimePoint Now,
                      const UpstreamJudgement &By) const noexcept {
  double Counted = busyHere() + m_PeersBusy;
  if (!m_LoadAt || Now - *m_LoadAt > By.m_ReportLife)
    return Counted;
  double Stated = m_Load.m_Running + m_Load.m_Waiting;
  double Since = m_InFlight > m_SentSince ? m_InFlight - m_SentSince : 0;
  return std::max(Counted, Stated + Since);
}

void Upstream::bornAgain() {
  m_LoadAt.reset();
  m_MeanLatency = Duration::zero();
  m_Samples = 0;
  m_FailuresInRow = 0;
  m_FailedShare = 0;
  m_EjectedUntil = {};
  m_LastEjection = Duration::zero();
  m_SaidLeaving = false;
}

} // namespace mustardspoke::steer
