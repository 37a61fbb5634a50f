/// @file
/// Decides when an entry of the registry is gone.
#ifndef COMFREYVANE_EDGE_REGISTRY_TRACKER_H_
#define COMFREYVANE_EDGE_REGISTRY_TRACKER_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Decides when an entry that the registry no longer lists is gone. While the
/// store is away entries lapse although their owners live, and come back
/// shortly after it returns; until then they count as listed.
class RegistryTracker {
 public:
  /// Notes that a call to the store failed.
  /// @param begun when the call began: the store was away then.
  void OnStoreFailure(TimePoint begun) {
    last_failure_ = std::max(last_failure_, begun);
  }

  /// Notes an entry that was read.
  void OnListed(const std::string& key);
  /// Notes an entry that was deleted.
  void OnDeleted(const std::string& key, TimePoint now);
  /// Notes a read of all entries: those that are missing in it were deleted.
  void OnFullRead(const std::vector<std::string>& keys, TimePoint now);

  /// @return entries that are gone as of now, each once.
  [[nodiscard]] std::vector<std::string> TakeRemoved(TimePoint now);

 private:
  [[nodiscard]] TimePoint RemovalTime(TimePoint now) const;

  TimePoint last_failure_{};
  /// When an entry that is not listed is gone; max for a listed one.
  std::map<std::string, TimePoint> removal_times_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_REGISTRY_TRACKER_H_
