/// \file
/// What the gateway needs to know of the headers that callers and upstreams
/// use. An adapter fills in one Dialect.
#pragma once

#include "core/time.h"
#include "gateway/http_message.h"
#include "steer/upstream.h"

#include <optional>
#include <string>

namespace mustardspoke::steer {

/// \brief What a caller says of its request besides method, target and body.
struct CallerMarks {
  std::string m_RequestId; ///< Empty if it names none.
  std::string m_Key;       ///< Object that the request concerns; may be empty.
  std::optional<Duration> m_Patience; ///< How long it waits for the answer.
};

/// \brief What an upstream says besides status and body.
struct AnswerMarks {
  std::string m_RequestId; ///< Of the request that it answers.
  bool m_Signed = false;   ///< Made by an upstream, not by something between.
  bool m_NotRun = false;   ///< States that the request was not run.
  bool m_OtherUpstream = false; ///< Another upstream has the address now.
  bool m_Leaving = false;       ///< Closes because it is about to end.
  bool m_Encoded = false;       ///< Not the upstream's plain body.
  std::optional<LoadReport> m_Load;
  std::optional<Duration> m_ColdFor;      ///< Left of its warm-up.
  std::optional<Duration> m_KeepsIdleFor; ///< Closes idle connections then.
};

/// \brief Where a caller that looks up entry VMs stands.
struct LookupQuestion {
  std::string m_Host;
  std::string m_Region;
  std::string m_Domain;
};

/// \brief Translation of message heads; free functions of the adapter.
struct Dialect {
  CallerMarks (*m_ReadRequest)(const HttpHead &Of);
  AnswerMarks (*m_ReadAnswer)(const HttpHead &Of);
  /// Adds what the upstream must know: the time left and its own identifier.
  void (*m_MarkForward)(HeadWriter &To, Duration Left,
                        const std::string &UpstreamId);
  /// Fields that the gateway sets or consumes itself.
  bool (*m_OwnRequestField)(std::string_view Name);
  bool (*m_OwnAnswerField)(std::string_view Name);
  /// Adds the request's identifier to an answer of the gateway's own.
  void (*m_MarkOwnAnswer)(HeadWriter &To, const std::string &RequestId,
                          Duration ComeBack);
  std::string_view m_ReadyPath;
  std::string_view m_LookupPath;
  LookupQuestion (*m_ReadLookup)(std::string_view Target);
  std::string (*m_LookupBody)(const std::vector<std::string> &Addresses,
                              Duration TimeToLive);
};

} // namespace mustardspoke::steer
