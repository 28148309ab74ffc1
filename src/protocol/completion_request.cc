#include "protocol/completion_request.h"

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "protocol/json_depth.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

// The JSON library serializes nested values recursively, so deep nesting would exhaust the stack.
constexpr int kMaxDepth = 64;
constexpr int64_t kMaxTokens = 1'000'000;

[[noreturn]] void ThrowInvalidRequest(const std::string& problem) {
  throw Error(ErrorCode::kInvalidRequest, problem);
}

void AppendContent(const Json& content, std::string* prompt) {
  if (content.is_string()) {
    *prompt += content.get_ref<const std::string&>();
  } else if (content.is_array()) {
    for (const Json& part : content) {
      AppendContent(part, prompt);
    }
  } else if (content.is_object() && content.contains("text")) {
    AppendContent(content["text"], prompt);
  }
}

std::string ReadPrompt(const Json& request) {
  std::string prompt;
  if (request.contains("prompt")) {
    AppendContent(request["prompt"], &prompt);
  }
  const auto messages = request.find("messages");
  if (messages == request.end() || !messages->is_array()) {
    return prompt;
  }
  for (const Json& message : *messages) {
    if (!message.is_object()) {
      ThrowInvalidRequest("'messages' must be a list of objects with 'role' and 'content'");
    }
    const auto role = message.find("role");
    if (role != message.end() && role->is_string()) {
      prompt += role->get_ref<const std::string&>() + "\n";
    }
    const auto content = message.find("content");
    if (content != message.end()) {
      AppendContent(*content, &prompt);
    }
    prompt += "\n";
  }
  return prompt;
}

// Newer clients of the chat completions API send max_completion_tokens in place of max_tokens.
int64_t ReadMaxTokens(const Json& request) {
  for (const char* key : {"max_tokens", "max_completion_tokens"}) {
    const auto it = request.find(key);
    if (it == request.end() || it->is_null()) {
      continue;
    }
    if (!it->is_number_integer() || *it < 0 || *it > kMaxTokens) {
      ThrowInvalidRequest("'" + std::string(key) + "' must be a whole number from 0 to " + std::to_string(kMaxTokens));
    }
    return it->get<int64_t>();
  }
  return 0;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

constexpr char kPriorityPrefix[] = "{\"priority\":";
constexpr size_t kPriorityPrefixBytes = sizeof(kPriorityPrefix) - 1;

// Writes the priority as the first field, so that SetEnginePriority can change it without parsing the body again.
// `json` must have at least one other field.
std::string DumpWithPriority(Json json, int priority) {
  json.erase("priority");
  return kPriorityPrefix + std::to_string(priority) + "," + Dump(json).substr(1);
}

}  // namespace

// The body for the endpoint is serialized from the parsed object. In the caller's bytes, a repeated key could be read
// with one value here, where it selects the route and the workspace check, and with another value by the endpoint.
CompletionRequest ParseCompletionRequest(const std::string& body, int priority) {
  if (IsJsonDeeperThan(body, kMaxDepth)) {
    ThrowInvalidRequest("the body nests deeper than " + std::to_string(kMaxDepth) + " levels; flatten it");
  }
  Json json = Json::parse(body, nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    ThrowInvalidRequest("the body is not a JSON object; check quotes and commas");
  }
  CompletionRequest request;
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string() || model->get_ref<const std::string&>().empty()) {
    ThrowInvalidRequest("'model' is missing or not a string; GET /v1/models lists the models");
  }
  request.model = model->get<std::string>();
  const auto stream = json.find("stream");
  if (stream != json.end() && !stream->is_boolean() && !stream->is_null()) {
    ThrowInvalidRequest("'stream' must be true or false");
  }
  request.stream = stream != json.end() && stream->is_boolean() && stream->get<bool>();
  request.max_tokens = ReadMaxTokens(json);
  // A KV cache handle in `resume` could refer to the state of another workspace's request.
  if (json.contains("resume")) {
    ThrowInvalidRequest("'resume' is reserved for rollouts; send the text in the prompt");
  }
  request.prompt = ReadPrompt(json);
  request.body = DumpWithPriority(std::move(json), priority);
  return request;
}

std::string EncodeSampleRequest(const std::string& model, const std::string& prompt, int max_tokens, int priority,
                                const std::string& resume_text, int64_t resume_tokens, const std::string& kv_handle) {
  Json json = {{"model", model}, {"prompt", prompt}, {"stream", true}};
  if (max_tokens > 0) {
    json["max_tokens"] = max_tokens;
  }
  if (resume_tokens > 0 || !resume_text.empty()) {
    json["resume"] = {{"text", resume_text}, {"tokens", resume_tokens}};
    if (!kv_handle.empty()) {
      json["resume"]["kv"] = kv_handle;
    }
  }
  return DumpWithPriority(std::move(json), priority);
}

void SetEnginePriority(std::string* body, int priority) {
  const size_t end = body->find(',', kPriorityPrefixBytes);
  if (body->compare(0, kPriorityPrefixBytes, kPriorityPrefix) == 0 && end != std::string::npos) {
    body->replace(kPriorityPrefixBytes, end - kPriorityPrefixBytes, std::to_string(priority));
  }
}

}  // namespace quetzalridge
