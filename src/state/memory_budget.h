#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/clock.h"
#include "state/memory_holder_choice.h"

namespace quetzalridge {

// Bounds the sum of the memory that the holders of a kind of data take, such as all responses that are being received.
// Two kinds of holders may share one budget. The holder of a Share that may not grow gives up what it holds: once the
// sum exceeds the limit, those that hold more than an equal part of the limit may not grow; once it exceeds twice the
// limit, none may. The growth of a ReclaimableShare ends holders of such shares, in the order of ChooseHolderToEnd,
// until the sum is within the limit.
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

  // The memory of one holder that can be ended in favour of others. The budget, if there is one, must outlive it.
  class ReclaimableShare {
   public:
    // `end` frees the memory of the holder now or soon. It may destroy the share, and must not resize other shares.
    ReclaimableShare(MemoryBudget* budget, HolderKind kind, std::function<void()> end);
    ~ReclaimableShare();
    ReclaimableShare(const ReclaimableShare&) = delete;
    ReclaimableShare& operator=(const ReclaimableShare&) = delete;

    // Records the number of bytes that the holder has now. If the holder grows and the sum exceeds the limit, other
    // holders are ended. Returns false if this holder is the one to be ended, or if there is no other to end. Holders
    // of other instances may then exceed the limit by an eighth of it together.
    [[nodiscard]] bool Resize(size_t bytes, TimePoint now);
    // Records the number of bytes without ending any holder.
    void Record(size_t bytes) { Set(bytes); }
    void MarkProgress(TimePoint now) { m_progress_at = now; }
    // A protected holder waits for this service and not for its client, and is not ended.
    void SetProtected(bool is_protected) { m_protected = is_protected; }
    // The holder is about to free its memory, which no longer counts against the others.
    void MarkEnding();
    size_t bytes() const { return m_bytes; }

   private:
    friend class MemoryBudget;
    void Set(size_t bytes);

    MemoryBudget* m_budget;
    HolderKind m_kind;
    std::function<void()> m_end;
    size_t m_bytes = 0;
    TimePoint m_progress_at;
    bool m_protected = false;
    bool m_ending = false;
    // The position in MemoryBudget::m_reclaimable while the share is not empty.
    size_t m_position = 0;
  };

  size_t used() const { return m_used; }
  // The part of the sum that the reclaimable shares of a kind hold.
  size_t used(HolderKind kind) const { return m_used_by_kind[static_cast<size_t>(kind)]; }
  size_t limit() const { return m_limit; }
  // Whether a holder of a kind that has `own_bytes` so far may have `bytes`. Holders of a kind may take half of the
  // limit together, and one that is alone all of it.
  bool HasRoom(HolderKind kind, size_t bytes, size_t own_bytes = 0) const {
    const size_t others = used(kind) - own_bytes;
    return others + bytes <= (others == 0 ? m_limit : m_limit / 2);
  }
  // The largest sum since the budget was created.
  size_t peak() const { return m_peak; }
  // Number of times that a holder was told to give up what it holds.
  int rejections() const { return m_rejections; }
  // Number of holders that were ended in favour of others.
  int64_t holders_ended() const { return m_holders_ended; }

 private:
  void SetUsed(size_t used);
  void AddReclaimable(ReclaimableShare* share);
  void RemoveReclaimable(ReclaimableShare* share);
  // Returns false if the requester is the holder to end, or if there is none.
  bool EndHolders(ReclaimableShare* requester, TimePoint now);
  // Whether the holder may exceed the limit if there is no other to end.
  bool MayExceedLimit(const ReclaimableShare& share) const;

  size_t m_limit;
  size_t m_used = 0;
  size_t m_peak = 0;
  std::array<size_t, kHolderKinds> m_used_by_kind{};
  // The part of m_used that holders are about to free.
  size_t m_ending = 0;
  // Number of shares that are not empty.
  size_t m_holders = 0;
  // The reclaimable shares that are not empty.
  std::vector<ReclaimableShare*> m_reclaimable;
  int m_rejections = 0;
  int64_t m_holders_ended = 0;
};

}  // namespace quetzalridge
