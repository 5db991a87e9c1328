/// \file
/// Loads and signs the example bundles.
#include "support/deployments.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>

namespace mustardspoke::test {
namespace {

std::filesystem::path examplePath(const std::string &Folder) {
  return std::filesystem::path(MUSTARDSPOKE_SOURCE) / "examples" / Folder;
}

} // namespace

std::string sectionText(const std::string &Folder, const std::string &Team) {
  std::ifstream In(examplePath(Folder) / (Team + ".json"));
  return {std::istreambuf_iterator<char>(In), {}};
}

Section signSection(const std::string &Folder, const std::string &Team,
                    std::uint64_t Revision, const std::string &Text) {
  Section Signed{TeamName(Team), Revision, Text, ""};
  KeyPair Pair = keyPairFromSeed(Folder + "-" + Team);
  Signed.m_Signature = sign(Signed.signedText(), Pair.m_Secret).value();
  return Signed;
}

std::string exampleRootKey(const std::string &Folder) {
  return keyPairFromSeed(Folder + "-root").m_Public;
}

BundleDocument exampleDocument(const std::string &Folder) {
  BundleDocument Document;
  Document.m_Version = 1;
  std::set<std::string> Teams;
  for (const auto &File :
       std::filesystem::directory_iterator(examplePath(Folder)))
    Teams.insert(File.path().stem().string());
  for (const std::string &Team : Teams)
    Document.m_Sections.push_back(
        signSection(Folder, Team, 1, sectionText(Folder, Team)));
  return Document;
}

Bundle exampleBundle(const std::string &Folder) {
  ValidationErrors Errors;
  Bundle Result =
      readBundle(exampleDocument(Folder), exampleRootKey(Folder), Errors);
  if (!Errors.empty())
    throw std::runtime_error(formatErrors(Errors));
  return Result;
}

} // namespace mustardspoke::test
