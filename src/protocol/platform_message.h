#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "coordination/platform.h"
#include "coordination/table_store.h"

namespace quetzalridge {

std::string_view EndpointKindName(EndpointKind kind);

// The functions below encode requests to the platform as JSON, and decode the status and body of its responses.

std::string EncodeTransaction(const TableTransaction& transaction);
// The outcome is kUnknown when the response is malformed or has an unexpected status.
TransactResult DecodeTransactResponse(int status, const std::string& body);

std::string EncodeRead(const std::vector<std::string>& keys);
std::string EncodeScan(const std::string& prefix, const std::string& after, int limit);
// Decodes the rows of a read or a scan. The result is not ok when the response has an error status or is malformed.
ReadResult DecodeRowsResponse(int status, const std::string& body);
// Returns one row for each key, in the order of `keys`. The row has version 0 if `result` has no row with that key.
ReadResult AlignRowsWithKeys(const ReadResult& result, const std::vector<std::string>& keys);

InstanceListResult DecodeInstanceList(int status, const std::string& body);

std::string EncodeOrder(const EndpointOrder& order);
OrderResult DecodeOrderResponse(int status, const std::string& body);

std::string EncodeUsageReport(const UsageReport& report);
ReportOutcome DecodeUsageResponse(int status);

WeightVersionResult DecodeWeightVersion(int status, const std::string& body);

}  // namespace quetzalridge
