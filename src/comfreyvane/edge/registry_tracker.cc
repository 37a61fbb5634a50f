#include "comfreyvane/edge/registry_tracker.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Time after the last failed call in which living servers list themselves
/// again: the platform states about two seconds after its return, and calls are
/// repeated within half a second.
constexpr Duration kReturnTime = std::chrono::milliseconds(2500);

}  // namespace

void RegistryTracker::OnListed(const std::string& key) {
  gone_at_[key] = TimePoint::max();
}

void RegistryTracker::OnDeleted(const std::string& key, TimePoint now) {
  const auto found = gone_at_.find(key);
  if (found != gone_at_.end() && found->second == TimePoint::max())
    found->second = GoneAt(now);
}

void RegistryTracker::OnWhole(const std::vector<std::string>& keys,
                              TimePoint now) {
  for (auto& [key, gone_at] : gone_at_) {
    const bool listed = std::find(keys.begin(), keys.end(), key) != keys.end();
    if (!listed && gone_at == TimePoint::max())
      gone_at = GoneAt(now);
  }
  for (const std::string& key : keys)
    OnListed(key);
}

std::vector<std::string> RegistryTracker::TakeGone(TimePoint now) {
  std::vector<std::string> gone;
  for (auto it = gone_at_.begin(); it != gone_at_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    gone.push_back(it->first);
    it = gone_at_.erase(it);
  }
  return gone;
}

TimePoint RegistryTracker::GoneAt(TimePoint now) const {
  return last_failure_ == TimePoint{}
             ? now
             : std::max(now, last_failure_ + kReturnTime);
}

}  // namespace comfreyvane
