/// \file
/// An entry of another writer among the servers' entries, whose value can't be
/// read.
#include "../support/harness.h"

using namespace review;

namespace {

constexpr unsigned Machines = 2;
constexpr unsigned Servers = 4;
constexpr unsigned ClientsPerMachine = 6;
constexpr Millis Deadline = 2500ms; ///< Of the clients.
constexpr Millis RouteTimeout = 2000ms;
/// After a route's timeout, a request has its final answer within this time.
constexpr Millis AnswerSlack = 500ms;
constexpr Millis Work = 100ms;
constexpr Millis Gap = 100ms; ///< Between two requests of a client.
constexpr Millis CalmTime = 4s;
constexpr Millis RunTime = 40s;
/// Requests without a final answer that break the rule, if they are over a
/// quarter of those that last longer than their route's timeout.
constexpr unsigned TooManyUnanswered = 8;
/// The platform's limit on a row's value in the site file.
constexpr std::size_t RowBytes = 65536;
constexpr char Service[] = "orderbook";

/// \brief A value that isn't a registration: a comment, and lists in lists.
std::string unreadableValue() {
  std::string Result = "/* 19\" rack */";
  Result.resize(RowBytes, '[');
  return Result;
}

class Case {
public:
  explicit Case(const std::string &RecordPath)
      : m_Record(RecordPath), m_Deployment(m_Record, Machines) {}

  int run();

private:
  void ask(unsigned Machine);
  void clientLoop(unsigned Machine);

  Record m_Record;
  Deployment m_Deployment;
  std::atomic<bool> m_Ending = false;
  std::atomic<unsigned> m_Sent = 0;
  std::atomic<unsigned> m_Succeeded = 0;
  /// Without an answer at the route's timeout, and AnswerSlack later.
  std::atomic<unsigned> m_Lasting = 0;
  std::atomic<unsigned> m_Unanswered = 0;
};

void Case::ask(unsigned Machine) {
  unsigned Number = ++m_Sent;
  std::string Id = "order-" + std::to_string(Number);
  auto To =
      Connection::open(m_Deployment.machineIp(Machine), Deployment::CallerPort);
  if (!To)
    return m_Record.line(Id + " at machine " + std::to_string(Machine) +
                         ": no connection");
  auto SentAt = Clock::now();
  To->send(requestText("POST", "/orders/new", Id, Deadline,
                       "X-Affinity-Key: " + std::to_string(Number) +
                           "\r\nContent-Length: 0\r\n"));
  Reply Got = readReply(*To, SentAt + RouteTimeout + AnswerSlack);
  bool HasEnded = Clock::now() < SentAt + RouteTimeout;
  m_Succeeded += Got.m_Status == 200 ? 1U : 0U;
  m_Lasting += HasEnded ? 0U : 1U;
  m_Unanswered += Got.m_Status == 0 && !HasEnded ? 1U : 0U;
  if (Got.m_Status != 200)
    m_Record.line(Id + " at machine " + std::to_string(Machine) + ": " +
                  (Got.m_Status != 0 ? "status " + std::to_string(Got.m_Status)
                   : HasEnded        ? "the connection ended"
                              : "no answer 0.5 s after the route's timeout"));
}

void Case::clientLoop(unsigned Machine) {
  while (!m_Ending) {
    ask(Machine);
    std::this_thread::sleep_for(Gap);
  }
}

int Case::run() {
  m_Deployment.configure({{"unsafe", "/orders/", Service, RouteTimeout}});
  std::list<Listener> Running;
  for (unsigned I = 1; I <= Servers; ++I) {
    std::string Ip = m_Deployment.serverIp(I);
    std::string Id = "i-" + std::to_string(I);
    Running.emplace_back(Ip, Deployment::ServerPort,
                         [](Connection &Caller, const Head &Request) {
                           std::this_thread::sleep_for(Work);
                           return Caller.send(signedAnswer(
                               Request.field("x-request-id"), "booked"));
                         });
    m_Deployment.store().put(
        "servers", Id,
        ServerEntry{Id, Service,
                    Ip + ":" + std::to_string(Deployment::ServerPort),
                    Deployment::zoneOf(I)}
            .text());
  }
  m_Deployment.start();
  if (!m_Deployment.waitUntilReady(10s))
    return CouldNotRun;
  std::list<std::thread> Clients;
  for (unsigned I = 0; I < Machines * ClientsPerMachine; ++I)
    Clients.emplace_back([this, I] { clientLoop(I % Machines); });
  std::this_thread::sleep_for(CalmTime);
  m_Record.line("before the entry: " + std::to_string(m_Succeeded) + " of " +
                std::to_string(m_Sent) + " requests succeeded");
  bool WasCalm = m_Succeeded > 0 && m_Unanswered == 0;
  if (playsTrouble()) {
    m_Deployment.store().put("servers", "rack-19", unreadableValue());
    m_Record.line("another writer has put the entry rack-19");
  }
  std::this_thread::sleep_for(RunTime);
  m_Ending = true;
  for (std::thread &Each : Clients)
    Each.join();
  std::string Ends;
  for (unsigned I = 0; I < Machines; ++I)
    Ends += (I == 0 ? "" : " and ") + std::to_string(m_Deployment.ownEnds(I));
  m_Record.line(std::to_string(m_Succeeded) + " of " + std::to_string(m_Sent) +
                " requests succeeded; " + std::to_string(m_Unanswered) +
                " of " + std::to_string(m_Lasting) +
                " that lasted for the route's timeout had no answer 0.5 s "
                "later; the machines' processes ended " +
                Ends + " times by themselves");
  if (!WasCalm)
    return CouldNotRun;
  return m_Unanswered >= TooManyUnanswered && m_Unanswered * 4 > m_Lasting
             ? RuleBroken
             : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase<Case>(Count, Arguments);
}
