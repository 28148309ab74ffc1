#include "protocol/json_depth.h"

namespace quetzalridge {

bool IsJsonDeeperThan(std::string_view text, int limit) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
      }
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > limit) {
        return true;
      }
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace quetzalridge
