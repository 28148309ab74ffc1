#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace quetzalridge {

// The transactional table: all writes of a transaction apply if all checks hold.
class Table {
 public:
  // The status and body of the answer to POST /table/transact.
  int Transact(const nlohmann::json& transaction, nlohmann::json* answer);
  nlohmann::json Read(const nlohmann::json& query) const;
  nlohmann::json Scan(const nlohmann::json& query) const;

 private:
  struct Row {
    int64_t version = 0;
    std::string value;
    std::string transaction_id;
  };

  nlohmann::json Describe(const std::string& key) const;

  std::map<std::string, Row> m_rows;
  int64_t m_revision = 0;
};

}  // namespace quetzalridge
