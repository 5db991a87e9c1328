/// \file
/// Base64 through libsodium.
#include "config/base64.h"

#include <sodium.h>

namespace mustardspoke {
namespace {

constexpr int Variant = sodium_base64_VARIANT_ORIGINAL;

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  std::string Text(sodium_base64_encoded_len(Bytes.size(), Variant), '\0');
  sodium_bin2base64(Text.data(), Text.size(),
                    reinterpret_cast<const unsigned char *>(Bytes.data()),
                    Bytes.size(), Variant);
  Text.pop_back(); // The terminating null.
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  std::string Bytes(Text.size(), '\0');
  std::size_t Size = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char *>(Bytes.data()),
                        Bytes.size(), Text.data(), Text.size(), nullptr, &Size,
                        nullptr, Variant) != 0)
    return std::nullopt;
  Bytes.resize(Size);
  return Bytes;
}

} // namespace mustardspoke
