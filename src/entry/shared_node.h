/// \file
/// Thread-safe access to the decision core.
///
/// Lock order: the mutex of SharedNode, then the mutex of Metrics, then the
/// log. No thread blocks or does I/O while it holds a lock.
#pragma once

#include "config/config.h"
#include "core/core.h"
#include "observe/observe.h"

#include <kj/async.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace mustardspoke {

/// \brief Current time of the monotonic clock of TimePoint, which also advances
/// while the machine is suspended.
[[nodiscard]] TimePoint monotonicNow() noexcept;

/// \brief Protects one Node with a mutex and resumes the calls that wait in it.
///
/// \details A call may wait in any worker thread. If its next step becomes
/// ready in another thread, it is delivered to the thread that serves the call.
class SharedNode {
public:
  using StepFulfiller = kj::CrossThreadPromiseFulfiller<CallStep>;

  /// \brief Holds the lock; delivers steps that became ready when released.
  class Access {
  public:
    explicit Access(SharedNode &Owner)
        : m_Owner(Owner), m_Lock(Owner.m_Mutex) {}
    ~Access() { m_Owner.deliverReadySteps(); }
    Access(const Access &) = delete;
    Access &operator=(const Access &) = delete;

    [[nodiscard]] Node &operator*() const noexcept { return m_Owner.m_Node; }
    [[nodiscard]] Node *operator->() const noexcept { return &m_Owner.m_Node; }

  private:
    SharedNode &m_Owner;
    std::unique_lock<std::mutex> m_Lock;
  };

  SharedNode(const Settings &Config, const MemberInfo &Self,
             const Strategies &Rules, std::uint64_t Seed);

  [[nodiscard]] Access access() { return Access(*this); }

  /// \brief Returns a promise of the step that follows a Wait step.
  /// \param Lock The Access under which the core returned the Wait step;
  /// otherwise the next step could become ready unnoticed in between.
  [[nodiscard]] kj::Promise<CallStep> awaitStep(const Access &Lock, CallId Id);

  /// \brief Removes the call \p Id here and in the core.
  void abandon(CallId Id);

  /// \brief Validates a bundle document and adopts it if it is newer.
  /// \param Source Named in the log.
  /// \returns Whether it was adopted.
  bool adoptDocument(const std::string &Text, std::string_view Source);

  /// \brief The document of the current bundle; empty if there is none yet.
  [[nodiscard]] std::string document();

  [[nodiscard]] Metrics &metrics() noexcept { return m_Metrics; }
  [[nodiscard]] const Settings &settings() const noexcept { return m_Settings; }

private:
  void deliverReadySteps();

  const Settings &m_Settings;
  std::mutex m_Mutex;
  Node m_Node;
  std::map<CallId, kj::Own<StepFulfiller>> m_Waiters; ///< Guarded by m_Mutex.
  std::string m_Document;                             ///< Guarded by m_Mutex.
  Metrics m_Metrics;
};

} // namespace mustardspoke
