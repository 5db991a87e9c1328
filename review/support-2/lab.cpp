/// \file
/// Sockets, HTTP messages, the store and gateway processes of the cases.
#include "lab.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace lab {
namespace {

const Clock::time_point StartedAt = Clock::now();

std::mutex RecordMutex;
FILE *RecordFile = nullptr;

constexpr std::string_view Base64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(std::string_view Bytes) {
  std::string Result;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Group = 0;
    std::size_t Count = std::min<std::size_t>(3, Bytes.size() - I);
    for (std::size_t K = 0; K < 3; ++K)
      Group = Group << 8 |
              (K < Count ? static_cast<unsigned char>(Bytes[I + K]) : 0U);
    for (std::size_t K = 0; K < 4; ++K)
      Result += K <= Count ? Base64Digits[Group >> (18 - 6 * K) & 63] : '=';
  }
  return Result;
}

std::string decodeBase64(std::string_view Text) {
  std::string Result;
  unsigned Group = 0;
  int Bits = 0;
  for (char Digit : Text) {
    std::size_t Value = Base64Digits.find(Digit);
    if (Value == std::string_view::npos)
      break;
    Group = Group << 6 | unsigned(Value);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Result += char(Group >> Bits & 255);
    }
  }
  return Result;
}

sockaddr_in parseAddress(const std::string &Address) {
  sockaddr_in Result{};
  std::size_t Colon = Address.rfind(':');
  Result.sin_family = AF_INET;
  Result.sin_port =
      htons(std::uint16_t(std::strtoul(&Address[Colon + 1], nullptr, 10)));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Result.sin_addr);
  return Result;
}

std::string toLower(std::string_view Text) {
  std::string Result(Text);
  for (char &C : Result)
    C = char(std::tolower(static_cast<unsigned char>(C)));
  return Result;
}

std::string decodePercent(std::string_view Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I)
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result += char(std::strtoul(std::string(Text.substr(I + 1, 2)).c_str(),
                                  nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  return Result;
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  std::size_t Begin = Target.find('?');
  while (Begin != std::string::npos) {
    std::size_t End = std::min(Target.find('&', Begin + 1), Target.size());
    std::string Parameter = Target.substr(Begin + 1, End - Begin - 1);
    std::size_t Equals = Parameter.find('=');
    if (Parameter.substr(0, Equals) == Name && Equals != std::string::npos)
      return decodePercent(std::string_view(Parameter).substr(Equals + 1));
    Begin = End < Target.size() ? End : std::string::npos;
  }
  return {};
}

std::string quote(std::string_view Text) {
  std::string Result = "\"";
  for (char C : Text)
    if (static_cast<unsigned char>(C) < 32) {
      char Code[8];
      std::snprintf(Code, sizeof Code, "\\u%04x", unsigned(C));
      Result += Code;
    } else {
      if (C == '"' || C == '\\')
        Result += '\\';
      Result += C;
    }
  return Result + "\"";
}

/// \brief The string after "Name": in a flat JSON object without escapes.
std::string jsonText(std::string_view Object, const std::string &Name) {
  std::size_t At = Object.find("\"" + Name + "\":\"");
  if (At == std::string_view::npos)
    return {};
  At += Name.size() + 4;
  return std::string(Object.substr(At, Object.find('"', At) - At));
}

/// \brief The objects of the array "Name" in a JSON object without nesting.
std::vector<std::string> jsonObjects(const std::string &Text,
                                     const std::string &Name) {
  std::vector<std::string> Result;
  std::size_t At = Text.find("\"" + Name + "\":[");
  if (At == std::string::npos)
    return Result;
  std::size_t End = Text.find(']', At);
  for (At = Text.find('{', At); At < End; At = Text.find('{', At + 1))
    Result.push_back(Text.substr(At, Text.find('}', At) - At + 1));
  return Result;
}

std::string jsonAnswer(int Status, const std::string &Body) {
  return makeMessage("HTTP/1.1 " + std::to_string(Status) + " Answer",
                     {{"Content-Type", "application/json"}}, Body);
}

} // namespace

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string_view(Value) != "0";
}

