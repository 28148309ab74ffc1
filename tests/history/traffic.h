#pragma once

#include <list>
#include <memory>
#include <string>

#include "tests/history/history.h"
#include "tests/history/process_harness.h"

namespace quetzalridge::history {

struct CompletionSpec {
  std::string model;
  std::string prompt;
  int64_t max_tokens = 8;
  bool is_stream = true;
};

struct PlainSpec {
  std::string route;
  std::string path = "/score";
  std::string body;
  bool is_idempotent = true;
  // Value of Idempotency-Key; empty for none.
  std::string idempotency_key;
};

struct Caller {
  std::string workspace;
  // Empty sends no key.
  std::string key;
  bool is_authorized = true;
};

// Concurrent requests to instances. Each is logged in the history when it ends.
class Traffic {
 public:
  Traffic(ProcessHarness* harness, History* history);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  void StartCompletion(const DaemonProcess& daemon, const Caller& caller, const CompletionSpec& spec);
  void StartPlain(const DaemonProcess& daemon, const Caller& caller, const PlainSpec& spec);
  size_t in_flight() const { return m_running.size(); }
  // Streams whose first piece arrived.
  size_t streaming() const;
  // Waits for all requests; false when some did not end within a generous limit.
  bool WaitAll();

 private:
  class Running;

  void Start(HttpCall call, const Caller& caller, history::Call log, bool is_stream);
  void OnEnd(Running* running);

  ProcessHarness* m_harness;
  History* m_history;
  std::list<std::unique_ptr<Running>> m_running;
};

}  // namespace quetzalridge::history
