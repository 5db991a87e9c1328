/// \file
/// The example bundles of both deployments, read with the product's parser.
#pragma once

#include "config/config.h"

#include <string>
#include <vector>

namespace mustardspoke::test {

/// \brief The bundle document in examples/\p Folder, with all sections signed.
[[nodiscard]] BundleDocument exampleDocument(const std::string &Folder);

/// \brief Public key of the root section of an example.
[[nodiscard]] std::string exampleRootKey(const std::string &Folder);

/// \brief The parsed bundle of an example.
/// \throws std::runtime_error with the validation errors, if there are any.
[[nodiscard]] Bundle exampleBundle(const std::string &Folder);

/// \brief A section with \p Text, signed with the example's key of \p Team.
[[nodiscard]] Section signSection(const std::string &Folder,
                                  const std::string &Team,
                                  std::uint64_t Revision,
                                  const std::string &Text);

/// \brief The text of one section of an example.
[[nodiscard]] std::string sectionText(const std::string &Folder,
                                      const std::string &Team);

} // namespace mustardspoke::test
