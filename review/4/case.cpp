/// \file
/// Servers that are taken away some seconds after an outage of the store.
#include "../support/harness.h"

using namespace review;

namespace {

constexpr unsigned Machines = 3; ///< Two in the region dfw, one in hou.
constexpr unsigned Servers = 12; ///< As the site's orderbook has.
constexpr unsigned Rounds = 4;
constexpr unsigned LeavingPerRound = 2; ///< Of 14: a share of .14.
constexpr unsigned ClientsPerMachine = 16;
constexpr Millis Work = 480ms;
constexpr Millis Deadline = 2500ms;
constexpr Millis Gap = 50ms; ///< Between two requests of a client.
constexpr Millis Outage = 4500ms;
constexpr Millis Contact = 4000ms; ///< The bound "contact".
constexpr Millis Drain = 2500ms;   ///< The bound "drain".
/// Servers serve for this long after their entries are gone: a little longer
/// than "drain", or some seconds longer.
constexpr Millis ServesOn[LeavingPerRound] = {Drain + 700ms, Drain + 3500ms};
/// From the begin of one round to that of the next.
constexpr Millis RoundTime = 23s;
constexpr char Service[] = "orderbook";

/// \brief A server, and what became of it.
struct Server {
  std::string m_Id;
  std::unique_ptr<Listener> m_Listener;
  /// When the store acknowledged that its entry is gone.
  std::atomic<Clock::time_point> m_GoneAt = Clock::time_point::max();
};

class Case {
public:
  explicit Case(const std::string &RecordPath)
      : m_Record(RecordPath), m_Deployment(m_Record, Machines) {}

  int run();

private:
  bool serve(Connection &Caller, const Head &Request, Server &At);
  void startServer();
  void playRound();
  void clientLoop(unsigned Machine);

  Record m_Record;
  Deployment m_Deployment;
  std::list<Server> m_Servers; ///< In the order of their starts.
  std::atomic<bool> m_Ending = false;
  std::atomic<unsigned> m_Asked = 0;
  std::atomic<unsigned> m_Succeeded = 0;
  std::atomic<unsigned> m_Late = 0;
  std::mutex m_Mutex;
  std::map<std::string, Clock::time_point> m_SentAt; ///< By request.
  std::map<std::string, std::string> m_LateAt;       ///< Server by request.
  unsigned m_Cut = 0; ///< Late requests that their server's end has cut off.
};

bool Case::serve(Connection &Caller, const Head &Request, Server &At) {
  std::string Id = Request.field("x-request-id");
  auto Now = Clock::now();
  auto Bound = At.m_GoneAt.load();
  if (Bound != Clock::time_point::max() && Now > Bound + Drain) {
    std::lock_guard Lock(m_Mutex);
    if (m_SentAt[Id] > Bound + Drain) {
      ++m_Late;
      m_LateAt[Id] = At.m_Id;
      m_Record.line(Id + " reaches " + At.m_Id + " " +
                    std::to_string((Now - Bound) / Millis(1)) +
                    " ms after the store has acknowledged that it is gone");
    }
  }
  std::this_thread::sleep_for(Work);
  return Caller.send(signedAnswer(Id, "booked"));
}

void Case::startServer() {
  unsigned Number = unsigned(m_Servers.size()) + 1;
  Server &New = m_Servers.emplace_back();
  New.m_Id = "i-" + std::to_string(Number);
  std::string Ip = m_Deployment.serverIp(Number);
  New.m_Listener = std::make_unique<Listener>(
      Ip, Deployment::ServerPort,
      [this, &New](Connection &Caller, const Head &Request) {
        return serve(Caller, Request, New);
      });
  m_Deployment.store().put(
      "servers", New.m_Id,
      ServerEntry{New.m_Id, Service,
                  Ip + ":" + std::to_string(Deployment::ServerPort),
                  Deployment::zoneOf(Number)}
          .text());
}

void Case::clientLoop(unsigned Machine) {
  std::unique_ptr<Connection> To;
  while (!m_Ending) {
    std::string Id = "order-" + std::to_string(++m_Asked);
    if (!To)
      To = Connection::open(m_Deployment.machineIp(Machine),
                            Deployment::CallerPort);
    if (!To)
      continue;
    {
      std::lock_guard Lock(m_Mutex);
      m_SentAt[Id] = Clock::now();
    }
    To->send(
        requestText("POST", "/orders/new", Id, Deadline,
                    "X-Affinity-Key: " + Id + "\r\nContent-Length: 0\r\n"));
    Reply Got = readReply(*To, Clock::now() + Deadline + 500ms);
    m_Succeeded += Got.m_Status == 200 ? 1U : 0U;
    if (Got.m_Status == 0 || Got.m_Head.field("connection") == "close")
      To.reset();
    {
      std::lock_guard Lock(m_Mutex);
      if (m_LateAt.contains(Id) && Got.m_Status != 200) {
        ++m_Cut;
        m_Record.line(Id + " was cut off by the end of " + m_LateAt[Id] +
                      ": status " + std::to_string(Got.m_Status));
      }
    }
    std::this_thread::sleep_for(Gap);
  }
}

void Case::playRound() {
  // A change, after which the machines ask for the next one.
  startServer();
  startServer();
  std::this_thread::sleep_for(100ms);
  if (playsTrouble()) {
    m_Record.line("the store is silent");
    m_Deployment.store().setSilent(true);
  }
  std::this_thread::sleep_for(Outage);
  m_Deployment.store().setSilent(false);
  m_Record.line("the store answers");
  std::this_thread::sleep_for(Contact + 500ms);
  std::vector<Server *> Leaving;
  for (Server &Each : m_Servers)
    if (Each.m_GoneAt.load() == Clock::time_point::max() &&
        Leaving.size() < LeavingPerRound)
      Leaving.push_back(&Each);
  for (Server *Each : Leaving) {
    m_Deployment.store().remove("servers", Each->m_Id);
    Each->m_GoneAt = Clock::now();
    m_Record.line("the entry of " + Each->m_Id + " is gone");
    std::this_thread::sleep_for(500ms);
  }
  for (unsigned I = 0; I < LeavingPerRound; ++I) {
    std::this_thread::sleep_until(Leaving[I]->m_GoneAt.load() + ServesOn[I]);
    Leaving[I]->m_Listener.reset();
    m_Record.line(Leaving[I]->m_Id + " has ended");
  }
}

int Case::run() {
  m_Deployment.configure({{"unsafe", "/orders/", Service, Deadline}});
  for (unsigned I = 0; I < Servers; ++I)
    startServer();
  m_Deployment.start();
  if (!m_Deployment.waitUntilReady(10s))
    return CouldNotRun;
  std::list<std::thread> Running;
  for (unsigned I = 0; I < Machines * ClientsPerMachine; ++I)
    Running.emplace_back([this, I] { clientLoop(I % Machines); });
  std::this_thread::sleep_for(3s);
  for (unsigned I = 0; I < Rounds; ++I) {
    auto Next = Clock::now() + RoundTime;
    playRound();
    if (I + 1 < Rounds)
      std::this_thread::sleep_until(Next);
  }
  m_Ending = true;
  for (std::thread &Each : Running)
    Each.join();
  m_Record.line(std::to_string(m_Late) +
                " requests reached a server too late, " +
                std::to_string(m_Cut) + " of them were cut off; " +
                std::to_string(m_Succeeded) + " of " + std::to_string(m_Asked) +
                " requests succeeded");
  if (m_Succeeded == 0)
    return CouldNotRun;
  return m_Late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase<Case>(Count, Arguments);
}
