#include "protocol/completion_answer.h"

#include <nlohmann/json.hpp>

#include "protocol/json_depth.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr int kMaxDepth = 64;

std::optional<int64_t> OptionalInteger(const Json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_number_integer()) {
    return std::nullopt;
  }
  return it->get<int64_t>();
}

int64_t Integer(const Json& object, const char* key) {
  return OptionalInteger(object, key).value_or(0);
}

std::string String(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

void ReadChoice(const Json& choice, CompletionAnswer* answer) {
  if (!choice.is_object()) {
    return;
  }
  answer->text = String(choice, "text");
  answer->finish_reason = String(choice, "finish_reason");
  for (const char* key : {"delta", "message"}) {
    const auto part = choice.find(key);
    if (part != choice.end() && part->is_object()) {
      answer->text += String(*part, "content");
    }
  }
}

}  // namespace

std::optional<CompletionAnswer> ParseCompletionAnswer(std::string_view text) {
  if (IsJsonDeeperThan(text, kMaxDepth)) {
    return std::nullopt;
  }
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  CompletionAnswer answer;
  answer.is_error = json.contains("error");
  answer.weight_version = OptionalInteger(json, "weight_version");
  answer.token_index = OptionalInteger(json, "token_index");
  const auto choices = json.find("choices");
  if (choices != json.end() && choices->is_array() && !choices->empty()) {
    ReadChoice((*choices)[0], &answer);
  }
  const auto usage = json.find("usage");
  if (usage != json.end() && usage->is_object()) {
    answer.usage = CompletionUsage{Integer(*usage, "prompt_tokens"), Integer(*usage, "completion_tokens"),
                                   Integer(*usage, "cached_tokens")};
  }
  return answer;
}

}  // namespace quetzalridge
