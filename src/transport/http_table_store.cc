#include "transport/http_table_store.h"

#include <utility>

#include "protocol/platform_message.h"

namespace quetzalridge {

namespace {

constexpr int kRowsPerPartitionScan = 1000;
// Larger than the rows of one scan.
constexpr size_t kMaxResponseBytes = 64 << 20;

}  // namespace

HttpTableStore::HttpTableStore(HttpClient* client, PlatformClientOptions options)
    : m_client(client), m_options(std::move(options)) {}

HttpCall HttpTableStore::Call(const std::string& target, std::string body, Duration timeout) const {
  HttpCall call;
  call.address = m_options.address;
  call.method = "POST";
  call.target = target;
  call.headers = {{"content-type", "application/json"}};
  call.body = std::move(body);
  call.connect_timeout = m_options.connect_timeout;
  call.head_timeout = timeout;
  call.idle_timeout = timeout;
  call.total_timeout = m_options.connect_timeout + timeout;
  return call;
}

void HttpTableStore::Transact(TableTransaction transaction, TransactCallback callback) {
  HttpCall call = Call("/table/transact", EncodeTransaction(transaction), m_options.request_timeout);
  m_client->Fetch(
      std::move(call),
      [callback = std::move(callback)](const HttpResponse& response) {
        TransactResult result;
        if (response.result.outcome == CallOutcome::kNotSent) {
          result.outcome = TransactOutcome::kUnavailable;
        } else if (response.result.outcome == CallOutcome::kWhole) {
          result = DecodeTransactResponse(response.status, response.body);
        } else {
          result.outcome = TransactOutcome::kUnknown;
        }
        callback(result);
      },
      kMaxResponseBytes);
}

void HttpTableStore::Read(std::vector<std::string> keys, ReadCallback callback) {
  HttpCall call = Call("/table/read", EncodeRead(keys), m_options.read_timeout);
  m_client->Fetch(
      std::move(call),
      [keys = std::move(keys), callback = std::move(callback)](const HttpResponse& response) {
        const bool whole = response.result.outcome == CallOutcome::kWhole;
        callback(whole ? AlignRowsWithKeys(DecodeRowsResponse(response.status, response.body), keys) : ReadResult{});
      },
      kMaxResponseBytes);
}

void HttpTableStore::Scan(std::string prefix, std::string after, int limit, ReadCallback callback) {
  HttpCall call = Call("/table/scan", EncodeScan(prefix, after, limit), m_options.read_timeout);
  m_client->Fetch(
      std::move(call),
      [callback = std::move(callback)](const HttpResponse& response) {
        const bool whole = response.result.outcome == CallOutcome::kWhole;
        callback(whole ? DecodeRowsResponse(response.status, response.body) : ReadResult{});
      },
      kMaxResponseBytes);
}

// This table service has no partitions; the keys hold them.
void HttpTableStore::ListPartitions(std::string table, PartitionsCallback callback) {
  Scan(table + "@", "", kRowsPerPartitionScan, [callback = std::move(callback)](const ReadResult& read) {
    PartitionsResult result;
    result.ok = read.ok;
    for (const TableRow& row : read.rows) {
      const std::string partition = SplitTableKey(row.key).partition;
      if (result.partitions.empty() || result.partitions.back() != partition) {
        result.partitions.push_back(partition);
      }
    }
    callback(result);
  });
}

}  // namespace quetzalridge
