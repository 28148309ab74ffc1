#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "standins/common/token_text.h"
#include "transport/http_server.h"

namespace quetzalridge {

// One completions request in the engine.
struct Generation {
  struct VersionRun {
    int64_t version = 0;
    int64_t tokens = 0;
  };

  std::string request_id;
  std::string model;
  std::string prompt;
  std::string prompt_hash;
  bool is_chat = false;
  bool is_stream = false;
  // 0 is the highest.
  int priority = 0;
  // Orders requests of the same priority.
  int64_t arrival = 0;
  int64_t first_index = 0;
  int64_t next_index = 0;
  int64_t end_index = 0;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  // Steps before the next token: the prefill, then the delays of a slow request.
  int64_t wait_steps = 0;
  int64_t steps_per_token = 1;
  // Index before which the answer is cut; negative for whole answers.
  int64_t cut_index = -1;
  std::string text;
  std::vector<VersionRun> versions;
  std::shared_ptr<HttpResponder> responder;

  bool finished() const { return next_index >= end_index; }
};

}  // namespace quetzalridge
