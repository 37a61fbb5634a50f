/// @file
/// A process that a test starts.
#ifndef TESTS_PROCESSES_CHILD_PROCESS_H_
#define TESTS_PROCESSES_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace comfreyvane::processes {

/// A started program. It is killed with its owner.
class ChildProcess {
 public:
  /// @param arguments program and arguments.
  /// @param log file to which it writes both of its outputs, appended.
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends a signal, unless the end has been waited for.
  void Signal(int signal) const;

  /// @return whether it has ended. Its exit code stays for Wait(), unless that
  ///     has been called.
  [[nodiscard]] bool HasEnded() const;

  /// Waits for the end.
  /// @return the exit code, or nothing if a signal ended it.
  std::optional<int> Wait();

 private:
  pid_t pid_ = -1;
};

}  // namespace comfreyvane::processes

#endif  // TESTS_PROCESSES_CHILD_PROCESS_H_
