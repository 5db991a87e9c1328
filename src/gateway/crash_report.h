/// \file
/// Requests under which upstreams end: checks of upstreams, log lines, metrics,
/// and what peers and the store are told.
#pragma once

#include "gateway/state.h"
#include "gateway/upstream_pool.h"

namespace mustardspoke::steer {

/// \brief Digest of what makes two requests the same, except for their bodies.
[[nodiscard]] std::uint32_t digestHead(const HttpHead &Head,
                                       const RequestMetadata &Metadata);

/// \brief Records that \p Target closed the connection of a request without an
/// answer, and checks whether it has ended.
/// \param RequestId Identifier of the attempt, for the log.
void reportLoss(GatewayState &State, UpstreamPool &Pool,
                RequestFingerprint Request, const UpstreamPtr &Target,
                std::string_view RequestId);
/// \brief Records that an upstream which ran the request has answered.
void reportAnswer(GatewayState &State, RequestFingerprint Request,
                  std::string_view RequestId);
/// \brief Applies that a run has ended.
/// \param Source What shows it, for the log.
void confirmEnd(GatewayState &State, UpstreamRunKey Run,
                std::string_view Source);
/// \brief Applies what a peer or the store says of requests.
void applyCrashReports(GatewayState &State,
                       std::span<const CrashReport> Reports,
                       std::string_view Source);

/// Keys of the rows of crashing requests, in the table of the discovery rows:
/// this and the fingerprint. No VM's name begins so.
inline constexpr std::string_view CrashRowPrefix = "crashing-request/";

/// \brief A request in log lines and keys of rows, as hexadecimal digits.
[[nodiscard]] std::string formatFingerprint(RequestFingerprint Request);
[[nodiscard]] std::optional<RequestFingerprint>
parseFingerprint(std::string_view Text);

/// \brief Value of a confirmed request's row in the store.
[[nodiscard]] std::string crashRowValue(const CrashReport &Report);
/// \returns Nothing if \p Value isn't valid; \p Error then says why.
[[nodiscard]] std::optional<CrashReport>
parseCrashRow(RequestFingerprint Request, const std::string &Value,
              std::string &Error);

/// \brief Metrics in the Prometheus text exposition format.
[[nodiscard]] std::string crashExposition(const CrashSuspects &Suspects);

} // namespace mustardspoke::steer
