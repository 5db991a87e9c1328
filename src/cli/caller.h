/// \file
/// Client for callers: looks up entry VMs, then calls through them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardspoke {

/// \brief A call as given on the command line.
struct CallerRequest {
  /// Callers' addresses of any entry VMs.
  std::vector<std::string> m_EntryAddresses;
  std::string m_Service;
  std::string m_Path = "/";
  std::string m_Body; ///< Sent in a POST if not empty.
  std::string m_Tenant;
  std::uint64_t m_DeadlineMs = 0;
};

/// \brief Result of a call.
struct CallerResult {
  unsigned m_Status = 0;    ///< HTTP status; zero if there was no answer.
  bool m_Connected = false; ///< If false, nothing has been sent.
  std::string m_Outcome;
  std::string m_Error;
  std::string m_EntryAddress;
  std::string m_Ticket;
  std::string m_BodyStart;       ///< The first bytes of the answer's body.
  std::uint64_t m_BodyBytes = 0; ///< Number of body bytes received.
  bool m_IsComplete = false;     ///< Whether the whole body was received.
};

/// \brief Looks up entry VMs and sends the call to them, one after the other,
/// as long as a retry is safe.
///
/// \details With a ticket a retry is safe, as the ticket's owner runs the call
/// at most once. A ticket that was never sent because no connection to its
/// owner could be opened is discarded, and a new one is requested.
[[nodiscard]] CallerResult lookUpAndCall(const CallerRequest &Request);

/// \brief Sends one request to one address and reads the answer to its end.
/// \param Ticket Sent if not empty.
/// \param Body Sent in a POST if not empty; otherwise the request is a GET.
[[nodiscard]] CallerResult sendCall(const std::string &Address,
                                    const std::string &Url,
                                    const std::string &Ticket,
                                    const std::string &Body);

} // namespace mustardspoke