std::int64_t nowMs() {
  return std::chrono::duration_cast<Millis>(Clock::now() - StartedAt).count();
}

void sleepMs(std::int64_t Span) {
  if (Span > 0)
    std::this_thread::sleep_for(Millis(Span));
}

void Record::open(const std::string &Path) {
  RecordFile = std::fopen(Path.c_str(), "w");
}

void Record::write(const std::string &Text) {
  std::scoped_lock Lock(RecordMutex);
  if (!RecordFile)
    return;
  std::fprintf(RecordFile, "%6lld %s\n", static_cast<long long>(nowMs()),
               Text.c_str());
  std::fflush(RecordFile);
}

Socket &Socket::operator=(Socket &&Other) noexcept {
  if (this != &Other) {
    close();
    m_Fd = Other.m_Fd.exchange(-1);
  }
  return *this;
}

void Socket::close() {
  int Fd = m_Fd.exchange(-1);
  if (Fd >= 0)
    ::close(Fd);
}

void Socket::reset() {
  linger Option{1, 0};
  ::setsockopt(m_Fd, SOL_SOCKET, SO_LINGER, &Option, sizeof Option);
  close();
}

void Socket::shutdownBoth() const { ::shutdown(m_Fd, SHUT_RDWR); }

Socket Socket::connectTo(const std::string &Address, int TimeoutMs) {
  sockaddr_in To = parseAddress(Address);
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof To) != 0 &&
      errno == EINPROGRESS) {
    pollfd Wait{Fd, POLLOUT, 0};
    int Error = ETIMEDOUT;
    socklen_t Size = sizeof Error;
    if (::poll(&Wait, 1, TimeoutMs) == 1)
      ::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size);
    if (Error != 0) {
      ::close(Fd);
      return Socket();
    }
  }
  ::fcntl(Fd, F_SETFL, ::fcntl(Fd, F_GETFL) & ~O_NONBLOCK);
  return Socket(Fd);
}

bool Socket::write(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(m_Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(std::size_t(Sent));
  }
  return true;
}

long Socket::read(char *Buffer, std::size_t Size, int TimeoutMs) const {
  pollfd Wait{m_Fd, POLLIN, 0};
  int Ready = ::poll(&Wait, 1, TimeoutMs);
  if (Ready == 0)
    return -2;
  return Ready < 0 ? -1 : ::recv(m_Fd, Buffer, Size, 0);
}

std::string Message::field(std::string_view Name) const {
  std::string Wanted = toLower(Name);
  for (const auto &[Each, Value] : m_Fields)
    if (toLower(Each) == Wanted)
      return Value;
  return {};
}

std::string Message::method() const {
  return m_StartLine.substr(0, m_StartLine.find(' '));
}

std::string Message::target() const {
  std::size_t Begin = m_StartLine.find(' ');
  std::size_t End = m_StartLine.rfind(' ');
  return Begin < End ? m_StartLine.substr(Begin + 1, End - Begin - 1) : "";
}

int Message::status() const {
  std::size_t Begin = m_StartLine.find(' ');
  return Begin == std::string::npos ? 0 : std::atoi(&m_StartLine[Begin + 1]);
}

int Reader::fill(int TimeoutMs) {
  char Buffer[16384];
  long Count = m_From.read(Buffer, sizeof Buffer, TimeoutMs);
  if (Count <= 0)
    return int(Count);
  m_Bytes.append(Buffer, std::size_t(Count));
  return 1;
}

