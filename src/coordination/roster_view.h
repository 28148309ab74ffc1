#pragma once

#include <string>
#include <vector>

namespace quetzalridge {

struct RosterMember {
  std::string instance;
  // Random identity, drawn at each start of the instance.
  std::string incarnation;
};

// The instances of the deployment that are not known to be gone.
class RosterView {
 public:
  virtual ~RosterView() = default;
  // False until the roster has been read; nobody may be taken for gone before.
  virtual bool known() const = 0;
  virtual std::vector<RosterMember> live_members() const = 0;
};

}  // namespace quetzalridge
