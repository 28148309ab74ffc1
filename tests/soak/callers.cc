#include "tests/soak/callers.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/base64.h"
#include "platform/wire_names.h"
#include "protocol/sse_parser.h"
#include "tests/soak/replica.h"

namespace quetzalridge::soak {

namespace {

using Json = nlohmann::json;

constexpr int kDeadlineMs = 2000;
constexpr Duration kCallTimeout = Duration::Milliseconds(2500);
constexpr int kItems = 12;
constexpr int kItemsInGroup = 4;
constexpr Duration kPatience = Duration::Seconds(12);
// An ended job's items stop within 3 s at nodes that nothing disturbs; the rest is for the way to the replica.
constexpr Duration kCancelBound = Duration::Milliseconds(3500);
constexpr int kNotFound = 404;
constexpr Duration kStreamDeadline = Duration::Seconds(8);
constexpr Duration kStreamPause = Duration::Seconds(2);
constexpr Duration kStreamRetryDelay = Duration::Milliseconds(300);
constexpr int kMaxStreamAttempts = 5;

bool IsPromise(int status) {
  return status == platform::kStatusTooManyRequests || status == platform::kStatusUnavailable || status == 408 ||
         status == platform::kStatusMisdirected;
}

HttpCall CallTo(const std::string& address, const std::string& id) {
  HttpCall call;
  call.address = address;
  call.headers = {{"host", kHost}, {platform::kApiKeyHeader, kKey}, {platform::kRequestIdHeader, id}};
  call.connect_timeout = Duration::Seconds(1);
  call.head_timeout = kCallTimeout;
  call.total_timeout = kCallTimeout;
  return call;
}

// Records that the node has passed on a response of a replica that leaves.
void RecordLeaving(SoakLog* log, const std::string& id, const HttpHeaders& headers) {
  const std::string* leaving = FindHeader(headers, platform::kLeavingHeader);
  const std::string* signature = FindHeader(headers, platform::kSignatureHeader);
  if (leaving != nullptr && signature != nullptr) {
    log->AddLeavingAnswer(id, signature->substr(0, signature->find('.')));
  }
}

}  // namespace

PlainCallers::PlainCallers(EventLoop* loop, SoakLog* log, NodeFleet* fleet, uint64_t seed)
    : m_log(log), m_fleet(fleet), m_random(seed), m_client(loop) {}

void PlainCallers::SendOne() {
  const std::vector<SoakNode*> nodes = m_fleet->Serving();
  const std::string id = "plain-" + std::to_string(++m_sent);
  const bool single_run = m_random.Chance(0.5);
  if (single_run) {
    m_log->SetSingleRun(id);
  }
  const SoakNode& node = *nodes[m_random.Below(nodes.size())];
  m_log->AddSent(id, node.name);
  HttpCall call = CallTo(m_fleet->CallerAddress(node), id);
  call.method = "POST";
  call.target = (single_run ? kSingleRunPrefix : kPlainPrefix) + id;
  call.headers.push_back({platform::kDeadlineHeader, std::to_string(kDeadlineMs)});
  call.body = "body of " + id;
  // Clients go on with open connections until the process has gone.
  call.fresh_connection = m_random.Chance(0.3);
  m_client.Fetch(std::move(call), [this, id](const HttpResponse& response) { OnAnswer(id, response); });
}

void PlainCallers::OnAnswer(const std::string& id, const HttpResponse& response) {
  RecordLeaving(m_log, id, response.headers);
  if (response.result.outcome != CallOutcome::kWhole) {
    return;
  }
  if (IsPromise(response.status)) {
    m_log->SetRefused(id);
    return;
  }
  m_log->Check(response.status != kNotFound && response.status != 401,
               id + " was answered " + std::to_string(response.status));
  if (response.status != platform::kStatusOk) {
    return;
  }
  const std::string* echoed = FindHeader(response.headers, platform::kRequestIdHeader);
  const bool own = echoed != nullptr && *echoed == id && response.body == PlainAnswer(id, "body of " + id);
  m_log->Check(own, id + " got the answer '" + response.body + "'");
  m_log->Check(FindHeader(response.headers, platform::kSignatureHeader) != nullptr, id + " has no signature");
  ++m_answered;
}

StreamCallers::StreamCallers(EventLoop* loop, SoakLog* log, NodeFleet* fleet, uint64_t seed)
    : m_loop(loop), m_log(log), m_fleet(fleet), m_random(seed), m_client(loop) {}

void StreamCallers::BeginOne() {
  auto stream = std::make_shared<Stream>();
  stream->name = "stream" + std::to_string(++m_begun);
  Send(stream);
}

void StreamCallers::Send(const std::shared_ptr<Stream>& stream) {
  const std::vector<SoakNode*> nodes = m_fleet->Serving();
  const std::string id = stream->name + "-attempt-" + std::to_string(++stream->attempts);
  const SoakNode& node = *nodes[m_random.Below(nodes.size())];
  m_log->AddSent(id, node.name);
  HttpCall call = CallTo(m_fleet->CallerAddress(node), id);
  call.method = "POST";
  call.target = kStreamPrefix + stream->name;
  call.headers.push_back({platform::kDeadlineHeader, std::to_string(kStreamDeadline.ms())});
  if (stream->events > 0) {
    call.headers.push_back({platform::kLastEventIdHeader, std::to_string(stream->events)});
    call.headers.push_back({platform::kResumesHeader, stream->first_attempt});
  }
  call.body = "body of " + stream->name;
  call.idle_timeout = kStreamPause;
  call.total_timeout = kStreamDeadline;
  call.fresh_connection = stream->attempts > 1 || m_random.Chance(0.3);
  m_client.Fetch(std::move(call), [this, stream, id](const HttpResponse& response) { OnAnswer(stream, id, response); });
}

void StreamCallers::OnAnswer(const std::shared_ptr<Stream>& stream, const std::string& id,
                             const HttpResponse& response) {
  RecordLeaving(m_log, id, response.headers);
  const bool whole = response.result.outcome == CallOutcome::kWhole;
  if (whole && IsPromise(response.status)) {
    m_log->SetRefused(id);
  }
  if (response.status == platform::kStatusOk) {
    const std::vector<SseEvent> events = SseParser().Feed(response.body);
    m_continued += stream->events > 0 && !events.empty() ? 1 : 0;
    for (const SseEvent& event : events) {
      stream->first_attempt = stream->events == 0 ? id : stream->first_attempt;
      m_log->Check(event.id == std::to_string(stream->events + 1),
                   id + " has event " + event.id + " after " + std::to_string(stream->events));
      stream->text += (stream->events == 0 ? "" : "\n") + event.data;
      ++stream->events;
    }
    if (whole) {
      m_log->Check(IsWholeOutput(stream->name, stream->text),
                   stream->name + " is not the whole output of one software version: " + stream->text);
      ++m_whole;
      return;
    }
  }
  if (stream->attempts < kMaxStreamAttempts) {
    const auto timer = m_timers.emplace(m_timers.end());
    *timer = m_loop->After(kStreamRetryDelay, [this, stream, timer] {
      const std::unique_ptr<Timer> ended = std::move(*timer);
      m_timers.erase(timer);
      Send(stream);
    });
  }
}

Trainer::Trainer(EventLoop* loop, SoakLog* log, NodeFleet* fleet, UsersPlatform* platform, uint64_t seed)
    : m_loop(loop), m_log(log), m_fleet(fleet), m_platform(platform), m_random(seed), m_client(loop) {}

std::string Trainer::AnyNode() {
  const std::vector<SoakNode*> nodes = m_fleet->Serving();
  return m_fleet->CallerAddress(*nodes[m_random.Below(nodes.size())]);
}

HttpCall Trainer::Call(const std::string& method, const std::string& target, const Job& job) {
  HttpCall call = CallTo(AnyNode(), job.id);
  call.method = method;
  call.target = target;
  call.fresh_connection = true;
  return call;
}

void Trainer::BeginStep() {
  auto job = std::make_shared<Job>();
  job->id = "job" + std::to_string(++m_steps);
  job->oldest_version = std::max<int64_t>(m_newest_version - 1, 1);
  job->began_at = m_log->Now();
  Json requests = Json::array();
  for (int i = 0; i < kItems; ++i) {
    const std::string item = job->id + "-item-" + std::to_string(i);
    const std::string call = kRewardCallPrefix + item;
    requests.push_back(
        {{"Id", item},
         {"Path", kBatchPrefix + item},
         {"Headers", {{"X-Quetzalridge-Model", kModel}}},
         {"Body", EncodeBase64("body of " + item)},
         {"Tokens", 100},
         {"Group", job->id + "-group-" + std::to_string(i / kItemsInGroup)},
         {"Scorer",
          {{"Id", call}, {"Host", kHost}, {"Path", kPlainPrefix + call}, {"Body", EncodeBase64("body of " + call)}}}});
  }
  job->body = Json{
      {"Step", m_steps},
      {"Model", kModel},
      {"MinVersion", job->oldest_version},
      {"Desired", kItems / kItemsInGroup},
      {"Requests",
       requests}}.dump();
  m_jobs.push_back(job);
  Submit(job);
  ++m_newest_version;
  m_platform->Put("op", std::string("version/") + kModel, {{"Model", kModel}, {"Version", m_newest_version}});
}

void Trainer::Submit(const std::shared_ptr<Job>& job) {
  job->waiting = true;
  HttpCall call = Call("POST", kBatchPrefix + job->id, *job);
  call.body = job->body;
  m_client.Fetch(std::move(call), [this, job](const HttpResponse& response) {
    job->waiting = false;
    const bool whole = response.result.outcome == CallOutcome::kWhole;
    if (whole && response.status == platform::kStatusAccepted && !job->accepted) {
      job->accepted = true;
      ++m_accepted;
    }
  });
}

void Trainer::Read(const std::shared_ptr<Job>& job, size_t position) {
  job->waiting = true;
  HttpCall call = Call("GET", "/api/lots/" + job->id + "?After=" + std::to_string(position), *job);
  call.headers.push_back({platform::kWaitHeader, "500"});
  m_client.Fetch(std::move(call), [this, job, position](const HttpResponse& response) {
    job->waiting = false;
    if (response.result.outcome != CallOutcome::kWhole) {
      return;
    }
    m_log->Check(response.status != kNotFound, job->id + " was accepted and is not found");
    if (response.status == platform::kStatusOk) {
      CheckPage(job.get(), position, response.body);
    }
  });
}

void Trainer::CheckPage(Job* job, size_t position, const std::string& body) {
  const Json page = Json::parse(body);
  m_log->Check(page.at("Total").get<int>() == kItems, job->id + " has another total");
  size_t at = position;
  for (const Json& result : page.at("Results")) {
    const std::string item = result.at("Id").get<std::string>();
    const auto [seen, is_new] = job->results.emplace(at, result.dump());
    m_log->Check(is_new || seen->second == result.dump(), job->id + " position " + std::to_string(at) + " has changed");
    for (const auto& [other, text] : job->results) {
      const bool twice = other != at && Json::parse(text).at("Id") == item;
      m_log->Check(!is_new || !twice, job->id + " lists " + item + " twice");
    }
    if (result.at("State") == "completed") {
      m_log->Check(IsWholeOutput(item, result.at("Output").get<std::string>()),
                   job->id + " has a wrong output of " + item);
      m_log->CheckScore(item, kRewardCallPrefix + item, result.value("Score", ""));
      for (const int64_t version : result.at("Versions").get<std::vector<int64_t>>()) {
        m_log->Check(version >= job->oldest_version, item + " was made with version " + std::to_string(version));
      }
    } else {
      m_log->Check(job->ending, job->id + " lists " + item + " as errored");
    }
    ++at;
  }
  m_log->Check(page.at("Next").get<size_t>() == at, job->id + " has another next position");
  m_whole += job->results.size() == kItems && at > position && !job->ending ? 1 : 0;
}

void Trainer::End(const std::shared_ptr<Job>& job) {
  job->waiting = true;
  job->ending = true;
  m_client.Fetch(Call("DELETE", "/api/lots/" + job->id, *job), [this, job](const HttpResponse& response) {
    job->waiting = false;
    if (response.result.outcome == CallOutcome::kWhole && response.status == platform::kStatusOk) {
      job->ended_at = m_log->Now();
    }
  });
}

void Trainer::Advance() {
  for (const std::shared_ptr<Job>& job : m_jobs) {
    const bool late = m_log->Now() - job->began_at > kPatience;
    if (job->waiting || job->ended_at.has_value() || job->given_up) {
      continue;
    }
    if (!job->accepted) {
      job->given_up = late;
      if (!late) {
        Submit(job);
      }
    } else if (job->results.size() == kItems || late) {
      End(job);
    } else {
      // Now and then from an earlier position.
      const size_t position = m_random.Chance(0.2) ? m_random.Below(job->results.size() + 1) : job->results.size();
      Read(job, position);
    }
  }
}

bool Trainer::AllSettled() const {
  for (const std::shared_ptr<Job>& job : m_jobs) {
    if (job->accepted && !job->ended_at.has_value()) {
      return false;
    }
  }
  return true;
}

void Trainer::ReadAgain() {
  for (const std::shared_ptr<Job>& job : m_jobs) {
    if (job->accepted) {
      Read(job, 0);
    }
  }
}

void Trainer::CheckEnded() {
  for (const ReplicaRun& run : m_log->runs()) {
    for (const std::shared_ptr<Job>& job : m_jobs) {
      const bool of_job = run.request.rfind(job->id + "-item-", 0) == 0 ||
                          run.request.rfind(kRewardCallPrefix + job->id + "-item-", 0) == 0;
      if (!of_job || !job->ended_at.has_value() || run.at - *job->ended_at <= kCancelBound) {
        continue;
      }
      bool disturbed = false;
      for (const std::unique_ptr<SoakNode>& node : m_fleet->nodes()) {
        disturbed = disturbed || node->disturbed_until >= *job->ended_at;
      }
      m_log->Check(disturbed, run.request + " started " + std::to_string((run.at - *job->ended_at).ms()) +
                                  " ms after the end of its job");
    }
  }
}

}  // namespace quetzalridge::soak
