#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalridge {

// What was generated of an item, in a form that can be stored.
struct PartialText {
  std::string item;
  std::string text;
  int64_t event_count = 0;
  // Of the last event.
  int64_t last_id = 0;
  std::vector<int64_t> model_versions;
  // Unix time at which it was stored.
  int64_t stored_at_ms = 0;
};

// The events of one generation, gathered from one or more runs.
class EventTranscript {
 public:
  enum class AppendResult {
    kAdded,
    // Held already from an earlier run.
    kDuplicate,
    // An event between the last one and this is missing.
    kGap,
  };

  // A run begins that goes on after the last event held.
  void BeginRun(std::optional<int64_t> model_version);
  AppendResult Append(std::optional<int64_t> id, const std::string& data, std::optional<int64_t> model_version);
  void Clear();
  // Nothing for a transcript without events, or whose events have no ids to go on after.
  std::optional<PartialText> ToPartialText() const;
  void Restore(const PartialText& partial);

  bool empty() const { return m_count == 0; }
  int64_t event_count() const { return m_count; }
  // The event after which another run goes on; absent before the first event.
  std::optional<int64_t> last_id() const { return m_last_id; }
  // The data of all events, separated by line feeds.
  const std::string& text() const { return m_text; }
  // Versions of the model that generated an event. An event of an unknown version counts as version 0.
  const std::set<int64_t>& model_versions() const { return m_versions; }
  // No event comes from a version below `oldest`.
  bool AllVersionsAtLeast(int64_t oldest) const { return m_versions.empty() || *m_versions.begin() >= oldest; }

 private:
  std::string m_text;
  int64_t m_count = 0;
  std::optional<int64_t> m_last_id;
  std::set<int64_t> m_versions;
  int64_t m_current_version = 0;
};

}  // namespace quetzalridge
