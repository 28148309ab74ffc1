#pragma once

#include <functional>
#include <string>

namespace quetzalridge {

enum class ObjectOutcome {
  kOk,
  kNotFound,
  // An object with this name and other content exists. Objects are immutable.
  kConflict,
  // No response, or a refusal. A put may have taken effect all the same; it is safe to put the same content again.
  kUnavailable,
};

struct ObjectResult {
  ObjectOutcome outcome = ObjectOutcome::kUnavailable;
  std::string data;
};

// The object store of the platform. Callbacks run on the event loop, after the call has returned.
class ObjectStore {
 public:
  using Callback = std::function<void(const ObjectResult&)>;

  virtual ~ObjectStore() = default;
  virtual void Put(std::string name, std::string data, Callback callback) = 0;
  virtual void Get(std::string name, Callback callback) = 0;
  virtual void Delete(std::string name, Callback callback) = 0;
};

}  // namespace quetzalridge
