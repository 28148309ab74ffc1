#include "coordination/order_duty.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "coordination/duty_manager.h"
#include "tests/fakes/fake_table_store.h"
#include "tests/fakes/property.h"

namespace quetzalridge {
namespace {

constexpr int kInstances = 3;
constexpr Duration kRequestTimeout = Duration::Seconds(5);

struct FixedTargets : OrderTargetSource {
  int steady = 2;
  std::vector<ServiceTarget> GetTargets(const std::string&, const std::vector<PlatformInstance>&, TimePoint) override {
    return {{"sorting", steady, 1}};
  }
};

// The platform's side of endpoint orders, without a fencing check. It checks that the fencing token and the sequence
// never decrease, that each order has a stored intent, and that the sender holds the lease when the order arrives.
struct OrderReceiver {
  explicit OrderReceiver(ManualScheduler* scheduler, const FakeTable* fake_table)
      : scheduler(scheduler), table(fake_table) {}

  ManualScheduler* scheduler;
  const FakeTable* table;
  Random random{3};
  double lost_response_probability = 0;
  bool none_available = false;
  int64_t newest_fencing_token = 0;
  int64_t newest_sequence = 0;
  int accepted = 0;
  std::optional<std::string> violation;

  void Receive(const EndpointOrder& order) {
    if (order.fencing_token < newest_fencing_token || order.sequence < newest_sequence) {
      violation = "order " + std::to_string(order.fencing_token) + "/" + std::to_string(order.sequence) + " after " +
                  std::to_string(newest_fencing_token) + "/" + std::to_string(newest_sequence);
    }
    newest_fencing_token = std::max(newest_fencing_token, order.fencing_token);
    newest_sequence = std::max(newest_sequence, order.sequence);
    const std::optional<LeaseRecord> lease = DecodeLeaseRecord(table->Row("lease/order/z").value);
    if (!lease.has_value() || lease->epoch > order.fencing_token) {
      violation = "order of epoch " + std::to_string(order.fencing_token) + " arrived under a newer lease";
    }
    const std::optional<OrderIntent> intent = DecodeOrderIntent(table->Row("order/z/" + order.service).value);
    if (!intent.has_value() || intent->sequence < order.sequence - 1) {
      violation = "order without an intent";
    }
    ++accepted;
  }
};

// The connection of one process to the platform: it connects, checks the lease and writes the order, which may then
// take up to the request timeout to arrive.
class FakeOrderPlatform : public Platform {
 public:
  FakeOrderPlatform(OrderReceiver* receiver, PausableScheduler* process, bool checks_before_write)
      : m_receiver(receiver), m_process(process), m_checks_before_write(checks_before_write) {}

  void ListInstances(std::function<void(const InstanceListResult&)> callback) override {
    Respond(Duration::Milliseconds(1), [callback] {
      InstanceListResult list;
      list.ok = true;
      callback(list);
    });
  }

  // Connecting takes one second, so that a pause can happen between the connect and the write.
  void OrderEndpoints(const EndpointOrder& order, BeforeWrite before_write,
                      std::function<void(const OrderResult&)> callback) override {
    Respond(Duration::Seconds(1), [this, order, before_write, callback] {
      const bool may_write = before_write();
      if (m_checks_before_write && !may_write) {
        callback({OrderOutcome::kNotSent, 0});
        return;
      }
      Write(order, callback);
    });
  }
  void ReportUsage(const UsageReport&, BeforeWrite, std::function<void(ReportOutcome)>) override {}
  void LatestWeightVersion(const std::string&, std::function<void(const WeightVersionResult&)>) override {}

 private:
  void Write(const EndpointOrder& order, const std::function<void(const OrderResult&)>& callback) {
    const bool is_lost = m_receiver->random.Chance(m_receiver->lost_response_probability);
    const Duration delay = Duration::Milliseconds(static_cast<int64_t>(m_receiver->random.Below(is_lost ? 4900 : 100)));
    m_receiver->scheduler->Post(delay, [receiver = m_receiver, order] { receiver->Receive(order); });
    OrderResult result{OrderOutcome::kAccepted, order.target};
    if (is_lost) {
      result.outcome = OrderOutcome::kUnknown;
    } else if (m_receiver->none_available) {
      result.outcome = OrderOutcome::kNoneAvailable;
    }
    Respond(is_lost ? kRequestTimeout : Duration::Milliseconds(100), [callback, result] { callback(result); });
  }

  void Respond(Duration delay, std::function<void()> function) {
    m_process->Post(delay, [alive = std::weak_ptr<bool>(m_alive), function = std::move(function)] {
      if (!alive.expired()) {
        function();
      }
    });
  }

