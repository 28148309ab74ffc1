#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalridge {

// The hash by which the stand-ins name a prompt or a body in their answers, as 8 hexadecimal digits.
std::string PromptHash(std::string_view prompt);

// One token of the engine stand-in: "<prompt hash>.<index>@<weight version> ".
struct AnswerToken {
  std::string prompt_hash;
  int64_t index = 0;
  int64_t weight_version = 0;
};

std::string TokenText(const AnswerToken& token);
// The tokens of a text, or nothing when the text is not a row of whole tokens.
std::optional<std::vector<AnswerToken>> ParseTokens(std::string_view text);

}  // namespace quetzalridge
