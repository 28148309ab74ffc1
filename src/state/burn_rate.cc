#include "state/burn_rate.h"

namespace quetzalridge {

namespace {

constexpr int64_t kSlotMs = 10'000;
constexpr int64_t kSlots = 360;

int64_t SlotOf(TimePoint now) {
  return now.ms() / kSlotMs;
}

}  // namespace

void BurnRate::Add(bool good, TimePoint now) {
  const int64_t number = SlotOf(now);
  if (m_slots.empty() || m_slots.back().number < number) {
    m_slots.push_back({number, {}});
  }
  while (m_slots.front().number <= number - kSlots) {
    m_slots.pop_front();
  }
  GoodBadCount& count = m_slots.back().count;
  ++(good ? count.good : count.bad);
}

GoodBadCount BurnRate::Count(Duration window, TimePoint now) const {
  const int64_t first = SlotOf(now) - window.ms() / kSlotMs + 1;
  GoodBadCount total;
  for (const Slot& slot : m_slots) {
    if (slot.number >= first) {
      total.good += slot.count.good;
      total.bad += slot.count.bad;
    }
  }
  return total;
}

double BurnRate::Rate(const GoodBadCount& count, double target) {
  const int64_t total = count.good + count.bad;
  if (total == 0 || target >= 1.0) {
    return 0.0;
  }
  return static_cast<double>(count.bad) / static_cast<double>(total) / (1.0 - target);
}

}  // namespace quetzalridge
