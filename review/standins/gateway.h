/// @file
/// A gateway as a process.
#ifndef REVIEW_STANDINS_GATEWAY_H_
#define REVIEW_STANDINS_GATEWAY_H_

#include <fcntl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "standins/connection.h"

namespace review {

/// @return a port of loopback that is free now, for TCP and UDP.
inline std::uint16_t FreePort() {
  const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  auto* const any = reinterpret_cast<sockaddr*>(&address);
  bind(tcp, any, size);
  getsockname(tcp, any, &size);
  close(tcp);
  return ntohs(address.sin_port);
}

/// Runs the program of the deploy file with settings as its template renders
/// them for a machine of a small deployment. The process is killed with the
/// object.
class Gateway {
 public:
  /// @param folder existing folder for the settings file and the log.
  Gateway(const std::string& folder,
          const std::string& name,
          const std::string& zone,
          std::uint16_t store)
      : front_(FreePort()),
        readiness_(FreePort()),
        directory_(FreePort()),
        log_(folder + "/" + name),
        processes_(folder + "/processes") {
    const std::string settings = folder + "/" + name + ".ini";
    const auto at = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port) + "\n";
    };
    std::ofstream(settings)
        << "[host]\nname = " << name << "\nfailure_domain = " << zone
        << "\nregion = west\nmemory_mb = 260\nprocessor_share = 0.2\n"
        << "[domains]\nwest-a = west\nwest-b = west\n[listen]\ncallers = "
        << at(front_) << "readiness = " << at(readiness_)
        << "lookups = " << at(directory_) << "peers = " << at(FreePort())
        << "metrics = " << at(FreePort())
        << "[platform]\naddress = " << at(store)
        << "[stop]\ngrace_s = 6\n[lookups]\nmost_ttl_s = 5\n"
        << "[regions]\nmost_shift = 0.15\n[retries]\nratio = 0.2\nslack = 56\n"
        << "[limits]\noverage = 0.1\nslack = 20\nwindow_s = 5\n";
    Start(settings);
  }
  ~Gateway() {
    if (process_ <= 0)
      return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  [[nodiscard]] std::uint16_t front() const { return front_; }
  [[nodiscard]] std::uint16_t directory() const { return directory_; }

  /// Sends a signal to the process, if it runs.
  void Signal(int signal) const {
    if (process_ > 0)
      kill(process_, signal);
  }

  /// @return whether the process has ended.
  [[nodiscard]] bool HasEnded() {
    if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_)
      process_ = 0;
    return process_ == 0;
  }

  /// @return whether the readiness check succeeds.
  [[nodiscard]] bool IsReady() const {
    Connection connection(Connection::Open(readiness_));
    connection.SetTimeout(std::chrono::milliseconds(500));
    if (!connection.is_open() ||
        !connection.Write("GET /-/ready HTTP/1.1\r\nHost: a\r\n"
                          "Connection: close\r\n\r\n"))
      return false;
    const auto head = connection.ReadHead();
    return head && head->starts_with("HTTP/1.1 200");
  }

  /// @return processor time that the process has used, in seconds.
  [[nodiscard]] double ProcessorSeconds() const {
    std::ifstream file("/proc/" + std::to_string(process_) + "/stat");
    std::string text;
    std::getline(file, text);
    text.erase(0, text.rfind(')') + 1);
    // User and system time are the twelfth and thirteenth field after the name.
    std::vector<std::string> fields;
    for (std::size_t at = 0; (at = text.find(' ', at)) != std::string::npos;) {
      ++at;
      fields.push_back(text.substr(at, text.find(' ', at) - at));
    }
    if (fields.size() < 13)
      return 0.0;
    return (std::stod(fields[11]) + std::stod(fields[12])) /
           static_cast<double>(sysconf(_SC_CLK_TCK));
  }

 private:
  void Start(const std::string& settings) {
    process_ = fork();
    if (process_ < 0)
      throw std::runtime_error("no process");
    if (process_ > 0) {
      // For the script, should the case be killed.
      std::ofstream(processes_, std::ios::app) << process_ << '\n';
      return;
    }
    const int log = open((log_ + ".log").c_str(),
                         O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("COMFREYVANE_CONFIG", settings.c_str(), 1);
    const char* const program = "target/comfreyvane-gateway";
    execl(program, program, static_cast<char*>(nullptr));
    _exit(127);
  }

  std::uint16_t front_;
  std::uint16_t readiness_;
  std::uint16_t directory_;
  std::string log_;
  std::string processes_;
  pid_t process_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_GATEWAY_H_
