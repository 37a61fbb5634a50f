#include "comfreyvane/edge/leaving_servers.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {

bool LeavingServers::Add(const LeavingReport& report, TimePoint now) {
  const auto [found, added] =
      records_.try_emplace(report.server, Record{report.started_ms, now});
  if (added)
    return true;
  if (found->second.started_ms >= report.started_ms)
    return false;
  found->second = {report.started_ms, now};
  return true;
}

bool LeavingServers::Contains(BackendServerId server,
                              std::int64_t started_ms) const {
  const auto found = records_.find(server);
  return found != records_.end() && found->second.started_ms >= started_ms;
}

std::vector<LeavingReport> LeavingServers::Reports(TimePoint now) const {
  std::vector<std::pair<TimePoint, LeavingReport>> recent;
  for (const auto& [server, record] : records_) {
    if (now - record.received_at < kReportTime)
      recent.push_back({record.received_at, {server, record.started_ms}});
  }
  std::sort(recent.begin(), recent.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  recent.resize(std::min(recent.size(), kMaxReports));
  std::vector<LeavingReport> reports;
  reports.reserve(recent.size());
  for (const auto& [received_at, report] : recent)
    reports.push_back(report);
  return reports;
}

void LeavingServers::Prune(TimePoint now) {
  std::erase_if(records_, [now](const auto& row) {
    return now - row.second.received_at >= kRetention;
  });
}

}  // namespace comfreyvane