ReadResult Reader::readHead(Message &Into, int TimeoutMs) {
  Into = Message();
  auto End = Clock::now() + Millis(TimeoutMs);
  std::size_t HeadEnd = 0;
  while ((HeadEnd = m_Bytes.find("\r\n\r\n")) == std::string::npos) {
    auto Left = std::chrono::duration_cast<Millis>(End - Clock::now()).count();
    int Got = Left > 0 ? fill(int(Left)) : -2;
    if (Got == -2)
      return ReadResult::TimedOut;
    if (Got <= 0)
      return m_Bytes.empty() ? ReadResult::Closed : ReadResult::Incomplete;
  }
  std::istringstream Lines(m_Bytes.substr(0, HeadEnd));
  m_Bytes.erase(0, HeadEnd + 4);
  std::string Line;
  std::getline(Lines, Line);
  auto Trim = [](std::string &Text) {
    while (!Text.empty() && (Text.back() == '\r' || Text.back() == ' '))
      Text.pop_back();
  };
  Trim(Line);
  Into.m_StartLine = Line;
  if (Line.find("HTTP/1.") == std::string::npos)
    return ReadResult::Malformed;
  while (std::getline(Lines, Line)) {
    Trim(Line);
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      return ReadResult::Malformed;
    std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Into.m_Fields.emplace_back(Line.substr(0, Colon), Value == std::string::npos
                                                          ? ""
                                                          : Line.substr(Value));
  }
  return ReadResult::Done;
}

std::string Reader::readBytes(std::size_t Count, int TimeoutMs) {
  auto End = Clock::now() + Millis(TimeoutMs);
  while (m_Bytes.size() < Count) {
    auto Left = std::chrono::duration_cast<Millis>(End - Clock::now()).count();
    if (Left <= 0 || fill(int(Left)) <= 0)
      break;
  }
  std::string Result = m_Bytes.substr(0, Count);
  m_Bytes.erase(0, Result.size());
  return Result;
}

ReadResult Reader::readBody(Message &Into, int TimeoutMs) {
  if (toLower(Into.field("Transfer-Encoding")) == "chunked") {
    for (;;) {
      std::size_t LineEnd = 0;
      while ((LineEnd = m_Bytes.find("\r\n")) == std::string::npos) {
        int Got = fill(TimeoutMs);
        if (Got <= 0)
          return Got == -2 ? ReadResult::TimedOut : ReadResult::Incomplete;
      }
      std::size_t Size = std::strtoul(m_Bytes.c_str(), nullptr, 16);
      if (!std::isxdigit(static_cast<unsigned char>(m_Bytes[0])))
        return ReadResult::Malformed;
      m_Bytes.erase(0, LineEnd + 2);
      std::string Chunk = readBytes(Size + 2, TimeoutMs);
      if (Chunk.size() != Size + 2)
        return ReadResult::Incomplete;
      Into.m_Body += Chunk.substr(0, Size);
      if (Size == 0)
        return ReadResult::Done;
    }
  }
  std::string Length = Into.field("Content-Length");
  if (Length.empty() && Into.m_StartLine.starts_with("HTTP/")) {
    int Got = 1;
    while ((Got = fill(TimeoutMs)) == 1)
      continue;
    Into.m_Body = std::exchange(m_Bytes, {});
    return Got == 0    ? ReadResult::Done
           : Got == -2 ? ReadResult::TimedOut
                       : ReadResult::Incomplete;
  }
  std::size_t Size = std::strtoul(Length.c_str(), nullptr, 10);
  Into.m_Body = readBytes(Size, TimeoutMs);
  return Into.m_Body.size() == Size ? ReadResult::Done : ReadResult::Incomplete;
}

ReadResult Reader::readMessage(Message &Into, int TimeoutMs) {
  ReadResult Result = readHead(Into, TimeoutMs);
  return Result == ReadResult::Done ? readBody(Into, TimeoutMs) : Result;
}

std::string
makeMessage(const std::string &StartLine,
            const std::vector<std::pair<std::string, std::string>> &Fields,
            const std::string &Body) {
  std::string Text = StartLine + "\r\n";
  for (const auto &[Name, Value] : Fields)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  if (!StartLine.starts_with("GET "))
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

Listener::Listener(const std::string &Ip, Handler Serve)
    : m_Serve(std::move(Serve)) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in At = parseAddress(Ip + ":0");
  socklen_t Size = sizeof At;
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof At) != 0 ||
      ::listen(Fd, 512) != 0 ||
      ::getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &Size) != 0)
    std::exit(2);
  m_Fd = Fd;
  m_Address = Ip + ":" + std::to_string(ntohs(At.sin_port));
  m_Thread = std::thread([this] { acceptLoop(); });
}

