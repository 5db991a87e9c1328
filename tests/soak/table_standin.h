/// \file
/// Stand-in for the shared row store, with the faults that a store can have.
#pragma once

#include "support/server_side.h"

#include <map>
#include <string>

namespace mustardspoke::soak {

/// \brief How the store treats calls.
enum class TableMode : std::uint8_t {
  Up,
  Busy,        ///< Refuses every call.
  Silent,      ///< Reads calls and never answers.
  Slow,        ///< Answers after a second.
  LoseAnswers, ///< Carries calls out and closes without an answer.
};

/// \brief Rows in memory behind the calls that the adapter makes.
class TableStandIn {
public:
  TableStandIn(steer::asio::io_context &Io, const std::string &Address);

  // Writes of the operator and of upstreams.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);

  void setMode(TableMode To) { m_Mode = To; }
  /// \brief Feeds can't go on from a version before this moment.
  void forgetHistory() { m_Oldest = m_Version; }

private:
  struct Row {
    std::string m_Value;
    std::uint64_t m_Version = 0;
    bool m_Removed = false;
  };
  using Table = std::map<std::string, Row>;

  steer::awaitable<void> serve(std::shared_ptr<test::ServerSide> Side);
  steer::awaitable<std::string> execute(test::ServerSide &Side);
  [[nodiscard]] std::string read(const std::string &Target) const;
  steer::awaitable<std::string> feed(std::string Target);
  [[nodiscard]] std::string transact(const std::string &Body);

  steer::asio::io_context &m_Io;
  steer::Tcp::acceptor m_On;
  TableMode m_Mode = TableMode::Up;
  std::uint64_t m_Version = 1; ///< Of the newest change.
  std::uint64_t m_Oldest = 0;  ///< History before it is gone.
  std::map<std::string, Table> m_Tables;
};

} // namespace mustardspoke::soak
