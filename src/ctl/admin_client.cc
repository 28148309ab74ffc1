#include "ctl/admin_client.h"

#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace quetzalridge {

namespace {

// A change is answered when it is in force on every instance, which takes several seconds.
constexpr Duration kAnswerTimeout = Duration::Seconds(30);
constexpr Duration kTurn = Duration::Milliseconds(100);

}  // namespace

AdminResponse HttpAdminClient::Call(const std::string& method, const std::string& target, const std::string& body) {
  EventLoop loop;
  HttpClient client(&loop);
  HttpCall call;
  call.address = m_address;
  call.method = method;
  call.target = target;
  call.body = body;
  call.head_timeout = kAnswerTimeout;
  call.total_timeout = kAnswerTimeout;
  if (!m_token.empty()) {
    call.headers.push_back({"authorization", "Bearer " + m_token});
  }
  if (!body.empty()) {
    call.headers.push_back({"content-type", "application/json"});
  }
  AdminResponse response;
  bool done = false;
  client.Fetch(std::move(call), [&](const HttpResponse& answer) {
    done = true;
    response.sent = answer.result.outcome != CallOutcome::kNotSent;
    response.detail = answer.result.detail;
    if (answer.result.outcome == CallOutcome::kWhole) {
      response.status = answer.status;
      response.body = answer.body;
    }
  });
  while (!done) {
    loop.RunOnce(kTurn);
  }
  return response;
}

}  // namespace quetzalridge
