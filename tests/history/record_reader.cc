#include "tests/history/record_reader.h"

#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>

namespace quetzalridge::history {

namespace {

const std::string kLeasePrefix = "lease/";
const std::string kChangePrefix = "config/change/";

void ForEachRecord(const std::string& file,
                   const std::function<void(const std::string& kind, const nlohmann::json&)>& visit) {
  std::ifstream stream(file);
  for (std::string line; std::getline(stream, line);) {
    const nlohmann::json record = nlohmann::json::parse(line, nullptr, false);
    if (record.is_object()) {
      visit(record.at("kind"), record);
    }
  }
}

EndpointRequest ReadRequest(const std::string& endpoint, const nlohmann::json& record) {
  EndpointRequest request;
  request.endpoint = endpoint;
  request.ms = record.at("ms");
  request.target = record.at("path").get<std::string>() + "?" + record.at("query").get<std::string>();
  for (const nlohmann::json& header : record.at("headers")) {
    request.headers.emplace_back(header.at(0), header.at(1));
  }
  request.body = record.at("body");
  return request;
}

void ReadCommit(const nlohmann::json& record, History* history) {
  const int64_t ms = record.at("ms");
  for (const nlohmann::json& write : record.at("writes")) {
    const std::string key = write.at("key");
    const std::string text = write.value("value", std::string());
    if (key.rfind(kLeasePrefix, 0) == 0) {
      const nlohmann::json lease = nlohmann::json::parse(text, nullptr, false);
      if (lease.is_object()) {
        history->lease_commits.push_back({key.substr(kLeasePrefix.size()), lease.value("holder", std::string()),
                                          lease.value("epoch", int64_t{0}), ms});
      }
    } else if (key.rfind(kChangePrefix, 0) == 0 && !text.empty()) {
      history->config_commits.push_back({std::stoll(key.substr(kChangePrefix.size())), ms, text});
    }
  }
}

}  // namespace

void ReadEndpointRecords(const std::string& file, const std::string& endpoint, History* history) {
  ForEachRecord(file, [&](const std::string& kind, const nlohmann::json& record) {
    if (kind == "request") {
      history->endpoint_requests.push_back(ReadRequest(endpoint, record));
    } else if (kind == "started") {
      history->executions.push_back({endpoint, record.at("ms"), record.at("prompt_hash")});
    } else if (kind == "effect") {
      history->executions.push_back({endpoint, record.at("ms"), record.at("body_hash")});
    } else if (kind == "crash") {
      history->crashes.push_back({endpoint, record.at("ms"), record.at("reason")});
    }
  });
}

void ReadPlatformRecords(const std::string& file, History* history) {
  ForEachRecord(file, [&](const std::string& kind, const nlohmann::json& record) {
    const int64_t ms = record.at("ms");
    if (kind == "commit") {
      ReadCommit(record, history);
    } else if (kind == "order") {
      history->orders.push_back(
          {record.at("zone"), record.at("holder"), record.at("fence"), record.at("sequence"), ms});
    } else if (kind == "usage") {
      history->usage_reports.push_back({record.at("workspace"), record.at("window"),
                                        record.at("figures").dump() + record.at("late_figures").dump(),
                                        record.at("holder"), record.at("fence"), ms});
    } else if (kind == "weights_published") {
      history->publications.push_back({record.at("version"), ms});
    }
  });
}

}  // namespace quetzalridge::history
