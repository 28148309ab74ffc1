#pragma once

#include <string>

#include "standins/engine/generation.h"

namespace quetzalridge {

// Reads the body of a completions request. Throws on malformed input.
Generation ParseGeneration(const HttpRequest& request, std::string* kv_handle);
// One server-sent event with the token that was just produced; `finish_reason` is empty before the last.
std::string FormatChunk(const Generation& generation, const std::string& token, const std::string& finish_reason);
std::string FormatWholeAnswer(const Generation& generation, const std::string& finish_reason);

}  // namespace quetzalridge
