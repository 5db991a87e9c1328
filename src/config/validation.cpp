/// \file
/// Reading of JSON objects with validation.
#include "config/validation.h"

#include "http/http.h"

#include <algorithm>
#include <cctype>

namespace mustardspoke {
namespace {

constexpr std::size_t MaxNameLength = 64;

std::string describe(const Json *Value) {
  return Value ? Value->toText() : "nothing";
}

} // namespace

std::string ValidationError::toText() const {
  return m_Path + ": found " + m_Found + ", allowed: " + m_Allowed;
}

std::string formatErrors(const ValidationErrors &Errors) {
  std::string Lines;
  for (const ValidationError &Error : Errors)
    Lines += Error.toText() + "\n";
  return Lines;
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::ranges::all_of(Text, [](unsigned char C) {
           return std::isalnum(C) || C == '-' || C == '_';
         });
}

ObjectReader::ObjectReader(const Json &Object, std::string Path,
                           ValidationErrors &Errors)
    : m_Object(Object), m_Path(std::move(Path)), m_Errors(Errors) {
  if (!m_Object.isObject())
    m_Errors.push_back({m_Path.empty() ? "(document)" : m_Path,
                        describe(&m_Object), "an object"});
}

std::string ObjectReader::pathTo(const std::string &Key) const {
  return m_Path.empty() ? Key : m_Path + "." + Key;
}

const Json *ObjectReader::read(const std::string &Key) {
  m_KeysRead.insert(Key);
  return m_Object.find(Key);
}

void ObjectReader::addError(const std::string &Key, const std::string &Found,
                            const std::string &Allowed) {
  m_Errors.push_back({pathTo(Key), Found, Allowed});
}

std::string ObjectReader::text(const std::string &Key) {
  const Json *Value = read(Key);
  if (Value && Value->isText() && !Value->asText().empty())
    return Value->asText();
  addError(Key, describe(Value), "a non-empty string");
  return {};
}

std::string ObjectReader::textOr(const std::string &Key,
                                 const std::string &Default) {
  return m_Object.find(Key) ? text(Key) : (m_KeysRead.insert(Key), Default);
}

std::string ObjectReader::name(const std::string &Key) {
  const Json *Value = read(Key);
  if (Value && Value->isText() && isName(Value->asText()))
    return Value->asText();
  addError(Key, describe(Value), "1 to 64 letters, digits, '-' or '_'");
  return {};
}

std::string ObjectReader::address(const std::string &Key) {
  const Json *Value = read(Key);
  std::string Ip;
  unsigned short Port = 0;
  if (Value && Value->isText() && splitAddress(Value->asText(), Ip, Port))
    return Value->asText();
  addError(Key, describe(Value), "IP:port");
  return {};
}

std::int64_t ObjectReader::integer(const std::string &Key, std::int64_t Min,
                                   std::int64_t Max) {
  const Json *Value = read(Key);
  if (Value && Value->isInteger() && Value->asInteger() >= Min &&
      Value->asInteger() <= Max)
    return Value->asInteger();
  addError(Key, describe(Value),
           "an integer from " + std::to_string(Min) + " to " +
               std::to_string(Max));
  return Min;
}

std::int64_t ObjectReader::integerOr(const std::string &Key, std::int64_t Min,
                                     std::int64_t Max, std::int64_t Default) {
  if (m_Object.find(Key))
    return integer(Key, Min, Max);
  m_KeysRead.insert(Key);
  return Default;
}

bool ObjectReader::flagOr(const std::string &Key, bool Default) {
  const Json *Value = read(Key);
  if (!Value)
    return Default;
  if (!Value->isBool())
    addError(Key, describe(Value), "true or false");
  return Value->asBool();
}

void ObjectReader::forEachItem(
    const std::string &Key,
    const std::function<void(const Json &, const std::string &)> &Visit) {
  const Json *Value = read(Key);
  if (!Value)
    return;
  if (!Value->isArray()) {
    addError(Key, describe(Value), "a list");
    return;
  }
  std::size_t Index = 0;
  for (const Json &Item : Value->items())
    Visit(Item, pathTo(Key) + "[" + std::to_string(Index++) + "]");
}

const Json &ObjectReader::object(const std::string &Key) {
  static const Json Empty = Json::object();
  const Json *Value = read(Key);
  if (Value && Value->isObject())
    return *Value;
  addError(Key, describe(Value), "an object");
  return Empty;
}

void ObjectReader::rejectUnknownKeys() {
  for (const auto &[Key, Value] : m_Object.members())
    if (!m_KeysRead.contains(Key))
      addError(Key, Value.toText(), "no such key");
}

} // namespace mustardspoke
