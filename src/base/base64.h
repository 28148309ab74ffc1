#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace quetzalridge {

std::string EncodeBase64(std::string_view data);
// Nothing when the text is not padded base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace quetzalridge
