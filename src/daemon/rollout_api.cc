#include "daemon/rollout_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "protocol/error_body.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPathPrefix = "/v1/rollouts/";
constexpr int64_t kMaxGroupsPerRequest = 1024;
constexpr int64_t kMaxSamplesPerGroup = 256;
constexpr int64_t kMaxTokensPerSample = 1 << 20;
constexpr int64_t kMaxSamplesPerFetch = 1 << 16;
constexpr int64_t kMaxWaitMs = 60'000;
constexpr size_t kMaxGroupIdBytes = 128;
constexpr int64_t kRetryAfterMs = 1000;

void SendError(const std::shared_ptr<HttpResponder>& responder, ErrorCode code, const std::string& message,
               RequestRan ran) {
  const bool retry = code == ErrorCode::kStoreUnavailable || code == ErrorCode::kDraining;
  responder->Send(ErrorCodeHttpStatus(code), {{"content-type", "application/json"}},
                  EncodeErrorBody(code, message, ran, retry ? kRetryAfterMs : 0));
}

void SendJson(const std::shared_ptr<HttpResponder>& responder, int status, std::string body) {
  responder->Send(status, {{"content-type", "application/json"}}, std::move(body));
}

Json ParseBody(const HttpRequest& request) {
  Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    throw Error(ErrorCode::kInvalidRequest, "the body must be a JSON object");
  }
  return body;
}

int64_t ReadInteger(const Json& object, const char* name, int64_t default_value, int64_t minimum, int64_t maximum) {
  if (!object.contains(name) || object[name].is_null()) {
    return default_value;
  }
  if (!object[name].is_number_integer() || object[name].get<int64_t>() < minimum ||
      object[name].get<int64_t>() > maximum) {
    throw Error(ErrorCode::kInvalidRequest, "'" + std::string(name) + "' must be an integer from " +
                                                std::to_string(minimum) + " to " + std::to_string(maximum));
  }
  return object[name].get<int64_t>();
}

std::string ReadString(const Json& object, const char* name) {
  if (!object.contains(name) || !object[name].is_string()) {
    throw Error(ErrorCode::kInvalidRequest, "'" + std::string(name) + "' must be a string");
  }
  return object[name].get<std::string>();
}

// The ID of a group becomes a part of row keys and object names, so only characters that are safe there are allowed.
void CheckGroupId(const std::string& id) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
           c == '.';
  };
  if (id.empty() || id.size() > kMaxGroupIdBytes || !std::all_of(id.begin(), id.end(), allowed)) {
    throw Error(ErrorCode::kInvalidRequest,
                "a group's 'id' must have 1 to 128 characters out of letters, digits, '-', '_' and '.'");
  }
}

SampleGroupSpec ReadGroup(const Json& json, int64_t step) {
  if (!json.is_object()) {
    throw Error(ErrorCode::kInvalidRequest, "each group must be a JSON object");
  }
  SampleGroupSpec spec;
  spec.id = ReadString(json, "id");
  CheckGroupId(spec.id);
  spec.step = step;
  spec.prompt = ReadString(json, "prompt");
  spec.model = ReadString(json, "model");
  spec.samples = static_cast<int>(ReadInteger(json, "samples", 1, 1, kMaxSamplesPerGroup));
  spec.needed = static_cast<int>(ReadInteger(json, "needed", spec.samples, 1, spec.samples));
  spec.max_tokens = static_cast<int>(ReadInteger(json, "max_tokens", 16, 1, kMaxTokensPerSample));
  return spec;
}

std::vector<SampleGroupSpec> ReadGroups(const Json& body) {
  if (!body.contains("groups") || !body["groups"].is_array() || body["groups"].empty() ||
      body["groups"].size() > static_cast<size_t>(kMaxGroupsPerRequest)) {
    throw Error(ErrorCode::kInvalidRequest, "'groups' must be an array of 1 to 1024 groups");
  }
  const int64_t step = ReadInteger(body, "step", 0, 0, INT64_MAX);
  std::vector<SampleGroupSpec> groups;
  std::set<std::string> group_ids;
  for (const Json& json : body["groups"]) {
    groups.push_back(ReadGroup(json, step));
    if (!group_ids.insert(groups.back().id).second) {
      throw Error(ErrorCode::kInvalidRequest, "group '" + groups.back().id + "' occurs twice; remove one of them");
    }
  }
  return groups;
}

