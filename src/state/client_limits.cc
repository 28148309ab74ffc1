#include "state/client_limits.h"

#include <algorithm>

namespace quetzalridge {

namespace {

// Memory of a process that serves no requests, and of the state that grows with the deployment.
constexpr size_t kMinProcessBytes = 20 << 20;
constexpr size_t kProcessFraction = 6;
// Descriptors that the platform reserves for files.
constexpr int kFileDescriptors = 200;
// Fewer connections than this would not let an ordinary caller through.
constexpr int kMinConnections = 8;
// Readiness and metrics are each read by a few programs.
constexpr int kMaxOtherConnections = 16;

}  // namespace

ClientLimits DivideResources(size_t memory_limit_bytes, size_t response_limit_bytes, int max_descriptors) {
  ClientLimits limits;
  const size_t reserved = std::max(kMinProcessBytes, memory_limit_bytes / kProcessFraction) + 2 * response_limit_bytes;
  const size_t rest = memory_limit_bytes > reserved ? memory_limit_bytes - reserved : 0;
  // The remainder is for what is not charged: the connections, and what one reads before its memory is charged.
  limits.memory_bytes = std::max(rest / 16 * 15, memory_limit_bytes / 8);
  limits.max_body_bytes = limits.memory_bytes / kBodyCopies - kMaxRequestHeadBytes;
  // Half of the descriptors are for callers, an eighth for other instances. The rest is for the connections to the
  // store, to endpoints and to other instances: a request needs one to an endpoint while it runs.
  const int sockets = std::max(max_descriptors - kFileDescriptors, max_descriptors / 4);
  limits.caller_connections = std::max(sockets / 2, kMinConnections);
  limits.peer_connections = std::max(sockets / 8, kMinConnections);
  limits.other_connections = std::clamp(sockets / 32, kMinConnections, kMaxOtherConnections);
  return limits;
}

}  // namespace quetzalridge
