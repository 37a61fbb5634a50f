/// @file
/// Logs from where, and since when, a host knows a table of the store.
#ifndef COMFREYVANE_GATEWAY_TABLE_MONITOR_H_
#define COMFREYVANE_GATEWAY_TABLE_MONITOR_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/log/log.h"

namespace comfreyvane {

/// Logs from where, and since when, a host knows a table of the store: one line
/// for the first failed or silent call, one when an answer comes again, and one
/// when the rows come from another source.
class TableMonitor {
 public:
  explicit TableMonitor(std::string_view table) : table_(table) {}

  /// @param source the store, or the name of the host that relays it.
  void OnAnswer(const std::string& source, Revision position, TimePoint now) {
    if (is_failing_ || source != source_) {
      Log(LogLevel::kInfo, "table-followed",
          {{"table", table_},
           {"source", source},
           {"before", source_},
           {"position", position},
           {"silent_ms", Age(now)}});
    }
    is_failing_ = false;
    source_ = source;
    answered_at_ = now;
  }

  /// @param reason why the call failed.
  /// @param begun start of the call.
  void OnFailure(std::string_view reason,
                 Revision position,
                 TimePoint begun,
                 TimePoint now) {
    if (std::exchange(is_failing_, true))
      return;
    Log(LogLevel::kWarning, "table-stale",
        {{"table", table_},
         {"reason", reason},
         {"source", source_},
         {"position", position},
         {"call_ms", now - begun},
         {"answer_age_ms", Age(now)}});
  }

  /// @return time since the last answer; zero if there was none.
  [[nodiscard]] Duration Age(TimePoint now) const {
    return answered_at_ == TimePoint{} ? Duration::zero() : now - answered_at_;
  }

 private:
  std::string_view table_;
  std::string source_;
  TimePoint answered_at_{};
  bool is_failing_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_TABLE_MONITOR_H_
