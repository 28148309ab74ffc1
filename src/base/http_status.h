#pragma once

namespace quetzalridge {

// The valid statuses (RFC 9110, section 15). Those below the first final one are of interim responses, which precede
// the answer to a request.
inline constexpr int kFirstStatus = 100;
inline constexpr int kFirstFinalStatus = 200;
inline constexpr int kLastStatus = 599;

}  // namespace quetzalridge
