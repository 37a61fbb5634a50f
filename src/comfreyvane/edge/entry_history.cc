#include "comfreyvane/edge/entry_history.h"

#include <tuple>

namespace comfreyvane {
bool EntryHistory::IsOutdated(const BackendEntry& entry) const {
  const auto found = records_.find(entry.name);
  if (found == records_.end())
    return false;
  const Record& record = found->second;
  const auto age = std::tuple(entry.started_ms, entry.sequence);
  const auto newest = std::tuple(record.started_ms, record.sequence);
  const bool is_removed = record.removed_at != TimePoint::max();
  return age < newest || (is_removed && age == newest);
}

void EntryHistory::OnListed(const BackendEntry& entry) {
  records_[entry.name] = {entry.started_ms, entry.sequence};
}

void EntryHistory::OnRemoved(const std::string& name, TimePoint now) {
  const auto found = records_.find(name);
  if (found != records_.end())
    found->second.removed_at = now;
}

void EntryHistory::Prune(TimePoint now) {
  std::erase_if(records_, [now](const auto& row) {
    return row.second.removed_at != TimePoint::max() &&
           now - row.second.removed_at > kRetention;
  });
}

}  // namespace comfreyvane
