/// \file
/// Store requests, one after the other.
#include "entry/store_loop.h"

namespace mustardspoke {
namespace {

constexpr Duration Idle = 10ms;
constexpr Duration ListEvery = 2s;
constexpr Duration FetchEvery = 200ms;

} // namespace

StoreLoop::StoreLoop(Shared &Core, const PlatformClient &Platform)
    : m_Core(Core), m_Platform(Platform), m_Thread([this] { run(); }) {}

StoreLoop::~StoreLoop() {
  m_Stop = true;
  m_Thread.join();
}

void StoreLoop::run() {
  while (!m_Stop)
    if (!step())
      std::this_thread::sleep_for(Idle);
}

bool StoreLoop::step() {
  if (auto Request = m_Core.access()->nextStoreRequest(monotonicNow())) {
    StoreReply Reply = m_Platform.execute(*Request);
    m_Core.access()->onStoreReply(Reply, monotonicNow());
    return true;
  }
  return listVms() || fetchBundle();
}

bool StoreLoop::listVms() {
  if (monotonicNow() < m_NextList)
    return false;
  auto List = m_Platform.listVms();
  m_NextList = monotonicNow() + ListEvery;
  if (List)
    m_Core.access()->onVmList(*List, monotonicNow());
  return true;
}

bool StoreLoop::fetchBundle() {
  if (monotonicNow() < m_NextFetch)
    return false;
  std::string Object;
  {
    auto Core = m_Core.access();
    auto Wanted = Core->bundleToFetch();
    const auto &Head = Core->storeHead();
    if (!Wanted || !Head || Head->m_Version < *Wanted)
      return false;
    Object = Head->m_Object;
  }
  m_NextFetch = monotonicNow() + FetchEvery;
  auto Text = m_Platform.getObject(Object);
  if (Text)
    m_Core.adoptDocument(*Text, "store");
  return true;
}

} // namespace mustardspoke
