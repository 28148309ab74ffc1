#include "state/burn_rate.h"

namespace quetzalridge {

namespace {

constexpr int64_t kBucketMs = 10'000;
// One hour.
constexpr int64_t kBucketCount = 360;

int64_t BucketNumber(TimePoint now) {
  return now.ms() / kBucketMs;
}

}  // namespace

void BurnRate::Add(bool good, TimePoint now) {
  const int64_t number = BucketNumber(now);
  if (m_buckets.empty() || m_buckets.back().number < number) {
    m_buckets.push_back({number, {}});
  }
  while (m_buckets.front().number <= number - kBucketCount) {
    m_buckets.pop_front();
  }
  GoodBadCount& count = m_buckets.back().count;
  ++(good ? count.good : count.bad);
}

GoodBadCount BurnRate::Count(Duration window, TimePoint now) const {
  const int64_t first = BucketNumber(now) - window.ms() / kBucketMs + 1;
  GoodBadCount total;
  for (const Bucket& bucket : m_buckets) {
    if (bucket.number >= first) {
      total.good += bucket.count.good;
      total.bad += bucket.count.bad;
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
