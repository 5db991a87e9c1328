/// \file
/// Client side of look-ups and calls.
#include "cli/caller.h"

#include "entry/answer_stream.h"
#include "entry/headers.h"
#include "json/json.h"

#include <kj/async-io.h>
#include <kj/debug.h>

namespace mustardspoke {
namespace {

constexpr std::size_t MaxBodyStartBytes = 2000;
constexpr std::size_t ChunkBytes = 64 * 1024;

/// A connection that is used for a single request.
class SingleUseConnection {
public:
  SingleUseConnection(kj::AsyncIoContext &Io, const HeaderTable &Table,
                      const std::string &Address)
      : m_Wait(Io.waitScope), m_Table(Table) {
    auto Parsed = Io.provider->getNetwork().parseAddress(Address).wait(m_Wait);
    m_Stream = kj::heap<AnswerStream>(Parsed->connect().wait(m_Wait));
    m_Client = kj::newHttpClient(*Table.m_Table, *m_Stream);
  }

  /// Sends the request and reads the answer to its end.
  CallerResult exchange(const std::string &Url,
                        const kj::HttpHeaders &RequestHeaders,
                        const std::string &Body) {
    auto Method = Body.empty() ? kj::HttpMethod::GET : kj::HttpMethod::POST;
    auto Sent =
        m_Client->request(Method, Url.c_str(), RequestHeaders, Body.size());
    if (!Body.empty())
      Sent.body->write(Body.data(), Body.size()).wait(m_Wait);
    Sent.body = nullptr;
    auto Response = Sent.response.wait(m_Wait);
    CallerResult Result;
    // What another status says of the call is unknown.
    KJ_REQUIRE(Response.statusCode >= 200 && Response.statusCode <= 599,
               "answer with invalid status");
    Result.m_Status = Response.statusCode;
    KJ_IF_MAYBE (Outcome, Response.headers->get(m_Table.m_Ids.m_Outcome))
      Result.m_Outcome = Outcome->cStr();
    KJ_IF_MAYBE (Error, Response.headers->get(m_Table.m_Ids.m_Error))
      Result.m_Error = Error->cStr();
    readBody(*Response.body, Result);
    return Result;
  }

private:
  void readBody(kj::AsyncInputStream &Body, CallerResult &Result) {
    auto Buffer = kj::heapArray<char>(ChunkBytes);
    KJ_IF_MAYBE (Failure, kj::runCatchingExceptions([&] {
                   while (std::size_t Count =
                              Body.tryRead(Buffer.begin(), 1, Buffer.size())
                                  .wait(m_Wait)) {
                     Result.m_BodyBytes += Count;
                     if (Result.m_BodyStart.size() < MaxBodyStartBytes)
                       Result.m_BodyStart.append(
                           Buffer.begin(),
                           std::min(Count, MaxBodyStartBytes -
                                               Result.m_BodyStart.size()));
                   }
                   Result.m_IsComplete = true;
                 })) {
      Result.m_Error = "answer ended before its body was complete";
    }
  }

