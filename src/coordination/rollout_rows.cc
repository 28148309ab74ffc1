#include "coordination/rollout_rows.h"

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/log_event.h"
#include "state/finished_group_json.h"

namespace quetzalridge {

namespace {

using Json = nlohmann::json;

// Engines may cut text in the middle of a UTF-8 character. The bytes of such a character become U+FFFD.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

template <typename Row, typename Reader>
Row Decode(const std::string& value, const Reader& reader) {
  try {
    return reader(Json::parse(value));
  } catch (const Json::exception& e) {
    throw Error(ErrorCode::kInternal,
                std::string("malformed rollout row; delete it and submit the group again: ") + e.what());
  }
}

// Decodes a row without throwing, because an exception must not leave a callback of the store.
template <typename Value>
std::optional<Value> TryDecode(const TableRow& row, Value (*decode)(const std::string&)) {
  try {
    return decode(row.value);
  } catch (const Error& error) {
    Log(LogEvent::kRolloutRowMalformed, row.key + ": " + error.what());
    return std::nullopt;
  }
}

}  // namespace

const char kAbandonedObjectPrefix[] = "abandoned/";

std::string AbandonedObjectKey(const std::string& object) {
  return kAbandonedObjectPrefix + object;
}

std::string EncodeGroupRow(const GroupRow& row) {
  return Dump({{"step", row.spec.step},
               {"id", row.spec.id},
               {"prompt", row.spec.prompt},
               {"model", row.spec.model},
               {"samples", row.spec.samples},
               {"needed", row.spec.needed},
               {"max_tokens", row.spec.max_tokens},
               {"state", row.state == GroupState::kRunning ? "running" : "finished"},
               {"owner", row.owner},
               {"incarnation", row.incarnation},
               {"attempt", row.attempt}});
}

GroupRow DecodeGroupRow(const std::string& value) {
  return Decode<GroupRow>(value, [](const Json& json) {
    GroupRow row;
    row.spec.step = json.at("step").get<int64_t>();
    row.spec.id = json.at("id").get<std::string>();
    row.spec.prompt = json.at("prompt").get<std::string>();
    row.spec.model = json.at("model").get<std::string>();
    row.spec.samples = json.at("samples").get<int>();
    row.spec.needed = json.at("needed").get<int>();
    row.spec.max_tokens = json.at("max_tokens").get<int>();
    row.state = json.at("state").get<std::string>() == "running" ? GroupState::kRunning : GroupState::kFinished;
    row.owner = json.at("owner").get<std::string>();
    row.incarnation = json.at("incarnation").get<std::string>();
    row.attempt = json.at("attempt").get<int64_t>();
    return row;
  });
}

std::string EncodeReadyRow(const FinishedGroup& group) {
  return Dump(FinishedGroupToJson(group));
}

FinishedGroup DecodeReadyRow(const std::string& value) {
  return Decode<FinishedGroup>(value, &FinishedGroupFromJson);
}

std::string EncodeDoneRow(const DoneRow& row) {
  return Dump({{"spec", row.spec_digest}, {"batch", row.batch}});
}

DoneRow DecodeDoneRow(const std::string& value) {
  return Decode<DoneRow>(value, [](const Json& json) {
    return DoneRow{json.at("spec").get<std::string>(), json.at("batch").get<int64_t>()};
  });
}

std::optional<GroupRow> TryDecodeGroupRow(const TableRow& row) {
  return TryDecode(row, &DecodeGroupRow);
}

std::optional<FinishedGroup> TryDecodeReadyRow(const TableRow& row) {
  return TryDecode(row, &DecodeReadyRow);
}

std::optional<DoneRow> TryDecodeDoneRow(const TableRow& row) {
  return TryDecode(row, &DecodeDoneRow);
}

std::optional<DeliveryCursor> TryDecodeCursorRow(const TableRow& row) {
  return TryDecode(row, &DeliveryCursor::Decode);
}

std::string EncodeSamples(const std::string& group, const std::vector<FinishedSample>& samples) {
  std::string text;
  for (const FinishedSample& sample : samples) {
    Json versions = Json::array();
    for (const WeightVersionRun& run : sample.version_runs) {
      versions.push_back({{"version", run.version}, {"tokens", run.tokens}});
    }
    text += text.empty() ? "" : ",";
    text += Dump({{"group", group},
                  {"index", sample.index},
                  {"text", sample.text},
                  {"weight_versions", versions},
                  {"endpoint", sample.endpoint}});
  }
  return text;
}

}  // namespace quetzalridge
