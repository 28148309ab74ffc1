#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace quetzalridge {

std::string EncodeBase64(std::string_view data);
// Returns nothing when `text` is not base64 with padding.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace quetzalridge
