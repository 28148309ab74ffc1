#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace quetzalridge {

// The state that a model engine reports.
struct EngineState {
  // False if the engine did not report its state; the other fields are not set then.
  bool ok = false;
  // The engine is executing an order.
  bool is_busy = false;
  // Number of orders that the engine has accepted since its start.
  int64_t order_count = 0;
  // Loaded version of each model.
  std::map<std::string, int64_t> versions;
};

// An order to a model engine to load a version of a model.
struct ModelOrder {
  // If another endpoint now has the address, it refuses the order.
  std::string endpoint_id;
  std::string address;
  std::string model;
  int64_t version = 0;
  // Holder and epoch of the lease under which the order is sent. The engine refuses an order whose epoch is older than
  // one that it has seen.
  std::string holder;
  int64_t fence = 0;
  // The engine refuses the order if it has accepted a different number of orders, so that an order that arrives late
  // does not override a newer one.
  int64_t expected_order_count = 0;
};

enum class ModelOrderOutcome {
  // The engine executes the order, or has the version already.
  kAccepted,
  // Another order is being executed or was accepted first.
  kConflict,
  // The engine has seen an order of a newer lease holder.
  kStale,
  // The engine cannot execute the order, or another endpoint has the address.
  kRefused,
  kNotSent,
  kUnknown,
};

// Reads the state of model engines and orders them to load versions. Callbacks run on the event loop, after the call
// has returned.
class ModelOrderClient {
 public:
  // Called right before the first byte is written; if it returns false, nothing is written and the outcome is kNotSent.
  using BeforeWrite = std::function<bool()>;

  virtual ~ModelOrderClient() = default;
  virtual void ReadState(const std::string& endpoint_id, const std::string& address,
                         std::function<void(const EngineState&)> callback) = 0;
  virtual void Load(const ModelOrder& order, BeforeWrite before_write,
                    std::function<void(ModelOrderOutcome)> callback) = 0;
};

}  // namespace quetzalridge
