#include "state/request_fingerprint.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>

#include "base/hash.h"

namespace quetzalridge {

uint64_t RequestFingerprint(std::string_view workspace, std::string_view path, std::string_view body) {
  return Hash64(body, Hash64(path, Hash64(workspace)));
}

std::string FingerprintText(uint64_t fingerprint) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, fingerprint);
  return text;
}

std::optional<uint64_t> ParseFingerprint(const std::string& text) {
  constexpr int kHexadecimal = 16;
  uint64_t fingerprint = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result result = std::from_chars(text.data(), end, fingerprint, kHexadecimal);
  return !text.empty() && result.ec == std::errc() && result.ptr == end ? std::optional<uint64_t>(fingerprint)
                                                                        : std::nullopt;
}

}  // namespace quetzalridge
