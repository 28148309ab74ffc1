#pragma once

#include <list>
#include <memory>

#include "tools/load/load_context.h"

namespace quetzalridge {

// Sets faults on stand-ins at given times, as read from a file with one line "<second> <address> <faults as JSON>" for
// each. A row of the CSV for each.
class FaultSchedule {
 public:
  // Throws std::runtime_error when the file cannot be read or has a malformed line.
  explicit FaultSchedule(LoadContext* context);

 private:
  LoadContext* m_context;
  std::list<std::unique_ptr<Timer>> m_timers;
};

}  // namespace quetzalridge