void Listener::acceptLoop() {
  int Fd = m_Fd;
  for (;;) {
    int Accepted = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0)
      return;
    int One = 1;
    ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    auto Connection = std::make_shared<Socket>(Accepted);
    {
      std::scoped_lock Lock(m_Mutex);
      if (m_Fd < 0)
        return;
      std::erase_if(m_Connections,
                    [](const auto &Each) { return Each.expired(); });
      m_Connections.push_back(Connection);
    }
    std::thread([this, Connection] { m_Serve(*Connection); }).detach();
  }
}

void Listener::stop() {
  int Fd = -1;
  {
    std::scoped_lock Lock(m_Mutex);
    Fd = m_Fd.exchange(-1);
    for (const auto &Each : m_Connections)
      if (auto Connection = Each.lock())
        Connection->shutdownBoth();
  }
  if (Fd < 0)
    return;
  ::shutdown(Fd, SHUT_RDWR);
  ::close(Fd);
  m_Thread.join();
}

Store::Store() {
  m_Listener = std::make_unique<Listener>(
      "127.0.0.1", [this](Socket &Connection) { serve(Connection); });
}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  std::scoped_lock Lock(m_Mutex);
  m_Tables[Table][Key] = {Value, ++m_Version, false};
  m_Changed.notify_all();
}

void Store::remove(const std::string &Table, const std::string &Key) {
  std::scoped_lock Lock(m_Mutex);
  m_Tables[Table][Key] = {{}, ++m_Version, true};
  m_Changed.notify_all();
}

void Store::serve(Socket &Connection) {
  Reader In(Connection);
  Message Request;
  while (In.readMessage(Request, 600000) == ReadResult::Done)
    if (!Connection.write(answer(Request)))
      return;
}

std::string Store::answer(const Message &Request) {
  std::string Target = Request.target();
  sleepMs(4);
  if (Target.starts_with("/mustardspoke/rows-get"))
    return rowsGet(Target);
  if (Target.starts_with("/mustardspoke/rows-feed"))
    return rowsFeed(Target);
  if (Target.starts_with("/mustardspoke/rows-tx"))
    return rowsTx(Request.m_Body);
  return jsonAnswer(404, "{}");
}

std::string Store::rowText(const std::string &Table, const std::string &Key,
                           const Row &Value) const {
  std::string Text = R"({"table":)" + quote(Table) + R"(,"part":"","key":)" +
                     quote(Key) + R"(,"ver":)" +
                     std::to_string(Value.m_Version);
  if (Value.m_Removed)
    return Text + R"(,"removed":true})";
  return Text + R"(,"value":")" + encodeBase64(Value.m_Value) + "\"}";
}

std::string Store::rowsGet(const std::string &Target) {
  std::scoped_lock Lock(m_Mutex);
  std::string Table = queryValue(Target, "table");
  std::string From = queryValue(Target, "from");
  std::string Rows;
  std::size_t Count = 0;
  bool HasMore = false;
  for (const auto &[Key, Value] : m_Tables[Table]) {
    if (Value.m_Removed || Key < From)
      continue;
    if (Count++ == 500) {
      HasMore = true;
      break;
    }
    Rows += (Rows.empty() ? "" : ",") + rowText(Table, Key, Value);
  }
  return jsonAnswer(200, R"({"rows":[)" + Rows + R"(],"hasMore":)" +
                             (HasMore ? "true" : "false") + R"(,"ver":)" +
                             std::to_string(m_Version) + R"(,"now":")" +
                             std::to_string(nowMs()) + "ms\"}");
}

std::string Store::rowsFeed(const std::string &Target) {
  std::string Table = queryValue(Target, "table");
  std::uint64_t After =
      std::strtoull(queryValue(Target, "after").c_str(), nullptr, 10);
  auto End =
      Clock::now() + Millis(std::atoi(queryValue(Target, "waitMs").c_str()));
  std::unique_lock Lock(m_Mutex);
  std::vector<std::pair<std::uint64_t, std::string>> Found;
  for (;;) {
    for (const auto &[Key, Value] : m_Tables[Table])
      if (Value.m_Version > After)
        Found.emplace_back(Value.m_Version, rowText(Table, Key, Value));
    if (!Found.empty() ||
        m_Changed.wait_until(Lock, End) == std::cv_status::timeout)
      break;
  }
  std::sort(Found.begin(), Found.end());
  std::string Rows;
  for (const auto &[Version, Text] : Found)
    Rows += (Rows.empty() ? "" : ",") + Text;
  return jsonAnswer(200, R"({"rows":[)" + Rows + R"(],"ver":)" +
                             std::to_string(m_Version) + R"(,"now":")" +
                             std::to_string(nowMs()) + "ms\"}");
}

