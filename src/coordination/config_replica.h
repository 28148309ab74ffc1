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

// A version that was the head at a point in time, so that every change committed before that time is in it.
struct HeadConfirmation {
  int64_t version = 0;
  TimePoint at;
};

// The applied document of one instance: takes changes in order, keeps the newest ones for peers, and knows when the
// applied version was last confirmed as the head.
class ConfigReplica {
 public:
  using Listener = std::function<void(const ConfigChange&)>;

  const ConfigDocument& document() const { return m_document; }
  int64_t version() const { return m_document.version(); }
  // The highest version heard of, applied or not.
  int64_t newest_known_version() const { return m_newest_known_version; }
  void AddListener(Listener listener) { m_listeners.push_back(std::move(listener)); }

  // Applies the change if it is the next one; false when it is not, or when it cannot be applied.
  bool Apply(const ConfigChange& change);
  // Takes a newer document; listeners get the differences as changes.
  void Replace(ConfigDocument document);

  // Records that `version` was the head at `at`. It counts once that version is applied.
  void Confirm(const HeadConfirmation& confirmation);
  // The newest confirmation whose version is applied.
  std::optional<HeadConfirmation> confirmation() const { return m_confirmation; }

  // The kept changes after `version`, in order; empty when some of them are no longer kept.
  std::vector<ConfigChange> ChangesSince(int64_t version) const;

 private:
  void Notify(const ConfigChange& change);
  void PromoteConfirmations();

  ConfigDocument m_document;
  int64_t m_newest_known_version = 0;
  std::deque<ConfigChange> m_recent_changes;
  std::vector<Listener> m_listeners;
  std::optional<HeadConfirmation> m_confirmation;
  // By version: the newest time at which a version that is not applied yet was the head.
  std::map<int64_t, TimePoint> m_unapplied_confirmations;
};

}  // namespace quetzalridge
