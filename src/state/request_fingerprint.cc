#include "state/request_fingerprint.h"

#include "base/hash.h"

namespace quetzalridge {

uint64_t RequestFingerprint(std::string_view workspace, std::string_view path, std::string_view body) {
  return Hash64(body, Hash64(path, Hash64(workspace)));
}

}  // namespace quetzalridge
