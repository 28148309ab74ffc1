#pragma once

#include <string>

#include "coordination/config_view.h"
#include "transport/http_message.h"

namespace quetzalridge {

// The caller that a request's key identifies.
struct CallerIdentity {
  // Empty if the request has no key.
  std::string workspace;
  // The secret key itself, needed to reject requests that also contain it elsewhere. Must never be logged or passed on.
  std::string key;
  // SHA-256 of the key, in hexadecimal.
  std::string key_digest;
};

// Finds the workspace that the key of a request belongs to. The configuration holds only digests of keys.
class KeyAuthenticator {
 public:
  // If `checks_keys` is false, every request is accepted. A request with an unknown key then has no workspace.
  explicit KeyAuthenticator(const ConfigView* config, bool checks_keys = true)
      : m_config(config), m_checks_keys(checks_keys) {}

  bool checks_keys() const { return m_checks_keys; }

  // Returns an empty identity if the request has no key. Throws Error(kUnauthorized) for an unknown key and for
  // different keys in one request.
  CallerIdentity Identify(const HttpRequest& request) const;
  // Returns whether the key still exists and belongs to the same workspace.
  bool IsValid(const CallerIdentity& identity) const;

 private:
  const ConfigView* m_config;
  bool m_checks_keys;
};

// Returns whether the request contains the key outside of the authorization headers: as plain text, percent-encoded, or
// with JSON escapes.
bool LeaksKey(const HttpRequest& request, const std::string& key);

}  // namespace quetzalridge
