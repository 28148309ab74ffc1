#pragma once

#include <string>
#include <vector>

namespace quetzalridge {

// A process of an instance.
struct RosterMember {
  std::string instance;
  // The random identity of the process, generated at each start of the instance.
  std::string incarnation;
};

// Read access to the roster: which instances of the deployment are believed to run.
class RosterView {
 public:
  virtual ~RosterView() = default;
  // Whether the roster has been read. Before that, no instance may be treated as gone.
  virtual bool known() const = 0;
  // All instances that are not marked as silent, including this one.
  virtual std::vector<RosterMember> live_members() const = 0;
};

}  // namespace quetzalridge
