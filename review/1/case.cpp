/// \file
/// Uploads to a service of two servers, one of which rejects half of them
/// before they are in, and reads on. The other one runs them.
#include "../support/harness.h"

#include <sstream>

using namespace review;

namespace {

constexpr std::size_t BodySize = 16 << 20; // bytes; the site allows 64 MiB
/// Receive buffer of a server, as connections have small windows.
constexpr int ServerWindow = 256 << 10; // bytes
constexpr std::size_t PieceSize = 64 << 10;
/// A client uploads a body over this time.
constexpr Millis UploadTime = 1200ms;
constexpr Millis Deadline = 2500ms;
constexpr unsigned Clients = 3;
constexpr unsigned Requests = 60; ///< Of all clients.
/// While it sheds, server 1 rejects one of so many requests of each kind.
constexpr unsigned RejectsEach = 2;
/// It sheds for this long, and is sound for as long after it.
constexpr Millis ShedTime = 8s;
constexpr char Service[] = "orderbook";

/// \brief How a body is sent, and when the servers read it.
struct Pace {
  bool m_Chunked = false;
  Millis m_RejectingReadsAfter{}; ///< From its rejection.
  Millis m_RunningReadsAfter{};   ///< From the head of the request.
};

/// \brief Requests with odd numbers are sent in chunks, the others with a
/// length.
Pace paceOf(const std::string &Id) {
  bool IsOdd = std::stoul(Id.substr(Id.find('-') + 1)) % 2 == 1;
  return IsOdd ? Pace{true, 0ms, 800ms} : Pace{false, 800ms, 0ms};
}

/// \brief The body of the request \p Id: each 8 bytes tell their place.
std::string bodyOf(const std::string &Id) {
  std::string Result;
  Result.reserve(BodySize);
  char Place[9];
  for (std::size_t At = 0; At < BodySize; At += 8) {
    std::snprintf(Place, sizeof Place, "%c%07zx", Id.back(), At / 8);
    Result.append(Place, 8);
  }
  return Result;
}

std::size_t firstDifference(const std::string &Got, const std::string &Due) {
  std::size_t At = 0;
  while (At < Got.size() && At < Due.size() && Got[At] == Due[At])
    ++At;
  return At;
}

std::string chunk(const std::string &Bytes) {
  std::ostringstream Out;
  Out << std::hex << Bytes.size() << "\r\n" << Bytes << "\r\n";
  return Out.str();
}

class Case {
public:
  explicit Case(const std::string &RecordPath)
      : m_Record(RecordPath), m_Deployment(m_Record, 1) {}

  int run();

private:
  bool serveSound(Connection &Caller, const Head &Request,
                  const std::string &Server);
  bool serveRejecting(Connection &Caller, const Head &Request);
  void compare(const std::string &Id, const std::string &Server,
               const std::string &Got, const std::string &What);
  void upload(unsigned Number);

