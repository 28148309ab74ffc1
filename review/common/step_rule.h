#pragma once

#include <memory>
#include <string>
#include <vector>

#include "review/common/clients.h"
#include "review/common/harness.h"

namespace quetzalridge::review {

using Replicas = std::vector<std::unique_ptr<Replica>>;

// Judges the rule LOST of batch jobs for the steps of a trainer: a step runs out of time while one of its items has
// been at no replica for the last 5 s, all of them in steady state. Writes a line for each job, and returns the number
// of jobs that break the rule.
int CountNeglectedSteps(const Replicas& replicas, const Trainer& trainer, TimePoint steady_since, Record* record);

}  // namespace quetzalridge::review
