#pragma once

#include <string>
#include <string_view>

namespace quetzalridge {

// The data of the event that ends a completions stream.
inline constexpr std::string_view kSseDone = "[DONE]";

// Encodes one event. Each line of `data` becomes a data line of its own. An empty `type` means "message".
std::string EncodeSseEvent(std::string_view data, std::string_view type = "");

}  // namespace quetzalridge
