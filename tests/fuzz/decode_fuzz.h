/// \file
/// The decoders under fuzzing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardspoke::fuzz {

struct Decoder {
  char m_Selector; ///< First byte of its inputs.
  void (*m_Decode)(const std::string &Bytes);
};

[[nodiscard]] const std::vector<Decoder> &decoders();
/// \brief Inputs in binary encodings, which the corpus doesn't hold.
[[nodiscard]] std::vector<std::string> encodedSamples();

/// \brief Inputs of the largest size that take a careless decoder long.
[[nodiscard]] std::vector<std::string> expensiveInputs();

} // namespace mustardspoke::fuzz

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size);
