/// @file
/// Backend servers that have said that they leave.
#ifndef COMFREYVANE_EDGE_LEAVING_SERVERS_H_
#define COMFREYVANE_EDGE_LEAVING_SERVERS_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/leaving_report.h"

namespace comfreyvane {

/// Keeps which incarnations of backend servers have said in an answer, to this
/// host or another, that they leave. Leaving is final: a later answer without
/// the statement, an entry that stays ready, or one from an older copy of the
/// store do not end it; only a later incarnation does.
class LeavingServers {
 public:
  /// Records a statement.
  /// @return whether it was not known.
  bool Add(const LeavingReport& report, TimePoint now);

  /// @param started_ms start of the incarnation in question.
  [[nodiscard]] bool Contains(BackendServerId server,
                              std::int64_t started_ms) const;

  /// @return statements to report to other hosts: those of the last
  ///     kReportTime, the newest first, kMaxReports at most.
  [[nodiscard]] std::vector<LeavingReport> Reports(TimePoint now) const;

  /// Deletes statements that are older than kRetention.
  void Prune(TimePoint now);

  /// Longer than a server that leaves keeps on running.
  static constexpr Duration kRetention = std::chrono::minutes(10);
  /// Long enough for several heartbeats to each region and to hosts that start
  /// meanwhile.
  static constexpr Duration kReportTime = std::chrono::seconds(15);
  static constexpr std::size_t kMaxReports = 40;

 private:
  struct Record {
    std::int64_t started_ms = 0;
    TimePoint received_at{};
  };
  std::unordered_map<BackendServerId, Record> records_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_LEAVING_SERVERS_H_
