/// \file
/// Attempts that one VM carries to an upstream for another: the fields that it
/// adds to the HTTP messages between them.
///
/// The VM that got a request from its caller sends it to the relay port of a
/// peer, with the upstream that it has selected. The peer answers with the
/// upstream's response, or with a result of its own.
#pragma once

#include "gateway/http_message.h"
#include "steer/upstream.h"

#include <optional>
#include <string>

namespace mustardspoke::steer {

/// \brief What a peer is asked to do with a request.
struct RelayedAttempt {
  UpstreamRunKey m_Run = 0;    ///< The upstream that is to run it.
  bool m_IsRepeatable = false; ///< It may be run more than once.
};

/// \brief What became of a relayed attempt.
enum class RelayResult : std::uint8_t {
  Answered, ///< The response is the upstream's.
  NotSent,  ///< Nothing was sent to the upstream.
  Lost,     ///< Sent, but without a usable response: it may have run.
};
struct RelayOutcome {
  RelayResult m_Result = RelayResult::Answered;
  std::string m_Reason; ///< One of the AttemptCause texts, or another one.
};
/// Causes of attempts without a response that the VM acts on, its own attempts
/// and relayed ones.
namespace AttemptCause {
constexpr std::string_view Unreachable = "unreachable"; ///< The upstream is.
/// The peer has a reason to send the upstream nothing.
constexpr std::string_view Excluded = "excluded";
/// The peer doesn't know the upstream.
constexpr std::string_view Unknown = "unknown-upstream";
/// No connection to the peer could be opened.
constexpr std::string_view PeerUnreachable = "peer-unreachable";
/// The upstream closed the connection.
constexpr std::string_view Closed = "closed";
/// The configuration that binds the request to regions may be outdated.
constexpr std::string_view InDoubt = "configuration-in-doubt";
} // namespace AttemptCause

void addRelayFields(HeadWriter &Head, const RelayedAttempt &Attempt);
/// \returns Nothing if a field is missing or unreadable.
[[nodiscard]] std::optional<RelayedAttempt>
readRelayFields(const HttpHead &Request);
/// \brief Whether the field belongs to this protocol. It is removed from what
/// callers and upstreams send.
[[nodiscard]] bool isRelayField(std::string_view Name);

/// \brief Fields of a peer's own response.
void addRelayOutcome(HeadWriter &Head, const RelayOutcome &Outcome);
[[nodiscard]] RelayOutcome readRelayOutcome(const HttpHead &Response);

} // namespace mustardspoke::steer
