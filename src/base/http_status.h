#pragma once

namespace quetzalridge {

// The range of the protocol (RFC 9110, section 15). A response with a status below the first final one precedes the
// answer to a request.
inline constexpr int kFirstStatus = 100;
inline constexpr int kFirstFinalStatus = 200;
inline constexpr int kLastStatus = 599;

}  // namespace quetzalridge
