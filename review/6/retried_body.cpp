/// \file
/// Two of 15 servers refuse a part of their requests, whose bodies arrive after
/// their heads. Checks that a server which reads on after its refusal gets the
/// rest of that body, and nothing else.
#include "../support-2/lab.h"

#include <algorithm>
#include <cstdio>
#include <random>

namespace {

using namespace lab;

constexpr int Slots = 6;
constexpr int WorkMs = 10;
constexpr std::size_t BodyBytes = 12000;
constexpr int DeadlineMs = 2500;
constexpr int ServerCount = 15;
/// The two of them that refuse requests.
constexpr int GreyServers[] = {0, 6};
/// From the begin of a request to its refusal; a round trip between two regions
/// takes five times as long.
constexpr std::int64_t RefusalMs = 20;
/// Part of the requests that such a server refuses.
constexpr double GreyPart = 0.45;
/// The time in which they do, after the start of the traffic.
constexpr std::int64_t GreyFromMs = 3000;
constexpr std::int64_t GreyForMs = 6500;
constexpr std::int64_t TrafficMs = 13000;
constexpr int RequestIntervalMs = 10;

std::atomic<bool> IsGreyTime{false};
std::atomic<int> ForeignBodies{0};
std::atomic<int> Refusals{0};
std::atomic<int> Answers[600];

std::string bodyOf(const std::string &Id) {
  std::string Body;
  while (Body.size() < BodyBytes)
    Body += Id + ".";
  Body.resize(BodyBytes);
  return Body;
}

/// \brief A server that, if it refuses a request, doesn't wait for its body. It
/// keeps the connection and reads the rest of the refused body.
class Server {
public:
  Server(std::string Name, bool IsGrey, unsigned Seed)
      : m_Name(std::move(Name)), m_IsGrey(IsGrey), m_Random(Seed),
        m_Listener("127.0.0.1", [this](Socket &To) { serve(To); }) {}
  [[nodiscard]] const std::string &address() const {
    return m_Listener.address();
  }

private:
  std::string load() {
    return std::to_string(std::min(m_Taken, Slots)) + "," +
           std::to_string(std::max(0, m_Taken - Slots)) + "," +
           std::to_string(Slots);
  }

  std::string head(const std::string &Line, const Message &Request,
                   const std::string &Extra, const std::string &Body) {
    return makeMessage(Line,
                       {{"X-Request-Id", Request.field("X-Request-Id")},
                        {"X-Server-Load", load()},
                        {Extra, "1"}},
                       Body);
  }

  void serve(Socket &To) {
    Reader In(To);
    Message Request;
    while (In.readHead(Request, 60000) == ReadResult::Done) {
      std::string Id = Request.field("X-Request-Id");
      Record::line("server " + m_Name + " gets the head of " + Id);
      bool Refuses = false;
      std::string Refusal;
      {
        std::scoped_lock Lock(m_Mutex);
        Refuses = m_IsGrey && IsGreyTime &&
                  std::uniform_real_distribution<>()(m_Random) < GreyPart;
        if (Refuses)
          Refusal = head("HTTP/1.1 503 Service Unavailable", Request,
                         "X-Not-Executed", "");
      }
      if (Refuses) {
        ++Refusals;
        sleepMs(RefusalMs);
        Record::line("server " + m_Name + " refuses " + Id);
        if (!To.write(Refusal))
          return;
      }
      std::string Body = In.readBytes(
          std::strtoul(Request.field("Content-Length").c_str(), nullptr, 10),
          60000);
      if (Body.empty())
        return;
      std::string Due = bodyOf(Id);
      if (Body != Due.substr(0, Body.size())) {
        ++ForeignBodies;
        std::size_t At = 0;
        while (Body[At] == Due[At])
          ++At;
        std::string Seen = Body.substr(At, 60);
        for (char &C : Seen)
          C = C == '\r' || C == '\n' ? ' ' : C;
        std::string Line = "BROKEN server " + m_Name + ": where byte ";
        Line += std::to_string(At) + " of the body of " + Id;
        Line.append(" is due, it gets \"").append(Seen).append("...\"");
        Record::line(Line);
        return;
      }
      if (Body.size() < Due.size())
        return;
      if (!Refuses && !run(To, Request, Id))
        return;
    }
  }

