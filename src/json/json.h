/// \file
/// JSON values, parsing and serialization.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardspoke {

/// \brief One JSON value.
///
/// \code
/// Json Doc = Json::object();
/// Doc.set("version", Json(3));
/// std::string Text = Doc.toText();
/// \endcode
class Json {
public:
  enum class Kind : std::uint8_t {
    Null,
    Bool,
    Integer,
    Real,
    Text,
    Array,
    Object
  };
  using Member = std::pair<std::string, Json>;

  Json() = default;
  explicit Json(bool Value) : m_Kind(Kind::Bool), m_Integer(Value ? 1 : 0) {}
  explicit Json(std::int64_t Value) : m_Kind(Kind::Integer), m_Integer(Value) {}
  explicit Json(std::uint64_t Value)
      : m_Kind(Kind::Integer), m_Integer(std::int64_t(Value)) {}
  explicit Json(int Value) : Json(std::int64_t(Value)) {}
  explicit Json(unsigned Value) : Json(std::int64_t(Value)) {}
  explicit Json(double Value) : m_Kind(Kind::Real), m_Real(Value) {}
  explicit Json(std::string Value)
      : m_Kind(Kind::Text), m_Text(std::move(Value)) {}
  explicit Json(const char *Value) : Json(std::string(Value)) {}

  [[nodiscard]] static Json array(std::vector<Json> Items = {});
  /// \pre The keys differ.
  [[nodiscard]] static Json object(std::vector<Member> Members = {});

  [[nodiscard]] Kind kind() const noexcept { return m_Kind; }
  [[nodiscard]] bool isText() const noexcept { return m_Kind == Kind::Text; }
  [[nodiscard]] bool isInteger() const noexcept {
    return m_Kind == Kind::Integer;
  }
  [[nodiscard]] bool isBool() const noexcept { return m_Kind == Kind::Bool; }
  [[nodiscard]] bool isArray() const noexcept { return m_Kind == Kind::Array; }
  [[nodiscard]] bool isObject() const noexcept {
    return m_Kind == Kind::Object;
  }

  [[nodiscard]] bool asBool() const noexcept { return m_Integer != 0; }
  [[nodiscard]] std::int64_t asInteger() const noexcept { return m_Integer; }
  [[nodiscard]] double asReal() const noexcept {
    return m_Kind == Kind::Integer ? double(m_Integer) : m_Real;
  }
  [[nodiscard]] const std::string &asText() const noexcept { return m_Text; }

  /// \brief Items of an array, in order; empty for other kinds.
  [[nodiscard]] const std::vector<Json> &items() const noexcept {
    return m_Items;
  }
  /// \brief Members of an object, in order; empty for other kinds.
  [[nodiscard]] const std::vector<Member> &members() const noexcept {
    return m_Members;
  }
  /// \returns The member \p Key, or null.
  [[nodiscard]] const Json *find(std::string_view Key) const noexcept;

  // Typed access to members; the default stands for a member that is missing or
  // of another kind.
  [[nodiscard]] std::string textOr(std::string_view Key,
                                   const std::string &Default) const;
  [[nodiscard]] std::int64_t integerOr(std::string_view Key,
                                       std::int64_t Default) const;
  [[nodiscard]] bool boolOr(std::string_view Key, bool Default) const;

  /// \brief Adds or replaces a member of an object.
  Json &set(const std::string &Key, Json Value);
  /// \brief Appends an item to an array.
  Json &push(Json Value);

  /// \brief Serializes the value; over several lines if \p Indented. Bytes that
  /// aren't UTF-8 are replaced.
  [[nodiscard]] std::string toText(bool Indented = false) const;

private:
  Kind m_Kind = Kind::Null;
  std::int64_t m_Integer = 0;
  double m_Real = 0;
  std::string m_Text;
  std::vector<Json> m_Items;
  std::vector<Member> m_Members;
};

/// \brief A parsed document, or the reason why parsing failed.
struct JsonResult {
  Json m_Value;
  std::string m_Error; ///< Empty on success; names the path if known.

  explicit operator bool() const noexcept { return m_Error.empty(); }
};

/// \brief Parses a complete document.
/// \details Rejects whatever RFC 8259 doesn't allow, such as comments, and
/// besides repeated keys, integers of more than 64 bits, and more than 64
/// levels of nesting. The time grows with the size of the text, whatever it
/// contains.
[[nodiscard]] JsonResult parseJson(std::string_view Text);

} // namespace mustardspoke
