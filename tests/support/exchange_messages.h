/// \file
/// Requests that arrive in parts, and answers with bodies of any length and
/// framing, for tests of exchanges.
#pragma once

#include "support/exchange_rig.h"

namespace mustardspoke::test {

/// \brief \p Size bytes that name their message and their place in it: no part
/// passes for another one.
[[nodiscard]] std::string markedBytes(const std::string &Message,
                                      std::size_t Size);

/// \brief When the parts of a request's body arrive.
struct ArrivingBody {
  std::size_t m_Bytes = 0;
  std::vector<Duration> m_Delays; ///< Of its parts; empty: with the head.
  bool m_IsChunked = false;
};

/// \brief A POST request with the body markedBytes(Id, Size). \p ExtraFields
/// holds further header lines with their line ends.
[[nodiscard]] std::vector<TimedBytes>
postRequest(const std::string &Path, const std::string &Id,
            const ArrivingBody &Body, const std::string &ExtraFields);

/// \brief How the body of an answer ends.
enum class BodyFraming : std::uint8_t {
  Length,
  Chunks,
  Close,   ///< With the connection.
  Endless, ///< Not at all, until the VM closes.
};

/// \brief An upstream's answer; its body is markedBytes(Id, Size).
struct UpstreamAnswer {
  unsigned m_Status = 200;
  BodyFraming m_Framing = BodyFraming::Length;
  std::size_t m_Bytes = 0;
  std::string m_Fields; ///< Further header lines with their line ends.
  Duration m_Pause{};   ///< In the middle of the body.
  /// The connection closes one byte before the end of the body.
  bool m_BreaksOff = false;

  [[nodiscard]] std::string head(const std::string &Id) const;
  steer::awaitable<void> send(ServerSide &Side, std::string Id) const;
};

} // namespace mustardspoke::test
