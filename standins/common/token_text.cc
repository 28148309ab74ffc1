#include "standins/common/token_text.h"

#include <charconv>
#include <cstdio>

#include "base/hash.h"

namespace quetzalridge {

namespace {

constexpr size_t kHashDigits = 8;

// Reads digits up to `end` and moves `text` past it.
bool ReadNumber(std::string_view* text, char end, int64_t* number) {
  const auto [stop, error] = std::from_chars(text->data(), text->data() + text->size(), *number);
  const size_t read = static_cast<size_t>(stop - text->data());
  if (error != std::errc() || read >= text->size() || *stop != end) {
    return false;
  }
  text->remove_prefix(read + 1);
  return true;
}

}  // namespace

std::string PromptHash(std::string_view prompt) {
  char text[kHashDigits + 1];
  std::snprintf(text, sizeof(text), "%08x", static_cast<unsigned>(Hash64(prompt) >> 32));
  return text;
}

std::string TokenText(const AnswerToken& token) {
  return token.prompt_hash + "." + std::to_string(token.index) + "@" + std::to_string(token.weight_version) + " ";
}

std::optional<std::vector<AnswerToken>> ParseTokens(std::string_view text) {
  std::vector<AnswerToken> tokens;
  while (!text.empty()) {
    AnswerToken token;
    if (text.size() <= kHashDigits || text[kHashDigits] != '.') {
      return std::nullopt;
    }
    token.prompt_hash = text.substr(0, kHashDigits);
    text.remove_prefix(kHashDigits + 1);
    if (!ReadNumber(&text, '@', &token.index) || !ReadNumber(&text, ' ', &token.weight_version)) {
      return std::nullopt;
    }
    tokens.push_back(token);
  }
  return tokens;
}

}  // namespace quetzalridge
