#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/callback_guard.h"
#include "coordination/order_record.h"
#include "coordination/order_target_source.h"
#include "coordination/platform.h"
#include "coordination/platform_duty.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"
#include "coordination/transaction_retrier.h"

namespace quetzalridge {

struct OrderDutyOptions {
  Duration poll_interval = Duration::Seconds(2);
  // How long a request to the platform may be in flight.
  Duration request_timeout = Duration::Seconds(5);
};

// Orders the endpoints of one availability zone. It stores each intent in the table before it sends the orders of the
// intent, which are absolute targets. It sends one order at a time.
class OrderDuty : public PlatformDuty {
 public:
  OrderDuty(TableStore* store, Scheduler* scheduler, Platform* platform, OrderTargetSource* target_source,
            std::string zone, OrderDutyOptions options);

 private:
  struct ServiceState {
    OrderIntent intent;
    int64_t row_version = 0;
    // Whether this holder wrote the intent. Orders of an intent that an earlier holder wrote are not sent: its second
    // order may already have arrived, and the first one would then be out of sequence.
    bool intent_written = false;
    // Whether the platform accepted the intent's order of each kind.
    bool steady_accepted = false;
    bool cheap_accepted = false;
  };

  void ResetState() override;
  void BeginStep() override;
  void ReadIntents(const std::string& after);
  void OnIntents(const ReadResult& read);
  void ReadInstances();
  void QueueTargets(const std::vector<PlatformInstance>& instances);
  void ProcessNextTarget();
  void WriteIntent(const ServiceTarget& target);
  void OnIntentWritten(const std::string& service, const OrderIntent& intent, const TransactResult& result);
  void SendOrder(const std::string& service, EndpointKind kind);
  void OnOrdered(const std::string& service, EndpointKind kind, const OrderResult& result);

  TableStore* m_store;
  Platform* m_platform;
  OrderTargetSource* m_target_source;
  std::string m_zone;
  TransactionRetrier m_retrier;
  // The intents of earlier holders were read under the current lease.
  bool m_intents_known = false;
  // The highest sequence number that was used or reserved in the zone.
  int64_t m_sequence = 0;
  std::map<std::string, ServiceState> m_services;
  // The targets of this step that are still to be processed.
  std::deque<ServiceTarget> m_pending_targets;
  CallbackGuard m_guard;
};

}  // namespace quetzalridge