  OrderReceiver* m_receiver;
  PausableScheduler* m_process;
  bool m_checks_before_write;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

struct OrderInstance {
  OrderInstance(ManualScheduler* scheduler, FakeTable* table, OrderReceiver* receiver, FixedTargets* targets,
                const std::string& name, bool checks_before_write)
      : process(scheduler),
        store(table, &process),
        platform(receiver, &process, checks_before_write),
        duty(&store, &process, &platform, targets, "z", {}),
        manager(&store, &process, ManagerOptions(name)) {
    manager.SetInstanceCount([] { return kInstances; });
    manager.AddDuty("order/z", &duty);
    manager.Start();
  }
  static DutyManagerOptions ManagerOptions(const std::string& name) {
    DutyManagerOptions options;
    options.lease.holder = name;
    return options;
  }

  PausableScheduler process;
  FakeTableStore store;
  FakeOrderPlatform platform;
  OrderDuty duty;
  DutyManager manager;
};

// Several instances that order endpoints over one table, under random pauses, restarts, drains, lost responses and
// changes of the target.
class OrderModel {
 public:
  OrderModel(uint64_t seed, bool checks_before_write)
      : m_table(&m_scheduler, seed), m_receiver(&m_scheduler, &m_table), m_checks_before_write(checks_before_write) {
    m_table.late_apply_probability = 0.3;
    m_table.never_apply_probability = 0.2;
    for (int i = 0; i < kInstances; ++i) {
      m_instances.push_back(nullptr);
      Restart(i);
    }
  }

  std::optional<std::string> Run(const CommandSequence& commands) {
    for (const uint32_t command : commands) {
      Execute(command % 10, static_cast<int>(command / 10 % kInstances), command / (10 * kInstances));
      if (m_receiver.violation.has_value()) {
        return m_receiver.violation;
      }
    }
    return std::nullopt;
  }
  int accepted() const { return m_receiver.accepted; }

 private:
  void Execute(uint32_t kind, int index, uint32_t amount) {
    switch (kind) {
      case 0:
        m_instances[index]->process.Pause();
        break;
      case 1:
        m_instances[index]->process.Resume();
        break;
      case 2:
        m_table.lost_response_probability = (amount % 3) * 0.2;
        m_receiver.lost_response_probability = (amount % 2) * 0.5;
        m_receiver.none_available = amount % 5 == 0;
        break;
      case 3:
        Restart(index);
        break;
      case 4:
        m_instances[index]->manager.Drain([] {});
        break;
      case 5:
      case 6:
        m_targets.steady = static_cast<int>(amount % 9);
        break;
      default:
        m_scheduler.Advance(Duration::Milliseconds(amount % 9000));
    }
  }

  void Restart(int index) {
    m_instances[index] = std::make_unique<OrderInstance>(
        &m_scheduler, &m_table, &m_receiver, &m_targets,
        "i" + std::to_string(index) + "-" + std::to_string(m_next_incarnation++), m_checks_before_write);
  }

  ManualScheduler m_scheduler;
  FakeTable m_table;
  FixedTargets m_targets;
  OrderReceiver m_receiver;
  bool m_checks_before_write;
  std::vector<std::unique_ptr<OrderInstance>> m_instances;
  int m_next_incarnation = 0;
};

PropertyOutcome CheckOrders(bool checks_before_write, Shrinking shrinking, int* accepted) {
  constexpr uint64_t kSeed = 23;
  constexpr int kCaseCount = 300;
  constexpr int kCommandsPerCase = 150;
  return CheckSequences(kSeed, kCaseCount, kCommandsPerCase, shrinking, [&](const CommandSequence& commands) {
    OrderModel model(commands.size(), checks_before_write);
    std::optional<std::string> violation = model.Run(commands);
    *accepted += model.accepted();
    return violation;
  });
}

// Guards against orders of an earlier holder that arrive after the next holder has taken over, and against orders that
// arrive out of sequence, at a platform that checks neither.
TEST_CASE("orders reach the platform in the order of leases and sequences") {
  int accepted = 0;
  const PropertyOutcome outcome = CheckOrders(true, Shrinking::kOn, &accepted);
  INFO(outcome.message);
  CHECK(outcome.holds);
  CHECK(accepted > 1000);
}

// Guards against a test that cannot fail: without the lease check before the write, it must find a violation.
TEST_CASE("the order check finds violations without the lease check before the write") {
  int accepted = 0;
  CHECK_FALSE(CheckOrders(false, Shrinking::kOff, &accepted).holds);
}

}  // namespace
}  // namespace quetzalridge
