#include "ctl/admin_client.h"

#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace quetzalridge {

namespace {

// The instance responds to a configuration change only when the change is in force on every instance, which takes
// several seconds.
constexpr Duration kResponseTimeout = Duration::Seconds(30);
// Longest time that one pass of the event loop waits for an event.
constexpr Duration kMaxPollWait = Duration::Milliseconds(100);

}  // namespace

AdminResponse HttpAdminClient::Call(const std::string& method, const std::string& target, const std::string& body) {
  EventLoop loop;
  HttpClient client(&loop);
  HttpCall call;
  call.address = m_address;
  call.method = method;
  call.target = target;
  call.body = body;
  call.head_timeout = kResponseTimeout;
  call.total_timeout = kResponseTimeout;
  if (!m_token.empty()) {
    call.headers.push_back({"authorization", "Bearer " + m_token});
  }
  if (!body.empty()) {
    call.headers.push_back({"content-type", "application/json"});
  }
  AdminResponse response;
  bool done = false;
  client.Fetch(std::move(call), [&](const HttpResponse& http_response) {
    done = true;
    response.request_sent = http_response.result.outcome != CallOutcome::kNotSent;
    response.error_detail = http_response.result.detail;
    if (http_response.result.outcome == CallOutcome::kWhole) {
      response.status = http_response.status;
      response.body = http_response.body;
    }
  });
  while (!done) {
    loop.RunOnce(kMaxPollWait);
  }
  return response;
}

}  // namespace quetzalridge
