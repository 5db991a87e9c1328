/// \file
/// Names of the HTTP headers between callers, entry VMs and upstreams.
#pragma once

#include <kj/compat/http.h>

#include <string>

namespace mustardspoke {

/// \brief Writes \p Text to \p Stream and then closes the stream.
/// \details Keeps the text on the heap until the write is done: moving a short
/// string relocates its characters, and the pending write would point to freed
/// memory.
[[nodiscard]] kj::Promise<void>
writeAndClose(kj::Own<kj::AsyncOutputStream> Stream, std::string Text);

/// \brief Ids of the product's headers in one thread's header table.
///
/// | header | from, to | meaning |
/// |---|---|---|
/// | Mustardspoke-Tenant | caller, entry VM | the calling tenant |
/// | Mustardspoke-Deadline-Ms | caller, entry VM | time remaining |
/// | Mustardspoke-Ticket | caller, entry VM | permits one execution |
/// | Mustardspoke-Hops | entry VM, entry VM | number of relays |
/// | Mustardspoke-Outcome | entry VM, caller | done, not-run, unknown |
/// | Mustardspoke-Error | entry VM, caller | name of the error kind |
/// | Mustardspoke-Come-Back-Ms | entry VM, caller | delay before a retry |
/// | Deadline-Ms | entry VM, upstream | time remaining |
/// | Not-Run | upstream, entry VM | the call was shed, not run |
/// | Draining | upstream, entry VM | accepts no new calls |
struct HeaderIds {
  explicit HeaderIds(kj::HttpHeaderTable::Builder &Builder);

  kj::HttpHeaderId m_Tenant;
  kj::HttpHeaderId m_Deadline;
  kj::HttpHeaderId m_Ticket;
  kj::HttpHeaderId m_Hops;
  kj::HttpHeaderId m_Outcome;
  kj::HttpHeaderId m_Error;
  kj::HttpHeaderId m_RetryAfterMs;
  kj::HttpHeaderId m_RetryAfter; ///< The standard header, in seconds.
  kj::HttpHeaderId m_UpstreamDeadline;
  kj::HttpHeaderId m_NotRun;
  kj::HttpHeaderId m_Draining;
};

/// \brief A header table in which HeaderIds are registered.
struct HeaderTable {
  HeaderTable() : m_Ids(m_Builder), m_Table(m_Builder.build()) {}

private:
  kj::HttpHeaderTable::Builder m_Builder;

public:
  HeaderIds m_Ids;
  kj::Own<kj::HttpHeaderTable> m_Table;
};

} // namespace mustardspoke
