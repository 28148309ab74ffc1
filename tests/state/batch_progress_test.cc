#include "state/batch_progress.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/random.h"

namespace quetzalridge {
namespace {

constexpr size_t kItems = 60;
constexpr size_t kQueues = 3;

BatchSpec MakeSpec() {
  BatchSpec spec;
  for (size_t i = 0; i < kItems; ++i) {
    BatchItem item;
    item.id = "item-" + std::to_string(i);
    item.length_hint = static_cast<int64_t>(i * 7 % kItems);
    spec.items.push_back(item);
  }
  return spec;
}

// The items as NextItems must return them, found by looking at each item.
std::vector<size_t> ExpectedItems(const BatchProgress& progress, const std::vector<size_t>& queues,
                                  const std::vector<double>& lengths, TimePoint now) {
  std::vector<size_t> order;
  for (size_t i = 0; i < kItems; ++i) {
    order.push_back(i);
  }
  std::stable_sort(order.begin(), order.end(), [&lengths](size_t a, size_t b) { return lengths[a] > lengths[b]; });
  std::vector<size_t> expected;
  std::vector<size_t> firsts;
  std::vector<bool> has_first(kQueues);
  for (const size_t index : order) {
    const ItemProgress& item = progress.item(index);
    if (item.phase != ItemPhase::kWaiting || now < item.not_before) {
      continue;
    }
    if (!item.transcript.empty()) {
      expected.push_back(index);
    } else if (!has_first[queues[index]]) {
      has_first[queues[index]] = true;
      firsts.push_back(index);
    }
  }
  expected.insert(expected.end(), firsts.begin(), firsts.end());
  return expected;
}

// Guards against waiting items that are never offered again, or offered in another order, after changes of any kind.
TEST_CASE("the next items are the interrupted ones, and the first one of each queue") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    const BatchSpec spec = MakeSpec();
    BatchProgress progress(&spec);
    std::vector<size_t> queues(kItems, 0);
    std::vector<double> lengths;
    for (const BatchItem& item : spec.items) {
      lengths.push_back(static_cast<double>(item.length_hint));
    }
    TimePoint now;
    for (int step = 0; step < 400; ++step) {
      now = now + Duration::Milliseconds(10);
      const size_t index = random.Below(kItems);
      ItemProgress& item = progress.item(index);
      switch (random.Below(6)) {
        case 0:
          progress.SetPhase(index, ItemPhase::kRunning);
          item.transcript.BeginRun(1, "service", "v1");
          item.transcript.Append(item.transcript.event_count() + 1, "event", 1);
          break;
        case 1:
          progress.SetPhase(index, ItemPhase::kWaiting);
          item.not_before = now + Duration::Milliseconds(static_cast<int64_t>(random.Below(100)));
          break;
        case 2:
          item.transcript.Clear();
          progress.OnTextChanged(index);
          break;
        case 3:
          progress.SetPhase(index, random.Chance(0.2) ? ItemPhase::kStored : ItemPhase::kWaiting);
          break;
        case 4:
          if (random.Chance(0.1)) {
            std::generate(queues.begin(), queues.end(), [&random] { return random.Below(kQueues); });
            progress.SetQueues(queues);
          }
          break;
        default:
          if (random.Chance(0.1)) {
            // Distinct lengths, since the order of equal ones depends on the order before.
            for (size_t i = 0; i < kItems; ++i) {
              lengths[i] = static_cast<double>(i) + static_cast<double>(random.Below(1000) * kItems);
            }
            progress.SetExpectedLengths(lengths);
          }
      }
      REQUIRE(progress.NextItems(now) == ExpectedItems(progress, queues, lengths, now));
    }
  }
}

}  // namespace
}  // namespace quetzalridge
