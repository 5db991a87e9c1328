/// \file
/// Encoding and decoding of the table's messages.
#include "tables/row_codec.h"

namespace mustardspoke {
namespace {

std::uint64_t whole(const Json &From, const char *Key) {
  return std::uint64_t(From.integerOr(Key, 0));
}

Json encode(const VmRow &From) {
  Json To = Json::object();
  To.set("kind", Json("vm"));
  To.set("vm", Json(From.m_Vm.str()));
  To.set("incarnation", Json(From.m_Incarnation));
  To.set("renewals", Json(From.m_Renewals));
  To.set("fences", Json(From.m_Fences));
  To.set("left", Json(From.m_Left));
  return To;
}

Json encode(const LimitRow &From) {
  Json To = Json::object();
  To.set("kind", Json("limit"));
  To.set("limit", Json(From.m_Limit.str()));
  To.set("capacity", Json(From.m_Capacity));
  To.set("bundle", Json(From.m_BundleVersion));
  Json List = Json::array();
  for (const Holding &H : From.m_Holdings) {
    Json One = Json::object();
    One.set("vm", Json(H.m_Holder.m_Vm.str()));
    One.set("incarnation", Json(H.m_Holder.m_Incarnation));
    One.set("floor", Json(H.m_Floor));
    One.set("surplus", Json(H.m_Surplus));
    One.set("want", Json(H.m_Requested));
    List.push(std::move(One));
  }
  To.set("holdings", std::move(List));
  return To;
}

Json encode(const HeadRow &From) {
  Json To = Json::object();
  To.set("kind", Json("head"));
  To.set("version", Json(From.m_Version));
  To.set("object", Json(From.m_Object));
  return To;
}

VmRow decodeVm(const Json &From) {
  return {VmName(From.textOr("vm", "")), whole(From, "incarnation"),
          whole(From, "renewals"), whole(From, "fences"),
          From.boolOr("left", false)};
}

LimitRow decodeLimit(const Json &From) {
  LimitRow To{LimitName(From.textOr("limit", "")),
              std::uint32_t(whole(From, "capacity")),
              whole(From, "bundle"),
              {}};
  const Json *List = From.find("holdings");
  if (!List)
    return To;
  for (const Json &One : List->items())
    To.m_Holdings.push_back(
        {{VmName(One.textOr("vm", "")), whole(One, "incarnation")},
         std::uint32_t(whole(One, "floor")),
         std::uint32_t(whole(One, "surplus")),
         std::uint32_t(whole(One, "want"))});
  return To;
}

} // namespace

Json rowToJson(const Row &From) {
  return std::visit([](const auto &Typed) { return encode(Typed); }, From);
}

std::optional<Row> rowFromJson(const Json &From) {
  std::string Kind = From.textOr("kind", "");
  if (Kind == "vm")
    return decodeVm(From);
  if (Kind == "limit")
    return decodeLimit(From);
  if (Kind == "head")
    return HeadRow{whole(From, "version"), From.textOr("object", "")};
  return std::nullopt;
}

Json scanReplyToJson(const StoreReply &From) {
  Json To = Json::object();
  To.set("revision", Json(From.m_Revision));
  Json List = Json::array();
  for (const StoredRow &Stored : From.m_Rows) {
    Json One = Json::object();
    One.set("key", Json(Stored.m_Key));
    One.set("revision", Json(Stored.m_Revision));
    One.set("value", rowToJson(Stored.m_Row));
    List.push(std::move(One));
  }
  To.set("rows", std::move(List));
  return To;
}

std::optional<StoreReply> scanReplyFromJson(const Json &From) {
  const Json *List = From.find("rows");
  if (!List || !From.find("revision"))
    return std::nullopt;
  StoreReply To;
  To.m_Status = StoreStatus::Ok;
  To.m_Revision = whole(From, "revision");
  for (const Json &One : List->items()) {
    const Json *Value = One.find("value");
    auto Typed = Value ? rowFromJson(*Value) : std::nullopt;
    if (!Typed)
      return std::nullopt;
    To.m_Rows.push_back(
        {One.textOr("key", ""), whole(One, "revision"), std::move(*Typed)});
  }
  return To;
}

Json commitToJson(const CommitRequest &From) {
  Json List = Json::array();
  for (const RowWrite &Write : From.m_Writes) {
    Json One = Json::object();
    One.set("key", Json(Write.m_Key));
    One.set("expected", Json(Write.m_ExpectedRevision));
    if (Write.m_Row)
      One.set("value", rowToJson(*Write.m_Row));
    List.push(std::move(One));
  }
  Json To = Json::object();
  To.set("writes", std::move(List));
  return To;
}

std::optional<CommitRequest> commitFromJson(const Json &From) {
  const Json *List = From.find("writes");
  if (!List || !List->isArray())
    return std::nullopt;
  CommitRequest To;
  for (const Json &One : List->items()) {
    RowWrite Write{One.textOr("key", ""), whole(One, "expected"), {}};
    if (const Json *Value = One.find("value")) {
      Write.m_Row = rowFromJson(*Value);
      if (!Write.m_Row)
        return std::nullopt;
    }
    To.m_Writes.push_back(std::move(Write));
  }
  return To;
}

Json vmListToJson(const std::vector<ListedVm> &From) {
  Json List = Json::array();
  for (const ListedVm &Vm : From) {
    Json One = Json::object();
    One.set("vm", Json(Vm.m_Vm.str()));
    One.set("peer", Json(Vm.m_PeerAddress));
    One.set("leaving", Json(Vm.m_Leaving));
    List.push(std::move(One));
  }
  Json To = Json::object();
  To.set("vms", std::move(List));
  return To;
}

std::optional<std::vector<ListedVm>> vmListFromJson(const Json &From) {
  const Json *List = From.find("vms");
  if (!List || !List->isArray())
    return std::nullopt;
  std::vector<ListedVm> To;
  for (const Json &One : List->items())
    To.push_back({VmName(One.textOr("vm", "")), One.textOr("peer", ""),
                  One.boolOr("leaving", false)});
  return To;
}

} // namespace mustardspoke
