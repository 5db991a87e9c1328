/// \file
/// Stand-ins of a small deployment for the cases of the review: the platform's
/// store, servers, clients, and the processes of the system.
///
/// \details Blocking sockets, a thread for each connection. Everything listens
/// on loopback addresses of one network 127.A.B.x that was free at the start.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Exit statuses of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// \brief Whether the disruption is to be played (TROUBLE is not "0").
[[nodiscard]] bool playsTrouble();

/// \brief The file record.txt: one line for each event, with the time since the
/// start in milliseconds.
class Record {
public:
  explicit Record(const std::string &Path) : m_Out(Path) {}
  void line(const std::string &Text);

private:
  std::mutex m_Mutex;
  std::ofstream m_Out;
  Clock::time_point m_Start = Clock::now();
};

/// \brief A connected socket with a buffer of received bytes.
class Connection {
public:
  explicit Connection(int Fd) : m_Fd(Fd) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// \brief Connects within \p Timeout. \returns Null on failure.
  static std::unique_ptr<Connection> open(const std::string &Ip, int Port,
                                          Millis Timeout = 1s);
  bool send(const std::string &Bytes);
  /// \brief Waits for more bytes until \p Until and appends them to m_Input.
  /// \returns False at the end of the stream, on an error or a timeout.
  bool receive(Clock::time_point Until = Clock::time_point::max());
  /// \brief Removes and returns \p Size received bytes, waiting for them.
  std::optional<std::string> take(std::size_t Size, Clock::time_point Until);
  /// \brief The same up to and with \p End.
  std::optional<std::string> takeThrough(const std::string &End,
                                         Clock::time_point Until);
  /// \brief Whether the other side has closed.
  [[nodiscard]] bool isClosed() const;
  /// \brief Ends reads and writes in all threads.
  void shutDown();
  /// \brief The socket's receive buffer, as for a link with small windows.
  void limitReceiveBuffer(int Bytes);

  std::string m_Input; ///< Received, not yet taken.

private:
  int m_Fd;
};

/// \brief Start line and fields of an HTTP message.
struct Head {
  std::string m_StartLine;
  std::map<std::string, std::string> m_Fields; ///< Names in lower case.

  [[nodiscard]] std::string field(const std::string &Name) const;
  /// \brief Second word of the start line.
  [[nodiscard]] std::string secondWord() const;
};

std::optional<Head>
readHead(Connection &From, Clock::time_point Until = Clock::time_point::max());
/// \returns The body, decoded; nothing if it isn't complete.
std::optional<std::string>
readBody(Connection &From, const Head &Of,
         Clock::time_point Until = Clock::time_point::max());

/// \brief Listens on one address and serves each connection in a thread.
class Listener {
public:
  /// \returns Whether the connection stays open. The body is still unread.
  using Handler = std::function<bool(Connection &, const Head &)>;

  Listener(const std::string &Ip, int Port, Handler Serve);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

private:
  void acceptLoop();

  int m_Fd;
  Handler m_Serve;
  std::mutex m_Mutex;
  std::list<std::shared_ptr<Connection>> m_Connections;
  std::list<std::thread> m_Threads;
  std::thread m_Acceptor;
  std::atomic<bool> m_Ending = false;
};

/// \brief The platform's metadata store: rows, a feed, and transactions.
class Store {
public:
  Store(const std::string &Ip, int Port);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);
  /// \brief While it is silent, the store reads calls and answers none. A
  /// connection on which an answer is lost delivers nothing further.
  void setSilent(bool Silent) { m_IsSilent = Silent; }

private:
  struct Row {
    std::string m_Value;
    std::uint64_t m_Version = 0;
    bool m_Removed = false;
  };

  bool serve(Connection &Caller, const Head &Call);
  std::string get(const std::map<std::string, std::string> &Query);
  std::string feed(const std::map<std::string, std::string> &Query);
  /// \param Status Set to 412 if a condition doesn't hold.
  std::string transact(const std::string &Body, int &Status);
  void write(const std::string &Table, const std::string &Key, Row New);

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::uint64_t m_Version = 1;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::atomic<bool> m_Ending = false;
  std::atomic<bool> m_IsSilent = false;
  std::unique_ptr<Listener> m_Listener; ///< Ends before the rows do.
};

