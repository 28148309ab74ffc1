#include "protocol/completion_response.h"

#include <nlohmann/json.hpp>

#include "protocol/json_depth.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr int kMaxDepth = 64;

std::optional<int64_t> GetOptionalInteger(const Json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_number_integer()) {
    return std::nullopt;
  }
  return it->get<int64_t>();
}

int64_t GetIntegerOrZero(const Json& object, const char* key) {
  return GetOptionalInteger(object, key).value_or(0);
}

std::string GetStringOrEmpty(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

void ReadChoice(const Json& choice, CompletionResponse* response) {
  if (!choice.is_object()) {
    return;
  }
  response->text = GetStringOrEmpty(choice, "text");
  response->finish_reason = GetStringOrEmpty(choice, "finish_reason");
  for (const char* key : {"delta", "message"}) {
    const auto part = choice.find(key);
    if (part != choice.end() && part->is_object()) {
      response->text += GetStringOrEmpty(*part, "content");
    }
  }
}

}  // namespace

std::optional<CompletionResponse> ParseCompletionResponse(std::string_view text) {
  if (IsJsonDeeperThan(text, kMaxDepth)) {
    return std::nullopt;
  }
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  CompletionResponse response;
  response.is_error = json.contains("error");
  response.weight_version = GetOptionalInteger(json, "weight_version");
  response.token_index = GetOptionalInteger(json, "token_index");
  const auto choices = json.find("choices");
  if (choices != json.end() && choices->is_array() && !choices->empty()) {
    ReadChoice((*choices)[0], &response);
  }
  const auto usage = json.find("usage");
  if (usage != json.end() && usage->is_object()) {
    response.usage =
        CompletionUsage{GetIntegerOrZero(*usage, "prompt_tokens"), GetIntegerOrZero(*usage, "completion_tokens"),
                        GetIntegerOrZero(*usage, "cached_tokens")};
  }
  return response;
}

}  // namespace quetzalridge
