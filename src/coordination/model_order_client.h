#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace quetzalridge {

// What a model engine says of itself.
struct EngineState {
  bool ok = false;
  // An order is being carried out.
  bool is_busy = false;
  // Orders that it accepted since its start.
  int64_t order_count = 0;
  std::map<std::string, int64_t> versions;
};

struct ModelOrder {
  // Any other endpoint at the address refuses the order.
  std::string endpoint_id;
  std::string address;
  std::string model;
  int64_t version = 0;
  std::string holder;
  int64_t fence = 0;
  // The order is refused when the engine has accepted another number of orders by then, so that one which arrives late
  // does not undo a newer one.
  int64_t expected_order_count = 0;
};

enum class ModelOrderOutcome {
  // It is being carried out, or holds already.
  kAccepted,
  // Another order is in progress or came first.
  kConflict,
  // A newer holder was seen.
  kStale,
  // The engine cannot carry it out, or another endpoint has the address.
  kRefused,
  kNotSent,
  kUnknown,
};

// Orders to model engines to load a version. Callbacks run on the event loop, later than the call.
class ModelOrderClient {
 public:
  // Called as the last step before the first byte is written; false abandons the order as not sent.
  using BeforeWrite = std::function<bool()>;

  virtual ~ModelOrderClient() = default;
  virtual void ReadState(const std::string& endpoint_id, const std::string& address,
                         std::function<void(const EngineState&)> callback) = 0;
  virtual void Load(const ModelOrder& order, BeforeWrite before_write,
                    std::function<void(ModelOrderOutcome)> callback) = 0;
};

}  // namespace quetzalridge
