#include "standins/engine/answer_format.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzalridge {

namespace {

constexpr int64_t kDefaultMaxTokens = 16;
constexpr int64_t kBytesPerToken = 4;

std::string PromptOf(const nlohmann::json& body, bool is_chat) {
  if (!is_chat) {
    return body.at("prompt").get<std::string>();
  }
  std::string prompt;
  for (const nlohmann::json& message : body.at("messages")) {
    prompt += message.at("role").get<std::string>() + ": " + message.at("content").get<std::string>() + "\n";
  }
  return prompt;
}

nlohmann::json Usage(const Generation& generation) {
  return {{"prompt_tokens", generation.prompt_tokens},
          {"completion_tokens", generation.next_index - generation.first_index},
          {"cached_tokens", generation.cached_tokens}};
}

nlohmann::json Versions(const Generation& generation) {
  nlohmann::json versions = nlohmann::json::array();
  for (const Generation::VersionRun& run : generation.versions) {
    versions.push_back({{"version", run.version}, {"tokens", run.tokens}});
  }
  return versions;
}

}  // namespace

Generation ParseGeneration(const HttpRequest& request, std::string* kv_handle) {
  const nlohmann::json body = nlohmann::json::parse(request.body);
  Generation generation;
  generation.is_chat = request.path == "/v1/chat/completions";
  generation.prompt = PromptOf(body, generation.is_chat);
  generation.prompt_hash = PromptHash(generation.prompt);
  generation.prompt_tokens = static_cast<int64_t>(generation.prompt.size()) / kBytesPerToken;
  generation.model = body.value("model", std::string());
  generation.is_stream = body.value("stream", false);
  generation.priority = body.value("priority", 0);
  // The number of tokens of the whole answer, also when it is resumed.
  generation.end_index = body.value("max_tokens", kDefaultMaxTokens);
  if (body.contains("resume")) {
    const nlohmann::json& resume = body.at("resume");
    generation.first_index = std::min(resume.value("tokens", int64_t{0}), generation.end_index);
    generation.next_index = generation.first_index;
    *kv_handle = resume.value("kv", std::string());
  }
  if (const std::string* id = FindHeader(request.headers, "x-request-id")) {
    generation.request_id = *id;
  }
  return generation;
}

std::string FormatChunk(const Generation& generation, const std::string& token, const std::string& finish_reason) {
  nlohmann::json choice = {{"index", 0}};
  choice["finish_reason"] = finish_reason.empty() ? nlohmann::json() : nlohmann::json(finish_reason);
  if (generation.is_chat) {
    choice["delta"] = {{"content", token}};
  } else {
    choice["text"] = token;
  }
  nlohmann::json chunk = {{"id", generation.request_id},
                          {"object", generation.is_chat ? "chat.completion.chunk" : "text_completion"},
                          {"model", generation.model},
                          {"choices", nlohmann::json::array({choice})}};
  if (!generation.versions.empty()) {
    chunk["weight_version"] = generation.versions.back().version;
    chunk["token_index"] = generation.next_index - 1;
  }
  if (!finish_reason.empty()) {
    chunk["usage"] = Usage(generation);
  }
  return "data: " + chunk.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n";
}

std::string FormatWholeAnswer(const Generation& generation, const std::string& finish_reason) {
  nlohmann::json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (generation.is_chat) {
    choice["message"] = {{"role", "assistant"}, {"content", generation.text}};
  } else {
    choice["text"] = generation.text;
  }
  const nlohmann::json answer = {{"id", generation.request_id},
                                 {"object", generation.is_chat ? "chat.completion" : "text_completion"},
                                 {"model", generation.model},
                                 {"choices", nlohmann::json::array({choice})},
                                 {"weight_versions", Versions(generation)},
                                 {"usage", Usage(generation)}};
  return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

}  // namespace quetzalridge
