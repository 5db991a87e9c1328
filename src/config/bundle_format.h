/// \file
/// The bundle document: signed sections of the teams, and their validation.
#pragma once

#include "config/validation.h"
#include "core/bundle.h"

#include <string>
#include <vector>

namespace mustardspoke {

/// \brief The part of a bundle that one team writes and signs.
struct Section {
  TeamName m_Team;              ///< "root" defines regions and teams.
  std::uint64_t m_Revision = 0; ///< Increases with every change of the section.
  std::string m_Text;           ///< JSON, byte for byte as it was signed.
  std::string m_Signature;      ///< Hexadecimal; empty until signed.

  /// \brief The bytes that the signature covers.
  [[nodiscard]] std::string signedText() const;
};

/// \brief A bundle as it is stored and sent between VMs.
struct BundleDocument {
  std::uint64_t m_Version = 0;
  std::vector<Section> m_Sections;

  [[nodiscard]] std::string toText() const;
  /// \returns The section of \p Team, or null.
  [[nodiscard]] Section *findSection(const TeamName &Team);
};

/// Name of the team whose section defines regions, links and teams.
inline constexpr const char *RootTeam = "root";

/// \brief Parses the document; the texts of the sections are not parsed.
[[nodiscard]] BundleDocument parseDocument(const std::string &Text,
                                           ValidationErrors &Errors);

/// \brief Parses all sections and checks signatures, names, caps and cycles.
/// \param RootKey Public key that the root section must be signed with.
/// \returns A bundle that may be used only if no errors were added to
/// \p Errors.
[[nodiscard]] Bundle readBundle(const BundleDocument &Document,
                                const std::string &RootKey,
                                ValidationErrors &Errors);

/// \brief Checks names, references, caps and cycles across sections.
void checkBundle(const Bundle &Checked, ValidationErrors &Errors);

} // namespace mustardspoke
