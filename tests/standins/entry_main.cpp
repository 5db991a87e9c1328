/// \file
/// An entry VM with mechanisms disabled, for the controls of process tests.
///
/// Usage: standin-entry SETTINGS MECHANISM...
#include "entry/entry.h"
#include "proof/controls.h"

#include <fstream>
#include <iostream>
#include <iterator>

int main(int Argc, char **Argv) {
  using namespace mustardspoke;
  if (Argc < 2) {
    std::cerr << "usage: standin-entry SETTINGS MECHANISM...\n";
    return 2;
  }
  std::ifstream In(Argv[1]);
  std::string Text((std::istreambuf_iterator<char>(In)), {});
  ValidationErrors Found;
  Settings Config = readSettings(Text, Found);
  Strategies Rules;
  for (int I = 2; I < Argc; ++I)
    if (!test::disableMechanism(Rules, Argv[I]))
      Found.push_back({"MECHANISM", Argv[I],
                       "a mechanism from the table in proof/controls.cpp"});
  if (!Found.empty()) {
    std::cerr << formatErrors(Found);
    return 2;
  }
  return runEntry(Config, Rules);
}
