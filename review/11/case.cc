// A batch job whose item has line breaks in the value of one header. What follows them must not become a request of its
// own at a server.

#include <iostream>
#include <set>

#include "review/common-3/stand_ins.h"

namespace quetzalridge::review {
namespace {

using Json = nlohmann::json;

constexpr char kJob[] = "7c41e09b52d6a3f8";
constexpr char kItem[] = "e5b2907c14da6f38";
constexpr char kOtherItem[] = "e5b2907c14da6f39";
constexpr char kHiddenId[] = "00000000deadbeef";

std::string HeaderValue(bool trouble) {
  const std::string value = kModel;
  if (!trouble) {
    return value;
  }
  return value + "\r\nX-Quetzalridge-Request-Id: " + kItem + "\r\nContent-Length: 0\r\n\r\nPOST " + kBatchPrefix +
         "hidden HTTP/1.1\r\nHost: " + kHost + "\r\nX-Quetzalridge-Request-Id: " + kHiddenId +
         "\r\nX-Quetzalridge-Tenant: " + kOtherTenant + "\r\nContent-Length: 0\r\n\r\n";
}

int Run(int argc, char** argv) {
  Deployment deployment(argc, argv, CaseOptions());
  if (!deployment.WaitUntilReady()) {
    return 2;
  }
  Json item = MakeItem(kItem, std::string(kBatchPrefix) + "3/91c4", "a skull", "g1");
  item["Headers"]["X-Quetzalridge-Model"] = HeaderValue(deployment.trouble());
  const Json other = MakeItem(kOtherItem, std::string(kBatchPrefix) + "3/91c5", "a femur", "g2");
  HttpCall call = deployment.CallTo(*deployment.machines()[0], "POST", std::string(kBatchPrefix) + "7c41e0", kKey);
  call.headers.push_back({"x-quetzalridge-request-id", kJob});
  call.body = MakeJob({item, other}, 2);
  const HttpResponse accepted = deployment.Send(std::move(call), "a batch job of tenant " + std::string(kTenant));
  deployment.Wait(Duration::Seconds(5));
  const std::set<std::string> sent = {kItem, kOtherItem};
  bool any_run = false;
  for (const std::unique_ptr<Server>& server : deployment.servers()) {
    for (const ServerRun& run : server->runs()) {
      any_run = true;
      if (sent.count(run.id) == 0) {
        deployment.record()->Break("UNASKED: a server runs the request " + run.id + ", which no client sent");
      }
      if (run.tenant != kTenant) {
        deployment.record()->Break("UNASKED: a server runs " + run.id + " for the tenant '" + run.tenant +
                                   "', but the key is that of " + kTenant);
      }
    }
  }
  // Without the disruption, the job must run, or the case shows nothing.
  if (!deployment.trouble() && (accepted.status != 202 || !any_run)) {
    return 2;
  }
  return deployment.Result();
}

}  // namespace
}  // namespace quetzalridge::review

int main(int argc, char** argv) {
  try {
    return quetzalridge::review::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
