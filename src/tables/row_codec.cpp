/// \file
/// Encoding and decoding of the platform's messages.
#include "tables/row_codec.h"

namespace mustardspoke {
namespace {

/// The unsigned integer at \p Key, or 0 if it is missing.
std::uint64_t unsignedAt(const Json &Object, const char *Key) {
  return std::uint64_t(Object.integerOr(Key, 0));
}

Json encode(const VmRow &Row) {
  Json Object = Json::object();
  Object.set("kind", Json("vm"));
  Object.set("vm", Json(Row.m_Vm.str()));
  Object.set("incarnation", Json(Row.m_Incarnation));
  Object.set("renewals", Json(Row.m_Renewals));
  Object.set("fences", Json(Row.m_Fences));
  Object.set("left", Json(Row.m_Left));
  return Object;
}

Json encode(const LimitRow &Row) {
  Json Object = Json::object();
  Object.set("kind", Json("limit"));
  Object.set("limit", Json(Row.m_Limit.str()));
  Object.set("capacity", Json(Row.m_Capacity));
  Object.set("bundle", Json(Row.m_BundleVersion));
  Json Holdings = Json::array();
  for (const Holding &H : Row.m_Holdings) {
    Json Item = Json::object();
    Item.set("vm", Json(H.m_Holder.m_Vm.str()));
    Item.set("incarnation", Json(H.m_Holder.m_Incarnation));
    Item.set("floor", Json(H.m_Floor));
    Item.set("surplus", Json(H.m_Surplus));
    Item.set("want", Json(H.m_Requested));
    Holdings.push(std::move(Item));
  }
  Object.set("holdings", std::move(Holdings));
  return Object;
}

Json encode(const HeadRow &Row) {
  Json Object = Json::object();
  Object.set("kind", Json("head"));
  Object.set("version", Json(Row.m_Version));
  Object.set("object", Json(Row.m_Object));
  return Object;
}

VmRow decodeVm(const Json &Object) {
  return {VmName(Object.textOr("vm", "")), unsignedAt(Object, "incarnation"),
          unsignedAt(Object, "renewals"), unsignedAt(Object, "fences"),
          Object.boolOr("left", false)};
}

LimitRow decodeLimit(const Json &Object) {
  LimitRow Row{LimitName(Object.textOr("limit", "")),
               std::uint32_t(unsignedAt(Object, "capacity")),
               unsignedAt(Object, "bundle"),
               {}};
  const Json *Holdings = Object.find("holdings");
  if (!Holdings)
    return Row;
  for (const Json &Item : Holdings->items())
    Row.m_Holdings.push_back(
        {{VmName(Item.textOr("vm", "")), unsignedAt(Item, "incarnation")},
         std::uint32_t(unsignedAt(Item, "floor")),
         std::uint32_t(unsignedAt(Item, "surplus")),
         std::uint32_t(unsignedAt(Item, "want"))});
  return Row;
}

} // namespace

Json rowToJson(const Row &Value) {
  return std::visit([](const auto &Typed) { return encode(Typed); }, Value);
}

std::optional<Row> rowFromJson(const Json &Object) {
  std::string Kind = Object.textOr("kind", "");
  if (Kind == "vm")
    return decodeVm(Object);
  if (Kind == "limit")
    return decodeLimit(Object);
  if (Kind == "head")
    return HeadRow{unsignedAt(Object, "version"), Object.textOr("object", "")};
  return std::nullopt;
}

Json scanReplyToJson(const StoreReply &Reply) {
  Json Object = Json::object();
  Object.set("revision", Json(Reply.m_Revision));
  Json Rows = Json::array();
  for (const StoredRow &Stored : Reply.m_Rows) {
    Json Item = Json::object();
    Item.set("key", Json(Stored.m_Key));
    Item.set("revision", Json(Stored.m_Revision));
    Item.set("value", rowToJson(Stored.m_Row));
    Rows.push(std::move(Item));
  }
  Object.set("rows", std::move(Rows));
  return Object;
}

std::optional<StoreReply> scanReplyFromJson(const Json &Object) {
  const Json *Rows = Object.find("rows");
  if (!Rows || !Object.find("revision"))
    return std::nullopt;
  StoreReply Reply;
  Reply.m_Status = StoreStatus::Ok;
  Reply.m_Revision = unsignedAt(Object, "revision");
  for (const Json &Item : Rows->items()) {
    const Json *Value = Item.find("value");
    auto Typed = Value ? rowFromJson(*Value) : std::nullopt;
    if (!Typed)
      return std::nullopt;
    Reply.m_Rows.push_back({Item.textOr("key", ""),
                            unsignedAt(Item, "revision"), std::move(*Typed)});
  }
  return Reply;
}

Json commitToJson(const CommitRequest &Request) {
  Json Writes = Json::array();
  for (const RowWrite &Write : Request.m_Writes) {
    Json Item = Json::object();
    Item.set("key", Json(Write.m_Key));
    Item.set("expected", Json(Write.m_ExpectedRevision));
    if (Write.m_Row)
      Item.set("value", rowToJson(*Write.m_Row));
    Writes.push(std::move(Item));
  }
  Json Object = Json::object();
  Object.set("writes", std::move(Writes));
  return Object;
}

std::optional<CommitRequest> commitFromJson(const Json &Object) {
  const Json *Writes = Object.find("writes");
  if (!Writes || !Writes->isArray())
    return std::nullopt;
  CommitRequest Request;
  for (const Json &Item : Writes->items()) {
    RowWrite Write{Item.textOr("key", ""), unsignedAt(Item, "expected"), {}};
    if (const Json *Value = Item.find("value")) {
      Write.m_Row = rowFromJson(*Value);
      if (!Write.m_Row)
        return std::nullopt;
    }
    Request.m_Writes.push_back(std::move(Write));
  }
  return Request;
}

Json vmListToJson(const std::vector<ListedVm> &Vms) {
  Json List = Json::array();
  for (const ListedVm &Vm : Vms) {
    Json Item = Json::object();
    Item.set("vm", Json(Vm.m_Vm.str()));
    Item.set("peer", Json(Vm.m_PeerAddress));
    Item.set("leaving", Json(Vm.m_Leaving));
    List.push(std::move(Item));
  }
  Json Object = Json::object();
  Object.set("vms", std::move(List));
  return Object;
}

std::optional<std::vector<ListedVm>> vmListFromJson(const Json &Object) {
  const Json *List = Object.find("vms");
  if (!List || !List->isArray())
    return std::nullopt;
  std::vector<ListedVm> Vms;
  for (const Json &Item : List->items())
    Vms.push_back({VmName(Item.textOr("vm", "")), Item.textOr("peer", ""),
                   Item.boolOr("leaving", false)});
  return Vms;
}

} // namespace mustardspoke
