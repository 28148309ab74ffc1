#include "state/admit_all_policy.h"

namespace quetzalridge {

AdmissionResult AdmitAllPolicy::Decide(const AdmissionRequest& request, TimePoint now) {
  AdmissionResult result;
  result.engine_priority =
      request.work_class == WorkClass::kRollout ? kEnginePriorityRollout : kEnginePriorityWithinShare;
  return result;
}

void AdmitAllPolicy::OnFinished(const AdmissionRequest& request, TimePoint now) {}

}  // namespace quetzalridge
