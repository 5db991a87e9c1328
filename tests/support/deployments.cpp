/// \file
/// Reading and signing of the example bundles.
#include "support/deployments.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>

namespace mustardspoke::test {
namespace {

std::filesystem::path folderOf(const std::string &Folder) {
  return std::filesystem::path(MUSTARDSPOKE_SOURCE) / "examples" / Folder;
}

} // namespace

std::string sectionText(const std::string &Folder, const std::string &Team) {
  std::ifstream In(folderOf(Folder) / (Team + ".json"));
  return {std::istreambuf_iterator<char>(In), {}};
}

Section signSection(const std::string &Folder, const std::string &Team,
                    std::uint64_t Revision, const std::string &Text) {
  Section One{TeamName(Team), Revision, Text, ""};
  KeyPair Pair = keyPairFromSeed(Folder + "-" + Team);
  One.m_Signature = sign(One.signedText(), Pair.m_Secret).value();
  return One;
}

std::string exampleRootKey(const std::string &Folder) {
  return keyPairFromSeed(Folder + "-root").m_Public;
}

BundleDocument exampleDocument(const std::string &Folder) {
  BundleDocument Whole;
  Whole.m_Version = 1;
  std::set<std::string> Teams;
  for (const auto &File : std::filesystem::directory_iterator(folderOf(Folder)))
    Teams.insert(File.path().stem().string());
  for (const std::string &Team : Teams)
    Whole.m_Sections.push_back(
        signSection(Folder, Team, 1, sectionText(Folder, Team)));
  return Whole;
}

Bundle exampleBundle(const std::string &Folder) {
  ValidationErrors Found;
  Bundle Result =
      readBundle(exampleDocument(Folder), exampleRootKey(Folder), Found);
  if (!Found.empty())
    throw std::runtime_error(formatErrors(Found));
  return Result;
}

} // namespace mustardspoke::test
