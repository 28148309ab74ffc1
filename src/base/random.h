#pragma once

#include <cstdint>

namespace quetzalridge {

// A small pseudo-random generator (splitmix64). The same seed gives the same sequence on every machine.
class Random {
 public:
  explicit Random(uint64_t seed) : m_state(seed) {}

  uint64_t Next() {
    m_state += 0x9e3779b97f4a7c15ULL;
    uint64_t z = m_state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  // Returns a uniformly distributed number in [0, bound). `bound` must be positive.
  uint64_t Below(uint64_t bound) { return Next() % bound; }
  // Returns a uniformly distributed number in [0, 1).
  double Uniform() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  // Returns true with the given probability.
  bool Chance(double probability) { return Uniform() < probability; }
  // Returns an exponentially distributed number with the given mean.
  double Exponential(double mean);
  // Returns a normally distributed number with the given mean and standard deviation.
  double Normal(double mean, double deviation);

 private:
  uint64_t m_state;
};

}  // namespace quetzalridge
