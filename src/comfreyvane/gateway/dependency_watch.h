/// @file
/// Logs when a dependency is lost and regained.
#ifndef COMFREYVANE_GATEWAY_DEPENDENCY_WATCH_H_
#define COMFREYVANE_GATEWAY_DEPENDENCY_WATCH_H_

#include <string>
#include <string_view>
#include <utility>

#include "comfreyvane/base/time.h"
#include "comfreyvane/log/log.h"

namespace comfreyvane {

/// Logs once when a dependency is lost and once when it is regained.
class DependencyWatch {
 public:
  explicit DependencyWatch(std::string name) : name_(std::move(name)) {}

  void OnSuccess(TimePoint now) {
    if (failing_) {
      Log(LogLevel::kWarning, "dependency-regained",
          {{"dependency", name_},
           {"failures", failures_},
           {"after_ms", now - lost_at_}});
    }
    failing_ = false;
    failures_ = 0;
  }

  void OnFailure(std::string_view reason, TimePoint now) {
    ++failures_;
    if (failing_)
      return;
    failing_ = true;
    lost_at_ = now;
    Log(LogLevel::kWarning, "dependency-lost",
        {{"dependency", name_}, {"reason", reason}});
  }

  [[nodiscard]] bool failing() const { return failing_; }

 private:
  std::string name_;
  bool failing_ = false;
  std::uint64_t failures_ = 0;
  TimePoint lost_at_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_DEPENDENCY_WATCH_H_
