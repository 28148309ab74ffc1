#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/table_store.h"
#include "state/batch_job.h"
#include "state/event_transcript.h"

namespace quetzalridge {

// The instance that runs a batch job. Empty when the last one gave it up.
struct BatchOwner {
  std::string instance;
  std::string incarnation;
  int64_t epoch = 0;
  // The instance that gave the job up; it takes no jobs while it stops.
  std::string released_by;
};

// The items that have a stored result, in the order of their positions.
struct BatchResultList {
  // Indices into the items of the job.
  std::vector<size_t> item_indices;
};

// The fixed facts of a job without its items.
struct BatchHead {
  BatchSpec spec;
  size_t item_count = 0;
  // Rows that hold the items.
  size_t item_rows = 0;
  // Names the submission whose item rows count, since two instances may write the same job at once.
  std::string submission;
};

// Table of the job's head, owner, tail and end; its partitions are the jobs.
extern const char kBatchTable[];

std::string BatchPrefix(const std::string& job);
std::string BatchHeadKey(const std::string& job);
std::string BatchOwnerKey(const std::string& job);
std::string BatchResultListKey(const std::string& job);
// The row exists once a caller has ended the job.
std::string BatchEndKey(const std::string& job);
std::string BatchItemsPrefix(const std::string& job, const std::string& submission);
std::string BatchItemsKey(const std::string& job, const std::string& submission, size_t number);
std::string BatchResultsPrefix(const std::string& job);
// Rows sort by position and part.
std::string BatchResultKey(const std::string& job, size_t position, size_t part);
// Sorts before each row of the position and after those of earlier ones.
std::string KeyBeforeBatchResult(const std::string& job, size_t position);
// The id of the job of a partition.
std::string JobIdOfPartition(const std::string& partition);

std::string EncodeBatchHead(const BatchHead& head);
std::optional<BatchHead> DecodeBatchHead(const std::string& value);
std::string EncodeBatchOwner(const BatchOwner& owner);
std::optional<BatchOwner> DecodeBatchOwner(const std::string& value);
std::string EncodeBatchResultList(const BatchResultList& result_list);
std::optional<BatchResultList> DecodeBatchResultList(const std::string& value);

// Values of at most `max_bytes` each that make up the items or a result together.
std::vector<std::string> SplitValue(const std::string& value, size_t max_bytes);
std::string EncodeBatchItems(const std::vector<BatchItem>& items);
std::optional<std::vector<BatchItem>> DecodeBatchItems(const std::string& value);
std::string EncodeBatchResult(const BatchResult& result);
std::optional<BatchResult> DecodeBatchResult(const std::string& value);

// Texts of unfinished items, by model: another owner of the job, or a later job of the trainer with the same items,
// goes on after them. A newer text replaces an older one.
std::string PartialTextPrefix(const std::string& model);
std::string PartialTextKey(const std::string& model, const std::string& item, size_t part);
// The values of the rows of one text. `write` names the transaction, so that parts of different writes are told apart.
std::vector<std::string> EncodePartialText(const PartialText& partial, const std::string& transaction_id,
                                           size_t max_bytes);
// The whole texts in rows, as a scan returned them.
std::vector<PartialText> DecodePartialTextRows(const std::vector<TableRow>& rows);

// The results in rows of consecutive positions, as a scan returned them; an unfinished last one is left out. Nothing
// when a row is malformed.
std::optional<std::vector<BatchResult>> DecodeBatchResultRows(const std::vector<TableRow>& rows);

}  // namespace quetzalridge
