#include "coordination/config_replica.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "base/error.h"
#include "base/log_event.h"

namespace quetzalridge {

namespace {

// Recent changes are sent to peers and returned after a conflicting proposal. Older changes can be read from the store.
constexpr size_t kMaxRecentChanges = 256;
// Bounds the memory that a faulty peer can make an instance use. No more are needed, since a confirmation whose version
// is not applied within the validity of the serving permission is useless.
constexpr size_t kMaxUnappliedConfirmations = 64;

// The names that occur in `a` or in `b`.
template <typename Config>
std::set<std::string> UnionOfNames(const std::map<std::string, Config>& a, const std::map<std::string, Config>& b) {
  std::set<std::string> names;
  for (const auto& entry : a) {
    names.insert(entry.first);
  }
  for (const auto& entry : b) {
    names.insert(entry.first);
  }
  return names;
}

// The differences between two documents, as changes that all have the version of the newer document.
class DocumentDifference {
 public:
  DocumentDifference(const ConfigDocument& from, const ConfigDocument& to) : m_from(from), m_to(to) {
    Compare(ConfigKind::kWorkspace, UnionOfNames(from.workspaces(), to.workspaces()));
    Compare(ConfigKind::kProfile, UnionOfNames(from.profiles(), to.profiles()));
    Compare(ConfigKind::kService, UnionOfNames(from.services(), to.services()));
    Compare(ConfigKind::kRoute, UnionOfNames(from.routes(), to.routes()));
    Compare(ConfigKind::kQueue, UnionOfNames(from.queues(), to.queues()));
    Compare(ConfigKind::kEndpoint, UnionOfNames(from.endpoints(), to.endpoints()));
    Compare(ConfigKind::kZone, UnionOfNames(from.zones(), to.zones()));
    Compare(ConfigKind::kKey, UnionOfNames(from.keys(), to.keys()));
  }

  const std::vector<ConfigChange>& changes() const { return m_changes; }

 private:
  void Compare(ConfigKind kind, const std::set<std::string>& names) {
    for (const std::string& name : names) {
      std::optional<std::string> value = m_to.EntryJson(kind, name);
      if (value != m_from.EntryJson(kind, name)) {
        m_changes.push_back({m_to.version(), kind, name, std::move(value)});
      }
    }
  }

  const ConfigDocument& m_from;
  const ConfigDocument& m_to;
  std::vector<ConfigChange> m_changes;
};

}  // namespace

bool ConfigReplica::Apply(const ConfigChange& change) {
  if (change.version != version() + 1) {
    return false;
  }
  try {
    m_document.Apply(change);
  } catch (const Error& error) {
    Log(LogEvent::kConfigChangeRejected, "version " + std::to_string(change.version) + ": " + error.what());
    return false;
  }
  m_recent_changes.push_back(change);
  if (m_recent_changes.size() > kMaxRecentChanges) {
    m_recent_changes.pop_front();
  }
  m_newest_known_version = std::max(m_newest_known_version, version());
  PromoteConfirmations();
  Notify(change);
  return true;
}

void ConfigReplica::Replace(ConfigDocument document) {
  if (document.version() <= version()) {
    return;
  }
  const ConfigDocument previous = std::move(m_document);
  m_document = std::move(document);
  m_recent_changes.clear();
  m_newest_known_version = std::max(m_newest_known_version, version());
  PromoteConfirmations();
  const DocumentDifference difference(previous, m_document);
  for (const ConfigChange& change : difference.changes()) {
    Notify(change);
  }
}

void ConfigReplica::Confirm(const HeadConfirmation& confirmation) {
  m_newest_known_version = std::max(m_newest_known_version, confirmation.version);
  const auto [it, inserted] = m_unapplied_confirmations.emplace(confirmation.version, confirmation.at);
  if (!inserted) {
    it->second = std::max(it->second, confirmation.at);
  }
  PromoteConfirmations();
  if (m_unapplied_confirmations.size() > kMaxUnappliedConfirmations) {
    m_unapplied_confirmations.erase(std::prev(m_unapplied_confirmations.end()));
  }
}

// Moves confirmations whose version is applied by now to m_confirmation. A confirmation of a version older than the
// applied one is still valid: the head was that older version at the time of the confirmation, so the applied document
// contains every change up to that time.
void ConfigReplica::PromoteConfirmations() {
  while (!m_unapplied_confirmations.empty() && m_unapplied_confirmations.begin()->first <= version()) {
    const TimePoint at = m_unapplied_confirmations.begin()->second;
    if (!m_confirmation.has_value() || m_confirmation->at < at) {
      m_confirmation = HeadConfirmation{m_unapplied_confirmations.begin()->first, at};
    }
    m_unapplied_confirmations.erase(m_unapplied_confirmations.begin());
  }
}

std::vector<ConfigChange> ConfigReplica::ChangesSince(int64_t from) const {
  std::vector<ConfigChange> changes;
  if (m_recent_changes.empty() || m_recent_changes.front().version > from + 1) {
    return changes;
  }
  for (const ConfigChange& change : m_recent_changes) {
    if (change.version > from) {
      changes.push_back(change);
    }
  }
  return changes;
}

void ConfigReplica::Notify(const ConfigChange& change) {
  // An index is used because a listener may add another listener, which invalidates iterators.
  for (size_t i = 0; i < m_listeners.size(); ++i) {
    m_listeners[i](change);
  }
}

}  // namespace quetzalridge
