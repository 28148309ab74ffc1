#include "tools/experiment/load_variants.h"

namespace quetzalridge {

namespace {

constexpr double kLostPart = 0.2;
// In addition to the interval of 100 ms between reports.
constexpr double kOldCountsMs = 100;

}  // namespace

void LoadVariant::ApplyTo(InstanceRules* rules) const {
  rules->peer_load = peer_load;
  rules->hold = hold;
  rules->peer_load_delay_ms = peer_load_delay_ms;
  rules->peer_load_loss = peer_load_loss;
}

const std::vector<LoadVariant>& LoadVariants() {
  static const std::vector<LoadVariant> kVariants = {
      {"hold_by_reports", false, true, 1, 0},
      {"peer_load", true, false, 1, 0},
      {"peer_load_and_hold", true, true, 1, 0},
      {"peer_load_and_hold_20_percent_lost", true, true, 1, kLostPart},
      {"peer_load_and_hold_100_ms_old", true, true, kOldCountsMs, 0},
  };
  return kVariants;
}

}  // namespace quetzalridge
