/// \file
/// Parts of the review's cases: sockets, HTTP messages, a stand-in of the
/// platform's store, server and client stand-ins, gateway processes, and the
/// record of a run.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// \brief Whether the run contains the disruption (TROUBLE isn't "0").
bool hasTrouble();

/// \brief Milliseconds since the start of the process.
std::int64_t nowMs();
void sleepMs(std::int64_t Span);

/// \brief Appends lines to the record of the run.
class Record {
public:
  static void open(const std::string &Path);
  static void write(const std::string &Text);
  /// \brief A line that consists of several texts.
  template <class... Parts> static void line(const Parts &...Each) {
    std::string Text;
    (Text.append(Each), ...);
    write(Text);
  }
};

/// \brief A connected socket, closed by the destructor.
class Socket {
public:
  explicit Socket(int Fd = -1) : m_Fd(Fd) {}
  Socket(Socket &&Other) noexcept : m_Fd(Other.m_Fd.exchange(-1)) {}
  Socket(const Socket &) = delete;
  Socket &operator=(Socket &&Other) noexcept;
  Socket &operator=(const Socket &) = delete;
  ~Socket() { close(); }

  static Socket connectTo(const std::string &Address, int TimeoutMs);
  [[nodiscard]] bool isOpen() const { return m_Fd >= 0; }
  /// \returns Whether all bytes were written.
  bool write(std::string_view Bytes) const;
  /// \returns Number of bytes; 0 at the end of the stream, -1 after an error,
  /// -2 if nothing arrived in time.
  long read(char *Buffer, std::size_t Size, int TimeoutMs) const;
  void shutdownBoth() const;
  void close();
  /// \brief Closes with a reset.
  void reset();

private:
  std::atomic<int> m_Fd;
};

/// \brief Start line, fields and body of a message.
struct Message {
  std::string m_StartLine;
  std::vector<std::pair<std::string, std::string>> m_Fields;
  std::string m_Body;

  [[nodiscard]] std::string field(std::string_view Name) const;
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string target() const;
  [[nodiscard]] int status() const;
};

enum class ReadResult : std::uint8_t {
  Done,
  Closed,     ///< In front of a message.
  Incomplete, ///< The stream ended inside the message.
  Malformed,
  TimedOut,
};

/// \brief Reads messages from a socket.
class Reader {
public:
  explicit Reader(const Socket &From) : m_From(From) {}
  /// \brief Reads start line and fields.
  ReadResult readHead(Message &Into, int TimeoutMs);
  /// \brief Reads a body that has a length or is chunked.
  ReadResult readBody(Message &Into, int TimeoutMs);
  ReadResult readMessage(Message &Into, int TimeoutMs);
  /// \brief Reads exactly \p Count bytes, or what comes before the end.
  std::string readBytes(std::size_t Count, int TimeoutMs);

private:
  /// \returns 1 after more bytes, 0 at the end, -1 after an error, -2 if
  /// nothing arrived in time.
  int fill(int TimeoutMs);

  const Socket &m_From;
  std::string m_Bytes;
};

std::string
makeMessage(const std::string &StartLine,
            const std::vector<std::pair<std::string, std::string>> &Fields,
            const std::string &Body);

/// \brief Accepts connections, each in a thread of its own.
class Listener {
public:
  using Handler = std::function<void(Socket &Connection)>;
  /// \param Ip A loopback address; the port is any free one.
  Listener(const std::string &Ip, Handler Serve);
  ~Listener() { stop(); }
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;
  [[nodiscard]] const std::string &address() const { return m_Address; }
  /// \brief Closes the listener and all connections.
  void stop();

private:
  void acceptLoop();

  Handler m_Serve;
  std::string m_Address;
  std::atomic<int> m_Fd{-1};
  std::mutex m_Mutex;
  std::vector<std::weak_ptr<Socket>> m_Connections;
  std::thread m_Thread;
};

/// \brief Stand-in of the platform's store: rows, transactions and feeds.
class Store {
public:
  Store();
  [[nodiscard]] const std::string &address() const {
    return m_Listener->address();
  }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);

private:
  struct Row {
    std::string m_Value;
    std::uint64_t m_Version = 0;
    bool m_Removed = false;
  };
  void serve(Socket &Connection);
  std::string answer(const Message &Request);
  std::string rowsGet(const std::string &Target);
  std::string rowsFeed(const std::string &Target);
  std::string rowsTx(const std::string &Body);
  [[nodiscard]] std::string rowText(const std::string &Table,
                                    const std::string &Key,
                                    const Row &Value) const;

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::uint64_t m_Version = 10;
  std::unique_ptr<Listener> m_Listener;
};

/// \brief One route of the configuration.
struct RouteSpec {
  std::string m_Prefix;  ///< Begins and ends with a slash.
  std::string m_Type;    ///< "safe", "unsafe" or "download".
  std::string m_Service; ///< Its only target.
  int m_TargetMs = 400;
  int m_TimeoutMs = 2500;
  int m_MaxAttempts = 2;
};
inline constexpr std::string_view Host = "jepu9.example";

std::string configText(int Version, const std::vector<RouteSpec> &Routes);
std::string registration(const std::string &Address, const std::string &Service,
                         const std::string &Zone, int Slots, int Sequence,
                         const std::string &State = "ready");

/// \brief A gateway process with the run command of the deploy file.
class Gateway {
public:
  /// \param Number Selects its zone and its loopback address.
  Gateway(const std::string &Folder, const std::string &StoreAddress,
          int Number, const std::vector<int> &Ports);
  ~Gateway() { kill(); }
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;
  void start();
  void signal(int Number) const;
  void kill();
  /// \brief Whether it has ended by itself.
  bool hasEnded();
  [[nodiscard]] const std::string &callers() const { return m_Callers; }
  [[nodiscard]] const std::string &lookups() const { return m_Lookups; }
  /// \brief Waits until it says that it is ready.
  [[nodiscard]] bool waitReady(int TimeoutMs) const;
  [[nodiscard]] bool isReady() const;

private:
  std::string m_Folder;
  std::string m_Name;
  std::string m_SettingsPath;
  std::string m_Callers;
  std::string m_Ready;
  std::string m_Lookups;
  int m_Pid = -1;
};

/// \brief Ports that are free on the loopback addresses of the gateways.
std::vector<int> freePorts(std::size_t Count);

/// \brief Three regions with two zones each, as on the small site.
struct Zone {
  const char *m_Name;
  const char *m_Region;
};
inline constexpr Zone Zones[] = {{"dfw-north", "dfw"}, {"hou-ship", "hou"},
                                 {"sat-east", "sat"},  {"dfw-south", "dfw"},
                                 {"hou-west", "hou"},  {"sat-quarry", "sat"}};

} // namespace lab
