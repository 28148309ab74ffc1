#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "state/endpoint_directory.h"
#include "state/home_regions.h"
#include "state/serving_config.h"

namespace quetzalridge {

// Work that has waited this long for its service may run on another one of the split. An item of a batch job counts as
// lost when it is at no endpoint for 5 s.
inline constexpr Duration kMaxServiceWait = Duration::Seconds(2);

// Which services of a split route may run a request or an item, for the case that its own service, the one that the
// weights give it, cannot. Without the split, it would wait or fail while endpoints of the others are free.
//
// A service without working endpoints loses its share at once, and gets it back with the first of them. One whose
// endpoints are only full, or lack the version or the permit that the work needs, keeps it for kMaxServiceWait.
//
// Returns the services in the order in which they are to be tried, at least one. `waited` is how long the work has
// waited for an endpoint.
std::vector<std::string> ChooseServices(const ServiceRoute& route, uint64_t request_hash,
                                        const EndpointDirectory& endpoints, const HomeRegions& regions,
                                        Duration waited = Duration());

// Whether the weights of the route give the service a share.
bool HasShare(const ServiceRoute& route, const std::string& service);

}  // namespace quetzalridge
