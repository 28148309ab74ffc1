#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/table_store.h"
#include "state/delivery_cursor.h"
#include "state/sample_group.h"

namespace quetzalridge {

enum class GroupState {
  // The owner runs the group.
  kRunning,
  // The samples are stored. The group waits for a batch or is part of the open batch.
  kFinished,
};

// A transaction has at most 128 checks and writes. Forming or confirming a batch needs two of them for each group, and
// two for the cursor.
constexpr size_t kMaxGroupsPerBatch = 63;

// The row rollout/<queue>/group/<id> of one sample group.
struct GroupRow {
  SampleGroupSpec spec;
  GroupState state = GroupState::kRunning;
  // The instance that runs the group, and its incarnation. Both are empty if any instance may claim the group.
  std::string owner;
  std::string incarnation;
  // Increases each time that the group is run again from the start.
  int64_t attempt = 1;
};

// The keys of the rows and the names of the objects of one queue.
class RolloutRows {
 public:
  explicit RolloutRows(const std::string& queue) : m_prefix("rollout/" + queue + "/") {}

  std::string CursorKey() const { return m_prefix + "cursor"; }
  std::string GroupPrefix() const { return m_prefix + "group/"; }
  std::string GroupKey(const std::string& id) const { return GroupPrefix() + id; }
  std::string ReadyPrefix() const { return m_prefix + "ready/"; }
  std::string ReadyKey(const std::string& id) const { return ReadyPrefix() + id; }
  // Rows of delivered groups. They are kept so that a repeated submission does not run the groups again.
  std::string DonePrefix() const { return m_prefix + "done/"; }
  std::string DoneKey(const std::string& id) const { return DonePrefix() + id; }
  // A row that is written together with each deletion of done rows, because a transaction must not consist of
  // deletions only.
  std::string CleanupKey() const { return m_prefix + "cleanup"; }
  std::string ObjectName(const std::string& group, int64_t attempt, const std::string& incarnation) const {
    return m_prefix + group + "/" + std::to_string(attempt) + "-" + incarnation;
  }

 private:
  std::string m_prefix;
};

// A row abandoned/<object> names an object that no other row refers to any more. The transaction that removes the last
// reference to the object writes this row, and the cleanup duty deletes the object and the row.
extern const char kAbandonedObjectPrefix[];
std::string AbandonedObjectKey(const std::string& object);

// The row of a delivered group.
struct DoneRow {
  std::string spec_digest;
  // The batch that delivered the group.
  int64_t batch = 0;
};

std::string EncodeGroupRow(const GroupRow& row);
std::string EncodeReadyRow(const FinishedGroup& group);
std::string EncodeDoneRow(const DoneRow& row);
// The Decode functions throw Error(kInternal) if the value is malformed.
GroupRow DecodeGroupRow(const std::string& value);
FinishedGroup DecodeReadyRow(const std::string& value);
DoneRow DecodeDoneRow(const std::string& value);

// The same for rows as they were read from the table. A malformed row is logged, and nothing is returned.
std::optional<GroupRow> TryDecodeGroupRow(const TableRow& row);
std::optional<FinishedGroup> TryDecodeReadyRow(const TableRow& row);
std::optional<DoneRow> TryDecodeDoneRow(const TableRow& row);
std::optional<DeliveryCursor> TryDecodeCursorRow(const TableRow& row);

// Returns the samples of one group as comma-separated JSON objects. The body of a batch joins these texts unchanged.
std::string EncodeSamples(const std::string& group, const std::vector<FinishedSample>& samples);

}  // namespace quetzalridge
