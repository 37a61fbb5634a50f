/// @file
/// Which entries of backend servers are older than what is known.
#ifndef COMFREYVANE_EDGE_ENTRY_HISTORY_H_
#define COMFREYVANE_EDGE_ENTRY_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/backend_entry.h"

namespace comfreyvane {

/// Remembers the newest entry of each server, also for a while after it has
/// gone, so that a store that comes back from an older copy brings no server
/// back that has left or is draining.
class EntryHistory {
 public:
  /// How long a server that has gone is remembered: the platform states that
  /// its copies are some seconds old.
  static constexpr Duration kRetention = std::chrono::minutes(1);

  /// @return whether a newer entry of the same or a later life was seen, or
  /// this
  ///     life has ended since.
  [[nodiscard]] bool IsOutdated(const BackendEntry& entry) const;

  void OnListed(const BackendEntry& entry);
  void OnRemoved(const std::string& name, TimePoint now);

  /// Forgets servers that have been gone for longer than copies are old.
  void Prune(TimePoint now);

  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    std::int64_t started_ms = 0;
    std::int64_t sequence = 0;
    TimePoint removed_at = TimePoint::max();
  };
  std::unordered_map<std::string, Record> records_;  ///< By name.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_ENTRY_HISTORY_H_
