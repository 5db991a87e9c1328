/// \file
/// Parses and routes callers' requests.
#include "entry/caller_service.h"

#include <charconv>

namespace mustardspoke {
namespace {

constexpr std::size_t MaxBodyBytes = 256 * 1024;
constexpr std::string_view CallPrefix = "/call/";
constexpr std::string_view LookupPrefix = "/lookup";

template <class Int> bool parseInteger(std::string_view Text, Int &Value) {
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Error == std::errc() && End == Text.data() + Text.size();
}

std::string_view toView(kj::StringPtr Text) {
  return {Text.begin(), Text.size()};
}

Json lookupToJson(const LookupAnswer &Answer) {
  Json Body = Json::object();
  Json List = Json::array();
  for (const EntryVmAddress &Vm : Answer.m_Vms) {
    Json Entry = Json::object();
    Entry.set("vm", Json(Vm.m_Vm.str()));
    Entry.set("address", Json(Vm.m_Address));
    List.push(std::move(Entry));
  }
  Body.set("vms", std::move(List));
  Body.set("lifeMs", Json(toMillis(Answer.m_Lifetime)));
  if (Answer.m_Ticket)
    Body.set("ticket", Json(Answer.m_Ticket->toText()));
  return Body;
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
                                         const kj::HttpHeaders &RequestHeaders,
                                         kj::AsyncInputStream &Body,
                                         Response &CallerResponse) {
  std::string_view Path = toView(Url);
  if (Path.starts_with(CallPrefix))
    return call(Method, Path, RequestHeaders, Body, CallerResponse);
  std::size_t QueryStart = Path.find('?');
  if (Path.substr(0, QueryStart) == LookupPrefix &&
      Method == kj::HttpMethod::GET)
    return lookUp(QueryStart == std::string_view::npos
                      ? std::string_view()
                      : Path.substr(QueryStart + 1),
                  CallerResponse);
  return replyWithError(CallerResponse, m_Worker.m_Headers,
                        errorStep(ErrorKind::BadRequest));
}

kj::Promise<void> CallerService::lookUp(std::string_view Query,
                                        Response &CallerResponse) {
  LookupRequest Request;
  Request.m_Service = ServiceName(std::string(queryValue(Query, "service")));
  std::string_view Client = queryValue(Query, "client");
  if (!Client.empty()) {
    Request.m_Client = parseIpv4(Client);
    if (!Request.m_Client)
      return replyWithError(CallerResponse, m_Worker.m_Headers,
                            errorStep(ErrorKind::BadRequest));
  }
  LookupAnswer Answer =
      m_Worker.m_Shared.access()->lookUp(Request, monotonicNow());
  if (Answer.m_Error != ErrorKind::None)
    return replyWithError(CallerResponse, m_Worker.m_Headers,
                          errorStep(Answer.m_Error));
  std::string Text = lookupToJson(Answer).toText();
  kj::HttpHeaders ResponseHeaders(*m_Worker.m_Headers.m_Table);
  ResponseHeaders.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
  auto Stream = CallerResponse.send(200, "OK", ResponseHeaders, Text.size());
  return writeAndClose(kj::mv(Stream), std::move(Text));
}

kj::Promise<void> CallerService::call(kj::HttpMethod Method,
                                      std::string_view Url,
                                      const kj::HttpHeaders &RequestHeaders,
                                      kj::AsyncInputStream &Body,
                                      Response &CallerResponse) {
  InboundRequest Request;
  Request.m_Method = Method;
  Request.m_Url = std::string(Url);
  std::string_view Target = Url.substr(CallPrefix.size());
  std::size_t NameEnd = std::min(Target.find_first_of("/?"), Target.size());
  Request.m_Call.m_Service =
      ServiceName(std::string(Target.substr(0, NameEnd)));
  std::string_view Path = Target.substr(NameEnd);
  Request.m_UpstreamUrl = Path.starts_with('/') ? "" : "/";
  Request.m_UpstreamUrl += Path;
  if (auto Error = readHeaders(RequestHeaders, Request.m_Call))
    return replyWithError(CallerResponse, m_Worker.m_Headers,
                          errorStep(*Error));
  KJ_IF_MAYBE (Length, Body.tryGetLength()) {
    if (*Length > MaxBodyBytes)
      return replyWithError(CallerResponse, m_Worker.m_Headers,
                            errorStep(ErrorKind::BodyTooLarge));
  }
  Request.m_Headers = kj::heap<kj::HttpHeaders>(RequestHeaders.clone());
  // The body is read before the call is admitted, so that a slow sender doesn't
  // occupy a slot.
  return Body.readAllBytes(MaxBodyBytes)
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
             &CallerResponse](kj::Maybe<kj::Array<kj::byte>> Bytes) mutable
            -> kj::Promise<void> {
        KJ_IF_MAYBE (Received, Bytes) {
          Request.m_Body = kj::mv(*Received);
          auto Flow = kj::refcounted<CallFlow>(m_Worker, kj::mv(Request));
          auto Running = Flow->run(CallerResponse);
          return Running.attach(kj::mv(Flow));
        }
        return replyWithError(CallerResponse, m_Worker.m_Headers,
                              errorStep(ErrorKind::BodyTooLarge));
      });
}

std::optional<ErrorKind>
CallerService::readHeaders(const kj::HttpHeaders &RequestHeaders,
                           CallRequest &Call) const {
  const HeaderIds &Ids = m_Worker.m_Headers.m_Ids;
  Call.m_Tenant = TenantName("anonymous");
  KJ_IF_MAYBE (Tenant, RequestHeaders.get(Ids.m_Tenant)) {
    if (!isName(toView(*Tenant)))
      return ErrorKind::BadRequest;
    Call.m_Tenant = TenantName(Tenant->cStr());
  }
  KJ_IF_MAYBE (Deadline, RequestHeaders.get(Ids.m_Deadline)) {
    std::uint32_t Millis = 0;
    if (!parseInteger(toView(*Deadline), Millis) || Millis == 0)
      return ErrorKind::BadRequest;
    Call.m_Deadline = std::chrono::milliseconds(Millis);
  }
  KJ_IF_MAYBE (Hops, RequestHeaders.get(Ids.m_Hops)) {
    if (!parseInteger(toView(*Hops), Call.m_Hops))
      return ErrorKind::BadRequest;
  }
  KJ_IF_MAYBE (Text, RequestHeaders.get(Ids.m_Ticket)) {
    Call.m_Ticket = Ticket::parse(toView(*Text));
    if (!Call.m_Ticket)
      return ErrorKind::TicketInvalid;
  }
  return std::nullopt;
}

} // namespace mustardspoke
