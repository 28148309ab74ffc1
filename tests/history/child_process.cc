#include "tests/history/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace quetzalridge::history {

namespace {

constexpr int kSignalStatusBase = 128;
constexpr int kNoSuchProgram = 127;
const std::string kStateField = "State:";

}  // namespace

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments, std::string log_file)
    : m_log_file(std::move(log_file)) {
  std::vector<char*> argv = {const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  m_id = fork();
  if (m_id < 0) {
    throw std::runtime_error("cannot start " + program + "; check the limit of processes");
  }
  if (m_id > 0) {
    return;
  }
  // No process is left behind when the test program is ended from outside.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // When a group loses its last parent outside, the kernel continues its stopped members. In the group of the test that
  // would end a pause when the shell that started the test goes away.
  setpgid(0, 0);
  const int log = open(m_log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(program.c_str(), argv.data());
  _exit(kNoSuchProgram);
}

ChildProcess::~ChildProcess() {
  if (!HasEnded()) {
    kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
  }
}

void ChildProcess::Signal(int signal) {
  if (!HasEnded()) {
    m_sent_signals.insert(signal);
    kill(m_id, signal);
  }
}

bool ChildProcess::HasEnded() {
  int status = 0;
  if (m_ended || waitpid(m_id, &status, WNOHANG) != m_id) {
    return m_ended;
  }
  m_ended = true;
  m_end_signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  m_exit_status = WIFSIGNALED(status) ? kSignalStatusBase + WTERMSIG(status) : WEXITSTATUS(status);
  return true;
}

bool ChildProcess::HasCrashed() {
  if (!HasEnded()) {
    return false;
  }
  return m_end_signal != 0 ? m_sent_signals.count(m_end_signal) == 0 : m_exit_status != 0;
}

std::string ChildProcess::DescribeState() {
  if (!HasEnded()) {
    // "T (stopped)" tells a pause of the test from a process that hangs or waits.
    std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
    std::string line;
    while (std::getline(status, line) && line.compare(0, kStateField.size(), kStateField) != 0) {
    }
    return "runs, state" + (line.empty() ? " unknown" : line.substr(kStateField.size()));
  }
  if (m_end_signal == 0) {
    return "ended with exit code " + std::to_string(m_exit_status);
  }
  return "ended by signal " + std::to_string(m_end_signal) + " (" + strsignal(m_end_signal) + "), " +
         (m_sent_signals.count(m_end_signal) > 0 ? "which the test sent" : "which the test did not send");
}

std::string ChildProcess::LastLogLines(int count) const {
  const std::string log = ReadLog();
  size_t begin = log.size();
  for (int line = 0; line <= count && begin > 0; ++line) {
    const size_t end_of_previous = log.rfind('\n', begin - 1);
    if (end_of_previous == std::string::npos) {
      return log;
    }
    begin = end_of_previous;
  }
  return log.substr(begin + (begin < log.size() ? 1 : 0));
}

std::string ChildProcess::ReadLog() const {
  std::ifstream file(m_log_file);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace quetzalridge::history