  bool run(Socket &To, const Message &Request, const std::string &Id) {
    std::unique_lock Lock(m_Mutex);
    ++m_Taken;
    Record::line("server " + m_Name + " runs " + Id);
    m_Freed.wait(Lock, [this] { return m_Running < Slots; });
    ++m_Running;
    Lock.unlock();
    sleepMs(WorkMs);
    Lock.lock();
    --m_Running;
    --m_Taken;
    m_Freed.notify_all();
    std::string Answer =
        head("HTTP/1.1 200 OK", Request, "X-Response-Signature", "done");
    Lock.unlock();
    return To.write(Answer);
  }

  std::string m_Name;
  bool m_IsGrey;
  std::mutex m_Mutex;
  std::minstd_rand m_Random;
  std::condition_variable m_Freed;
  int m_Taken = 0;
  int m_Running = 0;
  Listener m_Listener;
};

void call(const std::string &Address, int Number) {
  std::string Id = "r" + std::to_string(Number);
  Socket To = Socket::connectTo(Address, 1000);
  std::string Head =
      makeMessage("POST /order/" + Id + " HTTP/1.1",
                  {{"Host", std::string(Host)},
                   {"X-Request-Id", Id},
                   {"X-Deadline-Ms", std::to_string(DeadlineMs)}},
                  bodyOf(Id));
  std::string Body = Head.substr(Head.size() - BodyBytes);
  Head.resize(Head.size() - BodyBytes);
  std::int64_t SentAt = nowMs();
  bool Sent = To.write(Head);
  sleepMs(5);
  Sent = Sent && To.write(Body);
  Reader In(To);
  Message Answer;
  ReadResult Result = In.readMessage(Answer, DeadlineMs + 1500);
  int Status = Sent && Result == ReadResult::Done ? Answer.status() : 0;
  Record::line("client of " + Id + " gets " + std::to_string(Status) +
               " after " + std::to_string(nowMs() - SentAt) + " ms");
  ++Answers[Status];
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3)
    return 2;
  Record::open(Arguments[1]);
  std::string Folder = Arguments[2];
  Store Platform;
  Platform.put(
      "op", "config",
      configText(7, {{"/order/", "unsafe", "orderbook", 400, DeadlineMs, 2}}));
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 0; I < ServerCount; ++I) {
    std::string Name = "i-" + std::to_string(I);
    bool IsGrey = std::count(std::begin(GreyServers), std::end(GreyServers), I);
    Servers.push_back(
        std::make_unique<Server>(Name, IsGrey, std::random_device()()));
    Platform.put("servers", Name,
                 registration(Servers.back()->address(), "orderbook",
                              Zones[std::size_t(I) % std::size(Zones)].m_Name,
                              Slots, 1));
  }
  std::vector<int> Ports = freePorts(7);
  std::vector<std::unique_ptr<Gateway>> Gateways;
  // In the two zones of one region.
  for (int I : {0, 3}) {
    Gateways.push_back(
        std::make_unique<Gateway>(Folder, Platform.address(), I, Ports));
    Gateways.back()->start();
  }
  for (const auto &Each : Gateways)
    if (!Each->waitReady(15000))
      return 2;
  sleepMs(3000);
  std::vector<std::thread> Clients;
  int Number = 0;
  for (std::int64_t Begin = nowMs(); nowMs() - Begin < TrafficMs;) {
    std::int64_t At = nowMs() - Begin;
    bool IsGrey =
        hasTrouble() && At >= GreyFromMs && At < GreyFromMs + GreyForMs;
    if (IsGrey != IsGreyTime.exchange(IsGrey))
      Record::line(IsGrey ? "two servers begin to refuse requests"
                          : "no server refuses requests any more");
    ++Number;
    Clients.emplace_back(
        call, Gateways[std::size_t(Number) % Gateways.size()]->callers(),
        Number);
    sleepMs(RequestIntervalMs);
  }
  for (std::thread &Each : Clients)
    Each.join();
  Record::line("requests " + std::to_string(Number) + ", refusals by servers " +
               std::to_string(Refusals) +
               ", answered 200: " + std::to_string(Answers[200]) +
               ", 503: " + std::to_string(Answers[503]) +
               ", 502: " + std::to_string(Answers[502]) +
               ", 504: " + std::to_string(Answers[504]) +
               ", none: " + std::to_string(Answers[0]));
  Record::line("servers that got other bytes where a body was due: " +
               std::to_string(ForeignBodies));
  for (const auto &Each : Gateways)
    Each->kill();
  if (!hasTrouble() && Answers[200] == 0)
    return 2;
  std::fflush(nullptr);
  std::_Exit(ForeignBodies > 0 ? 1 : 0);
}
