/// \file
/// HTTP interface for callers: look-ups and calls.
#pragma once

#include "entry/call_flow.h"

namespace mustardspoke {

/// \brief Routes callers' requests.
///
/// | request | answer |
/// |---|---|
/// | GET /lookup?service=NAME&client=IP | entry VMs to use, and a ticket |
/// | any /call/NAME/PATH | the upstream's answer, or an error |
class CallerService final : public kj::HttpService {
public:
  explicit CallerService(WorkerContext &Worker) : m_Worker(Worker) {}

  kj::Promise<void> request(kj::HttpMethod Method, kj::StringPtr Url,
                            const kj::HttpHeaders &RequestHeaders,
                            kj::AsyncInputStream &Body,
                            Response &CallerResponse) override;

private:
  [[nodiscard]] kj::Promise<void> lookUp(std::string_view Query,
                                         Response &CallerResponse);
  [[nodiscard]] kj::Promise<void> call(kj::HttpMethod Method,
                                       std::string_view Url,
                                       const kj::HttpHeaders &RequestHeaders,
                                       kj::AsyncInputStream &Body,
                                       Response &CallerResponse);
  /// Reads the Mustardspoke headers into \p Call.
  /// \returns The error to answer with if a header is malformed.
  [[nodiscard]] std::optional<ErrorKind>
  readHeaders(const kj::HttpHeaders &RequestHeaders, CallRequest &Call) const;

  WorkerContext &m_Worker;
};

/// \brief Returns the value of \p Key in a query string, without decoding
/// escapes; empty if the key is missing.
[[nodiscard]] std::string_view queryValue(std::string_view Query,
                                          std::string_view Key);

} // namespace mustardspoke
