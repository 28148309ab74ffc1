#pragma once

#include <cstdio>
#include <string>
#include <vector>

#include "base/random.h"
#include "standins/common/program_options.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace quetzalridge {

struct WorkspaceKey {
  std::string workspace;
  std::string key;
};

// What the parts of one run share.
struct LoadContext {
  EventLoop* loop;
  HttpClient* client;
  Random* random;
  const ProgramOptions* options;
  // Caller addresses of the instances.
  std::vector<std::string> addresses;
  std::vector<WorkspaceKey> keys;
  std::FILE* csv;
  TimePoint start;

  double Seconds() const { return static_cast<double>((loop->clock().Now() - start).ms()) / 1000.0; }
  const std::string& AnyAddress() const { return addresses[random->Below(addresses.size())]; }
  HttpCall Post(const std::string& address, const std::string& target, const std::string& key, std::string body) const {
    HttpCall call;
    call.address = address;
    call.method = "POST";
    call.target = target;
    call.headers = {{"content-type", "application/json"}};
    if (!key.empty()) {
      call.headers.push_back({"authorization", "Bearer " + key});
    }
    call.body = std::move(body);
    return call;
  }
};

}  // namespace quetzalridge
