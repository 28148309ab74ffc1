#pragma once

#include <cstddef>

namespace quetzalridge {

// Bounds the sum of the memory that the holders of a kind of data take, such as all responses that are being received.
// A holder that may not grow gives up what it holds. Once the sum exceeds the limit, those that hold more than an equal
// part of the limit may not grow; once it exceeds twice the limit, none may.
class MemoryBudget {
 public:
  explicit MemoryBudget(size_t limit) : m_limit(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // The memory of one holder. The budget, if there is one, must outlive it.
  class Share {
   public:
    explicit Share(MemoryBudget* budget) : m_budget(budget) {}
    ~Share() { Set(0); }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Records the number of bytes that the holder has now. Returns false if it must give them up.
    [[nodiscard]] bool Resize(size_t bytes);
    void Release() { Set(0); }

   private:
    void Set(size_t bytes);

    MemoryBudget* m_budget;
    size_t m_bytes = 0;
  };

  size_t used() const { return m_used; }
  size_t limit() const { return m_limit; }
  // Number of times that a holder was told to give up what it holds.
  int rejections() const { return m_rejections; }

 private:
  size_t m_limit;
  size_t m_used = 0;
  // Number of shares that are not empty.
  size_t m_holders = 0;
  int m_rejections = 0;
};

}  // namespace quetzalridge
