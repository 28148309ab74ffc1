#include "base/random.h"

#include <cmath>

namespace quetzalridge {

double Random::Exponential(double mean) {
  return -mean * std::log1p(-Uniform());
}

double Random::Normal(double mean, double deviation) {
  const double radius = std::sqrt(-2.0 * std::log1p(-Uniform()));
  return mean + deviation * radius * std::cos(2.0 * M_PI * Uniform());
}

}  // namespace quetzalridge
