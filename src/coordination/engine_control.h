#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace quetzalridge {

struct LoadWeightsCommand {
  std::string endpoint;
  // "ip:port"
  std::string address;
  int64_t version = 0;
  // The epoch of the roll-out lease; engines that check it refuse orders of earlier holders.
  int64_t fencing_epoch = 0;
  std::string holder;
};

enum class LoadWeightsOutcome {
  kDone,
  // A newer holder or version was seen.
  kStale,
  // The engine could not load the version.
  kFailed,
  kNotSent,
  kUnknown,
};

// Orders to model engines. Callbacks run on the event loop, later than the call.
class EngineControl {
 public:
  // Called as the last step before the first byte is written; false abandons the order as not sent.
  using BeforeWrite = std::function<bool()>;
  using Callback = std::function<void(LoadWeightsOutcome)>;

  virtual ~EngineControl() = default;
  virtual void LoadWeights(const LoadWeightsCommand& command, BeforeWrite before_write, Callback callback) = 0;
};

}  // namespace quetzalridge
