#pragma once

namespace quetzalridge {

// The mechanisms behind some guarantees. The production program never changes these defaults; the program in
// tests/mutants turns one off at a time, to show that the history checks then find a violation.
struct Mechanisms {
  // Keyed routes need a known key.
  bool key_check = true;
  // Requests to endpoints carry only allowed headers, and requests that hide a key elsewhere are refused.
  bool key_removal = true;
  // An answer counts only with the identity of its request.
  bool request_id_check = true;
  // A request is called not run only when no byte of it was written.
  bool not_run_rule = true;
  // Non-idempotent calls with an identity are recorded in the table before they run.
  bool idempotency_record = true;
  // Endpoints that the platform lists as leaving get no new work.
  bool leaving_endpoint_exclusion = true;
  // A planned stop waits for the requests in progress.
  bool graceful_shutdown = true;
};

}  // namespace quetzalridge
