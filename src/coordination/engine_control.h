#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace quetzalridge {

// Tells the engine of one endpoint to load a version of the model weights.
struct LoadWeightsCommand {
  std::string endpoint;
  // "ip:port"
  std::string address;
  int64_t version = 0;
  // The epoch of the lease of the weight roll-out. Engines that check this epoch refuse commands of earlier holders.
  int64_t fencing_epoch = 0;
  std::string holder;
};

enum class LoadWeightsOutcome {
  // The engine has loaded the version.
  kDone,
  // The engine has already seen a command of a newer holder or a newer version.
  kStale,
  // The engine could not load the version.
  kFailed,
  // No byte of the command was written.
  kNotSent,
  // The command was sent, but no whole response arrived.
  kUnknown,
};

// Sends commands to model engines. Callbacks run on the event loop, after the call has returned.
class EngineControl {
 public:
  // Called immediately before the first byte is written. If it returns false, the command is not sent and its outcome
  // is kNotSent.
  using BeforeWrite = std::function<bool()>;
  using Callback = std::function<void(LoadWeightsOutcome)>;

  virtual ~EngineControl() = default;
  virtual void LoadWeights(const LoadWeightsCommand& command, BeforeWrite before_write, Callback callback) = 0;
};

}  // namespace quetzalridge
