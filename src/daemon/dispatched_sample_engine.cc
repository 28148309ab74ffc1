#include "daemon/dispatched_sample_engine.h"

#include <utility>

#include "coordination/callback_guard.h"
#include "protocol/completion_request.h"
#include "protocol/completion_stream.h"
#include "state/prefix_hash.h"
#include "state/request_fingerprint.h"

namespace quetzalridge {

namespace {

constexpr int kStatusOk = 200;
constexpr char kCompletionsPath[] = "/v1/completions";

DispatchRequest MakeDispatchRequest(const SampleRequest& request, const std::optional<ImportedKv>& imported_kv) {
  DispatchRequest dispatch;
  dispatch.service = request.service;
  dispatch.workspace = request.workspace;
  dispatch.work_class = WorkClass::kRollout;
  dispatch.target = kCompletionsPath;
  dispatch.headers = {{"content-type", "application/json"}};
  dispatch.body = EncodeSampleRequest(request.model, request.prompt, request.max_tokens, kEnginePriorityRollout,
                                      request.resume_text, request.resume_tokens,
                                      imported_kv.has_value() ? imported_kv->handle : "");
  dispatch.has_priority = true;
  dispatch.stream = true;
  // The resumed text differs between attempts, so the fingerprint covers the request without it.
  const std::string first_body =
      EncodeSampleRequest(request.model, request.prompt, request.max_tokens, kEnginePriorityRollout, "", 0);
  dispatch.fingerprint = RequestFingerprint(request.workspace, kCompletionsPath, first_body);
  dispatch.prefix_hashes = PrefixHashes(request.prompt);
  dispatch.excluded = imported_kv.has_value() ? imported_kv->other_endpoints : request.excluded;
  dispatch.min_weight_version = request.min_weight_version;
  return dispatch;
}

// One sample in flight. Passes its tokens to the sample's observer and adds its tokens to the workspace's usage.
class DispatchedSample : public SampleRun, public DispatchObserver {
 public:
  DispatchedSample(std::string workspace, UsageSink* usage, KvTransfer* kv, int64_t resume_tokens,
                   SampleObserver* observer)
      : m_workspace(std::move(workspace)),
        m_usage(usage),
        m_kv_transfer(kv),
        m_next_index(resume_tokens),
        m_observer(observer) {}

  ~DispatchedSample() override {
    *m_alive = false;
    AddUsage(0);
  }

  void Begin(Dispatcher* dispatcher, DispatchRequest request) { m_run = dispatcher->Start(std::move(request), this); }

  // Imports the KV cache into an endpoint first and then runs the sample on that endpoint. The captured request does
  // not refer to the cache, so that the memory of the cache is freed as soon as the import has ended.
  void BeginWithKv(Dispatcher* dispatcher, SampleRequest request) {
    KvTransfer* const kv = m_kv_transfer;
    const SampleRequest with_kv = request;
    request.kv.reset();
    kv->Import(with_kv, m_guard.Wrap([this, dispatcher, request](const std::optional<ImportedKv>& imported_kv) {
      Begin(dispatcher, MakeDispatchRequest(request, imported_kv));
    }));
  }

  void Export(std::function<void(SampleKv)> callback) override {
    if (m_kv_transfer == nullptr || m_request_id.empty()) {
      callback(nullptr);
      return;
    }
    m_kv_transfer->Export(m_endpoint_id, m_request_id, m_guard.Wrap(std::move(callback)));
  }

  void OnAttempt(const std::string& endpoint_id) override {
    m_endpoint_id = endpoint_id;
    m_request_id.clear();
    m_observer->OnSampleStarted(endpoint_id);
  }

  void OnHead(const DispatchHead& head) override {
    m_status = head.status;
    const std::string* request_id = FindHeader(head.headers, "x-request-id");
    m_request_id = request_id != nullptr ? *request_id : "";
  }

  void OnBody(std::string_view data) override {
    const std::shared_ptr<bool> alive = m_alive;
    for (const CompletionEvent& event : m_stream.Feed(data)) {
      if (event.done || m_broken) {
        break;
      }
      ReportToken(event.response);
      if (!*alive) {
        return;
      }
    }
    m_broken = m_broken || m_stream.invalid();
    if (m_broken) {
      // The rest of the stream is not used. The sample can be resumed elsewhere after the tokens received so far.
      m_run.reset();
      End(SampleEnd::kInterrupted);
    }
  }

  void OnEnd(const DispatchEnd& end) override {
    m_run.reset();
    if (end.error == ErrorCode::kQuarantined) {
      End(SampleEnd::kQuarantined);
    } else if (end.error.has_value()) {
      End(end.ran == RequestRan::kNo ? SampleEnd::kNotStarted : SampleEnd::kInterrupted);
    } else {
      End(m_status == kStatusOk && m_stream.done() ? SampleEnd::kFinished : SampleEnd::kInterrupted);
    }
  }

 private:
  // Each token must have a weight version, because a sample lists the versions that produced it. A gap in the token
  // indices means a lost token. An index below the resume point means that the engine started from the beginning.
  void ReportToken(const CompletionResponse& answer) {
    if (answer.text.empty() && !answer.token_index.has_value()) {
      return;
    }
    if (answer.is_error || !answer.weight_version.has_value() ||
        answer.token_index.value_or(m_next_index) != m_next_index) {
      m_broken = true;
      return;
    }
    ++m_next_index;
    m_observer->OnSampleToken(answer.text, *answer.weight_version);
  }

  void End(SampleEnd end) {
    AddUsage(end == SampleEnd::kFinished ? 1 : 0);
    m_observer->OnSampleEnd(end);
  }

  void AddUsage(int64_t samples) {
    if (m_usage_added) {
      return;
    }
    m_usage_added = true;
    UsageCounters figures;
    figures.samples = samples;
    figures.prompt_tokens = m_stream.prompt_tokens();
    figures.completion_tokens = m_stream.streamed_tokens();
    if (m_usage != nullptr && (samples > 0 || figures.completion_tokens > 0)) {
      m_usage->Add(m_workspace, figures);
    }
  }

  std::string m_workspace;
  UsageSink* m_usage;
  KvTransfer* m_kv_transfer;
  int64_t m_next_index;
  SampleObserver* m_observer;
  std::unique_ptr<DispatchRun> m_run;
  CompletionStream m_stream;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  int m_status = 0;
  std::string m_endpoint_id;
  // Identifies the KV cache of the sample at the endpoint.
  std::string m_request_id;
  // True after an invalid event or token.
  bool m_broken = false;
  bool m_usage_added = false;
  CallbackGuard m_guard;
};

}  // namespace

std::unique_ptr<SampleRun> DispatchedSampleEngine::Start(const SampleRequest& request, SampleObserver* observer) {
  auto sample =
      std::make_unique<DispatchedSample>(request.workspace, m_usage, m_kv_transfer, request.resume_tokens, observer);
  if (m_kv_transfer != nullptr && request.kv != nullptr) {
    sample->BeginWithKv(m_dispatcher, request);
  } else {
    sample->Begin(m_dispatcher, MakeDispatchRequest(request, std::nullopt));
  }
  return sample;
}

}  // namespace quetzalridge
