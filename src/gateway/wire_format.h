/// \file
/// The platform's header names, paths and bodies, as function pointers that a
/// platform adapter provides.
#pragma once

#include "core/time.h"
#include "gateway/http_message.h"
#include "steer/upstream.h"

#include <optional>
#include <string>

namespace mustardspoke::steer {

/// \brief Metadata that a caller sends in request headers.
struct RequestMetadata {
  std::string m_RequestId; ///< Empty if the request has none.
  /// Object that the request concerns; may be empty.
  std::string m_AffinityKey;
  /// What tells the caller from others; empty if callers don't say.
  std::string m_CallerCredential;
  /// The customer's key in it; empty if there is none, or if it is malformed.
  std::string m_CustomerKey;
  /// The customer's name in the request of a peer; callers may write anything.
  std::string m_CustomerName;
  /// Time that the caller waits for the response.
  std::optional<Duration> m_CallerTimeout;
};

/// \brief Metadata that an upstream sends in response headers.
struct ResponseMetadata {
  std::string m_RequestId; ///< Identifier of the request that it answers.
  bool m_Signed = false;   ///< Created by an upstream, not by an intermediary.
  /// The upstream states that it didn't run the request.
  bool m_NotRun = false;
  bool m_AddressReused = false; ///< Another upstream has the address now.
  bool m_Leaving = false;       ///< The upstream is about to shut down.
  /// The upstream asks this VM to send it nothing for this long.
  std::optional<Duration> m_QuietTime;
  /// Requests per second that the upstream takes from all VMs together.
  std::optional<double> m_RateLimit;
  /// It named a limit that can't be read, so nothing is known of it.
  bool m_RateLimitUnreadable = false;
  /// The body is encoded, so not the upstream's original.
  bool m_ContentEncoded = false;
  std::optional<LoadReport> m_Load;
  std::optional<Duration> m_WarmUpRemaining; ///< Remaining warm-up time.
  /// Idle connections are closed after this time.
  std::optional<Duration> m_KeepAliveTimeout;
};

/// \brief Location of a caller that looks up entry VMs.
struct LookupQuery {
  std::string m_Host;
  std::string m_Region;
  std::string m_Domain;
};

/// \brief Translation of message heads; free functions of the platform adapter.
struct WireFormat {
  RequestMetadata (*m_ReadRequestMetadata)(const HttpHead &Head);
  ResponseMetadata (*m_ReadResponseMetadata)(const HttpHead &Head);
  /// Adds what the upstream needs: the remaining time and its own identifier.
  void (*m_AddForwardFields)(HeadWriter &Head, Duration Remaining,
                             const std::string &UpstreamId);
  /// Whether the gateway sets or consumes the field itself.
  bool (*m_IsGatewayRequestField)(std::string_view Name);
  bool (*m_IsGatewayResponseField)(std::string_view Name);
  /// Adds the name of the customer on whose behalf the request is sent.
  void (*m_AddCustomerField)(HeadWriter &Head, const CustomerName &Customer);
  /// Whether callers prove with the field who they are, or upstreams read the
  /// customer's name from it: neither is passed on if callers need keys.
  bool (*m_IsCustomerField)(std::string_view Name);
  /// Adds the request's identifier to a response that the gateway creates.
  void (*m_AddGatewayResponseFields)(HeadWriter &Head,
                                     const std::string &RequestId,
                                     Duration RetryAfter);
  std::string_view m_ReadyPath;
  std::string_view m_LookupPath;
  LookupQuery (*m_ReadLookupQuery)(std::string_view Target);
  std::string (*m_MakeLookupBody)(const std::vector<std::string> &Addresses,
                                  Duration TimeToLive);
};

} // namespace mustardspoke::steer
