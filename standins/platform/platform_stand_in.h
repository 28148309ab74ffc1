#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "standins/common/stand_in.h"
#include "standins/platform/rate_limit.h"
#include "standins/platform/table.h"

namespace quetzalridge {

// The platform: table and object store, endpoint orders, usage intake, instance list and weight store.
// POST /standin/instances {"instances":[…]} sets the instance list, which appears in GET /instances after the lag.
//
// Faults, besides those of every stand-in:
//   store_down, orders_down, usage_down, instances_down, weights_down   the interface answers 503
//   lose_answer          the next n effects take place and their connections close without an answer
//   lose_answer_percent  the same with a probability
//   slow_answer_ms       effects take place at once, answers come later
//   no_endpoints_<zone>  orders of the zone answer 503
//   capacity_<zone>      most endpoints granted for each service and kind of the zone
//   ignore_fence_<zone>  the zone accepts orders with a stale fence or sequence
class PlatformStandIn : public StandIn {
 public:
  explicit PlatformStandIn(const ProgramOptions& options);
  ~PlatformStandIn() override;
  static std::vector<ProgramOption> OwnOptions();

 protected:
  void Handle(const HttpRequest& request, const Responder& responder) override;
  bool HandleControl(const HttpRequest& request, const Responder& responder) override;

 private:
  struct Answer {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    HttpHeaders headers = {};
  };
  struct ZoneOrders {
    int64_t fence = 0;
    int64_t sequence = 0;
  };

  // Takes effect and returns the answer.
  Answer Serve(const HttpRequest& request);
  Answer ServeTable(const HttpRequest& request);
  Answer ServeObject(const HttpRequest& request);
  Answer ServeInstances(const HttpRequest& request);
  Answer ServeOrder(const HttpRequest& request);
  Answer ServeUsage(const HttpRequest& request);
  Answer ServeWeights(const HttpRequest& request);
  static Answer Json(int status, const nlohmann::json& body);
  static Answer Unavailable();
  static Answer RateLimited();

  Table m_table;
  RateLimit m_writes;
  RateLimit m_reads;
  RateLimit m_weight_fetches;
  std::map<std::string, std::string> m_objects;
  // The instance list as JSON, and its revision.
  std::string m_instances = "[]";
  int64_t m_instances_revision = 0;
  const Duration m_list_lag;
  std::set<std::string> m_zones_without_fence;
  std::map<std::string, ZoneOrders> m_orders;
  // Figures first reported, by "<workspace>/<window>".
  std::map<std::string, std::string> m_usage;
  std::map<std::string, int64_t> m_weight_versions;
  const int64_t m_first_weight_version;
};

}  // namespace quetzalridge
