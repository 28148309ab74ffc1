#pragma once

#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace quetzalridge {

struct GoodBadCount {
  int64_t good = 0;
  int64_t bad = 0;
};

// Counts good and bad requests of the last hour in buckets of 10 s, and computes the burn rate of the error budget of a
// service level objective.
class BurnRate {
 public:
  void Add(bool good, TimePoint now);
  // Returns the counts of the window that ends at `now`, with a resolution of one bucket.
  GoodBadCount Count(Duration window, TimePoint now) const;
  // Returns the share of bad requests divided by the error budget, which is 1 - target. At a burn rate of 1 the budget
  // is used up exactly at the end of its period; at 2, in half of that time.
  static double Rate(const GoodBadCount& count, double target);

 private:
  struct Bucket {
    // Time since the start of the clock, in bucket lengths.
    int64_t number = 0;
    GoodBadCount count;
  };

  // Oldest first; buckets without requests are left out.
  std::deque<Bucket> m_buckets;
};

}  // namespace quetzalridge
