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
TransactResult DecodeTransactAnswer(int status, const std::string& body);

std::string EncodeRead(const std::vector<std::string>& keys);
std::string EncodeScan(const std::string& prefix, const std::string& after, int limit);
// The rows of a read or a scan; not ok when the answer cannot be understood.
ReadResult DecodeRows(int status, const std::string& body);
// Puts the rows in the order of `keys`, with version 0 for absent rows.
ReadResult OrderRows(const ReadResult& result, const std::vector<std::string>& keys);

InstanceListResult DecodeInstanceList(int status, const std::string& body);

std::string EncodeOrder(const EndpointOrder& order);
OrderResult DecodeOrderAnswer(int status, const std::string& body);

std::string EncodeUsageReport(const UsageReport& report);
ReportOutcome DecodeUsageAnswer(int status);

WeightVersionResult DecodeWeightVersion(int status, const std::string& body);

}  // namespace quetzalridge
