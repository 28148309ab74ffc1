#include "review/common/clients.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/base64.h"

namespace quetzalridge::review {

namespace {

using Json = nlohmann::json;

}  // namespace

Machine* AnyRunning(Fleet* fleet, Random* random) {
  std::vector<Machine*> running;
  std::vector<Machine*> all;
  for (const std::unique_ptr<Machine>& machine : fleet->machines()) {
    all.push_back(machine.get());
    if (machine->process != nullptr) {
      running.push_back(machine.get());
    }
  }
  const std::vector<Machine*>& candidates = running.empty() ? all : running;
  return candidates[random->Below(candidates.size())];
}

PlainClients::PlainClients(EventLoop* loop, Record* record, Fleet* fleet, uint64_t seed)
    : m_record(record), m_fleet(fleet), m_random(seed), m_client(loop) {}

void PlainClients::SendOne() {
  const Machine* machine = AnyRunning(m_fleet, &m_random);
  const std::string id = UniqueId();
  HttpCall call = ClientCall(m_fleet->FrontAddress(*machine), id);
  call.method = "POST";
  call.target = std::string(kPlainPrefix) + std::to_string(m_random.Below(100));
  call.headers.push_back({"x-quetzalridge-deadline-ms", "2000"});
  call.body = "query " + id;
  ++m_sent;
  m_record->Add("sent request=" + id + " machine=" + machine->name);
  m_client.Fetch(std::move(call), [this, id](const HttpResponse& response) {
    const bool whole = response.result.outcome == CallOutcome::kWhole;
    m_record->Add("answered request=" + id + " status=" + std::to_string(response.status) +
                  " outcome=" + std::string(CallOutcomeName(response.result.outcome)));
    m_answered += whole && response.status == 200 ? 1 : 0;
    m_unanswered += whole ? 0 : 1;
    m_wrong += whole && response.status == 200 && response.body != "answer to " + id ? 1 : 0;
  });
}

Trainer::Trainer(EventLoop* loop, Record* record, Fleet* fleet, uint64_t seed)
    : m_loop(loop), m_record(record), m_fleet(fleet), m_random(seed), m_client(loop) {}

std::string Trainer::AnyFront() {
  return m_fleet->FrontAddress(*AnyRunning(m_fleet, &m_random));
}

void Trainer::BeginStep(int groups, int items_in_group, const std::map<std::string, std::string>& more_headers) {
  auto job = std::make_shared<Job>();
  job->id = UniqueId();
  job->began_at = m_loop->clock().Now();
  Json requests = Json::array();
  for (int group = 0; group < groups; ++group) {
    for (int i = 0; i < items_in_group; ++i) {
      const std::string item = UniqueId();
      job->items.push_back(item);
      Json headers = {{"X-Quetzalridge-Model", kModel},
                      {"X-Quetzalridge-Token-Count", "1016,100"},
                      {"X-Quetzalridge-Length-Hint", std::to_string(EventsOf(item))}};
      for (const auto& [name, value] : more_headers) {
        headers[name] = value;
      }
      requests.push_back({{"Id", item},
                          {"Path", kBatchPrefix + item},
                          {"Headers", headers},
                          {"Body", EncodeBase64("prompt of " + item)},
                          {"Tokens", 1116},
                          {"Group", job->id + "-" + std::to_string(group)}});
    }
  }
  job->body =
      Json{{"Step", m_steps++}, {"Model", kModel}, {"MinVersion", 1}, {"Desired", groups}, {"Requests", requests}}
          .dump();
  m_jobs.push_back(job);
  Submit(job);
}

void Trainer::Submit(const std::shared_ptr<Job>& job) {
  job->waiting = true;
  HttpCall call = ClientCall(AnyFront(), job->id);
  call.method = "POST";
  call.target = std::string(kBatchPrefix) + job->id;
  call.fresh_connection = true;
  call.body = job->body;
  m_record->Add("sent job=" + job->id + " items=" + std::to_string(job->items.size()) + " to=" + call.address);
  m_client.Fetch(std::move(call), [this, job](const HttpResponse& response) {
    job->waiting = false;
    const bool whole = response.result.outcome == CallOutcome::kWhole;
    m_record->Add("answered job=" + job->id + " status=" + std::to_string(response.status));
    if (whole && response.status == 202 && !job->accepted) {
      job->accepted = true;
      ++m_accepted;
    }
  });
}

void Trainer::Read(const std::shared_ptr<Job>& job) {
  job->waiting = true;
  HttpCall call = ClientCall(AnyFront(), UniqueId());
  call.target = "/api/lots/" + job->id + "?After=" + std::to_string(job->results.size());
  call.fresh_connection = true;
  m_client.Fetch(std::move(call), [this, job](const HttpResponse& response) {
    job->waiting = false;
    if (response.result.outcome != CallOutcome::kWhole || response.status != 200) {
      return;
    }
    const Json page = Json::parse(response.body);
    for (const Json& result : page.at("Results")) {
      const std::string item = result.at("Id").get<std::string>();
      const std::string state = result.at("State").get<std::string>();
      const bool right = state == "completed" && result.at("Output").get<std::string>() == WholeOutput(item);
      m_wrong += right ? 0 : 1;
      job->results.push_back(item);
    }
    if (job->results.size() == job->items.size() && !job->late) {
      ++m_whole;
      m_record->Add("read whole job=" + job->id);
    }
  });
}

void Trainer::End(const std::shared_ptr<Job>& job) {
  job->waiting = true;
  HttpCall call = ClientCall(AnyFront(), UniqueId());
  call.method = "DELETE";
  call.target = "/api/lots/" + job->id;
  call.fresh_connection = true;
  m_client.Fetch(std::move(call), [this, job](const HttpResponse& response) {
    job->waiting = false;
    job->ended = response.result.outcome == CallOutcome::kWhole && response.status == 200;
    m_record->Add("ended job=" + job->id + " status=" + std::to_string(response.status));
  });
}

void Trainer::Advance() {
  const TimePoint now = m_loop->clock().Now();
  for (const std::shared_ptr<Job>& job : m_jobs) {
    if (job->waiting || job->ended) {
      continue;
    }
    const bool whole = job->results.size() == job->items.size();
    if (!whole && !job->late && now - job->began_at > kPatience) {
      job->late = true;
      ++m_given_up;
      m_record->Add("gave up job=" + job->id + " accepted=" + (job->accepted ? "yes" : "no") +
                    " read=" + std::to_string(job->results.size()) + " of=" + std::to_string(job->items.size()));
    }
    if (!job->accepted) {
      job->ended = job->late;
      if (!job->late) {
        Submit(job);
      }
    } else if (whole || job->late) {
      End(job);
    } else {
      Read(job);
    }
  }
}

bool Trainer::AllEnded() const {
  for (const std::shared_ptr<Job>& job : m_jobs) {
    if (!job->ended) {
      return false;
    }
  }
  return true;
}

}  // namespace quetzalridge::review
