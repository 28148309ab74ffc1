#include <catch2/catch.hpp>
#include <iomanip>
#include <sstream>

#include "coordination/sample_delivery.h"
#include "tests/fakes/rollout_fakes.h"

namespace quetzalridge {
namespace {

constexpr int64_t kSamplesPerStep = 4096;
constexpr int64_t kSamplesPerGroup = 8;
// The target size: 4 trainers with 4,096 samples each in 300 s.
constexpr double kTargetSamplesPerSecond = 55.0;

struct DeliveryCost {
  int transactions = 0;
  int64_t rows_written = 0;
  int reads = 0;
};

// A table that counts the rows that are written, with the other fakes that SampleDelivery needs.
class DeliveryFixture {
 public:
  DeliveryFixture() {
    table.on_commit = [this](const TableTransaction& transaction, int64_t) {
      rows_written += static_cast<int64_t>(transaction.writes.size());
    };
  }
  DeliveryCost Cost() const { return {table.transacts, rows_written, table.reads}; }

  ManualScheduler scheduler;
  FakeTable table{&scheduler, 1};
  FakeObjects objects;
  FakeWeights weights;
  FakeTableStore store{&table, &scheduler};
  FakeSharedObjectStore object_store{&objects, &scheduler};
  FakeWeightPlatform platform{&weights, &scheduler};
  int64_t rows_written = 0;
};

// Delivers one training step with the batch cursor: one transaction makes each group ready, then one transaction opens
// each batch and one confirms it.
DeliveryCost RunBatchCursor(int64_t batch_samples) {
  DeliveryFixture fixture;
  const RolloutRows rows("q");
  for (int64_t g = 0; g < kSamplesPerStep / kSamplesPerGroup; ++g) {
    GroupRow group;
    group.spec.id = "g" + std::to_string(g);
    group.state = GroupState::kFinished;
    const FinishedGroup finished{group.spec.id, 1, 1, "object-" + group.spec.id, 1, kSamplesPerGroup, "d"};
    fixture.objects.objects[finished.object] = R"({"sample":1})";
    const TableTransaction ready{"t" + group.spec.id,
                                 {},
                                 {{rows.GroupKey(group.spec.id), EncodeGroupRow(group)},
                                  {rows.ReadyKey(group.spec.id), EncodeReadyRow(finished)}}};
    fixture.table.Apply(ready);
  }
  SampleDelivery delivery({&fixture.store, &fixture.object_store, &fixture.platform, &fixture.scheduler},
                          {"q", "s", 2});
  int64_t batch = 0;
  bool done = false;
  while (!done) {
    delivery.Fetch({batch, batch_samples, Duration()}, [&](const FetchResult& result) {
      done = result.outcome != DeliveryOutcome::kOk;
      batch = result.batch;
    });
    fixture.scheduler.Advance(Duration::Seconds(1));
  }
  return fixture.Cost();
}

// Delivers one training step with a lease for each sample, for comparison: each sample has a row, a write that leases
// the row to the trainer, and a write that acknowledges it. Each transaction has up to 64 samples.
DeliveryCost RunLeasePerSample(int64_t batch_samples) {
  constexpr int64_t kMaxSamplesPerTransaction = 64;
  DeliveryFixture fixture;
  const auto key = [](int64_t sample) { return "sample/" + std::to_string(sample); };
  for (int64_t first = 0; first < kSamplesPerStep; first += kSamplesPerGroup) {
    TableTransaction ready{"r" + std::to_string(first), {}, {}};
    for (int64_t s = first; s < first + kSamplesPerGroup; ++s) {
      ready.writes.push_back({key(s), "ready"});
    }
    fixture.table.Apply(ready);
  }
  const int64_t chunk = std::min(batch_samples, kMaxSamplesPerTransaction);
  for (int64_t first = 0; first < kSamplesPerStep; first += chunk) {
    fixture.table.ScanRows("sample/", "", static_cast<int>(chunk));
    TableTransaction lease{"l" + std::to_string(first), {}, {}};
    TableTransaction acknowledge{"a" + std::to_string(first), {}, {}};
    for (int64_t s = first; s < first + chunk; ++s) {
      lease.checks.push_back({key(s), fixture.table.Row(key(s)).version});
      lease.writes.push_back({key(s), "leased until a time that the holder renews"});
    }
    REQUIRE(fixture.table.Apply(lease).outcome == TransactOutcome::kCommitted);
    for (const TableWrite& write : lease.writes) {
      acknowledge.checks.push_back({write.key, fixture.table.Row(write.key).version});
      acknowledge.writes.push_back({write.key, "delivered"});
    }
    REQUIRE(fixture.table.Apply(acknowledge).outcome == TransactOutcome::kCommitted);
  }
  return fixture.Cost();
}

std::string FormatCost(const std::string& name, int64_t batch, const DeliveryCost& cost) {
  const double per_second = kTargetSamplesPerSecond / static_cast<double>(kSamplesPerStep);
  std::ostringstream line;
  line << std::fixed << std::setprecision(2) << name << " batch " << batch << ": " << cost.transactions
       << " transactions, " << cost.rows_written << " rows, " << cost.reads << " reads a step; at 55 samples/s "
       << cost.transactions * per_second << " transactions/s, " << static_cast<double>(cost.rows_written) * per_second
       << " rows/s";
  return line.str();
}

// Guards against a delivery that puts more load on the shared store than the target size allows: several hundred writes
// a second for all instances together. The figures are recorded in docs/decisions/0003-sample-delivery.md.
TEST_CASE("the batch cursor writes fewer rows than a lease for each sample") {
  for (const int64_t batch : {8, 64, 256, 504}) {
    const DeliveryCost cursor = RunBatchCursor(batch);
    const DeliveryCost lease = RunLeasePerSample(batch);
    WARN(FormatCost("cursor", batch, cursor));
    WARN(FormatCost("lease ", batch, lease));
    CHECK(cursor.rows_written < lease.rows_written);
    CHECK(static_cast<double>(cursor.transactions) * kTargetSamplesPerSecond / kSamplesPerStep < 30.0);
  }
}

}  // namespace
}  // namespace quetzalridge
