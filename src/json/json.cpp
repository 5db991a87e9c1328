/// \file
/// JSON parsing and serialization through cxxtools. Built as C++17.
#include "json/json.h"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/jsonserializer.h>
#include <cxxtools/serializationinfo.h>

#include <algorithm>
#include <set>
#include <sstream>
#include <stdexcept>

namespace mustardspoke {
namespace {

using Info = cxxtools::SerializationInfo;

constexpr int MaxNesting = 64;

/// Checked before parsing, as deep nesting would overflow the stack in the
/// recursion of the parser and of fromSerializationInfo().
bool exceedsMaxNesting(const std::string &Text) {
  int Depth = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    char C = Text[I];
    if (InString) {
      if (C == '\\')
        ++I;
      else if (C == '"')
        InString = false;
      continue;
    }
    if (C == '"')
      InString = true;
    else if (C == '{' || C == '[')
      ++Depth;
    else if (C == '}' || C == ']')
      --Depth;
    if (Depth > MaxNesting)
      return true;
  }
  return false;
}

Json fromSerializationInfo(const Info &Source, const std::string &Path) {
  switch (Source.category()) {
  case Info::Object: {
    Json Result = Json::object();
    std::set<std::string> Keys;
    for (const Info &Member : Source) {
      std::string MemberPath =
          Path.empty() ? Member.name() : Path + "." + Member.name();
      if (!Keys.insert(Member.name()).second)
        throw std::runtime_error("the key \"" + MemberPath + "\" occurs twice");
      Result.set(Member.name(), fromSerializationInfo(Member, MemberPath));
    }
    return Result;
  }
  case Info::Array: {
    Json Result = Json::array();
    int Index = 0;
    for (const Info &Item : Source)
      Result.push(fromSerializationInfo(
          Item, Path + "[" + std::to_string(Index++) + "]"));
    return Result;
  }
  default:
    break;
  }
  const std::string &Type = Source.typeName();
  if (Type == "bool") {
    bool Value = false;
    Source.getValue(Value);
    return Json(Value);
  }
  if (Type == "int") {
    std::string Digits;
    Source.getValue(Digits);
    std::size_t Used = 0;
    long long Value = 0;
    try {
      Value = std::stoll(Digits, &Used);
    } catch (const std::logic_error &) {
      Used = 0;
    }
    if (Used == 0 || Used != Digits.size())
      throw std::runtime_error("\"" + Path +
                               "\" is not a 64-bit number: " + Digits);
    return Json(std::int64_t(Value));
  }
  if (Type == "double") {
    double Value = 0;
    Source.getValue(Value);
    return Json(Value);
  }
  if (Type == "null")
    return {};
  std::string Value;
  Source.getValue(Value);
  // The parser accepts bare words other than true, false and null.
  if (Type != "string")
    throw std::runtime_error("\"" + Path + "\" is not a JSON value");
  return Json(Value);
}

void toSerializationInfo(const Json &Value, Info &Target) {
  switch (Value.kind()) {
  case Json::Kind::Null:
    Target.setNull();
    break;
  case Json::Kind::Bool:
    Target.setValue(Value.asBool());
    break;
  case Json::Kind::Integer:
    Target.setValue((long long)Value.asInteger());
    break;
  case Json::Kind::Real:
    Target.setValue(Value.asReal());
    break;
  case Json::Kind::Text:
    Target.setValue(Value.asText());
    break;
  case Json::Kind::Array:
    Target.setCategory(Info::Array);
    for (const Json &Item : Value.items())
      toSerializationInfo(Item, Target.addMember(std::string()));
    break;
  case Json::Kind::Object:
    Target.setCategory(Info::Object);
    for (const auto &Member : Value.members())
      toSerializationInfo(Member.second, Target.addMember(Member.first));
    break;
  }
}

} // namespace

Json Json::array() {
  Json Result;
  Result.m_Kind = Kind::Array;
  return Result;
}

Json Json::object() {
  Json Result;
  Result.m_Kind = Kind::Object;
  return Result;
}

const Json *Json::find(const std::string &Key) const noexcept {
  for (const Member &M : m_Members)
    if (M.first == Key)
      return &M.second;
  return nullptr;
}

std::string Json::textOr(const std::string &Key,
                         const std::string &Default) const {
  const Json *Found = find(Key);
  return Found && Found->isText() ? Found->m_Text : Default;
}

std::int64_t Json::integerOr(const std::string &Key,
                             std::int64_t Default) const {
  const Json *Found = find(Key);
  return Found && Found->isInteger() ? Found->m_Integer : Default;
}

bool Json::boolOr(const std::string &Key, bool Default) const {
  const Json *Found = find(Key);
  return Found && Found->isBool() ? Found->asBool() : Default;
}

Json &Json::set(const std::string &Key, Json Value) {
  for (Member &M : m_Members) {
    if (M.first == Key) {
      M.second = std::move(Value);
      return *this;
    }
  }
  m_Members.emplace_back(Key, std::move(Value));
  return *this;
}

Json &Json::push(Json Value) {
  m_Items.push_back(std::move(Value));
  return *this;
}

std::string Json::toText(bool Indented) const {
  Info Root;
  toSerializationInfo(*this, Root);
  std::ostringstream Out;
  cxxtools::JsonSerializer Serializer(Out);
  Serializer.beautify(Indented);
  Serializer.serialize(Root);
  Serializer.finish();
  return Out.str();
}

JsonResult parseJson(const std::string &Text) {
  if (exceedsMaxNesting(Text))
    return {Json(), "nesting is deeper than 64 levels"};
  try {
    std::istringstream In(Text);
    cxxtools::JsonDeserializer Parser(In);
    Info Root;
    Parser.deserialize(Root);
    std::string Trailing((std::istreambuf_iterator<char>(In)),
                         std::istreambuf_iterator<char>());
    if (Trailing.find_first_not_of(" \t\r\n") != std::string::npos)
      return {Json(), "unexpected text after the end of the document"};
    return {fromSerializationInfo(Root, ""), ""};
  } catch (const std::exception &Error) {
    return {Json(), Error.what()};
  }
}

} // namespace mustardspoke
