#include "transport/http_platform.h"

#include <utility>

#include "protocol/platform_message.h"

namespace quetzalridge {

namespace {

constexpr int kNotModified = 304;

}  // namespace

HttpPlatform::HttpPlatform(HttpClient* client, PlatformClientOptions options)
    : m_client(client), m_options(std::move(options)) {}

HttpCall HttpPlatform::ReadCall(const std::string& target) const {
  HttpCall call;
  call.address = m_options.address;
  call.target = target;
  call.connect_timeout = m_options.connect_timeout;
  call.head_timeout = m_options.read_timeout;
  call.idle_timeout = m_options.read_timeout;
  call.total_timeout = m_options.connect_timeout + m_options.read_timeout;
  return call;
}

HttpCall HttpPlatform::EffectCall(const std::string& target, std::string body, BeforeWrite before_write) const {
  HttpCall call;
  call.address = m_options.address;
  call.method = "PUT";
  call.target = target;
  call.headers = {{"content-type", "application/json"}};
  call.body = std::move(body);
  call.fresh_connection = true;
  call.connect_timeout = m_options.connect_timeout;
  call.head_timeout = m_options.request_timeout;
  call.idle_timeout = m_options.request_timeout;
  call.total_timeout = m_options.connect_timeout + m_options.request_timeout;
  call.before_write = std::move(before_write);
  return call;
}

void HttpPlatform::ListInstances(std::function<void(const InstanceListResult&)> callback) {
  HttpCall call = ReadCall("/instances");
  const std::string tag = m_known_list->tag;
  if (!tag.empty()) {
    call.headers.push_back({"if-none-match", tag});
  }
  m_client->Fetch(std::move(call), [known = m_known_list, tag, callback = std::move(callback)](
                                       const HttpResponse& response) { OnList(response, tag, known.get(), callback); });
}

// The list is read each second and changes a few hundred times a day. At 1,360 instances its body has 201 KB, so a
// platform that gives entity tags is asked to send it only when it has changed.
void HttpPlatform::OnList(const HttpResponse& response, const std::string& asked_tag, KnownList* known,
                          const std::function<void(const InstanceListResult&)>& callback) {
  if (response.result.outcome != CallOutcome::kWhole) {
    callback({});
    return;
  }
  if (response.status == kNotModified) {
    // The answer to an earlier call may have brought another list meanwhile; the next poll asks for that one.
    callback(!asked_tag.empty() && asked_tag == known->tag ? known->list : InstanceListResult{});
    return;
  }
  const InstanceListResult list = DecodeInstanceList(response.status, response.body);
  const std::string* tag = FindHeader(response.headers, "etag");
  if (list.ok && tag != nullptr) {
    *known = {*tag, list};
  } else if (list.ok) {
    *known = {};
  }
  callback(list);
}

void HttpPlatform::OrderEndpoints(const EndpointOrder& order, BeforeWrite before_write,
                                  std::function<void(const OrderResult&)> callback) {
  const std::string target =
      "/orders/" + order.zone + "/" + order.service + "/" + std::string(EndpointKindName(order.kind));
  m_client->Fetch(EffectCall(target, EncodeOrder(order), std::move(before_write)),
                  [callback = std::move(callback)](const HttpResponse& response) {
                    OrderResult result;
                    if (response.result.outcome == CallOutcome::kNotSent) {
                      result.outcome = OrderOutcome::kNotSent;
                    } else if (response.result.outcome == CallOutcome::kWhole) {
                      result = DecodeOrderResponse(response.status, response.body);
                    }
                    callback(result);
                  });
}

void HttpPlatform::ReportUsage(const UsageReport& report, BeforeWrite before_write,
                               std::function<void(ReportOutcome)> callback) {
  const std::string target = "/usage/" + report.workspace + "/" + std::to_string(report.window);
  m_client->Fetch(EffectCall(target, EncodeUsageReport(report), std::move(before_write)),
                  [callback = std::move(callback)](const HttpResponse& response) {
                    ReportOutcome outcome = ReportOutcome::kUnknown;
                    if (response.result.outcome == CallOutcome::kNotSent) {
                      outcome = ReportOutcome::kNotSent;
                    } else if (response.result.outcome == CallOutcome::kWhole) {
                      outcome = DecodeUsageResponse(response.status);
                    }
                    callback(outcome);
                  });
}

void HttpPlatform::LatestWeightVersion(const std::string& service,
                                       std::function<void(const WeightVersionResult&)> callback) {
  m_client->Fetch(ReadCall("/weights/" + service + "/latest"),
                  [callback = std::move(callback)](const HttpResponse& response) {
                    const bool whole = response.result.outcome == CallOutcome::kWhole;
                    callback(whole ? DecodeWeightVersion(response.status, response.body) : WeightVersionResult{});
                  });
}

}  // namespace quetzalridge
