#include "state/slot_wait_queue.h"

#include <catch2/catch.hpp>

#include "state/admission.h"

namespace quetzalridge {
namespace {

// Guards against borrowed requests that take a slot before those of workspaces below their share, and against a request
// that loses its place because it looked for a slot in vain.
TEST_CASE("held requests are tried by priority and then by arrival") {
  SlotWaitQueue queue;
  queue.Add(1, kEnginePriorityRollout);
  queue.Add(2, kEnginePriorityBorrowed);
  queue.Add(3, kEnginePriorityWithinShare);
  queue.Add(4, kEnginePriorityWithinShare);
  queue.Add(3, kEnginePriorityWithinShare);
  CHECK(queue.InOrder() == std::vector<uint64_t>{3, 4, 2, 1});
  queue.Remove(3);
  queue.Remove(9);
  CHECK(queue.InOrder() == std::vector<uint64_t>{4, 2, 1});
  CHECK(queue.size() == 3);
}

}  // namespace
}  // namespace quetzalridge
