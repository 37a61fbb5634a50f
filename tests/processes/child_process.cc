#include "processes/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <csignal>

namespace comfreyvane::processes {

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& log) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  pid_ = fork();
  assert(pid_ >= 0);
  if (pid_ > 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execv(argv[0], argv.data());
  _exit(127);
}

ChildProcess::~ChildProcess() {
  if (pid_ < 0)
    return;
  Signal(SIGKILL);
  Wait();
}

void ChildProcess::Signal(int signal) const {
  // A negative number would name all processes of the user.
  if (pid_ > 0)
    kill(pid_, signal);
}

bool ChildProcess::HasEnded() const {
  siginfo_t info{};
  return pid_ < 0 || (waitid(P_PID, static_cast<id_t>(pid_), &info,
                             WEXITED | WNOHANG | WNOWAIT) == 0 &&
                      info.si_pid == pid_);
}

std::optional<int> ChildProcess::Wait() {
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = -1;
  if (!WIFEXITED(status))
    return std::nullopt;
  return WEXITSTATUS(status);
}

}  // namespace comfreyvane::processes
