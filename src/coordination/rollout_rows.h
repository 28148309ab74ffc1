#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/table_store.h"
#include "state/delivery_cursor.h"
#include "state/sample_group.h"

namespace quetzalridge {

enum class GroupState {
  // Its owner runs it.
  kRunning,
  // Its samples are stored; it waits for a batch or is part of the open one.
  kFinished,
};

// A transaction has at most 128 checks and writes; forming and confirming a batch need two for each group, and two for
// the cursor.
constexpr size_t kMaxGroupsPerBatch = 63;

// Row rollout/<queue>/group/<id>.
struct GroupRow {
  SampleGroupSpec spec;
  GroupState state = GroupState::kRunning;
  // Empty when nobody owns it and any instance may claim it.
  std::string owner;
  std::string incarnation;
  // Grows each time the group is run again from the start.
  int64_t attempt = 1;
};

// Keys and values of the rows of one queue.
class RolloutRows {
 public:
  explicit RolloutRows(const std::string& queue) : m_prefix("rollout/" + queue + "/") {}

  std::string CursorKey() const { return m_prefix + "cursor"; }
  std::string GroupPrefix() const { return m_prefix + "group/"; }
  std::string GroupKey(const std::string& id) const { return GroupPrefix() + id; }
  std::string ReadyPrefix() const { return m_prefix + "ready/"; }
  std::string ReadyKey(const std::string& id) const { return ReadyPrefix() + id; }
  // Delivered groups, kept so that a repeated submission does not run them again.
  std::string DonePrefix() const { return m_prefix + "done/"; }
  std::string DoneKey(const std::string& id) const { return DonePrefix() + id; }
  // Written together with each deletion of done rows, because no transaction only deletes rows.
  std::string CleanupKey() const { return m_prefix + "cleanup"; }
  std::string ObjectName(const std::string& group, int64_t attempt, const std::string& incarnation) const {
    return m_prefix + group + "/" + std::to_string(attempt) + "-" + incarnation;
  }

 private:
  std::string m_prefix;
};

// A row with this key names an object that no other row refers to any more; the transaction that drops the last
// reference writes it, and the cleanup duty deletes both.
extern const char kAbandonedObjectPrefix[];
std::string AbandonedObjectKey(const std::string& object);

struct DoneRow {
  std::string spec_digest;
  // The batch that delivered the group.
  int64_t batch = 0;
};

std::string EncodeGroupRow(const GroupRow& row);
std::string EncodeReadyRow(const FinishedGroup& group);
std::string EncodeDoneRow(const DoneRow& row);
// The decoders throw Error(kInternal) on malformed rows.
GroupRow DecodeGroupRow(const std::string& value);
FinishedGroup DecodeReadyRow(const std::string& value);
DoneRow DecodeDoneRow(const std::string& value);

// The same for rows as read; a malformed row is logged and gives nothing.
std::optional<GroupRow> TryDecodeGroupRow(const TableRow& row);
std::optional<FinishedGroup> TryDecodeReadyRow(const TableRow& row);
std::optional<DoneRow> TryDecodeDoneRow(const TableRow& row);
std::optional<DeliveryCursor> TryDecodeCursorRow(const TableRow& row);

// The samples of one group as comma-separated JSON objects, which are joined into the body of a batch unchanged.
std::string EncodeSamples(const std::string& group, const std::vector<FinishedSample>& samples);

}  // namespace quetzalridge
