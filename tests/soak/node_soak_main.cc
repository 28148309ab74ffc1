// Runs the program for the users' platform as several processes and disturbs them from outside: signals, and relays on
// their ways to the store and to the replicas. Checks what callers and replicas may rely on. The faults follow from the
// seed; their exact moments depend on the machine.

#include <getopt.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "tests/soak/callers.h"
#include "tests/soak/node_fleet.h"
#include "tests/soak/replica.h"

namespace quetzalridge::soak {
namespace {

using Json = nlohmann::json;
using Mode = history::TcpRelay::Mode;

constexpr Duration kTurn = Duration::Milliseconds(5);
constexpr Duration kPlainInterval = Duration::Milliseconds(60);
constexpr Duration kStreamInterval = Duration::Milliseconds(400);
constexpr Duration kStepInterval = Duration::Milliseconds(1200);
constexpr Duration kAdvanceInterval = Duration::Milliseconds(200);
constexpr Duration kRenewInterval = Duration::Seconds(1);
constexpr Duration kStartTime = Duration::Seconds(4);
// Jobs that were accepted are whole or given up by their trainer within this time after the last fault.
constexpr Duration kSettleLimit = Duration::Seconds(30);
// A disturbance of the store, and the time until all nodes read it directly again.
constexpr Duration kMaxRegistryDisturbance = Duration::Seconds(6);
constexpr int kEngines = 5;
constexpr int kPlainReplicas = 2;

struct Options {
  uint64_t seed = 1;
  int seconds = 20;
  int nodes = 5;
  bool ignores_conditions = false;
  // Another build of the program under test. All nodes run it at first and are replaced one by one.
  std::string earlier_program;
};

constexpr char kProgram[] = QUETZALRIDGE_BINARY_DIR "/quetzalridge_node";

Json Route(const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service) {
  return {{"Name", name},           {"Host", kHost},          {"Prefix", prefix},
          {"Kind", kind},           {"TimeoutMs", 2000},      {"Service", service},
          {"MaxAttempts", 3},       {"MaxQueueS", 40.0},      {"ResultDeadlineMs", 7500},
          {"TargetLatencyMs", 150}, {"SingleVersion", false}, {"Public", false}};
}

Json StreamRoute() {
  Json route = Route("stream", kStreamPrefix, "stream", kEngineService);
  route["Resumable"] = true;
  route["TimeoutMs"] = 8000;
  return route;
}

Json Config() {
  Json engine = {{"Slots", 8}, {"Models", {{{"Name", kModel}}}}};
  return {{"Version", 1},
          {"Routes",
           {Route("plain", kPlainPrefix, "idempotent", kPlainService),
            Route("single", kSingleRunPrefix, "non_idempotent", kPlainService),
            Route("batch", kBatchPrefix, "rollout", kEngineService), StreamRoute()}},
          {"Services", {{{"Name", kPlainService}}, {{"Name", kEngineService}, {"Engine", engine}}}},
          {"Tenants", {{{"Name", kWorkspace}, {"ApiKeys", {kKey}}}}}};
}

// Runs a function again and again while it exists.
class Repeated {
 public:
  Repeated(EventLoop* loop, Duration interval, std::function<void()> function)
      : m_loop(loop), m_interval(interval), m_function(std::move(function)) {
    Schedule();
  }

 private:
  void Schedule() {
    m_timer = m_loop->After(m_interval, [this] {
      Schedule();
      m_function();
    });
  }

  EventLoop* m_loop;
  Duration m_interval;
  std::function<void()> m_function;
  std::unique_ptr<Timer> m_timer;
};

class Soak {
 public:
  Soak(EventLoop* loop, const Options& options, const std::string& folder)
      : m_loop(loop),
        m_random(options.seed),
        m_log(&loop->clock()),
        m_platform(loop, &m_log, m_random.Next()),
        m_seconds(options.seconds),
        m_earlier_program(options.earlier_program) {
    m_platform.ignores_conditions = options.ignores_conditions;
    m_platform.Put("op", "config", Config());
    for (int i = 0; i < kEngines + kPlainReplicas; ++i) {
      const char* service = i < kEngines ? kEngineService : kPlainService;
      m_replicas.push_back(std::make_unique<Replica>(loop, &m_log, &m_platform, service, i, AnySoftware()));
    }
    std::vector<int> ports;
    for (const std::unique_ptr<Replica>& replica : m_replicas) {
      ports.push_back(replica->relay()->port());
    }
    m_fleet = std::make_unique<NodeFleet>(loop, &m_log, &m_platform, folder, options.nodes,
                                          m_earlier_program.empty() ? kProgram : m_earlier_program, ports);
    m_callers = std::make_unique<PlainCallers>(loop, &m_log, m_fleet.get(), m_random.Next());
    m_streams = std::make_unique<StreamCallers>(loop, &m_log, m_fleet.get(), m_random.Next());
    m_trainer = std::make_unique<Trainer>(loop, &m_log, m_fleet.get(), &m_platform, m_random.Next());
  }

