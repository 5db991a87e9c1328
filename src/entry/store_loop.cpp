/// \file
/// Sends platform requests, one at a time.
#include "entry/store_loop.h"

namespace mustardspoke {
namespace {

constexpr Duration IdleSleep = 10ms;
constexpr Duration VmListInterval = 2s;
constexpr Duration BundleFetchInterval = 200ms;

} // namespace

StoreLoop::StoreLoop(SharedNode &Core, const PlatformClient &Platform)
    : m_Core(Core), m_Platform(Platform), m_Thread([this] { run(); }) {}

StoreLoop::~StoreLoop() {
  m_Stop = true;
  m_Thread.join();
}

void StoreLoop::run() {
  while (!m_Stop)
    if (!runNextTask())
      std::this_thread::sleep_for(IdleSleep);
}

bool StoreLoop::runNextTask() {
  if (auto Request = m_Core.access()->nextStoreRequest(monotonicNow())) {
    StoreReply Reply = m_Platform.execute(*Request);
    m_Core.access()->onStoreReply(Reply, monotonicNow());
    return true;
  }
  return listVms() || fetchBundle();
}

bool StoreLoop::listVms() {
  if (monotonicNow() < m_NextListAt)
    return false;
  auto Vms = m_Platform.listVms();
  m_NextListAt = monotonicNow() + VmListInterval;
  if (Vms)
    m_Core.access()->onVmList(*Vms, monotonicNow());
  return true;
}

bool StoreLoop::fetchBundle() {
  if (monotonicNow() < m_NextFetchAt)
    return false;
  std::string Object;
  {
    auto Core = m_Core.access();
    auto WantedVersion = Core->bundleToFetch();
    const auto &Head = Core->storeHead();
    if (!WantedVersion || !Head || Head->m_Version < *WantedVersion)
      return false;
    Object = Head->m_Object;
  }
  m_NextFetchAt = monotonicNow() + BundleFetchInterval;
  auto Text = m_Platform.getObject(Object);
  if (Text)
    m_Core.adoptDocument(*Text, "store");
  return true;
}

} // namespace mustardspoke
