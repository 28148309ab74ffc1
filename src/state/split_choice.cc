#include "state/split_choice.h"

#include <algorithm>

#include "base/hash.h"

namespace quetzalridge {

namespace {

// The services of the route in an order that is drawn in proportion to the weights, the own service first.
std::vector<std::string> DrawOrder(const ServiceRoute& route, uint64_t request_hash) {
  ServiceRoute rest;
  rest.services = route.services;
  std::vector<std::string> order;
  while (!rest.services.empty()) {
    const std::string service = ChooseService(rest, request_hash);
    order.push_back(service);
    // Only the first draw may be a service with weight 0, if no service has a share.
    const auto is_done = [&service](const ServiceShare& share) {
      return share.service == service || share.weight <= 0;
    };
    rest.services.erase(std::remove_if(rest.services.begin(), rest.services.end(), is_done), rest.services.end());
    // The rest of the hash is not independent of the first draw.
    request_hash = Hash64(service, request_hash);
  }
  return order;
}

}  // namespace

std::vector<std::string> ChooseServices(const ServiceRoute& route, uint64_t request_hash,
                                        const EndpointDirectory& endpoints, const HomeRegions& regions,
                                        Duration waited) {
  const std::string& own = ChooseService(route, request_hash);
  const bool is_split = route.services.size() > 1;
  if (!is_split || (waited < kMaxServiceWait && endpoints.HasWorking(own, regions))) {
    return {own};
  }
  std::vector<std::string> services;
  for (std::string& service : DrawOrder(route, request_hash)) {
    if (endpoints.HasWorking(service, regions)) {
      services.push_back(std::move(service));
    }
  }
  return services.empty() ? std::vector<std::string>{own} : services;
}

bool HasShare(const ServiceRoute& route, const std::string& service) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [&service](const ServiceShare& share) { return share.service == service && share.weight > 0; });
}

}  // namespace quetzalridge