  int Run() {
    const Repeated renew(m_loop, kRenewInterval, [this] {
      for (const std::unique_ptr<Replica>& replica : m_replicas) {
        replica->Renew();
      }
      m_fleet->Watch();
    });
    RunFor(kStartTime);
    const Repeated advance(m_loop, kAdvanceInterval, [this] { m_trainer->Advance(); });
    {
      const Repeated plain(m_loop, kPlainInterval, [this] { m_callers->SendOne(); });
      const Repeated streams(m_loop, kStreamInterval, [this] { m_streams->BeginOne(); });
      const Repeated steps(m_loop, kStepInterval, [this] { m_trainer->BeginStep(); });
      ScheduleFault();
      PlanUpgrade();
      RunFor(Duration::Seconds(m_seconds));
      m_fault_timer.reset();
      m_upgrade_timers.clear();
      Heal();
      RunFor(kStartTime);
    }
    const TimePoint healed_at = m_log.Now();
    while (!m_trainer->AllSettled() && m_log.Now() - healed_at < kSettleLimit) {
      RunFor(kAdvanceInterval);
    }
    m_log.Check(m_trainer->AllSettled(), "accepted jobs are neither whole nor ended");
    m_trainer->ReadAgain();
    RunFor(Duration::Seconds(2));
    m_trainer->CheckEnded();
    m_log.Check(m_callers->answered() > 0 && m_trainer->whole() > 0 && m_streams->whole() > 0, "nothing was served");
    std::cout << m_callers->answered() << " plain answers, " << m_streams->whole() << " whole streams, "
              << m_streams->continued() << " continued, " << m_trainer->accepted() << " jobs accepted, "
              << m_trainer->whole() << " read whole, " << m_log.runs().size() << " runs, " << m_platform.usage_reports()
              << " usage reports, " << m_log.violations() << " violations" << std::endl;
    return m_log.violations() == 0 ? 0 : 1;
  }

 private:
  void RunFor(Duration duration) {
    const TimePoint end = m_log.Now() + duration;
    while (m_log.Now() < end) {
      m_loop->RunOnce(kTurn);
    }
  }

  Duration Draw(int64_t least_ms, int64_t most_ms) {
    return Duration::Milliseconds(least_ms +
                                  static_cast<int64_t>(m_random.Below(static_cast<uint64_t>(most_ms - least_ms))));
  }

  // Faults come in series and overlap.
  void ScheduleFault() {
    m_fault_timer = m_loop->After(Draw(300, 1600), [this] {
      ScheduleFault();
      Inject();
    });
  }

  // An upgrade as operators do it: the first nodes, a break, the others, then some back to the earlier build and
  // forward again.
  void PlanUpgrade() {
    if (m_earlier_program.empty()) {
      return;
    }
    const size_t count = m_fleet->nodes().size();
    const size_t first = (count + 1) / 2;
    std::vector<std::pair<size_t, bool>> steps;
    for (size_t i = 0; i < count; ++i) {
      steps.emplace_back(i, true);
    }
    steps.emplace_back(0, false);
    steps.emplace_back(1, false);
    steps.emplace_back(0, true);
    steps.emplace_back(1, true);
    const Duration interval =
        Duration::Milliseconds(m_seconds * int64_t{1000} / static_cast<int64_t>(steps.size() + 3));
    for (size_t i = 0; i < steps.size(); ++i) {
      const size_t slot = i + (i < first ? 1 : 2);
      const auto [node, to_new] = steps[i];
      m_upgrade_timers.push_back(
          m_loop->After(interval * static_cast<int64_t>(slot), [this, node = node, to_new = to_new] {
            m_fleet->Replace(m_fleet->nodes()[node].get(), to_new ? kProgram : m_earlier_program);
          }));
    }
  }

