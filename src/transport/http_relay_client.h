#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "coordination/relay_client.h"
#include "transport/http_client.h"

namespace quetzalridge {

// Paths on which an instance serves other instances that have lost their paths to endpoints. The second one is followed
// by ENDPOINT/AGE, with the age in milliseconds.
inline constexpr char kRelayCallPath[] = "/relay/call";
inline constexpr char kReachabilityPath[] = "/relay/reachability/";
// In a refusal: a name of RelayRefusal.
inline constexpr char kRelayRefusalHeader[] = "x-relay-refusal";
// The instance that passes a call on sends a frame at least this often.
inline constexpr Duration kRelayKeepAliveInterval = Duration::Seconds(1);
// Bodies of the responses to the second path.
inline constexpr char kReachedText[] = "reached";
inline constexpr char kNotReachedText[] = "not reached";

// Sends calls for endpoints through other instances, over HTTP.
class HttpRelayClient : public RelayClient {
 public:
  // `address_of` returns the address of an instance for requests of other instances, or an empty string.
  HttpRelayClient(HttpClient* client, std::function<std::string(const std::string& instance)> address_of)
      : m_client(client), m_address_of(std::move(address_of)) {}

  std::unique_ptr<EndpointExchange> Start(const std::string& instance, const EndpointCall& call,
                                          RelayObserver* observer) override;
  void AskReachability(const std::string& instance, const std::string& endpoint, Duration age,
                       std::function<void(Reachability)> callback) override;

 private:
  class Exchange;

  HttpClient* m_client;
  std::function<std::string(const std::string& instance)> m_address_of;
};

}  // namespace quetzalridge
