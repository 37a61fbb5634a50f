/// @file
/// Detection of outdated registry entries.
#ifndef COMFREYVANE_EDGE_ENTRY_HISTORY_H_
#define COMFREYVANE_EDGE_ENTRY_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/backend_entry.h"

namespace comfreyvane {

/// Keeps the version of the newest entry of each server, for some time also
/// after its removal. If the store falls back to an older copy of its data, the
/// entries of servers that have been removed or are draining are recognised as
/// outdated and not restored.
class EntryHistory {
 public:
  /// Retention period after a server's removal. The platform states that its
  /// copies lag by a few seconds.
  static constexpr Duration kRetention = std::chrono::minutes(1);

  /// @return whether a newer entry of the same or a later incarnation has been
  ///     seen, or the server was removed after this entry.
  [[nodiscard]] bool IsOutdated(const BackendEntry& entry) const;

  void OnListed(const BackendEntry& entry);
  void OnRemoved(const std::string& name, TimePoint now);

  /// Deletes the servers whose retention period has ended.
  void Prune(TimePoint now);

  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    std::int64_t started_ms = 0;
    std::int64_t sequence = 0;
    TimePoint removed_at = TimePoint::max();
  };
  std::unordered_map<std::string, Record> records_;  ///< By server name.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_ENTRY_HISTORY_H_
