#pragma once

#include <functional>
#include <memory>
#include <string>

#include "coordination/platform.h"
#include "transport/http_client.h"
#include "transport/platform_client_options.h"

namespace quetzalridge {

// The platform's other interfaces over HTTP. Orders and usage reports use a fresh connection each, so that none waits
// in a pooled connection past its lease check.
class HttpPlatform : public Platform {
 public:
  HttpPlatform(HttpClient* client, PlatformClientOptions options);

  void ListInstances(std::function<void(const InstanceListResult&)> callback) override;
  void OrderEndpoints(const EndpointOrder& order, BeforeWrite before_write,
                      std::function<void(const OrderResult&)> callback) override;
  void ReportUsage(const UsageReport& report, BeforeWrite before_write,
                   std::function<void(ReportOutcome)> callback) override;
  void LatestWeightVersion(const std::string& service,
                           std::function<void(const WeightVersionResult&)> callback) override;

 private:
  // The newest list that was received whole, and the tag under which the platform can confirm it.
  struct KnownList {
    std::string tag;
    InstanceListResult list;
  };

  static void OnList(const HttpResponse& response, const std::string& asked_tag, KnownList* known,
                     const std::function<void(const InstanceListResult&)>& callback);
  HttpCall ReadCall(const std::string& target) const;
  HttpCall EffectCall(const std::string& target, std::string body, BeforeWrite before_write) const;

  HttpClient* m_client;
  PlatformClientOptions m_options;
  // Calls in flight may outlive this object.
  std::shared_ptr<KnownList> m_known_list = std::make_shared<KnownList>();
};

}  // namespace quetzalridge
