#include "protocol/header_allow_list.h"

#include <algorithm>
#include <iterator>

namespace quetzalridge {

namespace {

// Leaves out `x-request-id`, because the service generates its own id and never forwards the caller's.
constexpr std::string_view kRequestHeaders[] = {"content-type", "accept"};
constexpr std::string_view kPlainRequestHeaders[] = {"if-match", "if-none-match"};
constexpr std::string_view kResponseHeaders[] = {"content-type",  "etag",     "last-modified",
                                                 "cache-control", "location", "retry-after"};

template <size_t kSize>
bool Contains(const std::string_view (&names)[kSize], std::string_view name) {
  return std::find(std::begin(names), std::end(names), name) != std::end(names);
}

}  // namespace

bool IsRequestHeaderAllowed(std::string_view name, ServiceKind kind) {
  return Contains(kRequestHeaders, name) || (kind == ServiceKind::kPlain && Contains(kPlainRequestHeaders, name));
}

bool IsResponseHeaderAllowed(std::string_view name) {
  return Contains(kResponseHeaders, name);
}

}  // namespace quetzalridge