/// \brief A route of the configuration and its service.
struct RoutePlan {
  std::string m_Type; ///< "safe" or "unsafe".
  std::string m_Prefix;
  std::string m_Service;
  Millis m_Timeout{2500};
};

/// \brief A server's entry in the store.
struct ServerEntry {
  std::string m_Id;
  std::string m_Service;
  std::string m_Address;
  std::string m_Zone;
  unsigned m_Slots = 6;

  [[nodiscard]] std::string text() const;
};

/// \brief Machines of the system, started with the command of the deploy file,
/// with the figures of the site lsbgc-spoke.
class Deployment {
public:
  Deployment(Record &Out, unsigned MachineCount);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  [[nodiscard]] Store &store() { return *m_Store; }
  void configure(const std::vector<RoutePlan> &Routes);
  /// \brief Address of a server or a stand-in with this number, from 1 on.
  [[nodiscard]] std::string serverIp(unsigned Number) const {
    return m_Network + std::to_string(100 + Number);
  }
  [[nodiscard]] std::string machineIp(unsigned Machine) const {
    return m_Network + std::to_string(10 + Machine);
  }
  static std::string zoneOf(unsigned Number);

  /// \brief Starts all machines, and again those whose processes end, until
  /// this object ends. A process over its memory is killed, as the platform
  /// does.
  void start();
  /// \brief Waits until all machines say that they are ready.
  [[nodiscard]] bool waitUntilReady(Millis Timeout);
  /// \brief Sends a signal to the process of \p Machine, if it runs.
  void signal(unsigned Machine, int Number);
  /// \brief Ends of the process of \p Machine that nobody asked for.
  [[nodiscard]] unsigned ownEnds(unsigned Machine) const {
    return m_Machines[Machine].m_OwnEnds;
  }
  [[nodiscard]] bool isReady(unsigned Machine) const;

  static constexpr int CallerPort = 8548;
  static constexpr int ReadyPort = 8542;
  static constexpr int ControlPort = 8544;
  static constexpr int DirectoryPort = 8546;
  static constexpr int StorePort = 8541;
  static constexpr int ServerPort = 8080;
  static constexpr std::size_t MemoryMb = 260;

private:
  struct Machine {
    std::atomic<pid_t> m_Pid = 0;
    std::atomic<unsigned> m_OwnEnds = 0;
    Clock::time_point m_StartAt{};
  };

  void startProcess(unsigned Machine);
  [[nodiscard]] std::string settings(unsigned Machine) const;
  void supervise();

  Record &m_Record;
  std::string m_Network; ///< "127.A.B."
  std::string m_Directory;
  std::unique_ptr<Store> m_Store;
  std::vector<Machine> m_Machines;
  std::thread m_Supervisor;
  std::atomic<bool> m_Ending = false;
};

/// \brief What a client saw of one request.
struct Reply {
  unsigned m_Status = 0; ///< 0: no complete answer.
  Head m_Head;
  std::string m_Body;
};

/// \brief Text of a request as PROTOCOL.md shows it.
std::string requestText(const std::string &Method, const std::string &Target,
                        const std::string &Id, Millis Deadline,
                        const std::string &MoreFields = "");
/// \brief Reads one answer.
Reply readReply(Connection &From, Clock::time_point Until);
/// \brief A complete, signed answer of a server.
std::string signedAnswer(const std::string &Id, const std::string &Body);
/// \brief A server's statement that it is full and didn't run the request.
std::string shedAnswer(const std::string &Id);

/// \brief main() of a case: constructs it with the path of its record, plays
/// it, and returns its exit status.
template <class Case> int runCase(int Count, char **Arguments) {
  if (Count != 2)
    return CouldNotRun;
  try {
    return Case(Arguments[1]).run();
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return CouldNotRun;
  }
}

} // namespace review
