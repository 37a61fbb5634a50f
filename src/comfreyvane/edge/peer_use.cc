#include "comfreyvane/edge/peer_use.h"

#include <cassert>

namespace comfreyvane {
namespace {

/// Time for which a report is valid: three intervals of reports within a
/// region, or one interval between regions and its delay.
constexpr Duration kReportTimeout = std::chrono::milliseconds(1600);

}  // namespace

std::vector<BackendUse> PeerUse::Replace(HostId host,
                                         const std::vector<BackendUse>& use,
                                         TimePoint now) {
  std::unordered_set<BackendServerId> changed;
  Report& report = reports_[host];
  Subtract(report, changed);
  report = {use, now};
  for (const BackendUse& one : use) {
    running_[one.server] += one.running;
    changed.insert(one.server);
  }
  return Sums(changed);
}

std::vector<BackendUse> PeerUse::Expire(TimePoint now) {
  std::unordered_set<BackendServerId> changed;
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (now - it->second.received_at < kReportTimeout) {
      ++it;
      continue;
    }
    Subtract(it->second, changed);
    it = reports_.erase(it);
  }
  return Sums(changed);
}

void PeerUse::Subtract(const Report& report,
                       std::unordered_set<BackendServerId>& changed) {
  for (const BackendUse& one : report.use) {
    std::uint32_t& sum = running_[one.server];
    assert(sum >= one.running);
    sum -= one.running;
    changed.insert(one.server);
  }
}

std::vector<BackendUse> PeerUse::Sums(
    const std::unordered_set<BackendServerId>& servers) {
  std::vector<BackendUse> sums;
  sums.reserve(servers.size());
  for (const BackendServerId server : servers) {
    const auto found = running_.find(server);
    sums.push_back({server, found->second});
    if (found->second == 0)
      running_.erase(found);
  }
  return sums;
}

}  // namespace comfreyvane
