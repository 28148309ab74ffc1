#pragma once

#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace quetzalridge {

struct GoodBadCount {
  int64_t good = 0;
  int64_t bad = 0;
};

// Counts good and bad requests over the most recent time, up to one hour back, in slots of 10 s.
class BurnRate {
 public:
  void Add(bool good, TimePoint now);
  // The requests of the window that ends now; exact to one slot.
  GoodBadCount Count(Duration window, TimePoint now) const;
  // How many times faster than allowed the error budget 1 - target is used up; 1 uses it up exactly.
  static double Rate(const GoodBadCount& count, double target);

 private:
  struct Bucket {
    int64_t number = 0;
    GoodBadCount count;
  };

  std::deque<Bucket> m_buckets;
};

}  // namespace quetzalridge
