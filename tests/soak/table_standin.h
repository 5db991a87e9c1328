/// \file
/// Stand-in for the shared row store, with injectable faults.
#pragma once

#include "support/server_side.h"

#include <map>
#include <string>

namespace mustardspoke::soak {

/// \brief How the store handles calls.
enum class TableMode : std::uint8_t {
  Normal,
  Busy,        ///< Refuses every call.
  Silent,      ///< Reads calls and never answers: not later, and nothing that
               ///< comes on the same connection.
  Slow,        ///< Answers after a second.
  LoseAnswers, ///< Executes calls and closes the connection without an answer.
};

/// \brief In-memory store that implements the calls of the adapter.
class TableStandIn {
public:
  TableStandIn(steer::asio::io_context &Io, const std::string &Address);

  // Writes by the operator and by upstreams.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);

  void setMode(TableMode Mode) { m_Mode = Mode; }
  /// \brief Rows in one answer to a read, at most.
  void setPageSize(std::size_t Rows) { m_PageSize = Rows; }
  /// \brief Makes feeds from versions before the current one fail.
  void truncateHistory() { m_OldestVersion = m_Version; }
  /// \brief Keeps a copy of all rows, to come back from.
  void backUp() { m_BackUp = {m_Tables, m_Version}; }
  /// \brief Comes back from the last copy in a new era. The versions after it
  /// are given out again.
  void comeBackOlder();
  /// \brief Lets the operator and the upstreams write again what the last
  /// comeBackOlder() lost.
  void rewriteLostRows();

private:
  struct Row {
    std::string m_Value;
    std::uint64_t m_Version = 0;
    bool m_Removed = false;
  };
  using Table = std::map<std::string, Row>;

  steer::awaitable<void> serve(std::shared_ptr<test::ServerSide> Connection);
  /// \brief Keeps a connection open until the other side closes it.
  steer::awaitable<void> staySilent(test::ServerSide &Connection);
  steer::awaitable<std::string> execute(test::ServerSide &Connection);
  [[nodiscard]] std::string read(const std::string &Target) const;
  steer::awaitable<std::string> feed(std::string Target);
  [[nodiscard]] std::string transact(const std::string &Body);

  steer::asio::io_context &m_Io;
  steer::Tcp::acceptor m_Acceptor;
  TableMode m_Mode = TableMode::Normal;
  std::size_t m_PageSize = 500;
  struct Copy {
    std::map<std::string, Table> m_Tables;
    std::uint64_t m_Version = 1;
  };

  std::uint64_t m_Era = 1;
  Copy m_BackUp;
  std::map<std::string, Table> m_Lost; ///< Tables before comeBackOlder().
  std::uint64_t m_Version = 1;         ///< Of the latest change.
  std::uint64_t m_OldestVersion = 0;   ///< Feeds can start from here.
  std::map<std::string, Table> m_Tables;
};

} // namespace mustardspoke::soak
