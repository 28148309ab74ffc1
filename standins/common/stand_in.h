#pragma once

#include <list>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "standins/common/fault_table.h"
#include "standins/common/program_options.h"
#include "standins/common/record_log.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace quetzalridge {

// Base of the stand-ins: records each request, answers /standin/faults and /standin/record, and applies the faults that
// all stand-ins share:
//   silent        requests get no answer, and their connections stay open
//   delay_ms      requests are handled later
//   crash_on_body the process ends when the body of a request contains the text
class StandIn : public HttpHandler {
 public:
  explicit StandIn(const ProgramOptions& options);

  // Options of every stand-in, followed by those of one program.
  static std::vector<ProgramOption> Options(const std::vector<ProgramOption>& own);
  // Serves until the process is ended. Prints "listening on <port>".
  int Run();

  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) final;

 protected:
  using Responder = std::shared_ptr<HttpResponder>;

  // `request` lives until the call returns.
  virtual void Handle(const HttpRequest& request, const Responder& responder) = 0;
  // Requests under /standin/ beyond faults and record; false when the path is unknown.
  virtual bool HandleControl(const HttpRequest& request, const Responder& responder) { return false; }

  static void SendJson(const Responder& responder, int status, const nlohmann::json& body, HttpHeaders headers = {});
  // Runs the function later; the timer belongs to the stand-in.
  void After(Duration delay, std::function<void()> function);
  // Ends the process at once, like a crash.
  [[noreturn]] void Crash(const std::string& reason);

  EventLoop m_loop;
  const std::string m_id;
  const std::string m_zone;
  FaultTable m_faults;
  RecordLog m_records;

 private:
  void Control(const HttpRequest& request, const Responder& responder);

  const int m_port;
  const Duration m_request_timeout;
  std::list<std::unique_ptr<Timer>> m_timers;
  std::list<Responder> m_unanswered;
};

}  // namespace quetzalridge
