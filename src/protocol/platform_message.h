#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "coordination/platform.h"
#include "coordination/table_store.h"

namespace quetzalridge {

std::string_view EndpointKindName(EndpointKind kind);

std::string EncodeTransaction(const TableTransaction& transaction);
// An answer that cannot be understood leaves the outcome unknown.
TransactResult DecodeTransactResponse(int status, const std::string& body);

std::string EncodeRead(const std::vector<std::string>& keys);
std::string EncodeScan(const std::string& prefix, const std::string& after, int limit);
// The rows of a read or a scan; not ok when the answer cannot be understood.
ReadResult DecodeRowsResponse(int status, const std::string& body);
// Puts the rows in the order of `keys`, with version 0 for absent rows.
ReadResult AlignRowsWithKeys(const ReadResult& result, const std::vector<std::string>& keys);

InstanceListResult DecodeInstanceList(int status, const std::string& body);

std::string EncodeOrder(const EndpointOrder& order);
OrderResult DecodeOrderResponse(int status, const std::string& body);

std::string EncodeUsageReport(const UsageReport& report);
ReportOutcome DecodeUsageResponse(int status);

WeightVersionResult DecodeWeightVersion(int status, const std::string& body);

}  // namespace quetzalridge
