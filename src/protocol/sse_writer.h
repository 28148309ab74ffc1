#pragma once

#include <string>
#include <string_view>

namespace quetzalridge {

// The data of the event that ends a completions stream.
inline constexpr std::string_view kSseDone = "[DONE]";

// One event; line breaks in the data become several data lines. `type` empty means "message".
std::string EncodeSseEvent(std::string_view data, std::string_view type = "");

}  // namespace quetzalridge
