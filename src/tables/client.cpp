/// \file
/// Requests to the platform, and the mapping of HTTP results to store statuses.
#include "tables/client.h"

#include "http/http.h"
#include "tables/row_codec.h"

namespace mustardspoke {
namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpConflict = 409;
constexpr unsigned HttpServerError = 500;

/// Whether a table request took effect, as far as \p Exchange shows. A server
/// error or a missing answer leaves it unknown.
StoreStatus storeStatus(const HttpExchange &Exchange) {
  if (Exchange.m_Progress == HttpProgress::NotSent)
    return StoreStatus::NotApplied;
  if (Exchange.m_Progress == HttpProgress::Unanswered)
    return StoreStatus::Unknown;
  unsigned Status = Exchange.m_Response.m_Status;
  if (Status == HttpOk)
    return StoreStatus::Ok;
  if (Status == HttpConflict)
    return StoreStatus::Conflict;
  return Status >= HttpServerError ? StoreStatus::Unknown
                                   : StoreStatus::NotApplied;
}

} // namespace

StoreReply PlatformClient::execute(const StoreRequest &Request) const {
  auto TimeoutMs = std::size_t(toMillis(m_Timeout));
  HttpRequest Query;
  Query.m_Method = "POST";
  const auto *Scan = std::get_if<ScanRequest>(&Request.m_Body);
  if (Scan) {
    Query.m_Path = "/table/scan";
    Query.m_Body =
        Json::object().set("since", Json(Scan->m_SinceRevision)).toText();
  } else {
    Query.m_Path = "/table/commit";
    Query.m_Body =
        commitToJson(std::get<CommitRequest>(Request.m_Body)).toText();
  }
  HttpExchange Exchange = httpExchange(m_Address, Query, TimeoutMs);
  StoreReply Reply;
  Reply.m_Status = storeStatus(Exchange);
  if (Reply.m_Status == StoreStatus::Ok) {
    JsonResult Parsed = parseJson(Exchange.m_Response.m_Body);
    auto Rows =
        Parsed && Scan ? scanReplyFromJson(Parsed.m_Value) : std::nullopt;
    if (Rows)
      Reply = std::move(*Rows);
    else if (Scan || !Parsed)
      Reply.m_Status = StoreStatus::Unknown;
    else
      Reply.m_Revision = std::uint64_t(Parsed.m_Value.integerOr("revision", 0));
  }
  Reply.m_Id = Request.m_Id;
  return Reply;
}

std::optional<std::vector<ListedVm>> PlatformClient::listVms() const {
  HttpExchange Exchange = httpExchange(m_Address, {"GET", "/vms"},
                                       std::size_t(toMillis(m_Timeout)));
  if (storeStatus(Exchange) != StoreStatus::Ok)
    return std::nullopt;
  JsonResult Parsed = parseJson(Exchange.m_Response.m_Body);
  return Parsed ? vmListFromJson(Parsed.m_Value) : std::nullopt;
}

std::optional<std::string>
PlatformClient::getObject(const std::string &Name) const {
  HttpExchange Exchange = httpExchange(m_Address, {"GET", "/objects/" + Name},
                                       std::size_t(toMillis(m_Timeout)));
  if (storeStatus(Exchange) != StoreStatus::Ok)
    return std::nullopt;
  return std::move(Exchange.m_Response.m_Body);
}

bool PlatformClient::putObject(const std::string &Name,
                               const std::string &Text) const {
  HttpRequest Query{"PUT", "/objects/" + Name};
  Query.m_Body = Text;
  HttpExchange Exchange =
      httpExchange(m_Address, Query, std::size_t(toMillis(m_Timeout)));
  return storeStatus(Exchange) == StoreStatus::Ok;
}

} // namespace mustardspoke
