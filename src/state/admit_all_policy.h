#pragma once

#include "state/admission.h"

namespace quetzalridge {

// Baseline for experiments: admits every request immediately, so that requests queue at the endpoints.
class AdmitAllPolicy : public AdmissionPolicy {
 public:
  AdmissionResult Decide(const AdmissionRequest& request, TimePoint now) override;
  void OnFinished(const AdmissionRequest& request, TimePoint now) override;
};

}  // namespace quetzalridge
