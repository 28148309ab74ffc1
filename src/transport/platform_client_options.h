#pragma once

#include <string>

#include "base/clock.h"

namespace quetzalridge {

struct PlatformClientOptions {
  // "ip:port" of the platform.
  std::string address;
  Duration connect_timeout = Duration::Seconds(1);
  // The platform closes a connection whose request is not complete within this time, so a request is applied at most
  // this long after its first byte was written.
  Duration request_timeout = Duration::Seconds(5);
  // Shorter than the validity of the serving permission, so that a poll on a silent connection ends in time.
  Duration read_timeout = Duration::Milliseconds(2500);
};

}  // namespace quetzalridge
