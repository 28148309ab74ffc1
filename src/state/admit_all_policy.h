#pragma once

#include "state/admission.h"

namespace quetzalridge {

// Baseline: every request starts at once and queues at its endpoint.
class AdmitAllPolicy : public AdmissionPolicy {
 public:
  AdmissionResult Decide(const AdmissionRequest& request, TimePoint now) override;
  void OnFinished(const AdmissionRequest& request, TimePoint now) override;
};

}  // namespace quetzalridge
