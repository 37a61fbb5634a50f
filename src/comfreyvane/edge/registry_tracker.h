/// @file
/// Detection of removed registry entries.
#ifndef COMFREYVANE_EDGE_REGISTRY_TRACKER_H_
#define COMFREYVANE_EDGE_REGISTRY_TRACKER_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Decides when an entry that the registry no longer lists counts as removed.
/// During an outage of the store the entries of live servers expire, and the
/// servers register again shortly after its recovery. Until then their entries
/// count as listed.
class RegistryTracker {
 public:
  /// Records a failed call to the store.
  /// @param begun start of the call, when the store was unavailable.
  void OnStoreFailure(TimePoint begun) {
    last_failure_ = std::max(last_failure_, begun);
  }

  /// Records an entry that was read.
  void OnListed(const std::string& key);
  /// Records the deletion of an entry.
  void OnDeleted(const std::string& key, TimePoint now);
  /// Records a read of all entries. Known entries that are missing from it
  /// count as deleted.
  void OnFullRead(const std::vector<std::string>& keys, TimePoint now);

  /// @return the entries whose removal has become final; each is returned once.
  [[nodiscard]] std::vector<std::string> TakeRemoved(TimePoint now);

 private:
  [[nodiscard]] TimePoint RemovalTime(TimePoint now) const;

  TimePoint last_failure_{};
  /// Time when the removal of an entry becomes final; max for listed entries.
  std::map<std::string, TimePoint> removal_times_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_REGISTRY_TRACKER_H_