  void Inject() {
    SoakNode* node = m_fleet->nodes()[m_random.Below(m_fleet->nodes().size())].get();
    Replica* replica = m_replicas[m_random.Below(m_replicas.size())].get();
    switch (m_random.Below(20)) {
      case 0:
      case 1:
        m_fleet->Kill(node, Draw(200, 2500));
        break;
      case 2:
      case 3:
        m_fleet->Stop(node);
        break;
      case 4:
        // Long enough for others to take its jobs over, or not.
        m_fleet->Pause(node, Draw(300, 7000));
        break;
      case 5:
        m_fleet->DisturbRelay(node, m_random.Chance(0.5) ? Mode::kCut : Mode::kSilent, Draw(500, 4000));
        m_log.SetRegistryDisturbed(m_log.Now() + kMaxRegistryDisturbance);
        break;
      case 6:
        m_fleet->DelayRelay(node, 80, Draw(500, 3000));
        break;
      case 7:
        m_log.Note("the store refuses or loses answers");
        m_platform.refuses = m_random.Chance(0.5);
        m_platform.lost_answers = m_platform.refuses ? 0.0 : 0.3;
        m_platform_timer = m_loop->After(Draw(500, 4000), [this] { HealPlatform(); });
        m_log.SetRegistryDisturbed(m_log.Now() + kMaxRegistryDisturbance);
        break;
      case 8:
        m_log.Note("a replica crashes");
        replica->Crash(AnySoftware());
        break;
      case 9:
        m_log.Note("connections to a replica are cut or go silent");
        if (m_random.Chance(0.5)) {
          replica->relay()->CutConnections();
        } else {
          replica->relay()->SilenceConnections();
        }
        break;
      case 10:
        m_log.Note("connections of a node to the platform go silent");
        node->platform_relay->SilenceConnections();
        m_log.SetRegistryDisturbed(m_log.Now() + kMaxRegistryDisturbance);
        break;
      case 11:
        m_fleet->Pause(node, Draw(3000, 6000));
        break;
      case 12:
        m_log.Note("the runs of a replica break off");
        replica->EndRuns();
        break;
      case 13:
        m_log.Note("a replica sets a rate limit");
        replica->SetRateLimit(1.0);
        break;
      case 14:
        m_log.Note("a replica lifts its rate limit");
        replica->SetRateLimit(0.0);
        break;
      case 15:
        m_fleet->Strand(node, m_random.Chance(0.5) ? Mode::kCut : Mode::kSilent, Draw(2000, 8000));
        break;
      case 16: {
        // All nodes but one or two.
        const Mode mode = m_random.Chance(0.5) ? Mode::kCut : Mode::kSilent;
        const Duration time = Draw(2000, 8000);
        for (const std::unique_ptr<SoakNode>& each : m_fleet->nodes()) {
          if (each.get() != node && m_random.Chance(0.7)) {
            m_fleet->Strand(each.get(), mode, time);
          }
        }
        break;
      }
      case 17:
      case 18:
        m_log.Note("a replica leaves");
        replica->Leave();
        m_leave_timers.push_back(m_loop->After(Draw(3000, 8000), [this, replica] { replica->Crash(AnySoftware()); }));
        break;
      default:
        if (m_random.Chance(0.3)) {
          for (const std::unique_ptr<SoakNode>& each : m_fleet->nodes()) {
            m_fleet->Kill(each.get(), Draw(500, 1500));
          }
        }
    }
  }

  std::string AnySoftware() { return m_random.Chance(0.5) ? "v1" : "v1.1"; }

  void HealPlatform() {
    m_platform.refuses = false;
    m_platform.lost_answers = 0.0;
  }

  void Heal() {
    m_log.Note("all faults end");
    HealPlatform();
    m_fleet->Heal();
  }

  EventLoop* m_loop;
  Random m_random;
  SoakLog m_log;
  UsersPlatform m_platform;
  int m_seconds;
  std::string m_earlier_program;
  std::vector<std::unique_ptr<Replica>> m_replicas;
  std::unique_ptr<NodeFleet> m_fleet;
  std::unique_ptr<PlainCallers> m_callers;
  std::unique_ptr<StreamCallers> m_streams;
  std::unique_ptr<Trainer> m_trainer;
  std::unique_ptr<Timer> m_fault_timer;
  std::unique_ptr<Timer> m_platform_timer;
  std::vector<std::unique_ptr<Timer>> m_leave_timers;
  std::vector<std::unique_ptr<Timer>> m_upgrade_timers;
};

int Main(int argc, char** argv) {
  Options options;
  const option long_options[] = {{"seed", required_argument, nullptr, 's'},
                                 {"seconds", required_argument, nullptr, 't'},
                                 {"nodes", required_argument, nullptr, 'n'},
                                 {"ignore-conditions", no_argument, nullptr, 'i'},
                                 {"earlier-program", required_argument, nullptr, 'e'},
                                 {nullptr, 0, nullptr, 0}};
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "s:t:n:ie:", long_options, nullptr)) != -1) {
    switch (flag) {
      case 's':
        options.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 't':
        options.seconds = std::atoi(optarg);
        break;
      case 'n':
        options.nodes = std::atoi(optarg);
        break;
      case 'i':
        options.ignores_conditions = true;
        break;
      case 'e':
        options.earlier_program = optarg;
        break;
      default:
        std::cerr << "usage: node_soak [--seed N] [--seconds N] [--nodes N] [--ignore-conditions] "
                     "[--earlier-program PATH]\n";
        return 2;
    }
  }
  std::string folder = (std::filesystem::temp_directory_path() / "quetzalridge-soak-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    std::cerr << "cannot make a temporary folder; set TMPDIR to a writable one\n";
    return 2;
  }
  std::cout << "seed " << options.seed << ", logs in " << folder << std::endl;
  int result = 0;
  {
    EventLoop loop;
    auto soak = std::make_unique<Soak>(&loop, options, folder);
    result = soak->Run();
  }
  if (result == 0 && std::getenv("QUETZALRIDGE_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder);
  }
  // The loop's sockets refer to objects that are gone, so the process ends here.
  std::cout.flush();
  _exit(result);
}

}  // namespace
}  // namespace quetzalridge::soak

int main(int argc, char** argv) {
  return quetzalridge::soak::Main(argc, argv);
}