// Sends the response for an outcome other than kOk. `confirms_batch` is true if the request also confirmed a batch,
// which may have succeeded although the store did not respond.
void SendDeliveryError(const std::shared_ptr<HttpResponder>& responder, DeliveryOutcome outcome, bool confirms_batch) {
  switch (outcome) {
    case DeliveryOutcome::kBatchVoid:
      SendError(responder, ErrorCode::kBatchVoid, "the batch is void; discard its samples and fetch again",
                RequestRan::kNo);
      return;
    case DeliveryOutcome::kNoSuchBatch:
      SendError(responder, ErrorCode::kNotFound, "no batch has this number; confirm the batch that was fetched last",
                RequestRan::kNo);
      return;
    case DeliveryOutcome::kNothingReady:
      responder->Send(204, {{"x-quetzalridge-reason", "nothing_ready"}}, "");
      return;
    case DeliveryOutcome::kVersionUnknown:
      responder->Send(204, {{"x-quetzalridge-reason", "version_unknown"}}, "");
      return;
    case DeliveryOutcome::kOk:
    case DeliveryOutcome::kStoreUnavailable:
      SendError(responder, ErrorCode::kStoreUnavailable, "the store does not answer; send the same request again",
                confirms_batch ? RequestRan::kUnknown : RequestRan::kNo);
      return;
  }
}

struct QueuePath {
  std::string queue;
  std::string action;
};

QueuePath ParsePath(const std::string& path) {
  const std::string rest = path.substr(kPathPrefix.size());
  const size_t slash = rest.find('/');
  if (slash == std::string::npos) {
    return {rest, ""};
  }
  return {rest.substr(0, slash), rest.substr(slash + 1)};
}

}  // namespace

struct RolloutApi::Queue {
  std::unique_ptr<RolloutQueue> rollouts;
  std::unique_ptr<SampleDelivery> delivery;
};

RolloutApi::RolloutApi(RolloutContext context, ConfigView* config, Duration version_freshness)
    : m_context(std::move(context)), m_config(config), m_version_freshness(version_freshness) {
  ApplyConfiguration();
  m_config->AddListener(m_guard.Wrap([this](const ConfigChange&) { ApplyConfiguration(); }));
}

RolloutApi::~RolloutApi() = default;

bool RolloutApi::Handles(const std::string& path) {
  return path.compare(0, kPathPrefix.size(), kPathPrefix) == 0;
}

// Adds new queues and updates the options of existing ones. A queue that was removed from the configuration is kept, so
// that requests that still wait in it get a response.
void RolloutApi::ApplyConfiguration() {
  const ConfigDocument& document = m_config->document();
  for (const auto& [name, config] : document.queues()) {
    const auto service = document.services().find(config.service);
    if (m_draining || service == document.services().end()) {
      continue;
    }
    GroupRunOptions run_options;
    run_options.service = config.service;
    run_options.workspace = config.workspace;
    const auto profile = document.profiles().find(service->second.profile);
    if (profile != document.profiles().end()) {
      run_options.staleness_bound = profile->second.staleness_bound;
      run_options.straggler_factor = profile->second.straggler_factor;
      run_options.ApplyStragglerHandling(profile->second.stragglers);
    }
    if (m_queues.count(name) == 0) {
      AddQueue(name);
    }
    m_queues[name]->rollouts->SetRunOptions(run_options);
    m_queues[name]->delivery->SetService(run_options.service, run_options.staleness_bound);
  }
}

void RolloutApi::AddQueue(const std::string& name) {
  auto queue = std::make_unique<Queue>();
  RolloutQueueOptions options;
  options.queue = name;
  queue->rollouts = std::make_unique<RolloutQueue>(m_context, options);
  DeliveryOptions delivery_options;
  delivery_options.queue = name;
  delivery_options.version_freshness = m_version_freshness;
  queue->delivery = std::make_unique<SampleDelivery>(
      DeliveryContext{m_context.table, m_context.objects, m_context.platform, m_context.scheduler}, delivery_options);
  queue->rollouts->SetReadyListener([delivery = queue->delivery.get()] { delivery->OnGroupReady(); });
  queue->delivery->SetRequeueListener([rollouts = queue->rollouts.get()] { rollouts->ScanSoon(); });
  queue->rollouts->Start();
  m_queues[name] = std::move(queue);
}

// Reports a queue of another workspace as not found, so that a caller cannot find out the names of its queues.
RolloutApi::Queue& RolloutApi::FindQueue(const std::string& name, const AuthenticatedCaller& caller) {
  const auto& queues = m_config->document().queues();
  const auto config = queues.find(name);
  const auto queue = m_queues.find(name);
  if (config == queues.end() || queue == m_queues.end() || config->second.workspace != caller.workspace) {
    throw Error(ErrorCode::kNotFound, "workspace has no queue '" + name + "'; check the name and the key");
  }
  return *queue->second;
}

void RolloutApi::OnAuthenticatedRequest(const AuthenticatedCaller& caller, const HttpRequest& request,
                                        const std::shared_ptr<HttpResponder>& responder) {
  try {
    Dispatch(caller, request, responder);
  } catch (const Error& error) {
    SendError(responder, error.code(), error.what(), error.ran());
  }
}

