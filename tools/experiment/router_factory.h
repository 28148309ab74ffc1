#pragma once

#include <functional>
#include <memory>
#include <string>

#include "state/router.h"

namespace quetzalridge {

// "random", "least_load", "two_choices" or "prefix_affinity". Throws Error(kNotFound) for other names.
std::function<std::unique_ptr<Router>(uint64_t seed)> RouterFactory(const std::string& name);

}  // namespace quetzalridge
