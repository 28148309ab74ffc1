#include <catch2/catch.hpp>
#include <string>

#include "tests/coordination/batch_fixture.h"

namespace quetzalridge {
namespace {

constexpr int kItems = 8;

// Guards against a job that is lost because earlier versions kept the jobs of public routes without a workspace.
TEST_CASE("a job that was stored without a workspace is read and ended with any key") {
  BatchFixture fixture(2);
  fixture.StartInstance("one");
  fixture.StartInstance("two");
  BatchSpec stored = BatchFixture::MakeJob("job", kItems);
  stored.workspace = "";
  REQUIRE(fixture.Submit("one", stored) == SubmitOutcome::kAccepted);
  CHECK(fixture.Submit("two", BatchFixture::MakeJob("job", kItems)) == SubmitOutcome::kAccepted);
  fixture.scheduler.Advance(Duration::Seconds(5));
  for (const char* name : {"one", "two"}) {
    CHECK(fixture.Read(name, "job", 0).results.size() == kItems);
  }
  BatchCallStatus ended = BatchCallStatus::kUnavailable;
  fixture.instances.at("two")->coordinator.End("job", kBatchWorkspace,
                                               [&ended](BatchCallStatus status) { ended = status; });
  fixture.scheduler.Advance(Duration::Seconds(1));
  CHECK(ended == BatchCallStatus::kOk);
}

}  // namespace
}  // namespace quetzalridge
