/// \file
/// ed25519 signatures of bundle sections, document hashes, and comparison of
/// secrets.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mustardspoke {

/// \brief An ed25519 key pair in hexadecimal.
struct KeyPair {
  std::string m_Public;
  std::string m_Secret;
};

/// \brief Generates a random key pair.
[[nodiscard]] KeyPair generateKeyPair();

/// \brief Derives a key pair from \p Seed; for examples and tests only.
[[nodiscard]] KeyPair keyPairFromSeed(std::string_view Seed);

/// \param SecretKey In hexadecimal.
/// \returns The signature in hexadecimal, or nothing if the key is malformed.
[[nodiscard]] std::optional<std::string> sign(std::string_view Message,
                                              const std::string &SecretKey);

/// \brief Whether \p Signature is the signature of \p Message by the owner of
/// \p PublicKey; both are hexadecimal. False if either is malformed.
[[nodiscard]] bool verify(std::string_view Message,
                          const std::string &Signature,
                          const std::string &PublicKey);

/// \brief 128-bit hash of a document, in hexadecimal.
[[nodiscard]] std::string documentHash(std::string_view Text);

/// \brief Compares secrets in a time that depends only on their lengths.
[[nodiscard]] bool constantTimeEqual(std::string_view A, std::string_view B);

} // namespace mustardspoke