std::string Store::rowsTx(const std::string &Body) {
  std::scoped_lock Lock(m_Mutex);
  auto RowOf = [this](const std::string &Object) -> Row & {
    return m_Tables[jsonText(Object, "table")][jsonText(Object, "key")];
  };
  for (const std::string &Object : jsonObjects(Body, "expect")) {
    const Row &Known = RowOf(Object);
    std::uint64_t Version = Known.m_Removed ? 0 : Known.m_Version;
    std::size_t At = Object.find("\"ver\":");
    if (Version != std::strtoull(&Object[At + 6], nullptr, 10))
      return jsonAnswer(412, R"({"rows":[],"ver":)" +
                                 std::to_string(m_Version) + "}");
  }
  ++m_Version;
  for (const std::string &Object : jsonObjects(Body, "writes"))
    RowOf(Object) = {decodeBase64(jsonText(Object, "value")), m_Version, false};
  for (const std::string &Object : jsonObjects(Body, "remove"))
    RowOf(Object) = {{}, m_Version, true};
  m_Changed.notify_all();
  return jsonAnswer(200, R"({"ver":)" + std::to_string(m_Version) +
                             R"(,"now":")" + std::to_string(nowMs()) + "ms\"}");
}

std::string configText(int Version, const std::vector<RouteSpec> &Routes) {
  std::string Rules;
  std::string Clusters;
  std::vector<std::string> Services;
  for (const RouteSpec &Each : Routes) {
    Rules += (Rules.empty() ? "" : ",") + std::string(R"({"name":"r)") +
             std::to_string(Services.size()) + Each.m_Prefix.substr(1, 3) +
             R"(","type":")" + Each.m_Type + R"(","targetLatency":")" +
             std::to_string(Each.m_TargetMs) +
             R"(ms","priority":1,"sessionAffinity":false,"match":{"prefix":")" +
             Each.m_Prefix + R"("},"action":{"service":")" + Each.m_Service +
             R"(","timeout":")" + std::to_string(Each.m_TimeoutMs) +
             R"(ms","maxAttempts":)" + std::to_string(Each.m_MaxAttempts) +
             R"(,"allowedRegions":[]}})";
    if (std::find(Services.begin(), Services.end(), Each.m_Service) ==
        Services.end())
      Clusters += (Clusters.empty() ? "" : ",") + std::string(R"({"name":")") +
                  Each.m_Service +
                  R"(","healthPath":"/health","maxConnections":330,)"
                  R"("protocol":"h1","tls":false,"warmup":"3s",)"
                  R"("warmupPerS":19.0})";
    Services.push_back(Each.m_Service);
  }
  return R"({"version":"r)" + std::to_string(Version) +
         R"(","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
         R"("headerTimeout":"3000ms","idleTimeout":"15000ms"},)"
         R"("listeners":[{"host":")" +
         std::string(Host) + R"(","rules":[)" + Rules + R"(]}],"clusters":[)" +
         Clusters + "]}";
}

std::string registration(const std::string &Address, const std::string &Service,
                         const std::string &Zone, int Slots, int Sequence,
                         const std::string &State) {
  return R"({"address":")" + Address + R"(","info":{"service":")" + Service +
         R"(","version":"v1","zone":")" + Zone + R"(","slots":)" +
         std::to_string(Slots) + R"(},"status":{"state":")" + State +
         R"(","sequence":)" + std::to_string(Sequence) +
         R"(,"warmupLeft":"0ms"}})";
}

