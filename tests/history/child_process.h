#pragma once

#include <sys/types.h>

#include <set>
#include <string>
#include <vector>

namespace quetzalridge::history {

// A process that the test started. Ends it by its identifier on destruction.
class ChildProcess {
 public:
  // Output of both streams goes to `log_file`.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments, std::string log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // SIGKILL, SIGTERM, SIGSTOP or SIGCONT, for example.
  void Signal(int signal);
  // True when the process has ended; afterwards `exit_status` is known.
  bool HasEnded();
  // As a shell reports it: 128 + n after signal n.
  int exit_status() const { return m_exit_status; }
  // Ended by a signal that the test did not send, or with a nonzero exit code, as after a sanitizer report.
  bool HasCrashed();
  // How the process ended or, while it runs, what the kernel says it does.
  std::string DescribeState();
  pid_t id() const { return m_id; }
  std::string ReadLog() const;
  std::string LastLogLines(int count) const;

 private:
  pid_t m_id = -1;
  std::string m_log_file;
  bool m_ended = false;
  int m_exit_status = -1;
  // 0 when the process ended with an exit code.
  int m_end_signal = 0;
  std::set<int> m_sent_signals;
};

}  // namespace quetzalridge::history
