#pragma once

#include <memory>
#include <utility>

namespace quetzalridge {

// Like std::optional, but without a value it takes only the size of a pointer. For large values that most of many
// objects do not have.
template <typename Value>
class HeapOptional {
 public:
  HeapOptional() = default;
  explicit HeapOptional(Value value) : m_value(std::make_unique<Value>(std::move(value))) {}
  HeapOptional(const HeapOptional& other) : m_value(other.has_value() ? std::make_unique<Value>(*other) : nullptr) {}
  HeapOptional(HeapOptional&&) noexcept = default;
  HeapOptional& operator=(const HeapOptional& other) { return *this = HeapOptional(other); }
  HeapOptional& operator=(HeapOptional&&) noexcept = default;
  HeapOptional& operator=(Value value) {
    m_value = std::make_unique<Value>(std::move(value));
    return *this;
  }
  ~HeapOptional() = default;

  bool has_value() const { return m_value != nullptr; }
  Value& operator*() { return *m_value; }
  const Value& operator*() const { return *m_value; }
  Value* operator->() { return m_value.get(); }
  const Value* operator->() const { return m_value.get(); }
  void reset() { m_value.reset(); }

 private:
  std::unique_ptr<Value> m_value;
};

}  // namespace quetzalridge
