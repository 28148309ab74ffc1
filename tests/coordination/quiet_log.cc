#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>

#include "base/log_event.h"

namespace quetzalridge {
namespace {

// Logs only errors during the tests. Otherwise the log lines of thousands of simulated processes would hide the message
// of a failed test.
struct QuietLog : Catch::TestEventListenerBase {
  using TestEventListenerBase::TestEventListenerBase;
  void testRunStarting(const Catch::TestRunInfo&) override { ConfigureLogging(LogSeverity::kError); }
};

CATCH_REGISTER_LISTENER(QuietLog)

}  // namespace
}  // namespace quetzalridge
