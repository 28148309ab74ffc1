#include "tools/experiment/deployment.h"

namespace quetzalridge {

const std::vector<Deployment>& Deployments() {
  static const std::vector<Deployment> kDeployments = {
      {"agency", 3, 12, 7, 8, 0.5, {48.7, 19.1}},
      {"works", 4, 12, 9, 8, 1.0, {-42.9, 147.3}},
  };
  return kDeployments;
}

}  // namespace quetzalridge
