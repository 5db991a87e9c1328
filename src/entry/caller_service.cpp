/// \file
/// Routing and reading of callers' requests.
#include "entry/caller_service.h"

#include <charconv>

namespace mustardspoke {
namespace {

constexpr std::size_t MostBodyBytes = 256 * 1024;
constexpr std::string_view CallPrefix = "/call/";
constexpr std::string_view LookupPrefix = "/lookup";

template <class Int> bool parseWhole(std::string_view Text, Int &Value) {
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Error == std::errc() && End == Text.data() + Text.size();
}

std::string_view view(kj::StringPtr From) {
  return {From.begin(), From.size()};
}

Json lookupToJson(const LookupAnswer &From) {
  Json To = Json::object();
  Json List = Json::array();
  for (const EntryVmAddress &Vm : From.m_Vms) {
    Json One = Json::object();
    One.set("vm", Json(Vm.m_Vm.str()));
    One.set("address", Json(Vm.m_Address));
    List.push(std::move(One));
  }
  To.set("vms", std::move(List));
  To.set("lifeMs", Json(toMillis(From.m_Lifetime)));
  if (From.m_Ticket)
    To.set("ticket", Json(From.m_Ticket->toText()));
  return To;
}

} // namespace

std::string_view queryValue(std::string_view Query, std::string_view Key) {
  while (!Query.empty()) {
    std::string_view Pair = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Pair.size() + 1, Query.size()));
    std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Key && Equals != std::string_view::npos)
      return Pair.substr(Equals + 1);
  }
  return {};
}

kj::Promise<void> CallerService::request(kj::HttpMethod Method,
                                         kj::StringPtr Url,
                                         const kj::HttpHeaders &With,
                                         kj::AsyncInputStream &Body,
                                         Response &To) {
  std::string_view Path = view(Url);
  if (Path.starts_with(CallPrefix))
    return call(Method, Path, With, Body, To);
  std::size_t Question = Path.find('?');
  if (Path.substr(0, Question) == LookupPrefix && Method == kj::HttpMethod::GET)
    return lookUp(Question == std::string_view::npos
                      ? std::string_view()
                      : Path.substr(Question + 1),
                  To);
  return replyWithError(To, m_Worker.m_Headers,
                        errorStep(ErrorKind::BadRequest));
}

kj::Promise<void> CallerService::lookUp(std::string_view Query, Response &To) {
  LookupRequest Asked;
  Asked.m_Service = ServiceName(std::string(queryValue(Query, "service")));
  std::string_view Client = queryValue(Query, "client");
  if (!Client.empty()) {
    Asked.m_Client = parseIpv4(Client);
    if (!Asked.m_Client)
      return replyWithError(To, m_Worker.m_Headers,
                            errorStep(ErrorKind::BadRequest));
  }
  LookupAnswer Answer =
      m_Worker.m_Shared.access()->lookUp(Asked, monotonicNow());
  if (Answer.m_Error != ErrorKind::None)
    return replyWithError(To, m_Worker.m_Headers, errorStep(Answer.m_Error));
  std::string Text = lookupToJson(Answer).toText();
  kj::HttpHeaders With(*m_Worker.m_Headers.m_Table);
  With.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
  auto Out = To.send(200, "OK", With, Text.size());
  return writeWhole(kj::mv(Out), std::move(Text));
}

kj::Promise<void> CallerService::call(kj::HttpMethod Method,
                                      std::string_view Url,
                                      const kj::HttpHeaders &With,
                                      kj::AsyncInputStream &Body,
                                      Response &To) {
  InboundRequest Request;
  Request.m_Method = Method;
  Request.m_Url = std::string(Url);
  std::string_view Rest = Url.substr(CallPrefix.size());
  std::size_t NameEnd = std::min(Rest.find_first_of("/?"), Rest.size());
  Request.m_Call.m_Service = ServiceName(std::string(Rest.substr(0, NameEnd)));
  std::string_view Path = Rest.substr(NameEnd);
  Request.m_UpstreamUrl = Path.starts_with('/') ? "" : "/";
  Request.m_UpstreamUrl += Path;
  if (auto Error = readHeaders(With, Request.m_Call))
    return replyWithError(To, m_Worker.m_Headers, errorStep(*Error));
  KJ_IF_MAYBE (Length, Body.tryGetLength()) {
    if (*Length > MostBodyBytes)
      return replyWithError(To, m_Worker.m_Headers,
                            errorStep(ErrorKind::BodyTooLarge));
  }
  Request.m_Headers = kj::heap<kj::HttpHeaders>(With.clone());
  // The body is read before the call is admitted: a slow sender holds no slot.
  return Body.readAllBytes(MostBodyBytes)
      .then(
          [](kj::Array<kj::byte> Bytes) {
            return kj::Maybe<kj::Array<kj::byte>>(kj::mv(Bytes));
          },
          [](kj::Exception &&Failure) -> kj::Maybe<kj::Array<kj::byte>> {
            if (Failure.getType() == kj::Exception::Type::DISCONNECTED)
              kj::throwRecoverableException(kj::mv(Failure));
            return nullptr;
          })
      .then([this, Request = kj::mv(Request),
             &To](kj::Maybe<kj::Array<kj::byte>> Bytes) mutable
            -> kj::Promise<void> {
        KJ_IF_MAYBE (Whole, Bytes) {
          Request.m_Body = kj::mv(*Whole);
          auto Flow = kj::refcounted<CallFlow>(m_Worker, kj::mv(Request));
          auto Running = Flow->run(To);
          return Running.attach(kj::mv(Flow));
        }
        return replyWithError(To, m_Worker.m_Headers,
                              errorStep(ErrorKind::BodyTooLarge));
      });
}

std::optional<ErrorKind> CallerService::readHeaders(const kj::HttpHeaders &With,
                                                    CallRequest &Into) const {
  const Headers &Ids = m_Worker.m_Headers.m_Ids;
  Into.m_Tenant = TenantName("anonymous");
  KJ_IF_MAYBE (Tenant, With.get(Ids.m_Tenant)) {
    if (!isName(view(*Tenant)))
      return ErrorKind::BadRequest;
    Into.m_Tenant = TenantName(Tenant->cStr());
  }
  KJ_IF_MAYBE (Deadline, With.get(Ids.m_Deadline)) {
    std::uint32_t Millis = 0;
    if (!parseWhole(view(*Deadline), Millis) || Millis == 0)
      return ErrorKind::BadRequest;
    Into.m_Deadline = std::chrono::milliseconds(Millis);
  }
  KJ_IF_MAYBE (Hops, With.get(Ids.m_Hops)) {
    if (!parseWhole(view(*Hops), Into.m_Hops))
      return ErrorKind::BadRequest;
  }
  KJ_IF_MAYBE (Text, With.get(Ids.m_Ticket)) {
    Into.m_Ticket = Ticket::parse(view(*Text));
    if (!Into.m_Ticket)
      return ErrorKind::TicketInvalid;
  }
  return std::nullopt;
}

} // namespace mustardspoke
