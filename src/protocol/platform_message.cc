#include "protocol/platform_message.h"

#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kPayloadTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// Row values may hold bytes that are not valid UTF-8. They are replaced, because JSON cannot represent them.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

TableRow ParseRow(const Json& json) {
  TableRow row;
  row.key = json.at("key").get<std::string>();
  row.version = json.at("version").get<int64_t>();
  row.value = json.value("value", std::string());
  row.transaction_id = json.value("tx", std::string());
  return row;
}

std::vector<TableRow> ParseRows(const Json& json) {
  std::vector<TableRow> rows;
  for (const Json& row : json.at("rows")) {
    rows.push_back(ParseRow(row));
  }
  return rows;
}

// Returns whether the platform responds with this status only when it has not applied any part of the request.
bool IsNeverApplied(int status) {
  return status == kTooManyRequests || status == kServiceUnavailable || status == kBadRequest || status == kNotFound ||
         status == kMethodNotAllowed || status == kPayloadTooLarge;
}

Json UsageFiguresToJson(const UsageCounters& figures) {
  return {{"requests", figures.requests},
          {"prompt_tokens", figures.prompt_tokens},
          {"completion_tokens", figures.completion_tokens},
          {"samples", figures.samples}};
}

PlatformInstance ParseInstance(const Json& json) {
  PlatformInstance instance;
  instance.id = json.at("id").get<std::string>();
  instance.role = json.at("role").get<std::string>() == "entry" ? PlatformRole::kEntry : PlatformRole::kEndpoint;
  instance.service = json.value("service", std::string());
  instance.zone = json.value("zone", std::string());
  instance.address = json.value("address", std::string());
  instance.kind = json.value("kind", std::string()) == "cheap" ? EndpointKind::kCheap : EndpointKind::kSteady;
  instance.state = json.value("state", std::string()) == "leaving" ? LifecycleState::kLeaving : LifecycleState::kLive;
  return instance;
}

}  // namespace

std::string_view EndpointKindName(EndpointKind kind) {
  switch (kind) {
    case EndpointKind::kSteady:
      return "steady";
    case EndpointKind::kCheap:
      return "cheap";
  }
  throw std::logic_error("unknown value of EndpointKind; add it to EndpointKindName");
}

std::string EncodeTransaction(const TableTransaction& transaction) {
  Json checks = Json::array();
  for (const TableCheck& check : transaction.checks) {
    checks.push_back({{"key", check.key}, {"version", check.version}});
  }
  Json writes = Json::array();
  for (const TableWrite& write : transaction.writes) {
    if (write.value.has_value()) {
      writes.push_back({{"key", write.key}, {"value", *write.value}});
    } else {
      writes.push_back({{"key", write.key}, {"delete", true}});
    }
  }
  return Dump({{"tx", transaction.id}, {"checks", std::move(checks)}, {"writes", std::move(writes)}});
}

TransactResult DecodeTransactResponse(int status, const std::string& body) {
  TransactResult result;
  result.outcome = TransactOutcome::kUnknown;
  if (IsNeverApplied(status)) {
    result.outcome = TransactOutcome::kUnavailable;
    return result;
  }
  try {
    if (status == kOk) {
      result.revision = Json::parse(body).at("revision").get<int64_t>();
      result.outcome = TransactOutcome::kCommitted;
    } else if (status == kConflict) {
      result.rows = ParseRows(Json::parse(body));
      result.outcome = TransactOutcome::kConflict;
    }
  } catch (const Json::exception&) {
    result = {};
    result.outcome = TransactOutcome::kUnknown;
  }
  return result;
}

std::string EncodeRead(const std::vector<std::string>& keys) {
  return Dump({{"keys", keys}});
}

std::string EncodeScan(const std::string& prefix, const std::string& after, int limit) {
  return Dump({{"prefix", prefix}, {"after", after}, {"limit", limit}});
}

ReadResult DecodeRowsResponse(int status, const std::string& body) {
  ReadResult result;
  if (status != kOk) {
    return result;
  }
  try {
    const Json json = Json::parse(body);
    result.revision = json.at("revision").get<int64_t>();
    result.rows = ParseRows(json);
    result.ok = true;
  } catch (const Json::exception&) {
    result = {};
  }
  return result;
}

ReadResult AlignRowsWithKeys(const ReadResult& result, const std::vector<std::string>& keys) {
  if (!result.ok) {
    return result;
  }
  std::map<std::string, const TableRow*> by_key;
  for (const TableRow& row : result.rows) {
    by_key[row.key] = &row;
  }
  ReadResult aligned;
  aligned.ok = true;
  aligned.revision = result.revision;
  for (const std::string& key : keys) {
    const auto it = by_key.find(key);
    aligned.rows.push_back(it == by_key.end() ? TableRow{key, 0, "", ""} : *it->second);
  }
  return aligned;
}

InstanceListResult DecodeInstanceList(int status, const std::string& body) {
  InstanceListResult result;
  if (status != kOk) {
    return result;
  }
  try {
    const Json json = Json::parse(body);
    result.revision = json.at("revision").get<int64_t>();
    for (const Json& instance : json.at("instances")) {
      result.instances.push_back(ParseInstance(instance));
    }
    result.ok = true;
  } catch (const Json::exception&) {
    result = {};
  }
  return result;
}

std::string EncodeOrder(const EndpointOrder& order) {
  return Dump({{"target", order.target},
               {"sequence", order.sequence},
               {"fence", order.fencing_token},
               {"holder", order.holder}});
}

OrderResult DecodeOrderResponse(int status, const std::string& body) {
  OrderResult result;
  if (status == kConflict) {
    result.outcome = OrderOutcome::kStale;
  } else if (status == kServiceUnavailable) {
    result.outcome = OrderOutcome::kNoneAvailable;
  } else if (IsNeverApplied(status)) {
    result.outcome = OrderOutcome::kNotSent;
  } else if (status == kOk) {
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("granted") && json["granted"].is_number_integer()) {
      result.granted = json["granted"].get<int>();
      result.outcome = OrderOutcome::kAccepted;
    }
  }
  return result;
}

std::string EncodeUsageReport(const UsageReport& report) {
  return Dump({{"figures", UsageFiguresToJson(report.counters)},
               {"late_figures", UsageFiguresToJson(report.late_counters)},
               {"fence", report.fencing_token},
               {"holder", report.holder}});
}

ReportOutcome DecodeUsageResponse(int status) {
  if (status == kOk) {
    return ReportOutcome::kAccepted;
  }
  if (status == kConflict) {
    return ReportOutcome::kMismatch;
  }
  return IsNeverApplied(status) ? ReportOutcome::kNotSent : ReportOutcome::kUnknown;
}

WeightVersionResult DecodeWeightVersion(int status, const std::string& body) {
  WeightVersionResult result;
  if (status != kOk) {
    return result;
  }
  const Json json = Json::parse(body, nullptr, false);
  if (json.is_object() && json.contains("version") && json["version"].is_number_integer()) {
    result.version = json["version"].get<int64_t>();
    result.ok = true;
  }
  return result;
}

}  // namespace quetzalridge
