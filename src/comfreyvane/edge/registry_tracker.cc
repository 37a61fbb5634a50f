#include "comfreyvane/edge/registry_tracker.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Time after the last failed call to the store within which live servers
/// register again. The platform states about two seconds after its recovery,
/// and calls are retried within half a second.
constexpr Duration kReregistrationTime = std::chrono::milliseconds(2500);

}  // namespace

void RegistryTracker::OnListed(const std::string& key) {
  removal_times_[key] = TimePoint::max();
}

void RegistryTracker::OnDeleted(const std::string& key, TimePoint now) {
  const auto found = removal_times_.find(key);
  if (found != removal_times_.end() && found->second == TimePoint::max())
    found->second = RemovalTime(now);
}

void RegistryTracker::OnFullRead(const std::vector<std::string>& keys,
                                 TimePoint now) {
  for (auto& [key, removal_time] : removal_times_) {
    const bool listed = std::find(keys.begin(), keys.end(), key) != keys.end();
    if (!listed && removal_time == TimePoint::max())
      removal_time = RemovalTime(now);
  }
  for (const std::string& key : keys)
    OnListed(key);
}

std::vector<std::string> RegistryTracker::TakeRemoved(TimePoint now) {
  std::vector<std::string> removed;
  for (auto it = removal_times_.begin(); it != removal_times_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    removed.push_back(it->first);
    it = removal_times_.erase(it);
  }
  return removed;
}

TimePoint RegistryTracker::RemovalTime(TimePoint now) const {
  return last_failure_ == TimePoint{}
             ? now
             : std::max(now, last_failure_ + kReregistrationTime);
}

}  // namespace comfreyvane
