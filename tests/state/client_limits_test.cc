#include "state/client_limits.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

constexpr size_t kMb = 1 << 20;

// Guards against parts of the memory that are together larger than the machine.
TEST_CASE("clients, responses and the process fit into the memory limit") {
  for (const size_t mb : {120, 128, 256, 1024, 8192}) {
    const size_t limit = mb * kMb;
    const ClientLimits limits = DivideResources(limit, limit / 8, 1024);
    INFO(mb << " MB: " << limits.memory_bytes);
    CHECK(20 * kMb + 2 * (limit / 8) + limits.memory_bytes + 4 * kMb <= limit);
    CHECK(kBodyCopies * limits.max_body_bytes <= limits.memory_bytes);
  }
}

// Guards against a smallest machine that refuses bodies which its operator allows.
TEST_CASE("the smallest machine serves a body of 32 MB") {
  CHECK(DivideResources(120 * kMb, 120 * kMb / 8, 1024).max_body_bytes >= 32 * kMb);
}

// Guards against limits of zero, which would refuse every request.
TEST_CASE("something is left for clients on any machine") {
  for (const int descriptors : {0, 16, 64, 199, 200, 201, 256, 1024}) {
    const ClientLimits limits = DivideResources(16 * kMb, 2 * kMb, descriptors);
    CHECK(limits.memory_bytes >= 2 * kMb);
    CHECK(limits.caller_connections >= 8);
    CHECK(limits.peer_connections >= 8);
    CHECK(limits.other_connections >= 8);
  }
}

// Guards against clients that take the descriptors of the store, of endpoints and of files.
TEST_CASE("descriptors are left for outgoing connections and files") {
  for (const int descriptors : {400, 512, 1024, 65536}) {
    const ClientLimits limits = DivideResources(120 * kMb, 15 * kMb, descriptors);
    const int incoming = limits.caller_connections + limits.peer_connections + 2 * limits.other_connections;
    CHECK(incoming <= (descriptors - 200) * 3 / 4);
  }
}

}  // namespace
}  // namespace quetzalridge
