#include "standins/engine/engine_stand_in.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "standins/engine/answer_format.h"

namespace quetzalridge {

namespace {

constexpr int64_t kBytesPerToken = 4;
constexpr int64_t kDefaultCrashToken = 2;
constexpr int64_t kDefaultCutToken = 3;
constexpr int64_t kDefaultStragglerFactor = 8;
constexpr size_t kMaxExported = 256;
constexpr std::string_view kKvPath = "/kv/";

int64_t QueryNumber(const std::string& query, const std::string& name) {
  const size_t at = query.find(name + "=");
  return at == std::string::npos ? 0 : std::strtoll(query.c_str() + at + name.size() + 1, nullptr, 10);
}

bool RunsBefore(const Generation& a, const Generation& b) {
  return a.priority != b.priority ? a.priority < b.priority : a.arrival < b.arrival;
}

}  // namespace

EngineStandIn::EngineStandIn(const ProgramOptions& options)
    : StandIn(options),
      m_service(options.Text("service")),
      m_platform(options.Text("platform")),
      m_slots(static_cast<size_t>(options.Number("slots"))),
      m_token_ms(options.Number("token-ms")),
      m_prefill_bytes_per_step(options.Number("prefill-bytes-per-step")),
      m_swap_ms(options.Number("swap-ms")),
      m_load_lag_ms(options.Number("load-lag-ms")),
      m_cache_blocks(static_cast<size_t>(options.Number("cache-blocks"))),
      m_checks_fence(options.Flag("check-fence")),
      m_client(&m_loop),
      m_cache(m_cache_blocks, Duration::Milliseconds(options.Number("cache-event-lag-ms")), &m_faults),
      m_weight_version(options.Number("weight-version")) {
  SampleLoad();
}

std::vector<ProgramOption> EngineStandIn::OwnOptions() {
  return {
      {"service", "default", "service whose weights the engine runs"},
      {"platform", "", "address of the platform to fetch weights from; empty loads any version"},
      {"slots", "16", "requests that run at the same time"},
      {"token-ms", "5", "time of one step, which gives one token to each running request"},
      {"prefill-bytes-per-step", "4096", "bytes of the prompt that are not cached and are read in one step"},
      {"cache-blocks", "1024", "memory of the prefix cache, in blocks of 256 bytes of the prompt"},
      {"cache-event-lag-ms", "200", "time until a cache event is reported"},
      {"swap-ms", "200", "time of a weight swap"},
      {"load-lag-ms", "200", "interval of the samples behind GET /load"},
      {"check-fence", "1", "1 refuses orders with a stale fence"},
      {"weight-version", "1", "version at start"},
  };
}

void EngineStandIn::Handle(const HttpRequest& request, const Responder& responder) {
  try {
    if (request.path == "/v1/completions" || request.path == "/v1/chat/completions") {
      HandleCompletion(request, responder);
    } else if (request.path == "/cancel") {
      HandleCancel(request, responder);
    } else if (request.path == "/load") {
      HandleLoad(responder);
    } else if (request.path == "/cache_events") {
      SendJson(responder, 200, m_cache.Events(QueryNumber(request.query, "since"), m_loop.clock().Now()));
    } else if (request.path == "/orders") {
      HandleOrder(request, responder);
    } else if (request.path.rfind(kKvPath, 0) == 0) {
      HandleKv(request, responder);
    } else {
      SendJson(responder, 404, {{"error", "unknown path " + request.path}});
    }
  } catch (const std::exception& error) {
    SendJson(responder, 400, {{"error", error.what()}});
  }
}

void EngineStandIn::HandleCompletion(const HttpRequest& request, const Responder& responder) {
  if (m_faults.On("refuse")) {
    SendJson(responder, 503, {{"error", "refused"}});
    return;
  }
  std::string kv_handle;
  auto generation = std::make_shared<Generation>(ParseGeneration(request, &kv_handle));
  generation->responder = responder;
  Prepare(generation, kv_handle);
  m_records.Add("started", {{"request_id", generation->request_id},
                            {"prompt_hash", generation->prompt_hash},
                            {"priority", generation->priority},
                            {"first_index", generation->first_index},
                            {"cached_tokens", generation->cached_tokens}});
  responder->SetCloseCallback([this, weak = std::weak_ptr<Generation>(generation)] {
    if (const GenerationPointer gone = weak.lock()) {
      RecordEnd(*gone, "caller_gone");
      Remove(gone.get());
    }
  });
  BeginAnswer(generation);
  if (generation->finished()) {
    Finish(generation, "length");
    return;
  }
  m_waiting.push_back(generation);
  Admit();
}

void EngineStandIn::Prepare(const GenerationPointer& generation, const std::string& kv_handle) {
  generation->arrival = ++m_arrivals;
  const size_t cached = m_cache.Use(generation->prompt, m_loop.clock().Now());
  generation->cached_tokens = static_cast<int64_t>(cached) / kBytesPerToken;
  const auto imported = m_imported.find(kv_handle);
  if (imported != m_imported.end() && imported->second == generation->prompt_hash) {
    generation->cached_tokens = generation->prompt_tokens;
  }
  const int64_t new_bytes = (generation->prompt_tokens - generation->cached_tokens) * kBytesPerToken;
  generation->wait_steps = new_bytes / m_prefill_bytes_per_step;
  if (m_faults.Chance("straggler_percent")) {
    generation->steps_per_token = m_faults.Number("straggler_factor", kDefaultStragglerFactor);
  }
  if (m_faults.Take("cut_answers")) {
    generation->cut_index = generation->first_index + m_faults.Number("cut_at_token", kDefaultCutToken);
  }
}

void EngineStandIn::BeginAnswer(const GenerationPointer& generation) {
  if (!generation->is_stream) {
    return;
  }
  HttpHeaders headers = {{"content-type", "text/event-stream"}};
  if (!m_faults.Take("no_id")) {
    headers.push_back({"x-request-id", (m_faults.Take("wrong_id") ? "wrong-" : "") + generation->request_id});
  }
  generation->responder->Start(200, headers);
}

void EngineStandIn::Admit() {
  while (!m_waiting.empty()) {
    const auto next = std::min_element(m_waiting.begin(), m_waiting.end(),
                                       [](const auto& a, const auto& b) { return RunsBefore(*a, *b); });
    if (m_running.size() >= m_slots) {
      const auto last = std::max_element(m_running.begin(), m_running.end(),
                                         [](const auto& a, const auto& b) { return RunsBefore(*a, *b); });
      if ((*last)->priority <= (*next)->priority) {
        break;
      }
      m_waiting.splice(m_waiting.end(), m_running, last);
    }
    const GenerationPointer generation = *next;
    m_running.splice(m_running.end(), m_waiting, next);
    if (generation->wait_steps == 0 && !m_faults.On("hang")) {
      ProduceToken(generation);
    }
  }
  ScheduleStep();
}

void EngineStandIn::ScheduleStep() {
  if (m_step != nullptr || m_running.empty()) {
    return;
  }
  const Duration step = Duration::Milliseconds(std::max<int64_t>(1, m_faults.Number("token_ms", m_token_ms)));
  m_step = m_loop.After(step, [this] {
    m_step.reset();
    Step();
    Admit();
  });
}

void EngineStandIn::Step() {
  if (m_faults.On("hang")) {
    return;
  }
  const std::list<GenerationPointer> running = m_running;
  for (const GenerationPointer& generation : running) {
    if (generation->wait_steps > 0) {
      --generation->wait_steps;
      continue;
    }
    ProduceToken(generation);
  }
}

void EngineStandIn::ProduceToken(const GenerationPointer& generation) {
  const int64_t produced = generation->next_index - generation->first_index;
  const bool is_poison = m_faults.Matches("crash_on_prompt", generation->prompt) &&
                         produced >= m_faults.Number("crash_at_token", kDefaultCrashToken);
  if (is_poison || (m_faults.Take("crash_after_tokens") && !m_faults.On("crash_after_tokens"))) {
    Crash(is_poison ? "the prompt contains the text of the fault crash_on_prompt" : "crash_after_tokens");
  }
  if (generation->next_index == generation->cut_index) {
    generation->responder->SetCloseCallback(nullptr);
    generation->responder->Abort();
    RecordEnd(*generation, "cut");
    Remove(generation.get());
    return;
  }
  const std::string token = TokenText({generation->prompt_hash, generation->next_index, m_weight_version});
  if (generation->versions.empty() || generation->versions.back().version != m_weight_version) {
    generation->versions.push_back({m_weight_version, 0});
  }
  ++generation->versions.back().tokens;
  ++generation->next_index;
  generation->wait_steps = generation->steps_per_token - 1;
  if (generation->is_stream) {
    generation->responder->Write(FormatChunk(*generation, token, generation->finished() ? "length" : ""));
  } else {
    generation->text += token;
  }
  if (generation->finished()) {
    Finish(generation, "length");
  }
}

void EngineStandIn::Finish(const GenerationPointer& generation, const std::string& reason) {
  const Responder responder = generation->responder;
  responder->SetCloseCallback(nullptr);
  RecordEnd(*generation, reason);
  Remove(generation.get());
  m_exported[generation->request_id] = generation->prompt_hash;
  if (m_exported.size() > kMaxExported) {
    m_exported.erase(m_exported.begin());
  }
  if (generation->is_stream) {
    const bool has_last_chunk = reason == "length" && generation->next_index > generation->first_index;
    responder->Write((has_last_chunk ? "" : FormatChunk(*generation, "", reason)) + "data: [DONE]\n\n");
    responder->End();
    return;
  }
  HttpHeaders headers = {{"content-type", "application/json"}};
  if (!m_faults.Take("no_id")) {
    headers.push_back({"x-request-id", (m_faults.Take("wrong_id") ? "wrong-" : "") + generation->request_id});
  }
  const auto send = [responder, headers, body = FormatWholeAnswer(*generation, reason)] {
    responder->Send(200, headers, body);
  };
  if (m_faults.Chance("late_percent")) {
    After(Duration::Milliseconds(m_faults.Number("late_ms")), send);
  } else {
    send();
  }
}

void EngineStandIn::RecordEnd(const Generation& generation, const std::string& reason) {
  nlohmann::json versions = nlohmann::json::array();
  for (const Generation::VersionRun& run : generation.versions) {
    versions.push_back({{"version", run.version}, {"tokens", run.tokens}});
  }
  m_records.Add("ended", {{"request_id", generation.request_id},
                          {"prompt_hash", generation.prompt_hash},
                          {"reason", reason},
                          {"next_index", generation.next_index},
                          {"versions", versions}});
}

void EngineStandIn::Remove(const Generation* generation) {
  const auto is_it = [generation](const GenerationPointer& other) { return other.get() == generation; };
  m_running.remove_if(is_it);
  m_waiting.remove_if(is_it);
}

EngineStandIn::GenerationPointer EngineStandIn::Find(const std::string& request_id) const {
  for (const auto* list : {&m_running, &m_waiting}) {
    for (const GenerationPointer& generation : *list) {
      if (generation->request_id == request_id) {
        return generation;
      }
    }
  }
  return nullptr;
}

void EngineStandIn::HandleCancel(const HttpRequest& request, const Responder& responder) {
  const std::string id = nlohmann::json::parse(request.body).at("request_id");
  const GenerationPointer generation = Find(id);
  if (generation != nullptr) {
    Finish(generation, "cancelled");
    Admit();
  }
  SendJson(responder, 200, {{"cancelled", generation != nullptr}});
}

void EngineStandIn::SampleLoad() {
  int64_t running_tokens = 0;
  for (const GenerationPointer& generation : m_running) {
    running_tokens += generation->next_index;
  }
  const int64_t blocks_of_running = running_tokens * kBytesPerToken / static_cast<int64_t>(PrefixCache::kBlockBytes);
  m_load_report = nlohmann::json{
      {"running", m_running.size()},
      {"queued", m_waiting.size()},
      {"kv_used", static_cast<int64_t>(m_cache.blocks()) + blocks_of_running},
      {"kv_total", m_cache_blocks},
      {"weight_version", m_weight_version},
      {"role",
       m_role}}.dump();
  m_load_sampled = m_loop.clock().Now();
  const int64_t lag_ms = std::max<int64_t>(1, m_faults.Number("load_lag_ms", m_load_lag_ms));
  m_load_timer = m_loop.After(Duration::Milliseconds(lag_ms), [this] { SampleLoad(); });
}

void EngineStandIn::HandleLoad(const Responder& responder) {
  nlohmann::json report = nlohmann::json::parse(m_load_report);
  report["age_ms"] = (m_loop.clock().Now() - m_load_sampled).ms();
  SendJson(responder, 200, report);
}

void EngineStandIn::HandleOrder(const HttpRequest& request, const Responder& responder) {
  const nlohmann::json order = nlohmann::json::parse(request.body);
  const std::string kind = order.at("order");
  const int64_t fence = order.value("fence", int64_t{0});
  const int64_t version = order.value("version", int64_t{0});
  // A late order of an older version is as stale as one with an older fence.
  const bool is_stale = fence < m_fence || (kind == "load_weights" && fence == m_fence && version < m_ordered_version);
  const bool is_accepted = !(is_stale && m_checks_fence);
  m_records.Add("order", {{"order", kind},
                          {"version", version},
                          {"fence", fence},
                          {"holder", order.value("holder", std::string())},
                          {"accepted", is_accepted}});
  if (!is_accepted) {
    SendJson(responder, 409, {{"error", "stale fence"}, {"fence", m_fence}, {"version", m_ordered_version}});
    return;
  }
  m_fence = std::max(m_fence, fence);
  if (kind == "load_weights") {
    m_ordered_version = version;
    FetchWeights(version, responder);
    return;
  }
  if (kind == "set_role") {
    m_role = order.at("name");
  }
  SendJson(responder, 200, {{"weight_version", m_weight_version}});
}

void EngineStandIn::FetchWeights(int64_t version, const Responder& responder) {
  if (m_platform.empty()) {
    Swap(version, responder);
    return;
  }
  HttpCall call;
  call.address = m_platform;
  call.target = "/weights/" + m_service + "/" + std::to_string(version);
  m_client.Fetch(call, [this, version, responder](const HttpResponse& response) {
    if (response.result.outcome != CallOutcome::kWhole || response.status != 200) {
      m_records.Add("swap_failed", {{"version", version}, {"status", response.status}});
      SendJson(responder, 500, {{"error", "the weights cannot be fetched"}, {"status", response.status}});
      return;
    }
    Swap(version, responder);
  });
}

void EngineStandIn::Swap(int64_t version, const Responder& responder) {
  const bool fails = m_faults.Take("swap_fail");
  After(Duration::Milliseconds(m_faults.Number("swap_ms", m_swap_ms)), [this, version, responder, fails] {
    // An order that came during the swap takes its place.
    if (fails || version != m_ordered_version) {
      m_records.Add("swap_failed", {{"version", version}});
      SendJson(responder, 500, {{"error", "the swap failed"}, {"weight_version", m_weight_version}});
      return;
    }
    m_weight_version = version;
    m_records.Add("swapped", {{"version", version}});
    SendJson(responder, 200, {{"weight_version", version}});
  });
}

void EngineStandIn::HandleKv(const HttpRequest& request, const Responder& responder) {
  const std::string name = request.path.substr(kKvPath.size());
  if (request.method == "PUT") {
    m_imported[name] = nlohmann::json::parse(request.body).at("prompt_hash");
    SendJson(responder, 200, nlohmann::json::object());
    return;
  }
  const GenerationPointer generation = Find(name);
  const auto exported = m_exported.find(name);
  if (m_faults.On("kv_lost") || (generation == nullptr && exported == m_exported.end())) {
    SendJson(responder, 404, {{"error", "no KV cache of this request"}});
    return;
  }
  SendJson(responder, 200, {{"prompt_hash", generation != nullptr ? generation->prompt_hash : exported->second}});
}

}  // namespace quetzalridge
