/// \file
/// Bytes without end that are no message: what a faulty upstream answers, or a
/// faulty caller sends.
#pragma once

#include <string>
#include <vector>

namespace mustardspoke::test {

/// \brief \p m_Begin, and then \p m_Part again and again.
struct Flood {
  const char *m_Name;
  std::string m_Begin;
  std::string m_Part;

  /// \brief At least \p Bytes of the parts.
  [[nodiscard]] std::string piece(std::size_t Bytes) const;
};

/// \brief Floods in place of the answer to the request \p Id.
[[nodiscard]] std::vector<Flood> upstreamFloods(const std::string &Id);

/// \brief Floods in place of a request, or in its body. \p Head is the start
/// line of a POST and its fields, each with its line end.
[[nodiscard]] std::vector<Flood> callerFloods(const std::string &Head);

} // namespace mustardspoke::test