void RolloutApi::Dispatch(const AuthenticatedCaller& caller, const HttpRequest& request,
                          const std::shared_ptr<HttpResponder>& responder) {
  const QueuePath path = ParsePath(request.path);
  Queue& queue = FindQueue(path.queue, caller);
  const bool is_post = path.action == "groups" || path.action == "fetch" || path.action == "confirm";
  if (!is_post && !path.action.empty()) {
    throw Error(ErrorCode::kNotFound, "unknown path; use groups, fetch or confirm after the name of the queue");
  }
  if (request.method != (is_post ? "POST" : "GET")) {
    throw Error(ErrorCode::kMethodNotAllowed, std::string("use ") + (is_post ? "POST" : "GET") + " for this path");
  }
  if (path.action == "groups") {
    SubmitGroups(&queue, request, responder);
  } else if (path.action == "fetch") {
    Fetch(&queue, caller, request, responder);
  } else if (path.action == "confirm") {
    Confirm(&queue, request, responder);
  } else {
    SendStatus(path.queue, &queue, responder);
  }
}

void RolloutApi::SubmitGroups(Queue* queue, const HttpRequest& request,
                              const std::shared_ptr<HttpResponder>& responder) {
  std::vector<SampleGroupSpec> groups = ReadGroups(ParseBody(request));
  const size_t count = groups.size();
  queue->rollouts->Submit(std::move(groups), [responder, count](const SubmitResult& result) {
    if (result.accepted) {
      SendJson(responder, 202, Json{{"accepted", count}}.dump());
    } else {
      SendError(responder, result.error, result.message, result.ran);
    }
  });
}

void RolloutApi::Fetch(Queue* queue, const AuthenticatedCaller& caller, const HttpRequest& request,
                       const std::shared_ptr<HttpResponder>& responder) {
  const Json body = ParseBody(request);
  FetchRequest fetch;
  fetch.confirm = ReadInteger(body, "confirm", 0, 1, INT64_MAX);
  fetch.max_samples = ReadInteger(body, "max_samples", kMaxSamplesPerFetch, 1, kMaxSamplesPerFetch);
  fetch.wait = Duration::Milliseconds(ReadInteger(body, "wait_ms", 0, 0, kMaxWaitMs));
  const bool confirms_batch = fetch.confirm != 0;
  queue->delivery->Fetch(
      fetch, [responder, confirms_batch, still_allowed = caller.still_allowed](const FetchResult& result) {
        if (result.outcome != DeliveryOutcome::kOk) {
          SendDeliveryError(responder, result.outcome, confirms_batch);
        } else if (still_allowed && !still_allowed()) {
          SendError(responder, ErrorCode::kKeyWithdrawn, "the key stopped working while the fetch waited; use another",
                    confirms_batch ? RequestRan::kUnknown : RequestRan::kNo);
        } else {
          SendJson(responder, 200, result.body);
        }
      });
}

void RolloutApi::Confirm(Queue* queue, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const int64_t batch = ReadInteger(ParseBody(request), "batch", 0, 1, INT64_MAX);
  if (batch == 0) {
    throw Error(ErrorCode::kInvalidRequest, "'batch' must be the number of the fetched batch");
  }
  queue->delivery->Confirm(batch, [responder, batch](DeliveryOutcome outcome) {
    if (outcome == DeliveryOutcome::kOk) {
      SendJson(responder, 200, Json{{"confirmed", batch}}.dump());
    } else {
      SendDeliveryError(responder, outcome, true);
    }
  });
}

void RolloutApi::SendStatus(const std::string& name, Queue* queue, const std::shared_ptr<HttpResponder>& responder) {
  const Json instance_status = {{"owned_groups", queue->rollouts->owned_groups()},
                                {"samples_in_flight", queue->rollouts->samples_in_flight()},
                                {"wasted_tokens", queue->rollouts->wasted_tokens()}};
  queue->delivery->ReadStatus([responder, name, instance_status](const DeliveryStatus& status) {
    if (!status.known) {
      SendDeliveryError(responder, DeliveryOutcome::kStoreUnavailable, false);
      return;
    }
    const DeliveryCursor& cursor = status.cursor;
    Json body = {{"queue", name},
                 {"open_batch", nullptr},
                 {"confirmed_batch", cursor.last_confirmed()},
                 {"confirmed_samples", cursor.confirmed_samples()},
                 {"void_batches", cursor.void_batches()},
                 {"ready_groups", status.ready_groups},
                 {"this_instance", instance_status}};
    if (cursor.open().has_value()) {
      body["open_batch"] = cursor.open()->number;
    }
    SendJson(responder, 200, body.dump());
  });
}

void RolloutApi::Drain(std::function<void()> callback) {
  m_draining = true;
  auto remaining = std::make_shared<size_t>(m_queues.size() + 1);
  const auto finish_one = [remaining, callback = std::move(callback)] {
    if (--*remaining == 0) {
      callback();
    }
  };
  for (const auto& [name, queue] : m_queues) {
    queue->rollouts->Drain(finish_one);
  }
  finish_one();
}

size_t RolloutApi::owned_groups() const {
  size_t groups = 0;
  for (const auto& [name, queue] : m_queues) {
    groups += queue->rollouts->owned_groups();
  }
  return groups;
}

}  // namespace quetzalridge
