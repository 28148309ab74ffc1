#pragma once

namespace quetzalridge {

// Switches for the mechanisms that ensure some of the guarantees. All of them are always on in production. The program
// in tests/mutants switches one off, and a test then verifies that the checks of the request history find the
// violation.
struct Mechanisms {
  // Routes that need an API key accept only known keys.
  bool key_check = true;
  // Only allowed headers are forwarded to endpoints, and requests that contain their API key outside of the
  // authorization headers are refused. Thus endpoints never receive an API key.
  bool key_removal = true;
  // A response of an endpoint is accepted only if it carries the ID of its request.
  bool request_id_check = true;
  // A failed request is reported as not run only if no byte of it was written to the endpoint.
  bool not_run_rule = true;
  // A non-idempotent call with an idempotency key is recorded in the table before it is dispatched.
  bool idempotency_record = true;
  // Endpoints that the platform lists as leaving get no new requests.
  bool leaving_endpoint_exclusion = true;
  // A shutdown waits for the requests in progress.
  bool graceful_shutdown = true;
};

}  // namespace quetzalridge
