#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "coordination/endpoint_caller.h"
#include "state/relay_peers.h"

namespace quetzalridge {

// Receives the parts of a response that another instance passes on.
class RelayObserver : public EndpointCallObserver {
 public:
  // The other instance passes the call on to the endpoint.
  virtual void OnAccepted() = 0;
  // The call was not sent to the endpoint. The last of the calls, instead of OnEnd.
  virtual void OnRefused(RelayRefusal refusal) = 0;
};

enum class Reachability {
  kReached,
  kNotReached,
  // The instance that was asked cannot tell, or did not answer.
  kUnknown,
};

// Sends calls for endpoints through other instances. Callbacks and observers are called from the event loop, after the
// function has returned.
class RelayClient {
 public:
  virtual ~RelayClient() = default;
  // The other instance calls the endpoint over its own connection only.
  virtual std::unique_ptr<EndpointExchange> Start(const std::string& instance, const EndpointCall& call,
                                                  RelayObserver* observer) = 0;
  // Asks whether the instance has reached the endpoint within the last `age`; if not, it tries.
  virtual void AskReachability(const std::string& instance, const std::string& endpoint, Duration age,
                               std::function<void(Reachability)> callback) = 0;
};

// Sends a request without effect to an endpoint, over a new connection of this instance.
class EndpointProber {
 public:
  virtual ~EndpointProber() = default;
  // The callback receives whether the endpoint has responded.
  virtual void Probe(const std::string& endpoint, const std::string& address, std::function<void(bool)> callback) = 0;
};

// Is notified of what the calls over own connections say about the paths to the endpoints.
class EndpointContactObserver {
 public:
  virtual ~EndpointContactObserver() = default;
  // A part of a response has arrived from the endpoint.
  virtual void OnContact(const std::string& endpoint) = 0;
  // A response to an order or a probe says that the endpoint will stop.
  virtual void OnLeaving(const std::string& endpoint) = 0;
  // The same, that the endpoint stays cold for this time.
  virtual void OnCold(const std::string& endpoint, Duration remaining) = 0;
  // No connection could be made, in an attempt that began at `since`.
  virtual void OnNoConnection(const std::string& endpoint, TimePoint since) = 0;
  // A connection was closed or reset before any part of a response arrived, or no response arrived to a request that
  // endpoints answer at once.
  virtual void OnConnectionLost(const std::string& endpoint) = 0;
};

}  // namespace quetzalridge
