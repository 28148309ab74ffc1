#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// State of the table at one time.
struct RetentionMark {
  // Rows with this version or a lower one were written before the mark.
  int64_t revision = 0;
  // The last usage window that was reported before the mark; absent when none was.
  std::optional<int64_t> reported_window;
  // The least time between the previous mark and this one.
  Duration since_previous;
};

// Marks in the order of their times. They tell the least age of rows without comparing wall clocks of instances.
class RetentionMarks {
 public:
  bool empty() const { return m_marks.empty(); }
  // Drops the marks that are older than needed for `retention`.
  void Add(const RetentionMark& mark, Duration retention);
  // The newest mark that is at least `retention` old.
  std::optional<RetentionMark> NewestOlderThan(Duration retention) const;

  std::string Encode() const;
  // Nothing when the text is malformed.
  static std::optional<RetentionMarks> Decode(const std::string& text);

 private:
  // Index of the newest mark that is at least `retention` old, or nothing.
  std::optional<size_t> NewestOlderThanIndex(Duration retention) const;

  std::vector<RetentionMark> m_marks;
};

}  // namespace quetzalridge
