#pragma once

#include <cstddef>

namespace quetzalridge {

// The parts of a machine's resources that clients can make a process hold.
struct ClientLimits {
  // Limit of the sum of requests, their copies and unread responses.
  size_t memory_bytes = 0;
  // The largest body that can be received and handled within that sum.
  size_t max_body_bytes = 0;
  // Connections of callers, of other instances, and of each other port.
  int caller_connections = 0;
  int peer_connections = 0;
  int other_connections = 0;
};

// Number of times that a body is held: while it is received, since buffers grow by doubling, and while it is handled,
// since it is decoded or encoded.
constexpr size_t kBodyCopies = 2;
// The largest head, which is received into the same buffer as the body.
constexpr size_t kMaxRequestHeadBytes = 64 << 10;

// Responses of endpoints that are being received may take this part of the memory, and for short times twice that.
constexpr size_t kResponseMemoryFraction = 8;

// `memory_limit_bytes` and `max_descriptors` apply to the whole process, `response_limit_bytes` to the responses of
// endpoints that are being received, which may take twice that for short times.
ClientLimits DivideResources(size_t memory_limit_bytes, size_t response_limit_bytes, int max_descriptors);

}  // namespace quetzalridge
