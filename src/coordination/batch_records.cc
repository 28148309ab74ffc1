#include "coordination/batch_records.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

namespace quetzalridge {

// The serialization library finds these functions by argument-dependent lookup.
template <typename Archive>
void serialize(Archive& archive, BatchResult& result) {  // NOLINT(google-runtime-references)
  archive(result.item, result.state, result.text, result.model_versions);
}

// Value of one row of a partial text.
struct PartialTextPart {
  std::string transaction_id;
  std::string bytes;
};

template <typename Archive>
void serialize(Archive& archive, PartialTextPart& part) {  // NOLINT(google-runtime-references)
  archive(part.transaction_id, part.bytes);
}

template <typename Archive>
void serialize(Archive& archive, PartialText& partial) {  // NOLINT(google-runtime-references)
  archive(partial.item, partial.text, partial.event_count, partial.last_id, partial.model_versions,
          partial.stored_at_ms);
}

namespace {

using Json = nlohmann::json;

constexpr int kKeyBytes = 32;
// A part of a list of results with indices of six digits fits into a row of 48,000 bytes.
constexpr size_t kResultsPerListPart = 6000;

// Escapes an id that comes from a caller, since a slash or an at sign would be taken for a separator of the key.
std::string EscapeKeyPart(const std::string& job) {
  std::string escaped;
  for (const char c : job) {
    switch (c) {
      case '%':
        escaped += "%25";
        break;
      case '/':
        escaped += "%2f";
        break;
      case '@':
        escaped += "%40";
        break;
      default:
        escaped.push_back(c);
    }
  }
  return escaped;
}

std::string PartitionPrefix(const std::string& table, const std::string& job) {
  return table + "@" + EscapeKeyPart(job) + "/";
}

template <typename Value>
std::string EncodeBinary(const Value& value) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(value);
  return stream.str();
}

template <typename Value>
std::optional<Value> DecodeBinary(const std::string& bytes) {
  try {
    std::istringstream stream(bytes);
    cereal::PortableBinaryInputArchive archive(stream);
    Value value;
    archive(value);
    return value;
  } catch (const std::exception&) {
    // The caller logs the malformed row.
    return std::nullopt;
  }
}

// Appends fields to a value in a form that earlier versions of the program ignore.
template <typename Value, typename... Fields>
std::string EncodeWithFields(const Value& value, const Fields&... fields) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(value, fields...);
  return stream.str();
}

// State of a stored result that is followed by its score. A scan may return only the first parts of a result; without
// this state, a result whose last part holds only the score would be taken for one without a score.
constexpr auto kCompletedWithScore = static_cast<BatchResultState>(2);

// Leaves those of `fields` unchanged without which the value was encoded.
template <typename Value, typename... Fields>
std::optional<Value> DecodeWithFields(const std::string& bytes, Fields*... fields) {
  try {
    std::istringstream stream(bytes);
    cereal::PortableBinaryInputArchive archive(stream);
    Value value;
    archive(value);
    const auto read = [&stream, &archive](auto* field) {
      if (stream.peek() != std::istringstream::traits_type::eof()) {
        archive(*field);
      }
    };
    (read(fields), ...);
    return value;
  } catch (const std::exception&) {
    // The caller logs the malformed row.
    return std::nullopt;
  }
}

}  // namespace

const char kBatchTable[] = "batch";
const char kResultListPartPrefix[] = "list.";

std::string BatchPrefix(const std::string& job) {
  return PartitionPrefix(kBatchTable, job);
}

std::string BatchHeadKey(const std::string& job) {
  return BatchPrefix(job) + "head";
}

std::string BatchOwnerKey(const std::string& job) {
  return BatchPrefix(job) + "owner";
}

std::string BatchResultListKey(const std::string& job) {
  return BatchPrefix(job) + "tail";
}

std::string BatchResultListPartKey(const std::string& job, size_t number) {
  char text[kKeyBytes];
  std::snprintf(text, sizeof(text), "%s%03zu", kResultListPartPrefix, number);
  return BatchPrefix(job) + text;
}

std::string BatchEndKey(const std::string& job) {
  return BatchPrefix(job) + "end";
}

std::string BatchItemsPrefix(const std::string& job, const std::string& submission) {
  return PartitionPrefix("batch-items", job) + submission + ".";
}

std::string BatchItemsKey(const std::string& job, const std::string& submission, size_t number) {
  char text[kKeyBytes];
  std::snprintf(text, sizeof(text), "%05zu", number);
  return BatchItemsPrefix(job, submission) + text;
}

std::string BatchResultsPrefix(const std::string& job) {
  return PartitionPrefix("batch-results", job);
}

std::string BatchResultKey(const std::string& job, size_t position, size_t part) {
  char text[kKeyBytes];
  std::snprintf(text, sizeof(text), "%07zu.%03zu", position, part);
  return BatchResultsPrefix(job) + text;
}

