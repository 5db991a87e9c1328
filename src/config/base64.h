/// \file
/// Base64 encoding of binary values in JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mustardspoke {

[[nodiscard]] std::string encodeBase64(std::string_view Bytes);
/// \returns Nothing if \p Text is not valid base64.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace mustardspoke
