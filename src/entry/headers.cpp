/// \file
/// Registers the header names.
#include "entry/headers.h"

namespace mustardspoke {

kj::Promise<void> writeAndClose(kj::Own<kj::AsyncOutputStream> Stream,
                                std::string Text) {
  auto Owned = kj::heap<std::string>(std::move(Text));
  auto Writing = Stream->write(Owned->data(), Owned->size());
  return Writing.attach(kj::mv(Owned)).attach(kj::mv(Stream));
}

HeaderIds::HeaderIds(kj::HttpHeaderTable::Builder &Builder)
    : m_Tenant(Builder.add("Mustardspoke-Tenant")),
      m_Deadline(Builder.add("Mustardspoke-Deadline-Ms")),
      m_Ticket(Builder.add("Mustardspoke-Ticket")),
      m_Hops(Builder.add("Mustardspoke-Hops")),
      m_Outcome(Builder.add("Mustardspoke-Outcome")),
      m_Error(Builder.add("Mustardspoke-Error")),
      m_RetryAfterMs(Builder.add("Mustardspoke-Come-Back-Ms")),
      m_RetryAfter(Builder.add("Retry-After")),
      m_UpstreamDeadline(Builder.add("Deadline-Ms")),
      m_NotRun(Builder.add("Not-Run")), m_Draining(Builder.add("Draining")) {}

} // namespace mustardspoke