  Record m_Record;
  Deployment m_Deployment;
  /// Bodies with other bytes, at the server that runs them and at the one that
  /// has rejected them.
  std::atomic<unsigned> m_RunChanged = 0;
  std::atomic<unsigned> m_RejectedChanged = 0;
  Clock::time_point m_Begin; ///< Of the first upload.
  std::atomic<unsigned> m_SeenByRejecting[2] = {};
  std::atomic<unsigned> m_Answered = 0;
};

void Case::compare(const std::string &Id, const std::string &Server,
                   const std::string &Got, const std::string &What) {
  std::string Due = bodyOf(Id);
  std::size_t At = firstDifference(Got, Due);
  if (Got == Due)
    return m_Record.line(Server + " " + What + " " + Id + ": body as sent");
  ++(What == "runs" ? m_RunChanged : m_RejectedChanged);
  m_Record.line(Server + " " + What + " " + Id + ": OTHER BYTES from byte " +
                std::to_string(At) + " on: due \"" + Due.substr(At, 16) +
                "\", got \"" + Got.substr(At, 16) + "\", " +
                std::to_string(Got.size()) + " bytes of " +
                std::to_string(Due.size()));
}

bool Case::serveSound(Connection &Caller, const Head &Request,
                      const std::string &Server) {
  std::string Id = Request.field("x-request-id");
  Caller.limitReceiveBuffer(ServerWindow);
  std::this_thread::sleep_for(paceOf(Id).m_RunningReadsAfter);
  auto Body = readBody(Caller, Request);
  if (!Body) {
    m_Record.line(Server + " got no complete body of " + Id);
    return false;
  }
  bool Sent = Caller.send(signedAnswer(Id, "done " + Id));
  compare(Id, Server, *Body, "runs");
  return Sent;
}

bool Case::serveRejecting(Connection &Caller, const Head &Request) {
  std::string Id = Request.field("x-request-id");
  std::atomic<unsigned> &Seen = m_SeenByRejecting[paceOf(Id).m_Chunked];
  bool Sheds = (Clock::now() - m_Begin) / ShedTime % 2 == 0;
  if (!playsTrouble() || !Sheds || Seen++ % RejectsEach != 0)
    return serveSound(Caller, Request, "server 1");
  Caller.limitReceiveBuffer(ServerWindow);
  m_Record.line("server 1 rejects " + Id + " before its body is in");
  if (!Caller.send(shedAnswer(Id)))
    return false;
  std::this_thread::sleep_for(paceOf(Id).m_RejectingReadsAfter);
  auto Body = readBody(Caller, Request);
  // A connection that ends early is no fault, but what arrived must be due.
  std::string Got = Body ? *Body : "";
  if (!Body && !paceOf(Id).m_Chunked)
    Got = Caller.m_Input;
  if (!Body && bodyOf(Id).compare(0, Got.size(), Got) == 0)
    m_Record.line("server 1 reads on: " + Id + " breaks off");
  else
    compare(Id, "server 1", Got, "reads on");
  return bool(Body);
}

void Case::upload(unsigned Number) {
  std::string Id = "order-" + std::to_string(Number);
  std::string Body = bodyOf(Id);
  auto To = Connection::open(m_Deployment.machineIp(0), Deployment::CallerPort);
  if (!To)
    return m_Record.line("client of " + Id + ": no connection");
  auto Begin = Clock::now();
  bool Chunked = paceOf(Id).m_Chunked;
  std::string Framing = Chunked
                            ? "Transfer-Encoding: chunked"
                            : "Content-Length: " + std::to_string(Body.size());
  To->send(requestText("POST", "/orders/new", Id, Deadline,
                       "X-Affinity-Key: " + std::to_string(Number) + "\r\n" +
                           Framing + "\r\n"));
  for (std::size_t At = 0; At < Body.size(); At += PieceSize) {
    std::this_thread::sleep_until(Begin + UploadTime * At / Body.size());
    std::string Piece = Body.substr(At, PieceSize);
    if (!To->send(Chunked ? chunk(Piece) : Piece))
      break;
  }
  if (Chunked)
    To->send(chunk(""));
  Reply Got = readReply(*To, Begin + Deadline + 1s);
  m_Answered += Got.m_Status == 200 ? 1U : 0U;
  m_Record.line("client of " + Id + ": status " + std::to_string(Got.m_Status));
}

int Case::run() {
  m_Deployment.configure({{"unsafe", "/orders/", Service, Deadline}});
  std::string Ip1 = m_Deployment.serverIp(1);
  std::string Ip2 = m_Deployment.serverIp(2);
  Listener Server1(Ip1, Deployment::ServerPort,
                   [this](Connection &Caller, const Head &Request) {
                     return serveRejecting(Caller, Request);
                   });
  Listener Server2(Ip2, Deployment::ServerPort,
                   [this](Connection &Caller, const Head &Request) {
                     return serveSound(Caller, Request, "server 2");
                   });
  std::string Port = ":" + std::to_string(Deployment::ServerPort);
  m_Deployment.store().put(
      "servers", "i-1",
      ServerEntry{"i-1", Service, Ip1 + Port, "dfw-north"}.text());
  m_Deployment.store().put(
      "servers", "i-2",
      ServerEntry{"i-2", Service, Ip2 + Port, "dfw-south"}.text());
  m_Deployment.start();
  if (!m_Deployment.waitUntilReady(10s))
    return CouldNotRun;
  std::this_thread::sleep_for(1s);
  m_Begin = Clock::now();
  std::list<std::thread> Uploading;
  for (unsigned Client = 1; Client <= Clients; ++Client)
    Uploading.emplace_back([this, Client] {
      for (unsigned I = Client; I <= Requests; I += Clients)
        upload(I);
    });
  for (std::thread &Each : Uploading)
    Each.join();
  std::this_thread::sleep_for(1s);
  m_Record.line("answered with success: " + std::to_string(m_Answered) +
                " of " + std::to_string(Requests) +
                "; run with other bytes: " + std::to_string(m_RunChanged) +
                "; other bytes where the rest was due: " +
                std::to_string(m_RejectedChanged));
  if (m_Answered == 0)
    return CouldNotRun;
  return m_RunChanged + m_RejectedChanged > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase<Case>(Count, Arguments);
}
