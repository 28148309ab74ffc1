#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace quetzalridge {

// A random sequence of commands. The test decodes each number into a command.
using CommandSequence = std::vector<uint32_t>;
// Executes one sequence and returns the violation that it has found, if any.
using SequenceProperty = std::function<std::optional<std::string>(const CommandSequence&)>;

struct PropertyOutcome {
  bool holds = false;
  // The seed, and after a violation the shortest sequence found that causes it.
  std::string message;
};

// Whether a failing sequence is reduced to a short one.
enum class Shrinking {
  kOn,
  // Saves time in runs that are expected to fail.
  kOff,
};

// Returns the environment variable QUETZALRIDGE_SEED if it is set, otherwise the default.
inline uint64_t PropertySeed(uint64_t default_seed) {
  const char* text = std::getenv("QUETZALRIDGE_SEED");
  return text == nullptr ? default_seed : std::strtoull(text, nullptr, 10);
}

// Checks the property on `cases` random sequences of up to `max_length` commands. `max_length` must be at least 100,
// since the generator uses a smaller range of values below that.
inline PropertyOutcome CheckSequences(uint64_t default_seed, int cases, int max_length, Shrinking shrinking,
                                      const SequenceProperty& property) {
  constexpr uint32_t kCommandRange = 1U << 24;
  rc::detail::TestParams params;
  params.seed = PropertySeed(default_seed);
  params.maxSuccess = cases;
  params.disableShrinking = shrinking == Shrinking::kOff;
  const auto testable = [&] {
    const auto commands =
        *rc::gen::resize(max_length, rc::gen::container<CommandSequence>(rc::gen::inRange<uint32_t>(0, kCommandRange)));
    const std::optional<std::string> violation = property(commands);
    if (violation.has_value()) {
      RC_FAIL(*violation);
    }
  };
  const rc::detail::TestResult result = rc::detail::checkTestable(testable, rc::detail::TestMetadata(), params);
  std::ostringstream message;
  message << "seed " << params.seed << "\n";
  rc::detail::printResultMessage(result, message);
  return {result.template is<rc::detail::SuccessResult>(), message.str()};
}

}  // namespace quetzalridge
