#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quetzalridge::history {

// What a test run recorded. All times are milliseconds of the boot clock, which all processes of a machine share.

enum class Outcome {
  // The caller got an answer that claims to be whole.
  kOk,
  // The caller was told "not run", or could not connect.
  kFail,
  kUnknown,
};

// One request to an instance.
struct Call {
  std::string instance;
  std::string workspace;
  std::string key;
  // False when the key is missing, unknown, or belongs to another workspace than the queue.
  bool is_authorized = true;
  bool is_open_route = false;
  bool is_idempotent = true;
  // Calls with the same identity are repetitions of one operation. Empty when each call stands for itself.
  std::string operation;
  // PromptHash of the prompt or, for plain services, of the body; unique for each operation.
  std::string hash;
  // 0 for plain services.
  int64_t expected_tokens = 0;
  int64_t started_ms = 0;
  int64_t ended_ms = 0;
  // When the last piece of the answer's body arrived; 0 without one.
  int64_t last_piece_ms = 0;
  Outcome outcome = Outcome::kUnknown;
  int status = 0;
  // The field `ran` of an error body.
  std::string ran;
  // The text of a completion, or the field `body_hash` of a plain service's answer.
  std::string text;
};

// A request as an endpoint received it.
struct EndpointRequest {
  std::string endpoint;
  int64_t ms = 0;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// A request that began to run at an endpoint.
struct Execution {
  std::string endpoint;
  int64_t ms = 0;
  std::string hash;
};

struct Crash {
  std::string endpoint;
  int64_t ms = 0;
  // The text that caused it.
  std::string cause;
};

struct VersionRun {
  int64_t version = 0;
  int64_t tokens = 0;
};

struct SubmittedGroup {
  std::string queue;
  std::string group;
  std::string prompt_hash;
  int64_t needed = 0;
  int64_t max_tokens = 0;
};

struct DeliveredSample {
  std::string group;
  int64_t index = 0;
  std::string text;
  std::vector<VersionRun> weight_versions;
};

// One answer to a fetch.
struct DeliveredBatch {
  std::string queue;
  int64_t batch = 0;
  int64_t requested_ms = 0;
  int64_t received_ms = 0;
  bool is_confirmed = false;
  std::vector<DeliveredSample> samples;
};

struct Publication {
  int64_t version = 0;
  int64_t ms = 0;
};

// A commit of a row lease/<duty>.
struct LeaseCommit {
  std::string duty;
  std::string holder;
  int64_t epoch = 0;
  int64_t ms = 0;
};

struct Order {
  std::string zone;
  std::string holder;
  int64_t fence = 0;
  int64_t sequence = 0;
  int64_t ms = 0;
};

struct UsageReport {
  std::string workspace;
  std::string window;
  std::string figures;
  std::string holder;
  int64_t fence = 0;
  int64_t ms = 0;
};

struct Withdrawal {
  std::string key;
  // When the platform committed the change.
  int64_t committed_ms = 0;
};

struct Leaving {
  std::string endpoint;
  // When the platform's list showed it.
  int64_t visible_ms = 0;
};

struct PlannedStop {
  std::string instance;
  int64_t signalled_ms = 0;
  bool exited_cleanly = false;
};

struct ConfigCommit {
  int64_t version = 0;
  int64_t ms = 0;
  // Identity of the change as its operator knows it.
  std::string change;
};

// The configuration version in force on an instance, as seen from outside.
struct ConfigObservation {
  std::string instance;
  // Differs after a restart.
  int incarnation = 0;
  int64_t ms = 0;
  int64_t version = 0;
  // False while the instance refuses keyed requests.
  bool is_serving = true;
};

struct History {
  std::vector<Call> calls;
  std::vector<EndpointRequest> endpoint_requests;
  std::vector<Execution> executions;
  std::vector<Crash> crashes;
  std::vector<SubmittedGroup> groups;
  std::vector<DeliveredBatch> batches;
  std::vector<Publication> publications;
  std::vector<LeaseCommit> lease_commits;
  std::vector<Order> orders;
  std::vector<UsageReport> usage_reports;
  std::vector<Withdrawal> withdrawals;
  std::vector<Leaving> leavings;
  std::vector<PlannedStop> planned_stops;
  std::vector<ConfigCommit> config_commits;
  // What operators were told: the change and the version under which it was accepted.
  std::vector<ConfigCommit> config_accepted;
  std::vector<ConfigObservation> config_observations;
  // Every secret that a caller used.
  std::vector<std::string> secrets;
  int64_t staleness_bound = 0;
  // True when the run waited until every group was done.
  bool expects_all_samples = false;
};

// One sentence for each violation; empty when the guarantee held.
using Violations = std::vector<std::string>;

}  // namespace quetzalridge::history
