#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/batch_items_codec.h"
#include "coordination/table_store.h"
#include "state/batch_job.h"
#include "state/event_transcript.h"

namespace quetzalridge {

// The process that runs a batch job. `instance` is empty when the last owner handed the job over to nobody.
struct BatchOwner {
  std::string instance;
  // Identifies the process of the instance; a restart changes it.
  std::string incarnation;
  // Grows with each change of the owner.
  int64_t epoch = 0;
  // The instance that handed the job over because it stops; it must not take the job over again meanwhile.
  std::string released_by;
};

// The items that have a stored result. The job's `tail` row has the latest of them, and of a long list the part before
// them is in rows of its own, which never change.
struct BatchResultList {
  // Indices into the items of the job, in the order of the positions of their results.
  std::vector<size_t> item_indices;
};

// The properties of a job that never change, without its items.
struct BatchHead {
  BatchSpec spec;
  size_t item_count = 0;
  // Rows that hold the items.
  size_t item_rows = 0;
  // Id of the submission whose item rows belong to the job. Two instances may store item rows of the same job at once,
  // and only one of them writes the head.
  std::string submission;
};

// Name of the table with the rows `head`, `owner`, `tail` and `end` of each job. A partition holds one job.
extern const char kBatchTable[];
// The names of the rows with earlier parts of a BatchResultList begin with it.
extern const char kResultListPartPrefix[];

std::string BatchPrefix(const std::string& job);
std::string BatchHeadKey(const std::string& job);
std::string BatchOwnerKey(const std::string& job);
// Key of the `tail` row, which every change of the BatchResultList writes.
std::string BatchResultListKey(const std::string& job);
// Key of a row with an earlier part of the BatchResultList.
std::string BatchResultListPartKey(const std::string& job, size_t number);
// Key of a row that exists once a caller has ended the job.
std::string BatchEndKey(const std::string& job);
std::string BatchItemsPrefix(const std::string& job, const std::string& submission);
std::string BatchItemsKey(const std::string& job, const std::string& submission, size_t number);
std::string BatchResultsPrefix(const std::string& job);
// Rows are sorted by position and part.
std::string BatchResultKey(const std::string& job, size_t position, size_t part);
// A key that is sorted before all rows of the position and after all rows of earlier positions.
std::string KeyBeforeBatchResult(const std::string& job, size_t position);
// Rows that hold the complete texts of items whose score is missing. They share the partition of the job's other rows.
std::string BatchTextsPrefix(const std::string& job);
std::string BatchTextKey(const std::string& job, const std::string& item, size_t part);
// Returns the id of the job whose rows are in a partition of kBatchTable.
std::string JobIdOfPartition(const std::string& partition);

std::string EncodeBatchHead(const BatchHead& head);
std::optional<BatchHead> DecodeBatchHead(const std::string& value);
std::string EncodeBatchOwner(const BatchOwner& owner);
std::optional<BatchOwner> DecodeBatchOwner(const std::string& value);
// The writes that store a list of which the first `stored_before` entries are stored.
std::vector<TableWrite> BatchResultListWrites(const std::string& job, const BatchResultList& result_list,
                                              size_t stored_before);
// Returns the list from the value of its `tail` row and the list of its earlier parts; `known` may have more entries
// than those. Returns nothing if the value is malformed or a part is missing.
std::optional<BatchResultList> DecodeBatchResultList(const std::string& tail, const BatchResultList& known);
std::optional<std::vector<size_t>> DecodeBatchResultListPart(const std::string& value);

// Splits an encoded value into row values of at most `max_bytes` each.
std::vector<std::string> SplitValue(const std::string& value, size_t max_bytes);
std::string EncodeBatchResult(const BatchResult& result);
std::optional<BatchResult> DecodeBatchResult(const std::string& value);

// Rows that hold the partial texts of unfinished items, by model. Another owner of the job, or a later job with the
// same items, continues the generation from them. A newer text replaces an older one.
std::string PartialTextPrefix(const std::string& model);
std::string PartialTextKey(const std::string& model, const std::string& item, size_t part);
// Returns the row values of one partial text. Each contains `transaction_id`, so that parts of different writes are not
// joined.
std::vector<std::string> EncodePartialText(const PartialText& partial, const std::string& transaction_id,
                                           size_t max_bytes);
// Returns the texts whose parts are all among the rows of a scan.
std::vector<PartialText> DecodePartialTextRows(const std::vector<TableRow>& rows);

// Returns the results in the rows of a scan, in the order of their positions. The last result is left out if the scan
// did not return all of its parts. Returns nothing if a row is malformed.
std::optional<std::vector<BatchResult>> DecodeBatchResultRows(const std::vector<TableRow>& rows);

}  // namespace quetzalridge
