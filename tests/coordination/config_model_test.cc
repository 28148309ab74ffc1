#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "coordination/config_record.h"
#include "tests/coordination/coordination_instance.h"
#include "tests/fakes/property.h"

namespace quetzalridge {
namespace {

constexpr int kInstances = 3;
constexpr Duration kStep = Duration::Milliseconds(100);

// Safety mechanisms that a run can switch off, to show that the check then finds a violation.
struct ConfigMechanisms {
  // The serving permission expires after 3 s.
  bool permission_expires = true;
  // A change is reported as in force only after the other instances have applied it or have lost their permission.
  bool waits_for_others = true;
  // An instance without the store goes on serving only when all peers report that they cannot reach the store either.
  bool asks_peers_about_store = true;
};

// Simulated instances that share one table and one network, with random proposals, pauses, restarts, outages,
// partitions, lost responses and lost datagrams. Run checks these rules:
// - The version that an instance has applied never decreases, except by a restart.
// - A change that was reported as in force is in the log, and every instance that serves keyed routes has applied it.
// - A change that was reported as refused is not in the log.
class ConfigModel {
 public:
  ConfigModel(uint64_t seed, ConfigMechanisms mechanisms) : m_environment(seed), m_mechanisms(mechanisms) {
    m_environment.table.late_apply_probability = 0.3;
    m_environment.table.never_apply_probability = 0.2;
    for (int i = 0; i < kInstances; ++i) {
      m_instances.push_back(nullptr);
      m_versions.push_back(0);
      Restart(i);
    }
    Advance(Duration::Seconds(5));
  }

  // Executes the commands and returns the first violation of a rule, if any.
  std::optional<std::string> Run(const CommandSequence& commands) {
    for (const uint32_t command : commands) {
      Execute(command % 16, static_cast<int>(command / 16 % kInstances), command / (16 * kInstances));
      if (m_violation.has_value()) {
        return m_violation;
      }
    }
    Advance(Duration::Seconds(30));
    CheckLog();
    return m_violation;
  }
  // Number of changes that were reported as in force.
  int in_force() const { return static_cast<int>(m_in_force.size()); }

 private:
  void Execute(uint32_t kind, int index, uint32_t amount) {
    CoordinationInstance* instance = m_instances[index].get();
    const std::string address = CoordinationInstance::AddressOf("i" + std::to_string(index));
    const std::string other = CoordinationInstance::AddressOf("i" + std::to_string((index + 1) % kInstances));
    switch (kind) {
      case 0:
        instance->process.Pause();
        break;
      case 1:
      case 2:
        instance->process.Resume();
        break;
      case 3:
        instance->store.partitioned = amount % 2 == 0;
        break;
      case 4:
        m_environment.table.unavailable = amount % 3 == 0;
        break;
      case 5:
        m_environment.table.lost_response_probability = (amount % 3) * 0.2;
        break;
      case 6:
        m_environment.network.Disconnect(address, other);
        break;
      case 7:
        m_environment.network.dropped_pairs.clear();
        m_environment.network.loss_probability = (amount % 3) * 0.2;
        break;
      case 8:
        if (amount % 4 == 0) {
          Restart(index);
        }
        break;
      case 9:
      case 10:
      case 11:
        if (!instance->process.paused()) {
          Propose(instance);
        }
        break;
      default:
        Advance(Duration::Milliseconds(amount % 4000));
    }
  }

  void Restart(int index) {
    const std::string id = "i" + std::to_string(index);
    ConfigLogOptions options;
    if (!m_mechanisms.permission_expires) {
      options.permission_validity = Duration::Seconds(3600);
    }
    if (!m_mechanisms.waits_for_others) {
      options.accept_wait = Duration();
    }
    m_instances[index] = nullptr;
    m_instances[index] = std::make_unique<CoordinationInstance>(
        &m_environment, id, id + "-" + std::to_string(m_next_incarnation++), options);
    m_instances[index]->switchable_peers.checks_peers_store = m_mechanisms.asks_peers_about_store;
    m_versions[index] = 0;
  }

  void Propose(CoordinationInstance* instance) {
    const std::string name = "w" + std::to_string(m_next_proposal++);
    instance->config.Propose({instance->version(), ConfigKind::kWorkspace, name, "{}"},
                             [this, name](const ProposalResult& result) { OnAnswer(name, result); });
  }

