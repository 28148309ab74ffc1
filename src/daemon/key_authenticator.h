#pragma once

#include <string>

#include "coordination/config_view.h"
#include "transport/http_message.h"

namespace quetzalridge {

// The caller behind a request.
struct CallerIdentity {
  // Empty for a caller without a key.
  std::string workspace;
  // The secret itself, so that a request which carries it elsewhere can be refused; never logged or passed on.
  std::string key;
  std::string key_digest;
};

// Finds the workspace of a request's key. Only digests of keys are known.
class KeyAuthenticator {
 public:
  // Without `checks_keys` every request passes, as a caller without a workspace when its key is not known.
  explicit KeyAuthenticator(const ConfigView* config, bool checks_keys = true)
      : m_config(config), m_checks_keys(checks_keys) {}

  bool checks_keys() const { return m_checks_keys; }

  // The identity is empty when the request carries no key. Throws Error(kUnauthorized) for a key that is not known and
  // for different keys in one request.
  CallerIdentity Identify(const HttpRequest& request) const;
  // True while the key exists and belongs to the same workspace.
  bool IsValid(const CallerIdentity& identity) const;

 private:
  const ConfigView* m_config;
  bool m_checks_keys;
};

// True when the request carries the key outside of the headers that name it: plain, percent-encoded, or with JSON
// escapes.
bool LeaksKey(const HttpRequest& request, const std::string& key);

}  // namespace quetzalridge
