#include "state/slot_wait_queue.h"

#include <catch2/catch.hpp>

#include "state/admission.h"

namespace quetzalridge {
namespace {

// Guards against requests on borrowed slots that start before requests of workspaces below their share, and against a
// request that loses its position because it found no free slot and was added again.
TEST_CASE("requests that wait for a slot are ordered by priority and then by arrival") {
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