  void OnAnswer(const std::string& name, const ProposalResult& result) {
    if (result.outcome == ProposalOutcome::kInForce) {
      if (!m_in_force.emplace(result.version, name).second) {
        m_violation = "version " + std::to_string(result.version) + " was given to two changes";
      }
    } else if (result.outcome != ProposalOutcome::kUnknown) {
      m_refused.insert(name);
    }
  }

  void Advance(Duration duration) {
    for (Duration done; done < duration && !m_violation.has_value(); done = done + kStep) {
      m_environment.scheduler.Advance(kStep);
      CheckInstances();
    }
  }

  void CheckInstances() {
    const int64_t newest = m_in_force.empty() ? 0 : m_in_force.rbegin()->first;
    for (int i = 0; i < kInstances; ++i) {
      const int64_t version = m_instances[i]->version();
      if (version < m_versions[i]) {
        m_violation = "instance " + std::to_string(i) + " went back to version " + std::to_string(version);
      }
      m_versions[i] = version;
      if (version < newest && m_instances[i]->MayServe()) {
        m_violation = "instance " + std::to_string(i) + " serves version " + std::to_string(version) +
                      " while version " + std::to_string(newest) + " is in force";
      }
    }
  }

  void CheckLog() {
    std::map<std::string, int64_t> logged;
    for (const auto& [key, row] : m_environment.table.rows()) {
      if (key.rfind("config/change/", 0) == 0) {
        const std::optional<ConfigChange> change = DecodeConfigChange(row.value);
        logged[change->name] = change->version;
      }
    }
    for (const auto& [version, name] : m_in_force) {
      if (logged.count(name) == 0 || logged[name] != version) {
        m_violation = "change " + name + " is in force but not in the log at its version";
      }
    }
    for (const std::string& name : m_refused) {
      if (logged.count(name) > 0) {
        m_violation = "change " + name + " was refused but is in the log";
      }
    }
  }

  SimulatedEnvironment m_environment;
  ConfigMechanisms m_mechanisms;
  std::vector<std::unique_ptr<CoordinationInstance>> m_instances;
  // The version of each instance at the last check.
  std::vector<int64_t> m_versions;
  // Names of the changes that were reported as in force, by version, and of those that were reported as refused.
  std::map<int64_t, std::string> m_in_force;
  std::set<std::string> m_refused;
  std::optional<std::string> m_violation;
  int m_next_proposal = 0;
  int m_next_incarnation = 0;
};

PropertyOutcome CheckConfig(ConfigMechanisms mechanisms, Shrinking shrinking, int* in_force) {
  constexpr uint64_t kSeed = 29;
  constexpr int kCases = 1500;
  constexpr int kMaxCommands = 200;
  return CheckSequences(kSeed, kCases, kMaxCommands, shrinking, [&](const CommandSequence& commands) {
    ConfigModel model(commands.size(), mechanisms);
    std::optional<std::string> violation = model.Run(commands);
    *in_force += model.in_force();
    return violation;
  });
}

// Guards against an instance that serves with an old configuration after a change was reported as in force, against
// changes that are lost, accepted twice or reported as refused although they are in the log, and against versions that
// decrease. Faults of the store, the network and the processes at random times can cause all of these.
TEST_CASE("a change in force is applied wherever keyed routes are served") {
  int in_force = 0;
  const PropertyOutcome outcome = CheckConfig({}, Shrinking::kOn, &in_force);
  INFO(outcome.message);
  CHECK(outcome.holds);
  CHECK(in_force > 1000);
}

// Guards against a model check that passes whatever the code does.
TEST_CASE("the configuration check finds violations when a mechanism is off") {
  int in_force = 0;
  CHECK_FALSE(CheckConfig({false, true, true}, Shrinking::kOff, &in_force).holds);
  CHECK_FALSE(CheckConfig({true, false, true}, Shrinking::kOff, &in_force).holds);
  CHECK_FALSE(CheckConfig({true, true, false}, Shrinking::kOff, &in_force).holds);
}

}  // namespace
}  // namespace quetzalridge
