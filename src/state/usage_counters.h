#pragma once

#include <cstdint>

namespace quetzalridge {

// The usage of one workspace, as reported to the platform.
struct UsageCounters {
  int64_t requests = 0;
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  int64_t samples = 0;

  UsageCounters& operator+=(const UsageCounters& other) {
    requests += other.requests;
    prompt_tokens += other.prompt_tokens;
    completion_tokens += other.completion_tokens;
    samples += other.samples;
    return *this;
  }
};

}  // namespace quetzalridge
