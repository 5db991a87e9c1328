/// \file
/// Values of rows that are expensive for a careless decoder, each of the size
/// that the platform allows.
#pragma once

#include <string>
#include <vector>

namespace mustardspoke::test {

/// The platform's limit on the value of a row, in bytes.
inline constexpr std::size_t MaxRowBytes = 65536;

/// \brief \p Begin, followed by as many copies of \p Part as fit.
inline std::string repeatedTo(std::size_t Size, std::string Begin,
                              const std::string &Part) {
  while (Begin.size() + Part.size() <= Size)
    Begin += Part;
  return Begin;
}

/// \brief An object whose members all differ, or are all the same.
inline std::string manyMembers(std::size_t Size, bool Differ) {
  std::string Text = "{";
  for (unsigned I = 0; Text.size() + 16 < Size; ++I)
    Text += "\"k" + std::to_string(Differ ? I : 0) + "\":1,";
  return Text + "\"z\":1}";
}

/// \brief Values that are no registration.
inline std::vector<std::string> worstRows(std::size_t Size = MaxRowBytes) {
  return {
      // A comment hides the brackets from a check that doesn't know comments.
      repeatedTo(Size, "/* 19\" rack */", "["),
      repeatedTo(Size, "// 19\" rack\n", "{\"a\":"),
      repeatedTo(Size, "", "["),
      repeatedTo(Size, "", "{\"a\":"),
      repeatedTo(Size, "", "[]"),
      repeatedTo(Size, "[", "[],"),
      repeatedTo(Size, "[", "{},"),
      repeatedTo(Size, "", " "),
      repeatedTo(Size, "[", "\"\\\\\","),
      repeatedTo(Size, "\"", "\\\\"),
      repeatedTo(Size, "\"", "\\u0000"),
      repeatedTo(Size, "\"", "\\ud83d"),
      repeatedTo(Size, "", "9"),
      repeatedTo(Size, "0.", "9"),
      repeatedTo(Size, "1e", "9"),
      repeatedTo(Size, "/*", "/*"),
      repeatedTo(Size, "", "//"),
      repeatedTo(Size, "", "a"),
      repeatedTo(Size, "", "\xff"),
      manyMembers(Size, true),
      manyMembers(Size, false)};
}

} // namespace mustardspoke::test
