/// \file
/// Choice of the upstream for one attempt of a request, or its refusal.
#pragma once

#include "steer/upstream_table.h"

#include <span>

namespace mustardspoke::steer {

/// \brief Where an entry VM stands.
struct Placement {
  RegionName m_Region;
  FailureDomainName m_Domain;
};

/// \brief Constants of the choice.
struct ChoiceTuning {
  UpstreamJudgement m_Judgement;
  /// Upstreams that share a key's requests. An upstream keeps the state of a
  /// bounded number of keys; with more holders of each key others are pushed
  /// out. See docs/design/08-load-model-and-soak.md.
  unsigned m_Holders = 1;
  /// Part of the time to the target latency that waiting and work may fill by
  /// estimate. Above 1, as the mean work counts that on keys not held, which
  /// takes several times as long as what the holder of a key does.
  double m_TargetPart = 1.4;
  /// Load, in parts of its slots, up to which an upstream that does not hold
  /// a key takes it: its work on the key costs several times as much.
  double m_StrangerLoad = 0.2;
  /// Part of a service's upstreams that may be ejected at once; with more,
  /// none is left out.
  double m_MostEjected = 0.3;
  /// Answers larger than this stay in the failure domain if they can: above
  /// it the transfer outweighs the loss of shared warm state.
  std::uint64_t m_LargeAnswerBytes = 16384;
  /// Mean work before an upstream has answered.
  Duration m_FirstLatency = 200ms;
  /// Share of a cold upstream's tolerated rate that all VMs together use.
  double m_ColdShare = 0.8;
  /// VMs that may send to one cold upstream.
  unsigned m_ColdSenders = 6;
};

/// \brief Everything that a choice depends on.
struct ChoiceInput {
  const Route &m_Route;
  const ServiceRules *m_Service = nullptr; ///< Null if not configured.
  ServiceName m_To;
  std::uint64_t m_KeyHash = 0;
  TimePoint m_Now;
  Duration m_ToTarget{};   ///< Until its target latency; negative once late.
  double m_LocalShare = 1; ///< Share of keys that the own region serves.
  /// Whether a key may leave the regions that its share gives it, if these
  /// have no room.
  bool m_MayOverflow = true;
  Duration m_ServiceWork{}; ///< Mean over the service; zero if unknown.
  std::uint64_t m_MeanAnswerBytes = 0;
  std::span<const Upstream *const> m_Tried; ///< Not to be chosen again.
  /// Whether this VM is among the senders to a cold upstream, by its hash.
  bool (*m_SendsCold)(const void *Fleet, std::uint64_t UpstreamHash) = nullptr;
  const void *m_Fleet = nullptr;
};

/// \brief Why an attempt has no upstream.
enum class NoUpstream : std::uint8_t {
  None,
  Unknown, ///< No upstream of the service is known or allowed.
  Full,    ///< Every one that may be used has its slots full.
};

struct Choice {
  UpstreamPtr m_To; ///< Null if refused.
  NoUpstream m_Why = NoUpstream::None;
  /// When room is expected; for a refusal only.
  Duration m_ComeBack{};
  double m_Load = 0;        ///< Estimated load of the chosen upstream.
  bool m_Overflows = false; ///< Chosen outside of the key's regions.
};

/// \brief A rule that picks an upstream; a row of the strategy table.
using UpstreamRule = Choice (*)(const ChoiceInput &Input,
                                const UpstreamTable &Table,
                                const Placement &Here,
                                const ChoiceTuning &Tuning);

/// \brief The key's holders first, in the own region for a stable share of the
/// keys; then an upstream with ample room. Refuses at once when no answer
/// within the target latency can be expected from any of these.
[[nodiscard]] Choice chooseByKeyNearFirst(const ChoiceInput &Input,
                                          const UpstreamTable &Table,
                                          const Placement &Here,
                                          const ChoiceTuning &Tuning);

/// \brief Baseline: least load over all regions, never refuses for load.
[[nodiscard]] Choice chooseLeastLoad(const ChoiceInput &Input,
                                     const UpstreamTable &Table,
                                     const Placement &Here,
                                     const ChoiceTuning &Tuning);

/// \brief Takes one request out of a cold upstream's bucket, if it may.
[[nodiscard]] bool takeColdToken(Upstream &To, const ChoiceInput &Input,
                                 const ChoiceTuning &Tuning);

} // namespace mustardspoke::steer