std::vector<int> freePorts(std::size_t Count) {
  std::vector<int> Result;
  // Held until all are found, so that they differ.
  std::vector<std::unique_ptr<Listener>> Held;
  while (Result.size() < Count) {
    Held.push_back(std::make_unique<Listener>("127.0.1.1", [](Socket &) {}));
    const std::string &Address = Held.back()->address();
    Result.push_back(std::atoi(&Address[Address.rfind(':') + 1]));
  }
  return Result;
}

Gateway::Gateway(const std::string &Folder, const std::string &StoreAddress,
                 int Number, const std::vector<int> &Ports)
    : m_Folder(Folder), m_Name("front-" + std::to_string(Number)) {
  const Zone &Place = Zones[std::size_t(Number) % std::size(Zones)];
  std::string Ip = "127.0.1." + std::to_string(Number + 1);
  auto At = [&](std::size_t I) { return Ip + ":" + std::to_string(Ports[I]); };
  m_Callers = At(0);
  m_Ready = At(1);
  m_Lookups = At(2);
  std::string Regions;
  for (const Zone &Each : Zones)
    Regions += (Regions.empty() ? "" : ",") + quote(Each.m_Name) + ":" +
               quote(Each.m_Region);
  std::string Seeds;
  for (int I = 1; I <= 3; ++I)
    Seeds += (Seeds.empty() ? "" : ",") + quote("127.0.1." + std::to_string(I) +
                                                ":" + std::to_string(Ports[3]));
  m_SettingsPath = Folder + "/" + m_Name + ".json";
  std::ofstream Out(m_SettingsPath);
  Out << R"({"vm":)" << quote(m_Name) << R"(,"region":)"
      << quote(Place.m_Region) << R"(,"failureDomain":)" << quote(Place.m_Name)
      << R"(,"failureDomains":{)" << Regions << R"(},"listen":{"ip":)"
      << quote(Ip) << R"(,"callers":)" << quote(m_Callers) << R"(,"ready":)"
      << quote(m_Ready) << R"(,"lookups":)" << quote(m_Lookups)
      << R"(,"seeds":)" << quote(At(3)) << R"(,"metrics":)" << quote(At(6))
      << R"(,"peerPorts":[")" << Ports[4] << R"(",")" << Ports[5]
      << R"("]},"store":)" << quote(StoreAddress) << R"(,"seeds":[)" << Seeds
      << R"(],"cores":0.2,"linkMbps":1000.0,"limits":{"stopGrace":"6s",)"
         R"("lookupLifeMost":"5s","retryWindow":"10s","retryRatio":0.2,)"
         R"("retrySlack":56}})"
      << "\n";
}

void Gateway::start() {
  std::string Log = m_Folder + "/" + m_Name + ".log";
  m_Pid = ::fork();
  if (m_Pid != 0)
    return;
  // Started by the main thread, so that it ends with this process.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  int Fd = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Fd, 1);
  ::dup2(Fd, 2);
  ::execl("target/mustardspoke", "mustardspoke", "gateway",
          m_SettingsPath.c_str(), nullptr);
  ::_exit(127);
}

void Gateway::signal(int Number) const {
  if (m_Pid > 0)
    ::kill(m_Pid, Number);
}

void Gateway::kill() {
  if (m_Pid <= 0)
    return;
  ::kill(m_Pid, SIGKILL);
  ::waitpid(m_Pid, nullptr, 0);
  m_Pid = -1;
}

bool Gateway::hasEnded() {
  if (m_Pid > 0 && ::waitpid(m_Pid, nullptr, WNOHANG) == m_Pid)
    m_Pid = -1;
  return m_Pid < 0;
}

bool Gateway::isReady() const {
  Socket To = Socket::connectTo(m_Ready, 500);
  if (!To.isOpen())
    return false;
  To.write("GET /mustardspoke/ready HTTP/1.1\r\nHost: x\r\n\r\n");
  Reader In(To);
  Message Answer;
  return In.readMessage(Answer, 500) == ReadResult::Done &&
         Answer.status() == 200;
}

bool Gateway::waitReady(int TimeoutMs) const {
  for (std::int64_t End = nowMs() + TimeoutMs; nowMs() < End; sleepMs(50))
    if (isReady())
      return true;
  return false;
}

} // namespace lab
