/// \file
/// Delivery of steps to waiting calls, and bundle adoption.
#include "entry/shared_node.h"

#include <ctime>

namespace mustardspoke {

TimePoint monotonicNow() noexcept {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Now.tv_sec) +
      std::chrono::nanoseconds(Now.tv_nsec)));
}

SharedNode::SharedNode(const Settings &Config, const MemberInfo &Self,
                       const Strategies &Rules, std::uint64_t Seed)
    : m_Settings(Config),
      m_Node(Self, Config.m_Tuning, Rules, Seed, monotonicNow()) {}

kj::Promise<CallStep> SharedNode::awaitStep(const Access & /*Lock*/,
                                            CallId Id) {
  auto Pair = kj::newPromiseAndCrossThreadFulfiller<CallStep>();
  m_Waiters.insert_or_assign(Id, kj::mv(Pair.fulfiller));
  return kj::mv(Pair.promise);
}

void SharedNode::deliverReadySteps() {
  for (CallDecision &Turn : m_Node.takeReadyDecisions()) {
    auto Waiter = m_Waiters.find(Turn.m_Id);
    if (Waiter == m_Waiters.end()) {
      m_Node.abandonCall(Turn.m_Id, monotonicNow());
      continue;
    }
    Waiter->second->fulfill(kj::mv(Turn.m_Step));
    m_Waiters.erase(Waiter);
  }
}

void SharedNode::abandon(CallId Id) {
  Access Core = access();
  m_Waiters.erase(Id);
  Core->abandonCall(Id, monotonicNow());
}

bool SharedNode::adoptDocument(const std::string &Text,
                               std::string_view Source) {
  ValidationErrors Found;
  BundleDocument Document = parseDocument(Text, Found);
  Bundle Candidate = readBundle(Document, m_Settings.m_RootKey, Found);
  if (!Found.empty()) {
    logEvent(
        LogLevel::Error, "bundle-refused",
        {{"source", std::string(Source)}, {"fault", Found.front().toText()}});
    return false;
  }
  std::uint64_t Version = Candidate.m_Version;
  {
    Access Core = access();
    bool IsAdopted = Core->adopt(
        std::make_shared<const Bundle>(std::move(Candidate)), monotonicNow());
    if (!IsAdopted)
      return false;
    m_Document = Text;
  }
  logEvent(
      LogLevel::Info, "bundle-adopted",
      {{"version", std::to_string(Version)}, {"source", std::string(Source)}});
  return true;
}

std::string SharedNode::document() {
  Access Core = access();
  return m_Document;
}

} // namespace mustardspoke
