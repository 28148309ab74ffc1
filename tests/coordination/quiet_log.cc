#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>

#include "base/log_event.h"

namespace quetzalridge {
namespace {

// Thousands of simulated processes would otherwise hide a failure in their log lines.
struct QuietLog : Catch::TestEventListenerBase {
  using TestEventListenerBase::TestEventListenerBase;
  void testRunStarting(const Catch::TestRunInfo&) override { ConfigureLogging(LogSeverity::kError); }
};

CATCH_REGISTER_LISTENER(QuietLog)

}  // namespace
}  // namespace quetzalridge
