#include "state/admit_all_policy.h"

namespace quetzalridge {

AdmissionResult AdmitAllPolicy::Decide(const AdmissionRequest& request, TimePoint now) {
  return {};
}

void AdmitAllPolicy::OnFinished(const AdmissionRequest& request, TimePoint now) {}

}  // namespace quetzalridge
