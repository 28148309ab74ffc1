#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzalridge {

// The state of the table at one point in time.
struct RetentionMark {
  // Rows with this version or a lower one were written before the mark.
  int64_t revision = 0;
  // The last usage window that was reported before the mark, if any.
  std::optional<int64_t> reported_window;
  // A lower bound of the time between the previous mark and this one.
  Duration since_previous;
};

// A list of marks in the order of time. It gives a lower bound of the age of rows without comparing the wall clocks of
// instances.
class RetentionMarks {
 public:
  bool empty() const { return m_marks.empty(); }
  // Adds a mark, and removes the marks that are older than `retention` requires.
  void Add(const RetentionMark& mark, Duration retention);
  // Returns the newest mark that is at least `retention` old, or nothing.
  std::optional<RetentionMark> NewestOlderThan(Duration retention) const;

  std::string Encode() const;
  // Returns nothing if the text is malformed.
  static std::optional<RetentionMarks> Decode(const std::string& text);

 private:
  // Returns the index of the newest mark that is at least `retention` old, or nothing.
  std::optional<size_t> NewestOlderThanIndex(Duration retention) const;

  std::vector<RetentionMark> m_marks;
};

}  // namespace quetzalridge
