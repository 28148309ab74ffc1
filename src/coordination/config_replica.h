#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "state/config_document.h"

namespace quetzalridge {

// States that `version` was the head at the time `at`, so this version contains every change committed before that
// time.
struct HeadConfirmation {
  int64_t version = 0;
  TimePoint at;
};

// The local copy of the configuration on one instance: applies changes in order of their versions, keeps the newest
// ones for peers, and records when the applied version was last confirmed as the head.
class ConfigReplica {
 public:
  using Listener = std::function<void(const ConfigChange&)>;

  const ConfigDocument& document() const { return m_document; }
  int64_t version() const { return m_document.version(); }
  // The highest version that this instance has learned of, from the store or from peers, applied or not.
  int64_t newest_known_version() const { return m_newest_known_version; }
  void AddListener(Listener listener) { m_listeners.push_back(std::move(listener)); }

  // Applies the change and returns true if its version follows the applied one. Returns false when it does not, or when
  // the document rejects the change.
  bool Apply(const ConfigChange& change);
  // Replaces the document by a newer one and passes the differences to the listeners as changes. Ignores a document
  // that is not newer.
  void Replace(ConfigDocument document);

  // Records that a version was the head. The confirmation takes effect once that version is applied.
  void Confirm(const HeadConfirmation& confirmation);
  // The newest confirmation whose version, or a later one, is applied.
  std::optional<HeadConfirmation> confirmation() const { return m_confirmation; }

  // The changes after `version`, in order. Empty when there are none, or when some of them are no longer kept.
  std::vector<ConfigChange> ChangesSince(int64_t version) const;

 private:
  void Notify(const ConfigChange& change);
  void PromoteConfirmations();

  ConfigDocument m_document;
  int64_t m_newest_known_version = 0;
  std::deque<ConfigChange> m_recent_changes;
  std::vector<Listener> m_listeners;
  std::optional<HeadConfirmation> m_confirmation;
  // For each version that was confirmed but is not applied yet: the latest time at which it was the head.
  std::map<int64_t, TimePoint> m_unapplied_confirmations;
};

}  // namespace quetzalridge
