/// \file
/// Locking, waking and bundle adoption.
#include "entry/shared.h"

#include <ctime>

namespace mustardspoke {

TimePoint monotonicNow() noexcept {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Now.tv_sec) +
      std::chrono::nanoseconds(Now.tv_nsec)));
}

Shared::Shared(const Settings &From, const MemberInfo &Self,
               const Strategies &Rules, std::uint64_t Seed)
    : m_Settings(From),
      m_Node(Self, From.m_Tuning, Rules, Seed, monotonicNow()) {}

kj::Promise<CallStep> Shared::awaitStep(const Access & /*Held*/, CallId Id) {
  auto Pair = kj::newPromiseAndCrossThreadFulfiller<CallStep>();
  m_Waiters.insert_or_assign(Id, kj::mv(Pair.fulfiller));
  return kj::mv(Pair.promise);
}

void Shared::deliver() {
  for (CallDecision &Turn : m_Node.takeReadyDecisions()) {
    auto At = m_Waiters.find(Turn.m_Id);
    if (At == m_Waiters.end()) {
      m_Node.abandonCall(Turn.m_Id, monotonicNow());
      continue;
    }
    At->second->fulfill(kj::mv(Turn.m_Step));
    m_Waiters.erase(At);
  }
}

void Shared::abandon(CallId Id) {
  Access Core = access();
  m_Waiters.erase(Id);
  Core->abandonCall(Id, monotonicNow());
}

bool Shared::adoptDocument(const std::string &Text, std::string_view Source) {
  Faults Found;
  BundleDocument Document = parseDocument(Text, Found);
  Bundle Offered = readBundle(Document, m_Settings.m_RootKey, Found);
  if (!Found.empty()) {
    logEvent(
        LogLevel::Error, "bundle-refused",
        {{"source", std::string(Source)}, {"fault", Found.front().toText()}});
    return false;
  }
  std::uint64_t Version = Offered.m_Version;
  {
    Access Core = access();
    bool Adopted = Core->adopt(
        std::make_shared<const Bundle>(std::move(Offered)), monotonicNow());
    if (!Adopted)
      return false;
    m_Document = Text;
  }
  logEvent(
      LogLevel::Info, "bundle-adopted",
      {{"version", std::to_string(Version)}, {"source", std::string(Source)}});
  return true;
}

std::string Shared::document() {
  Access Core = access();
  return m_Document;
}

} // namespace mustardspoke
