/// \file
/// Validation errors of external input, and a JSON object reader that collects
/// them.
#pragma once

#include "json/json.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mustardspoke {

/// \brief One problem of a document.
struct ValidationError {
  std::string m_Path;    ///< Of the value, for instance `listen.callers`.
  std::string m_Found;   ///< The value found, or "nothing".
  std::string m_Allowed; ///< Describes the values that are valid.

  /// \brief "path: found X, allowed: Y".
  [[nodiscard]] std::string toText() const;
};

using ValidationErrors = std::vector<ValidationError>;

/// \brief The errors as text, one a line.
[[nodiscard]] std::string formatErrors(const ValidationErrors &Errors);

/// \brief Reads the members of a JSON object and collects validation errors.
///
/// \details Continues after an error, so that all errors of a document are
/// reported together. rejectUnknownKeys() reports keys that weren't read.
///
/// \code
/// ObjectReader Reader(Doc, "listen", Errors);
/// std::string Callers = Reader.address("callers");
/// Reader.rejectUnknownKeys();
/// \endcode
class ObjectReader {
public:
  /// \param Path Path of \p Object in its document; empty for the document.
  /// \param Errors Receives the errors found; has to outlive the reader.
  ObjectReader(const Json &Object, std::string Path, ValidationErrors &Errors);

  /// \brief A required string that is not empty.
  [[nodiscard]] std::string text(const std::string &Key);
  [[nodiscard]] std::string textOr(const std::string &Key,
                                   const std::string &Default);
  /// \brief A required name: letters, digits, '-' and '_', at most 64.
  [[nodiscard]] std::string name(const std::string &Key);
  /// \brief A required "IP:port".
  [[nodiscard]] std::string address(const std::string &Key);
  /// \brief A required integer from \p Min to \p Max.
  [[nodiscard]] std::int64_t integer(const std::string &Key, std::int64_t Min,
                                     std::int64_t Max);
  [[nodiscard]] std::int64_t integerOr(const std::string &Key, std::int64_t Min,
                                       std::int64_t Max, std::int64_t Default);
  [[nodiscard]] bool flagOr(const std::string &Key, bool Default);

  /// \brief Calls \p Visit with every item of the array \p Key and the item's
  /// path; does nothing if the key is absent.
  void forEachItem(
      const std::string &Key,
      const std::function<void(const Json &, const std::string &)> &Visit);
  /// \brief The object at \p Key, or an empty one after adding an error.
  [[nodiscard]] const Json &object(const std::string &Key);

  /// \brief Adds an error for every member that has not been read.
  void rejectUnknownKeys();

  /// \brief Adds an error at \p Key.
  void addError(const std::string &Key, const std::string &Found,
                const std::string &Allowed);

  [[nodiscard]] const std::string &path() const noexcept { return m_Path; }

private:
  [[nodiscard]] const Json *read(const std::string &Key);
  [[nodiscard]] std::string pathTo(const std::string &Key) const;

  const Json &m_Object;
  std::string m_Path;
  ValidationErrors &m_Errors;
  std::set<std::string> m_KeysRead;
};

/// \brief Whether \p Text is a valid name as defined by ObjectReader::name().
[[nodiscard]] bool isName(std::string_view Text);

} // namespace mustardspoke
