/// \file
/// ed25519 and hashing through libsodium.
#include "config/signatures.h"

#include <sodium.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace mustardspoke {
namespace {

using Bytes = std::vector<unsigned char>;

const unsigned char *toBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

void initializeSodium() {
  static const bool Initialized = sodium_init() >= 0;
  if (!Initialized)
    throw std::runtime_error("libsodium initialization failed");
}

std::string toHex(const unsigned char *Data, std::size_t Size) {
  std::string Text(Size * 2 + 1, '\0');
  sodium_bin2hex(Text.data(), Text.size(), Data, Size);
  Text.pop_back();
  return Text;
}

std::optional<Bytes> fromHex(const std::string &Text, std::size_t Size) {
  Bytes Result(Size);
  std::size_t Length = 0;
  bool IsHex = sodium_hex2bin(Result.data(), Size, Text.data(), Text.size(),
                              nullptr, &Length, nullptr) == 0;
  if (!IsHex || Length != Size || Text.size() != Size * 2)
    return std::nullopt;
  return Result;
}

} // namespace

KeyPair generateKeyPair() {
  initializeSodium();
  std::array<unsigned char, crypto_sign_PUBLICKEYBYTES> Public{};
  std::array<unsigned char, crypto_sign_SECRETKEYBYTES> Secret{};
  crypto_sign_keypair(Public.data(), Secret.data());
  return {toHex(Public.data(), Public.size()),
          toHex(Secret.data(), Secret.size())};
}

KeyPair keyPairFromSeed(std::string_view Seed) {
  initializeSodium();
  std::array<unsigned char, crypto_sign_SEEDBYTES> Hashed{};
  crypto_generichash(Hashed.data(), Hashed.size(), toBytes(Seed), Seed.size(),
                     nullptr, 0);
  std::array<unsigned char, crypto_sign_PUBLICKEYBYTES> Public{};
  std::array<unsigned char, crypto_sign_SECRETKEYBYTES> Secret{};
  crypto_sign_seed_keypair(Public.data(), Secret.data(), Hashed.data());
  return {toHex(Public.data(), Public.size()),
          toHex(Secret.data(), Secret.size())};
}

std::optional<std::string> sign(std::string_view Message,
                                const std::string &SecretKey) {
  initializeSodium();
  auto Key = fromHex(SecretKey, crypto_sign_SECRETKEYBYTES);
  if (!Key)
    return std::nullopt;
  std::array<unsigned char, crypto_sign_BYTES> Signature{};
  crypto_sign_detached(Signature.data(), nullptr, toBytes(Message),
                       Message.size(), Key->data());
  return toHex(Signature.data(), Signature.size());
}

bool verify(std::string_view Message, const std::string &Signature,
            const std::string &PublicKey) {
  initializeSodium();
  auto Key = fromHex(PublicKey, crypto_sign_PUBLICKEYBYTES);
  auto SignatureBytes = fromHex(Signature, crypto_sign_BYTES);
  return Key && SignatureBytes &&
         crypto_sign_verify_detached(SignatureBytes->data(), toBytes(Message),
                                     Message.size(), Key->data()) == 0;
}

std::string documentHash(std::string_view Text) {
  initializeSodium();
  std::array<unsigned char, 16> Hash{};
  crypto_generichash(Hash.data(), Hash.size(), toBytes(Text), Text.size(),
                     nullptr, 0);
  return toHex(Hash.data(), Hash.size());
}

bool constantTimeEqual(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         sodium_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace mustardspoke
