#pragma once

#include <vector>

#include "tools/experiment/fake_instance.h"

namespace quetzalridge {

// One way to know the load of endpoints and to wait for their slots.
struct LoadVariant {
  const char* name = "";
  bool peer_load = false;
  bool hold = false;
  double peer_load_delay_ms = 1;
  double peer_load_loss = 0;

  void ApplyTo(InstanceRules* rules) const;
};

// Peer load reports and queueing at the entry instance, first one without the other, then both, then both with
// datagrams that are lost and with old counts.
const std::vector<LoadVariant>& LoadVariants();

}  // namespace quetzalridge
