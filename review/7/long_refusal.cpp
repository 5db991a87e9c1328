/// \file
/// A server in trouble runs requests that may run once only, and answers them
/// with 503 and a long body, without stating that they haven't run. Checks that
/// no client is told so.
#include "../support-2/lab.h"

#include <cstdio>
#include <set>

namespace {

using namespace lab;

constexpr int RequestCount = 1500;
constexpr int RequestIntervalMs = 7;
constexpr int DeadlineMs = 1500;
constexpr int ServerCount = 6;
constexpr int FaultyServer = 3;
/// Each of so many of its answers is a faulty one, for a time.
constexpr int FaultInterval = 50;
constexpr std::int64_t FaultsForMs = 5500;
constexpr std::size_t LongBody = 700000;  // bytes
constexpr std::size_t ShortBody = 2000;   // bytes
constexpr std::size_t PieceBytes = 32768; // of a body without end

enum class Fault : std::uint8_t { Short, Long, Endless };
constexpr const char *FaultNames[] = {"a short body", "a long body",
                                      "a body without end"};

std::mutex Mutex;
std::set<std::string> Ran;
std::map<std::string, Fault> Faulty;
std::atomic<int> Broken[3];
std::atomic<int> Sent[3];
std::atomic<int> Statuses[600];
std::atomic<std::int64_t> FaultsUntil{0};

/// \returns Whether the connection can go on.
bool answerBadly(Socket &To, const std::string &Id, Fault Kind) {
  constexpr const char *Line = "HTTP/1.1 503 Service Unavailable";
  ++Sent[int(Kind)];
  if (Kind != Fault::Endless)
    return To.write(makeMessage(
        Line, {{"X-Request-Id", Id}, {"X-Response-Signature", "s." + Id}},
        std::string(Kind == Fault::Long ? LongBody : ShortBody, 'e')));
  if (!To.write(std::string(Line) + "\r\nX-Request-Id: " + Id + "\r\n\r\n"))
    return false;
  // 3 MB a second, until the caller closes.
  while (To.write(std::string(PieceBytes, 'e')))
    sleepMs(10);
  return false;
}

void serve(Socket &To, const std::string &Name, bool IsFaulty) {
  static std::atomic<int> Answers{0};
  Reader In(To);
  Message Request;
  while (In.readMessage(Request, 60000) == ReadResult::Done) {
    std::string Id = Request.field("X-Request-Id");
    {
      std::scoped_lock Lock(Mutex);
      Ran.insert(Id);
    }
    Record::line("server ", Name, " runs ", Id);
    sleepMs(20);
    int Number = IsFaulty && nowMs() < FaultsUntil ? ++Answers : 0;
    if (Number > 0 && Number % FaultInterval == 0) {
      auto Kind = Fault(Number / FaultInterval % 3);
      Record::line("server ", Name, " has run ", Id, " and answers 503 with ",
                   FaultNames[int(Kind)], ", without X-Not-Executed");
      {
        std::scoped_lock Lock(Mutex);
        Faulty[Id] = Kind;
      }
      if (!answerBadly(To, Id, Kind))
        return;
      continue;
    }
    if (!To.write(makeMessage(
            "HTTP/1.1 200 OK",
            {{"X-Request-Id", Id}, {"X-Response-Signature", "s." + Id}},
            "placed")))
      return;
  }
}

void call(const std::string &Address, int Number) {
  std::string Id = "o" + std::to_string(Number);
  Socket To = Socket::connectTo(Address, 1000);
  bool IsSent =
      To.write(makeMessage("POST /order/" + Id + " HTTP/1.1",
                           {{"Host", std::string(Host)},
                            {"X-Request-Id", Id},
                            {"X-Deadline-Ms", std::to_string(DeadlineMs)}},
                           "two hoppers"));
  Reader In(To);
  Message Answer;
  ReadResult Head = In.readHead(Answer, DeadlineMs + 1500);
  int Status = IsSent && Head == ReadResult::Done ? Answer.status() : 0;
  ReadResult Body = Status == 0 ? Head : In.readBody(Answer, DeadlineMs + 1500);
  ++Statuses[Status];
  std::scoped_lock Lock(Mutex);
  bool IsPromise =
      Status == 503 || Status == 429 || Status == 408 || Status == 421;
  if (Status != 200)
    Record::line("client of " + Id + " gets " + std::to_string(Status) +
                 ", body " + (Body == ReadResult::Done ? "whole" : "cut off"));
  if (!IsPromise || !Ran.contains(Id))
    return;
  ++Broken[int(Faulty[Id])];
  Record::line("REFUSED " + Id + " is answered " + std::to_string(Status) +
               ", which promises that it hasn't run, and has run");
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3)
    return 2;
  Record::open(Arguments[1]);
  Store Platform;
  Platform.put(
      "op", "config",
      configText(7, {{"/order/", "unsafe", "orderbook", 400, DeadlineMs}}));
  std::vector<std::unique_ptr<Listener>> Servers;
  for (int I = 0; I < ServerCount; ++I) {
    std::string Name = "i-" + std::to_string(I);
    bool IsFaulty = hasTrouble() && I == FaultyServer;
    Servers.push_back(
        std::make_unique<Listener>("127.0.0.1", [Name, IsFaulty](Socket &To) {
          serve(To, Name, IsFaulty);
        }));
    Platform.put("servers", Name,
                 registration(Servers.back()->address(), "orderbook",
                              Zones[I].m_Name, 6, 1));
  }
  Gateway Vm(Arguments[2], Platform.address(), 0, freePorts(7));
  Vm.start();
  if (!Vm.waitReady(15000))
    return 2;
  sleepMs(3000);
  // In touch for longer than `contact` before the faults begin.
  sleepMs(2000);
  FaultsUntil = nowMs() + FaultsForMs;
  std::vector<std::thread> Clients;
  for (int I = 0; I < RequestCount; ++I) {
    Clients.emplace_back(call, Vm.callers(), I);
    sleepMs(RequestIntervalMs);
  }
  for (std::thread &Each : Clients)
    Each.join();
  int Total = 0;
  for (int Kind = 0; Kind < 3; ++Kind) {
    Record::line(std::string("503 with ") + FaultNames[Kind] + ": " +
                 std::to_string(Sent[Kind]) + " sent, " +
                 std::to_string(Broken[Kind]) + " passed on to the client");
    Total += Broken[Kind];
  }
  Record::line("answered 200: " + std::to_string(Statuses[200]) +
               ", 502: " + std::to_string(Statuses[502]) +
               ", 503: " + std::to_string(Statuses[503]) +
               ", 504: " + std::to_string(Statuses[504]) +
               ", none: " + std::to_string(Statuses[0]));
  Vm.kill();
  std::fflush(nullptr);
  std::_Exit(Total > 0 ? 1 : 0);
}