std::string KeyBeforeBatchResult(const std::string& job, size_t position) {
  char text[kKeyBytes];
  std::snprintf(text, sizeof(text), "%07zu", position);
  return BatchResultsPrefix(job) + text;
}

std::string BatchTextsPrefix(const std::string& job) {
  return PartitionPrefix("batch-texts", job);
}

std::string BatchTextKey(const std::string& job, const std::string& item, size_t part) {
  char text[kKeyBytes];
  std::snprintf(text, sizeof(text), ".%03zu", part);
  return BatchTextsPrefix(job) + EscapeKeyPart(item) + text;
}

std::string JobIdOfPartition(const std::string& partition) {
  std::string job;
  for (size_t i = 0; i < partition.size(); ++i) {
    if (partition[i] != '%' || i + 2 >= partition.size()) {
      job.push_back(partition[i]);
      continue;
    }
    job.push_back(static_cast<char>(std::stoi(partition.substr(i + 1, 2), nullptr, 16)));
    i += 2;
  }
  return job;
}

std::string EncodeBatchHead(const BatchHead& head) {
  return Json{{"id", head.spec.id},
              {"workspace", head.spec.workspace},
              {"host", head.spec.host},
              {"path", head.spec.path},
              {"model", head.spec.model},
              {"oldest_version", head.spec.oldest_version},
              {"newest_version", head.spec.newest_version},
              {"desired_groups", head.spec.desired_groups},
              {"submitted_at_ms", head.spec.submitted_at_ms},
              {"item_count", head.item_count},
              {"item_rows", head.item_rows},
              {"submission", head.submission}}
      .dump();
}

std::optional<BatchHead> DecodeBatchHead(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    BatchHead head;
    head.spec.id = json.at("id").get<std::string>();
    head.spec.workspace = json.at("workspace").get<std::string>();
    head.spec.host = json.at("host").get<std::string>();
    head.spec.path = json.at("path").get<std::string>();
    head.spec.model = json.at("model").get<std::string>();
    head.spec.oldest_version = json.at("oldest_version").get<int64_t>();
    head.spec.newest_version = json.at("newest_version").get<int64_t>();
    head.spec.desired_groups = json.at("desired_groups").get<int>();
    head.spec.submitted_at_ms = json.at("submitted_at_ms").get<int64_t>();
    head.item_count = json.at("item_count").get<size_t>();
    head.item_rows = json.at("item_rows").get<size_t>();
    head.submission = json.at("submission").get<std::string>();
    return head;
  } catch (const Json::exception&) {
    // The caller logs the malformed row.
    return std::nullopt;
  }
}

std::string EncodeBatchOwner(const BatchOwner& owner) {
  return Json{{"instance", owner.instance},
              {"incarnation", owner.incarnation},
              {"epoch", owner.epoch},
              {"released_by", owner.released_by}}
      .dump();
}

std::optional<BatchOwner> DecodeBatchOwner(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    return BatchOwner{json.at("instance").get<std::string>(), json.at("incarnation").get<std::string>(),
                      json.at("epoch").get<int64_t>(), json.value("released_by", "")};
  } catch (const Json::exception&) {
    // The caller logs the malformed row.
    return std::nullopt;
  }
}

// A list without earlier parts is stored as a JSON array, as earlier versions of the program store all lists. One with
// earlier parts is an object, which they reject, so that they do not take the job over.
std::vector<TableWrite> BatchResultListWrites(const std::string& job, const BatchResultList& result_list,
                                              size_t stored_before) {
  const std::vector<size_t>& indices = result_list.item_indices;
  const auto entries = [&indices](size_t begin, size_t end) {
    return Json(std::vector<size_t>(indices.begin() + static_cast<std::ptrdiff_t>(begin),
                                    indices.begin() + static_cast<std::ptrdiff_t>(end)));
  };
  std::vector<TableWrite> writes;
  const size_t parts = indices.size() / kResultsPerListPart;
  for (size_t part = stored_before / kResultsPerListPart; part < parts; ++part) {
    const size_t begin = part * kResultsPerListPart;
    writes.push_back({BatchResultListPartKey(job, part), entries(begin, begin + kResultsPerListPart).dump()});
  }
  const Json latest = entries(parts * kResultsPerListPart, indices.size());
  writes.push_back(
      {BatchResultListKey(job), parts == 0 ? latest.dump() : Json{{"parts", parts}, {"latest", latest}}.dump()});
  return writes;
}

std::optional<BatchResultList> DecodeBatchResultList(const std::string& tail, const BatchResultList& known) {
  try {
    const Json json = Json::parse(tail);
    const bool has_parts = json.is_object();
    const size_t in_parts = has_parts ? json.at("parts").get<size_t>() * kResultsPerListPart : 0;
    if (in_parts > known.item_indices.size()) {
      return std::nullopt;
    }
    BatchResultList list;
    list.item_indices.assign(known.item_indices.begin(),
                             known.item_indices.begin() + static_cast<std::ptrdiff_t>(in_parts));
    const auto latest = (has_parts ? json.at("latest") : json).get<std::vector<size_t>>();
    list.item_indices.insert(list.item_indices.end(), latest.begin(), latest.end());
    return list;
  } catch (const Json::exception&) {
    // The caller logs the malformed row.
    return std::nullopt;
  }
}

