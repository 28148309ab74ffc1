#include "tests/history/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace quetzalridge::history {

namespace {

constexpr int kSignalStatusBase = 128;
constexpr int kNoSuchProgram = 127;

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
    kill(m_id, signal);
  }
}

bool ChildProcess::HasEnded() {
  int status = 0;
  if (m_ended || waitpid(m_id, &status, WNOHANG) != m_id) {
    return m_ended;
  }
  m_ended = true;
  m_exit_status = WIFSIGNALED(status) ? kSignalStatusBase + WTERMSIG(status) : WEXITSTATUS(status);
  return true;
}

std::string ChildProcess::ReadLog() const {
  std::ifstream file(m_log_file);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace quetzalridge::history
