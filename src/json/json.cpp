/// \file
/// JSON parsing and serialization with nlohmann/json.
#include "json/json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>

namespace mustardspoke {
namespace {

using OrderedJson = nlohmann::ordered_json;

/// Values are copied and destroyed recursively.
constexpr std::size_t MaxNesting = 64;

/// \brief Builds a document from the events of the parser, which isn't
/// recursive.
///
/// \details A handler that returns false ends the parsing; m_Error has the
/// reason then.
class DocumentBuilder {
public:
  [[nodiscard]] JsonResult takeResult() {
    if (!m_Error.empty())
      return {Json(), std::move(m_Error)};
    return {std::move(m_Document), ""};
  }

  // The names below are those that the parser calls.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return add(Json()); }
  bool boolean(bool Value) { return add(Json(Value)); }
  bool number_integer(std::int64_t Value) { return add(Json(Value)); }
  bool number_unsigned(std::uint64_t Value) {
    if (!std::in_range<std::int64_t>(Value))
      return fail(path() + " is not a 64-bit number: " + std::to_string(Value));
    return add(Json(Value));
  }
  bool number_float(double Value, const std::string &Text) {
    // The parser also passes integers of more than 64 bits.
    if (Text.find_first_of(".eE") == std::string::npos)
      return fail(path() + " is not a 64-bit number: " + Text);
    return add(Json(Value));
  }
  bool string(std::string &Value) { return add(Json(std::move(Value))); }
  bool binary(nlohmann::json::binary_t & /*Value*/) {
    return fail("binary value");
  }
  bool start_array(std::size_t /*Size*/) { return open(Json::Kind::Array); }
  bool start_object(std::size_t /*Size*/) { return open(Json::Kind::Object); }
  bool key(std::string &Name) {
    m_Open.back().m_Key = std::move(Name);
    return true;
  }
  bool end_array() { return close(); }
  bool end_object() { return rejectRepeatedKeys() && close(); }
  bool parse_error(std::size_t /*Position*/, const std::string & /*LastToken*/,
                   const nlohmann::json::exception &Error) {
    std::string_view Text = Error.what();
    // Without the name of the exception, in brackets.
    if (std::size_t End = Text.find("] "); End != std::string_view::npos)
      Text.remove_prefix(End + 2);
    return fail(std::string(Text));
  }
  // NOLINTEND(readability-identifier-naming)

private:
  /// \brief An array or object whose end has not been read yet.
  struct Container {
    Json::Kind m_Kind;
    std::vector<Json> m_Items;
    std::vector<Json::Member> m_Members;
    std::string m_Key; ///< Of the member that is being read.
  };

  bool fail(std::string Error) {
    m_Error = std::move(Error);
    return false;
  }

  bool add(Json Value) {
    if (m_Open.empty()) {
      m_Document = std::move(Value);
      return true;
    }
    Container &Parent = m_Open.back();
    if (Parent.m_Kind == Json::Kind::Array)
      Parent.m_Items.push_back(std::move(Value));
    else
      Parent.m_Members.emplace_back(Parent.m_Key, std::move(Value));
    return true;
  }

  bool open(Json::Kind Kind) {
    if (m_Open.size() == MaxNesting)
      return fail("nesting is deeper than " + std::to_string(MaxNesting) +
                  " levels");
    m_Open.push_back({Kind, {}, {}, {}});
    return true;
  }

  bool close() {
    Container Done = std::move(m_Open.back());
    m_Open.pop_back();
    return add(Done.m_Kind == Json::Kind::Array
                   ? Json::array(std::move(Done.m_Items))
                   : Json::object(std::move(Done.m_Members)));
  }

  /// \brief Sorts the keys, so that the time for a large object stays low.
  bool rejectRepeatedKeys() {
    std::vector<std::string_view> Keys;
    for (const Json::Member &Each : m_Open.back().m_Members)
      Keys.emplace_back(Each.first);
    std::ranges::sort(Keys);
    auto Repeated = std::ranges::adjacent_find(Keys);
    if (Repeated == Keys.end())
      return true;
    m_Open.back().m_Key = *Repeated;
    return fail("the key " + path() + " occurs twice");
  }

  /// \brief Where the current value stands, in quotation marks.
  [[nodiscard]] std::string path() const {
    std::string Result;
    for (const Container &Each : m_Open)
      if (Each.m_Kind == Json::Kind::Array)
        Result += "[" + std::to_string(Each.m_Items.size()) + "]";
      else
        Result += (Result.empty() ? "" : ".") + Each.m_Key;
    return "\"" + Result + "\"";
  }

  std::vector<Container> m_Open; ///< The outermost one comes first.
  Json m_Document;
  std::string m_Error; ///< Empty unless parsing failed.
};

OrderedJson toOrderedJson(const Json &Value) {
  switch (Value.kind()) {
  case Json::Kind::Null:
    break;
  case Json::Kind::Bool:
    return Value.asBool();
  case Json::Kind::Integer:
    return Value.asInteger();
  case Json::Kind::Real:
    return Value.asReal();
  case Json::Kind::Text:
    return Value.asText();
  case Json::Kind::Array: {
    OrderedJson::array_t Result;
    Result.reserve(Value.items().size());
    for (const Json &Item : Value.items())
      Result.push_back(toOrderedJson(Item));
    return Result;
  }
  case Json::Kind::Object: {
    OrderedJson::object_t Result;
    Result.reserve(Value.members().size());
    // Not emplace(), which would search for the key.
    for (const Json::Member &Each : Value.members())
      Result.push_back({Each.first, toOrderedJson(Each.second)});
    return Result;
  }
  }
  return nullptr;
}

} // namespace

Json Json::array(std::vector<Json> Items) {
  Json Result;
  Result.m_Kind = Kind::Array;
  Result.m_Items = std::move(Items);
  return Result;
}

Json Json::object(std::vector<Member> Members) {
  Json Result;
  Result.m_Kind = Kind::Object;
  Result.m_Members = std::move(Members);
  return Result;
}

const Json *Json::find(std::string_view Key) const noexcept {
  for (const Member &M : m_Members)
    if (M.first == Key)
      return &M.second;
  return nullptr;
}

std::string Json::textOr(std::string_view Key,
                         const std::string &Default) const {
  const Json *Found = find(Key);
  return Found && Found->isText() ? Found->m_Text : Default;
}

std::int64_t Json::integerOr(std::string_view Key, std::int64_t Default) const {
  const Json *Found = find(Key);
  return Found && Found->isInteger() ? Found->m_Integer : Default;
}

bool Json::boolOr(std::string_view Key, bool Default) const {
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
  constexpr int IndentWidth = 2;
  return toOrderedJson(*this).dump(Indented ? IndentWidth : -1, ' ', false,
                                   OrderedJson::error_handler_t::replace);
}

JsonResult parseJson(std::string_view Text) {
  DocumentBuilder Builder;
  (void)nlohmann::json::sax_parse(Text.begin(), Text.end(), &Builder);
  return Builder.takeResult();
}

} // namespace mustardspoke
