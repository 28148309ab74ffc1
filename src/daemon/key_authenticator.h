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
  explicit KeyAuthenticator(const ConfigView* config) : m_config(config) {}

  // The identity is empty when the request carries no key. Throws Error(kUnauthorized) for a key that is not known and
  // for different keys in one request.
  CallerIdentity Identify(const HttpRequest& request) const;
  // True while the key exists and belongs to the same workspace.
  bool IsValid(const CallerIdentity& identity) const;

 private:
  const ConfigView* m_config;
};

// True when the request carries the key outside of the headers that name it: plain, percent-encoded, or with JSON
// escapes.
bool LeaksKey(const HttpRequest& request, const std::string& key);

}  // namespace quetzalridge
