#pragma once

#include <string>
#include <vector>

#include "coordination/table_store.h"
#include "transport/http_client.h"
#include "transport/platform_client_options.h"

namespace quetzalridge {

// The platform's table service over HTTP.
class HttpTableStore : public TableStore {
 public:
  HttpTableStore(HttpClient* client, PlatformClientOptions options);

  void Transact(TableTransaction transaction, TransactCallback callback) override;
  void Read(std::vector<std::string> keys, ReadCallback callback) override;
  void Scan(std::string prefix, std::string after, int limit, ReadCallback callback) override;
  void ListPartitions(std::string table, PartitionsCallback callback) override;

 private:
  HttpCall Call(const std::string& target, std::string body, Duration timeout) const;

  HttpClient* m_client;
  PlatformClientOptions m_options;
};

}  // namespace quetzalridge
