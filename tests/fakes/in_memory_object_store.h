#pragma once

#include <map>
#include <string>
#include <utility>

#include "coordination/object_store.h"
#include "tests/fakes/manual_scheduler.h"

namespace quetzalridge {

// An object store in memory that responds after `latency`.
class InMemoryObjectStore : public ObjectStore {
 public:
  explicit InMemoryObjectStore(ManualScheduler* scheduler) : m_scheduler(scheduler) {}

  bool unavailable = false;
  // Puts take effect, but report kUnavailable, as if their responses were lost.
  bool lose_responses = false;
  Duration latency = Duration::Milliseconds(1);

  const std::map<std::string, std::string>& objects() const { return m_objects; }

  void Put(std::string name, std::string data, Callback callback) override {
    ObjectResult result;
    if (!unavailable) {
      const auto [it, inserted] = m_objects.emplace(std::move(name), data);
      result.outcome = inserted || it->second == data ? ObjectOutcome::kOk : ObjectOutcome::kConflict;
      if (lose_responses) {
        result.outcome = ObjectOutcome::kUnavailable;
      }
    }
    Respond(result, std::move(callback));
  }

  void Get(std::string name, Callback callback) override {
    ObjectResult result;
    if (!unavailable) {
      const auto it = m_objects.find(name);
      result.outcome = it == m_objects.end() ? ObjectOutcome::kNotFound : ObjectOutcome::kOk;
      result.data = it == m_objects.end() ? "" : it->second;
    }
    Respond(result, std::move(callback));
  }

  void Delete(std::string name, Callback callback) override {
    ObjectResult result;
    if (!unavailable) {
      result.outcome = m_objects.erase(name) > 0 ? ObjectOutcome::kOk : ObjectOutcome::kNotFound;
    }
    Respond(result, std::move(callback));
  }

 private:
  void Respond(ObjectResult result, Callback callback) {
    m_scheduler->Post(latency, [result = std::move(result), callback = std::move(callback)] { callback(result); });
  }

  ManualScheduler* m_scheduler;
  std::map<std::string, std::string> m_objects;
};

}  // namespace quetzalridge
