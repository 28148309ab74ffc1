#include "daemon/key_authenticator.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include "base/error.h"
#include "base/hash.h"
#include "protocol/header_allow_list.h"

namespace quetzalridge {

namespace {

constexpr std::string_view kBearer = "bearer ";

bool IsBearer(const std::string& value) {
  return value.size() > kBearer.size() &&
         std::equal(kBearer.begin(), kBearer.end(), value.begin(),
                    [](char expected, char c) { return expected == std::tolower(static_cast<unsigned char>(c)); });
}

std::string Trim(const std::string& value) {
  const size_t first = value.find_first_not_of(" \t");
  return first == std::string::npos ? "" : value.substr(first, value.find_last_not_of(" \t") - first + 1);
}

// Returns an empty string if the header has no key.
std::string KeyFromHeader(const HttpHeader& header) {
  if (header.name == "x-api-key") {
    return Trim(header.value);
  }
  if (header.name == "authorization" && IsBearer(header.value)) {
    return Trim(header.value.substr(kBearer.size()));
  }
  return "";
}

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
        std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0) {
      decoded.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

// Decodes the JSON escapes of printable ASCII characters.
std::string JsonUnescape(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text.compare(i, 4, "\\u00") == 0 && i + 5 < text.size()) {
      decoded.push_back(static_cast<char>(std::strtol(text.substr(i + 4, 2).c_str(), nullptr, 16)));
      i += 5;
    } else if (text[i] == '\\' && i + 1 < text.size()) {
      decoded.push_back(text[++i]);
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

}  // namespace

CallerIdentity KeyAuthenticator::Identify(const HttpRequest& request) const {
  CallerIdentity identity;
  for (const HttpHeader& header : request.headers) {
    const std::string key = KeyFromHeader(header);
    if (key.empty()) {
      continue;
    }
    if (!identity.key.empty() && identity.key != key) {
      throw Error(ErrorCode::kUnauthorized, "the request carries two different keys; send one");
    }
    identity.key = key;
  }
  if (identity.key.empty()) {
    return identity;
  }
  identity.key_digest = Sha256Hex(identity.key);
  const auto& keys = m_config->document().keys();
  const auto it = keys.find(identity.key_digest);
  if (it == keys.end() && !m_checks_keys) {
    return identity;
  }
  if (it == keys.end()) {
    throw Error(ErrorCode::kUnauthorized, "the key is not known or was withdrawn; ask an operator for a new one");
  }
  identity.workspace = it->second.workspace;
  return identity;
}

bool KeyAuthenticator::IsValid(const CallerIdentity& identity) const {
  if (identity.key_digest.empty() || !m_checks_keys) {
    return true;
  }
  const auto& keys = m_config->document().keys();
  const auto it = keys.find(identity.key_digest);
  return it != keys.end() && it->second.workspace == identity.workspace;
}

bool LeaksKey(const HttpRequest& request, const std::string& key) {
  if (key.empty()) {
    return false;
  }
  const auto contains = [&key](const std::string& text) { return text.find(key) != std::string::npos; };
  if (contains(request.body) || contains(request.path) || contains(request.query) ||
      contains(PercentDecode(request.path)) || contains(PercentDecode(request.query)) ||
      contains(PercentDecode(request.body)) || contains(JsonUnescape(request.body))) {
    return true;
  }
  return std::any_of(request.headers.begin(), request.headers.end(), [&](const HttpHeader& header) {
    // The idempotency key is not sent to endpoints, but it is stored in the platform's table.
    return (IsRequestHeaderAllowed(header.name, ServiceKind::kPlain) || header.name == "idempotency-key") &&
           contains(header.value);
  });
}

}  // namespace quetzalridge
