#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/table_store.h"

namespace quetzalridge {

// A store that removes some checks from each transaction. Tests use it to switch a safety mechanism off.
class CheckFilterStore : public TableStore {
 public:
  // Returns true for a check that is to be removed from its transaction.
  using DropPredicate = std::function<bool(const TableTransaction&, const TableCheck&)>;

  CheckFilterStore(TableStore* store, DropPredicate should_drop)
      : m_store(store), m_should_drop(std::move(should_drop)) {}

  void Transact(TableTransaction transaction, TransactCallback callback) override {
    std::vector<TableCheck> kept;
    for (const TableCheck& check : transaction.checks) {
      if (!m_should_drop(transaction, check)) {
        kept.push_back(check);
      }
    }
    transaction.checks = kept;
    m_store->Transact(std::move(transaction), std::move(callback));
  }
  void Read(std::vector<std::string> keys, ReadCallback callback) override {
    m_store->Read(std::move(keys), std::move(callback));
  }
  void Scan(std::string prefix, std::string after, int limit, ReadCallback callback) override {
    m_store->Scan(std::move(prefix), std::move(after), limit, std::move(callback));
  }
  void ListPartitions(std::string table, PartitionsCallback callback) override {
    m_store->ListPartitions(std::move(table), std::move(callback));
  }

 private:
  TableStore* m_store;
  DropPredicate m_should_drop;
};

}  // namespace quetzalridge
