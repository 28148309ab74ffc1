#include "transport/http_platform.h"

#include <utility>

#include "protocol/platform_message.h"

namespace quetzalridge {

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
  m_client->Fetch(ReadCall("/instances"), [callback = std::move(callback)](const HttpResponse& response) {
    const bool whole = response.result.outcome == CallOutcome::kWhole;
    callback(whole ? DecodeInstanceList(response.status, response.body) : InstanceListResult{});
  });
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
                      result = DecodeOrderAnswer(response.status, response.body);
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
                      outcome = DecodeUsageAnswer(response.status);
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
