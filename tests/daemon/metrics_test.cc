#include "daemon/metrics.h"

#include <catch2/catch.hpp>

#include "tests/daemon/caller_fixture.h"

namespace quetzalridge {
namespace {

RequestRecord Record(RequestOutcome outcome, int64_t latency_ms) {
  RequestRecord record;
  record.service = "sort";
  record.workspace = "a\"b";
  record.outcome = outcome;
  record.latency = Duration::Milliseconds(latency_ms);
  return record;
}

// Guards against metrics that Prometheus rejects or misreads: labels that are not escaped, buckets that are not
// cumulative, and values outside of the range of the buckets that are not counted.
TEST_CASE("metrics are exposed as cumulative histograms and counts by outcome") {
  ManualClock clock;
  FakeConfigView config;
  Metrics metrics(&clock, &config);
  for (const int64_t latency_ms : {0, 5, 50, 200'000}) {
    metrics.OnRequestEnd(Record(RequestOutcome::kSucceeded, latency_ms));
  }
  metrics.OnRequestEnd(Record(RequestOutcome::kRefused, 1));
  const std::string text = metrics.Text();
  const std::string labels = "{service=\"sort\",workspace=\"a\\\"b\"";
  CHECK(text.find("quetzalridge_requests_total" + labels + ",outcome=\"succeeded\"} 4\n") != std::string::npos);
  CHECK(text.find("quetzalridge_requests_total" + labels + ",outcome=\"refused\"} 1\n") != std::string::npos);
  CHECK(text.find("quetzalridge_request_seconds_bucket" + labels + ",le=\"0.01\"} 3\n") != std::string::npos);
  CHECK(text.find("quetzalridge_request_seconds_bucket" + labels + ",le=\"100\"} 4\n") != std::string::npos);
  CHECK(text.find("quetzalridge_request_seconds_bucket" + labels + ",le=\"+Inf\"} 5\n") != std::string::npos);
  CHECK(text.find("quetzalridge_request_seconds_count" + labels + "} 5\n") != std::string::npos);
}

// Guards against a burn report that counts responses slower than the objective as good, counts errors of callers as
// bad, or still counts requests that are older than the window.
TEST_CASE("the burn report counts good and bad requests over 5 min and 1 h") {
  ManualClock clock;
  FakeConfigView config;
  config.Change(ConfigKind::kProfile, "p", R"({"objective_latency_ms":100,"objective_target":0.9})");
  config.Change(ConfigKind::kService, "sort", R"({"profile":"p"})");
  Metrics metrics(&clock, &config);
  for (int i = 0; i < 8; ++i) {
    metrics.OnRequestEnd(Record(RequestOutcome::kSucceeded, 100));
  }
  metrics.OnRequestEnd(Record(RequestOutcome::kSucceeded, 101));
  metrics.OnRequestEnd(Record(RequestOutcome::kFailed, 1));
  metrics.OnRequestEnd(Record(RequestOutcome::kCallerError, 1));
  REQUIRE(metrics.BurnReport().size() == 1);
  CHECK(metrics.BurnReport()[0].last_5_minutes.good == 8);
  CHECK(metrics.BurnReport()[0].last_5_minutes.bad == 2);
  CHECK(metrics.BurnReport()[0].burn_5_minutes == Approx(2.0));
  clock.Advance(Duration::Seconds(310));
  CHECK(metrics.BurnReport()[0].last_5_minutes.good == 0);
  CHECK(metrics.BurnReport()[0].last_hour.bad == 2);
  clock.Advance(Duration::Seconds(3600));
  metrics.OnRequestEnd(Record(RequestOutcome::kSucceeded, 1));
  CHECK(metrics.BurnReport()[0].last_hour.bad == 0);
  CHECK(metrics.BurnReport()[0].burn_hour == Approx(0.0));
}

}  // namespace
}  // namespace quetzalridge
