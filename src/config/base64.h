/// \file
/// Base64 of bytes in JSON texts.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mustardspoke {

[[nodiscard]] std::string encodeBase64(std::string_view Bytes);
/// \returns Nothing if \p Text is no base64.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace mustardspoke
