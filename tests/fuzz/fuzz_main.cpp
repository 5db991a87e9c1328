/// \file
/// Runs the fuzz target on its corpus and on seeded mutations of it.
///
/// Usage: decode-fuzz CORPUS SEED MUTATIONS. An input that ends the process, or
/// that takes too long, is left in the file decode-fuzz.input.
#include "core/core.h"
#include "fuzz/decode_fuzz.h"
#include "support/worst_rows.h"

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace mustardspoke::fuzz {
namespace {

constexpr const char *Tokens[] = {"1e300",
                                  "1e309",
                                  "-1",
                                  "-0.5",
                                  "4294967296",
                                  "4294967295",
                                  "9223372036854775807",
                                  "9223372036854775808",
                                  "NaN",
                                  "nan",
                                  "null",
                                  "\"\"",
                                  "[[[[[[[[[[[[[[[[",
                                  "{\"a\":{\"a\":{\"a\":",
                                  "\\u0000",
                                  "\xff\xfe",
                                  "\r\n",
                                  "\r\n\r\n",
                                  ": ",
                                  ":65536",
                                  "0s",
                                  "Content-Length: 99999999999999999999\r\n",
                                  "Transfer-Encoding: chunked\r\n",
                                  "[",
                                  "{\"a\":",
                                  "//",
                                  "/*",
                                  "*/",
                                  "\"",
                                  "\\",
                                  "\n"};
/// Processor time that one input may take. The decoders run on the thread of
/// the event loop, and the sanitizers slow them down by a factor of ten or so.
constexpr double MaxSeconds = 2;
/// One change of so many repeats a token until the input has the size of the
/// largest row: what takes too long shows only then.
constexpr std::uint32_t RepeatingChanges = 64;

std::vector<std::string> readCorpus(const std::string &Directory) {
  std::vector<std::string> Paths;
  for (const auto &Entry : std::filesystem::directory_iterator(Directory))
    Paths.push_back(Entry.path().string());
  std::ranges::sort(Paths);
  std::vector<std::string> Result = encodedSamples();
  for (const std::string &Path : Paths) {
    std::ifstream In(Path, std::ios::binary);
    Result.emplace_back(std::istreambuf_iterator<char>(In),
                        std::istreambuf_iterator<char>());
  }
  return Result;
}

/// \brief Changes one place of \p Input behind its selector.
void mutate(std::string &Input, const std::vector<std::string> &Corpus,
            Random &Rng) {
  constexpr std::uint32_t MaxCut = 16; // bytes
  auto Place = [&] { return 1 + Rng(std::uint32_t(Input.size())); };
  std::size_t At = std::min<std::size_t>(Place(), Input.size());
  if (Rng(RepeatingChanges) == 0 && Input.size() < test::MaxRowBytes) {
    Input.insert(
        At, test::repeatedTo(test::MaxRowBytes - Input.size(), "",
                             Tokens[Rng(std::uint32_t(std::size(Tokens)))]));
    return;
  }
  switch (Rng(6)) {
  case 0:
    if (At < Input.size())
      Input[At] = char(Rng(256));
    break;
  case 1:
    Input.insert(At, Tokens[Rng(std::uint32_t(std::size(Tokens)))]);
    break;
  case 2:
    Input.erase(At, Rng(MaxCut));
    break;
  case 3: { // Replaces a number or word.
    std::size_t End = At;
    while (End < Input.size() && std::isalnum((unsigned char)Input[End]))
      ++End;
    Input.replace(At, End - At, Tokens[Rng(std::uint32_t(std::size(Tokens)))]);
    break;
  }
  case 4:
    Input.resize(At);
    break;
  default: {
    const std::string &Other = Corpus[Rng(std::uint32_t(Corpus.size()))];
    Input.insert(At, Other.substr(Rng(std::uint32_t(Other.size())), MaxCut));
  }
  }
}

void run(const std::string &Input) {
  // Written first, as the input may end the process.
  std::ofstream("decode-fuzz.input", std::ios::binary) << Input;
  std::clock_t Begin = std::clock();
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(Input.data()),
                         Input.size());
  double Seconds = double(std::clock() - Begin) / CLOCKS_PER_SEC;
  if (Seconds <= MaxSeconds)
    return;
  std::cerr << "decode-fuzz.input took " << Seconds << " s\n";
  std::exit(1);
}

int fuzzMain(int Argc, char **Argv) {
  if (Argc != 4) {
    std::cerr << "usage: decode-fuzz CORPUS SEED MUTATIONS\n";
    return 2;
  }
  constexpr std::uint32_t MaxChanges = 4;
  std::vector<std::string> Corpus = readCorpus(Argv[1]);
  std::vector<std::string> Expensive = expensiveInputs();
  for (const auto *Inputs : {&Corpus, &Expensive})
    for (const std::string &Input : *Inputs)
      run(Input);
  Random Rng(std::stoull(Argv[2]), 1);
  auto Count = std::stoul(Argv[3]);
  for (std::size_t I = 0; I < Count; ++I) {
    std::string Input = Corpus[Rng(std::uint32_t(Corpus.size()))];
    for (std::uint32_t Changes = 1 + Rng(MaxChanges); Changes > 0; --Changes)
      mutate(Input, Corpus, Rng);
    run(Input);
  }
  std::filesystem::remove("decode-fuzz.input");
  std::cout << Corpus.size() + Expensive.size() << " inputs and " << Count
            << " mutations\n";
  return 0;
}

} // namespace
} // namespace mustardspoke::fuzz

int main(int Argc, char **Argv) {
  return mustardspoke::fuzz::fuzzMain(Argc, Argv);
}