std::optional<std::vector<size_t>> DecodeBatchResultListPart(const std::string& value) {
  try {
    return Json::parse(value).get<std::vector<size_t>>();
  } catch (const Json::exception&) {
    // The caller logs the malformed row.
    return std::nullopt;
  }
}

std::vector<std::string> SplitValue(const std::string& value, size_t max_bytes) {
  std::vector<std::string> parts;
  for (size_t begin = 0; begin < value.size() || parts.empty(); begin += max_bytes) {
    parts.push_back(value.substr(begin, max_bytes));
  }
  return parts;
}

std::string EncodeBatchResult(const BatchResult& result) {
  if (result.score.empty()) {
    return EncodeBinary(result);
  }
  BatchResult stored = result;
  stored.state = kCompletedWithScore;
  return EncodeWithFields(stored, result.score);
}

std::optional<BatchResult> DecodeBatchResult(const std::string& value) {
  std::string score;
  std::optional<BatchResult> result = DecodeWithFields<BatchResult>(value, &score);
  if (result.has_value() && result->state == kCompletedWithScore) {
    if (score.empty()) {
      return std::nullopt;
    }
    result->state = BatchResultState::kCompleted;
    result->score = std::move(score);
  }
  return result;
}

// The parts of a result end where the rows of the next position begin. All parts of a result before its last one have
// the same size. The last result may lack parts only if the scan, which returns a limited number of rows, left out
// rows.
std::optional<std::vector<BatchResult>> DecodeBatchResultRows(const std::vector<TableRow>& rows) {
  std::vector<BatchResult> results;
  std::string value;
  for (size_t i = 0; i < rows.size(); ++i) {
    value += rows[i].value;
    const std::string& key = rows[i].key;
    const std::string position = key.substr(0, key.rfind('.'));
    const bool continues = i + 1 < rows.size() && rows[i + 1].key.compare(0, position.size(), position) == 0;
    if (continues) {
      continue;
    }
    std::optional<BatchResult> result = DecodeBatchResult(value);
    value.clear();
    if (!result.has_value()) {
      return i + 1 == rows.size() && !results.empty() ? std::optional<std::vector<BatchResult>>(std::move(results))
                                                      : std::nullopt;
    }
    results.push_back(std::move(*result));
  }
  return results;
}

std::string PartialTextPrefix(const std::string& model) {
  return PartitionPrefix("batch-partial", model);
}

std::string PartialTextKey(const std::string& model, const std::string& item, size_t part) {
  char text[kKeyBytes];
  std::snprintf(text, sizeof(text), ".%03zu", part);
  return PartialTextPrefix(model) + EscapeKeyPart(item) + text;
}

std::vector<std::string> EncodePartialText(const PartialText& partial, const std::string& transaction_id,
                                           size_t max_bytes) {
  std::vector<std::string> values;
  const std::string value = EncodeWithFields(partial, partial.complete, partial.software_version, partial.service);
  for (const std::string& part : SplitValue(value, max_bytes)) {
    values.push_back(EncodeBinary(PartialTextPart{transaction_id, part}));
  }
  return values;
}

// A text is left out, and generated again, if parts of it are missing or come from different writes.
std::vector<PartialText> DecodePartialTextRows(const std::vector<TableRow>& rows) {
  std::vector<PartialText> texts;
  std::string bytes;
  std::string transaction_id;
  bool complete = true;
  for (size_t i = 0; i < rows.size(); ++i) {
    const std::optional<PartialTextPart> part = DecodeBinary<PartialTextPart>(rows[i].value);
    complete = complete && part.has_value() && (bytes.empty() || part->transaction_id == transaction_id);
    if (complete) {
      bytes += part->bytes;
      transaction_id = part->transaction_id;
    }
    const std::string text_key = rows[i].key.substr(0, rows[i].key.rfind('.') + 1);
    if (i + 1 < rows.size() && rows[i + 1].key.compare(0, text_key.size(), text_key) == 0) {
      continue;
    }
    bool text_complete = false;
    std::string software_version;
    std::string service;
    std::optional<PartialText> partial =
        complete ? DecodeWithFields<PartialText>(bytes, &text_complete, &software_version, &service) : std::nullopt;
    if (partial.has_value()) {
      partial->complete = text_complete;
      partial->software_version = std::move(software_version);
      partial->service = std::move(service);
      texts.push_back(std::move(*partial));
    }
    bytes.clear();
    complete = true;
  }
  return texts;
}

}  // namespace quetzalridge
