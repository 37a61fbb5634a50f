/// @file
/// Logs loss and recovery of a dependency.
#ifndef COMFREYVANE_GATEWAY_DEPENDENCY_MONITOR_H_
#define COMFREYVANE_GATEWAY_DEPENDENCY_MONITOR_H_

#include <string>
#include <string_view>
#include <utility>

#include "comfreyvane/base/time.h"
#include "comfreyvane/log/log.h"

namespace comfreyvane {

/// Logs the first failure of a dependency and its next success, rather than
/// each failed call.
class DependencyMonitor {
 public:
  explicit DependencyMonitor(std::string name) : name_(std::move(name)) {}

  void OnSuccess(TimePoint now) {
    if (is_failing_) {
      Log(LogLevel::kWarning, "dependency-regained",
          {{"dependency", name_},
           {"failures", failures_},
           {"after_ms", now - lost_at_}});
    }
    is_failing_ = false;
    failures_ = 0;
  }

  void OnFailure(std::string_view reason, TimePoint now) {
    ++failures_;
    if (is_failing_)
      return;
    is_failing_ = true;
    lost_at_ = now;
    Log(LogLevel::kWarning, "dependency-lost",
        {{"dependency", name_}, {"reason", reason}});
  }

  [[nodiscard]] bool is_failing() const { return is_failing_; }

 private:
  std::string name_;
  bool is_failing_ = false;
  std::uint64_t failures_ = 0;
  TimePoint lost_at_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_DEPENDENCY_MONITOR_H_
