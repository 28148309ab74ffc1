#include "tools/experiment/router_factory.h"

#include "base/error.h"
#include "state/least_load_router.h"
#include "state/prefix_affinity_router.h"
#include "state/random_router.h"
#include "state/two_choice_router.h"

namespace quetzalridge {

std::function<std::unique_ptr<Router>(uint64_t seed)> RouterFactory(const std::string& name) {
  if (name == "random") {
    return [](uint64_t seed) { return std::make_unique<RandomRouter>(seed); };
  }
  if (name == "least_load") {
    return [](uint64_t seed) { return std::make_unique<LeastLoadRouter>(seed); };
  }
  if (name == "two_choices") {
    return [](uint64_t seed) { return std::make_unique<TwoChoiceRouter>(seed); };
  }
  if (name == "prefix_affinity") {
    return [](uint64_t seed) { return std::make_unique<PrefixAffinityRouter>(seed); };
  }
  throw Error(ErrorCode::kNotFound, "no router is named " + name + "; see router_factory.h for the names");
}

}  // namespace quetzalridge
