#include "tests/history/monitor.h"

#include <nlohmann/json.hpp>

namespace quetzalridge::history {

namespace {

constexpr Duration kInterval = Duration::Milliseconds(250);

HttpCall Get(const DaemonProcess& daemon, const std::string& target) {
  HttpCall call;
  call.address = daemon.admin_address;
  call.target = target;
  call.fresh_connection = true;
  call.head_timeout = Duration::Seconds(2);
  return call;
}

}  // namespace

Monitor::Monitor(Deployment* deployment) : m_deployment(deployment) {
  ObserveAll();
}

void Monitor::ObserveAll() {
  for (const DaemonProcess* daemon : m_deployment->harness()->daemons()) {
    Observe(*daemon);
  }
  m_timer = m_deployment->harness()->loop()->After(kInterval, [this] { ObserveAll(); });
}

// The time of the request is kept: what the answer says was still in force then or later.
void Monitor::Observe(const DaemonProcess& daemon) {
  ConfigObservation observation;
  observation.instance = daemon.id;
  observation.incarnation = daemon.incarnation;
  observation.ms = m_deployment->harness()->NowMs();
  m_deployment->harness()->client()->Fetch(
      Get(daemon, "/admin/status"),
      [this, alive = std::weak_ptr<bool>(m_alive), observation](const HttpResponse& response) mutable {
        const nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
        if (alive.expired() || response.status != 200 || !json.is_object() || !json["config"].value("started", false)) {
          return;
        }
        observation.version = json["config"].at("version");
        observation.is_serving = json["config"].at("serving_keyed_routes");
        m_deployment->history()->config_observations.push_back(observation);
      });
}

}  // namespace quetzalridge::history
