#include "state/event_transcript.h"

#include <utility>

namespace quetzalridge {

void EventTranscript::BeginRun(std::optional<int64_t> model_version, const std::string& service,
                               const std::string& software_version) {
  if (!m_last_id.has_value()) {
    Clear();
  }
  m_current_version = model_version.value_or(0);
  if (empty()) {
    m_service = service;
    m_software_version = software_version;
  }
}

EventTranscript::AppendResult EventTranscript::Append(std::optional<int64_t> id, const std::string& data,
                                                      std::optional<int64_t> model_version) {
  if (model_version.has_value()) {
    m_current_version = *model_version;
  }
  if (m_last_id.has_value()) {
    if (!id.has_value() || *id > *m_last_id + 1) {
      return AppendResult::kGap;
    }
    if (*id <= *m_last_id) {
      return AppendResult::kDuplicate;
    }
  }
  if (m_text.size() + data.size() >= kMaxBytes || m_versions.size() >= kMaxVersions) {
    return AppendResult::kTooLong;
  }
  if (m_count > 0) {
    m_text.push_back('\n');
  }
  m_text += data;
  ++m_count;
  m_last_id = id;
  m_versions.insert(m_current_version);
  return AppendResult::kAdded;
}

std::optional<PartialText> EventTranscript::ToPartialText() const {
  if (m_count == 0 || !m_last_id.has_value()) {
    return std::nullopt;
  }
  PartialText partial;
  partial.text = m_text;
  partial.event_count = m_count;
  partial.last_id = *m_last_id;
  partial.model_versions.assign(m_versions.begin(), m_versions.end());
  partial.software_version = m_software_version;
  partial.service = m_service;
  return partial;
}

void EventTranscript::Restore(const PartialText& partial) {
  m_text = partial.text;
  m_count = partial.event_count;
  m_last_id = partial.last_id;
  m_software_version = partial.software_version;
  m_service = partial.service;
  m_versions = std::set<int64_t>(partial.model_versions.begin(), partial.model_versions.end());
}

// Frees the text: a string that is assigned an empty one keeps its memory.
void EventTranscript::Clear() {
  EventTranscript empty;
  std::swap(*this, empty);
}

}  // namespace quetzalridge