  kj::WaitScope &m_Wait;
  const HeaderTable &m_Table;
  kj::Own<AnswerStream> m_Stream;
  kj::Own<kj::HttpClient> m_Client;
};

CallerResult trySend(kj::AsyncIoContext &Io, const HeaderTable &Table,
                     const std::string &Address, const std::string &Url,
                     const kj::HttpHeaders &RequestHeaders,
                     const std::string &Body) {
  CallerResult Result;
  bool Connected = false;
  KJ_IF_MAYBE (Failure, kj::runCatchingExceptions([&] {
                 SingleUseConnection Connection(Io, Table, Address);
                 Connected = true;
                 Result = Connection.exchange(Url, RequestHeaders, Body);
               })) {
    Result.m_Error = Failure->getDescription().cStr();
  }
  Result.m_Connected = Connected;
  Result.m_EntryAddress = Address;
  return Result;
}

/// Whether the call may be sent to another entry VM after \p Last.
bool mayRetry(const CallerResult &Last, bool HasTicket) {
  if (Last.m_Status == 0)
    return true;
  return Last.m_Outcome == "not-run" && !HasTicket &&
         (Last.m_Status == 502 || Last.m_Status == 503);
}

} // namespace

CallerResult sendCall(const std::string &Address, const std::string &Url,
                      const std::string &Ticket, const std::string &Body) {
  auto Io = kj::setupAsyncIo();
  HeaderTable Table;
  kj::HttpHeaders RequestHeaders(*Table.m_Table);
  RequestHeaders.set(kj::HttpHeaderId::HOST, "mustardspoke");
  if (!Ticket.empty())
    RequestHeaders.set(Table.m_Ids.m_Ticket, kj::str(Ticket));
  return trySend(Io, Table, Address, Url, RequestHeaders, Body);
}

namespace {

/// Result of a look-up: entry VMs, and a ticket if the service needs one.
struct LookupResult {
  std::vector<std::string> m_Addresses;
  std::string m_Ticket;
  CallerResult m_Failure; ///< Set if m_Addresses is empty.
};

LookupResult lookUp(kj::AsyncIoContext &Io, const HeaderTable &Table,
                    const kj::HttpHeaders &RequestHeaders,
                    const CallerRequest &Request) {
  LookupResult Result;
  for (const std::string &Address : Request.m_EntryAddresses) {
    Result.m_Failure =
        trySend(Io, Table, Address, "/lookup?service=" + Request.m_Service,
                RequestHeaders, "");
    JsonResult Parsed = parseJson(Result.m_Failure.m_BodyStart);
    const Json *List = Parsed ? Parsed.m_Value.find("vms") : nullptr;
    if (Result.m_Failure.m_Status != 200 || !List)
      continue;
    for (const Json &Vm : List->items())
      Result.m_Addresses.push_back(Vm.textOr("address", ""));
    Result.m_Ticket = Parsed.m_Value.textOr("ticket", "");
    break;
  }
  return Result;
}

} // namespace

CallerResult lookUpAndCall(const CallerRequest &Request) {
  constexpr int MaxLookups = 5;
  auto Io = kj::setupAsyncIo();
  HeaderTable Table;
  kj::HttpHeaders LookupHeaders(*Table.m_Table);
  LookupHeaders.set(kj::HttpHeaderId::HOST, "mustardspoke");
  kj::HttpHeaders CallHeaders = LookupHeaders.clone();
  if (!Request.m_Tenant.empty())
    CallHeaders.set(Table.m_Ids.m_Tenant, kj::str(Request.m_Tenant));
  if (Request.m_DeadlineMs > 0)
    CallHeaders.set(Table.m_Ids.m_Deadline, kj::str(Request.m_DeadlineMs));

  CallerResult Last;
  for (int Lookup = 0; Lookup < MaxLookups; ++Lookup) {
    LookupResult Target = lookUp(Io, Table, LookupHeaders, Request);
    if (Target.m_Addresses.empty())
      return Target.m_Failure;
    if (!Target.m_Ticket.empty())
      CallHeaders.set(Table.m_Ids.m_Ticket, kj::str(Target.m_Ticket));
    bool WasSent = false;
    for (const std::string &Address : Target.m_Addresses) {
      Last = trySend(Io, Table, Address,
                     "/call/" + Request.m_Service + Request.m_Path, CallHeaders,
                     Request.m_Body);
      Last.m_Ticket = Target.m_Ticket;
      WasSent = WasSent || Last.m_Connected;
      bool TicketUnused = !Target.m_Ticket.empty() && !WasSent;
      if (TicketUnused || !mayRetry(Last, !Target.m_Ticket.empty()))
        break;
    }
    if (WasSent)
      break;
  }
  return Last;
}

} // namespace mustardspoke
