#include "comfreyvane/edge/entry_history.h"

#include <tuple>

namespace comfreyvane {
bool EntryHistory::IsOutdated(const BackendEntry& entry) const {
  const auto found = known_.find(entry.name);
  if (found == known_.end())
    return false;
  const Known& known = found->second;
  const auto age = std::tuple(entry.started_ms, entry.sequence);
  const auto newest = std::tuple(known.started_ms, known.sequence);
  const bool gone = known.gone_at != TimePoint::max();
  return age < newest || (gone && age == newest);
}

void EntryHistory::OnListed(const BackendEntry& entry) {
  known_[entry.name] = {entry.started_ms, entry.sequence};
}

void EntryHistory::OnGone(const std::string& name, TimePoint now) {
  const auto found = known_.find(name);
  if (found != known_.end())
    found->second.gone_at = now;
}

void EntryHistory::Prune(TimePoint now) {
  std::erase_if(known_, [now](const auto& row) {
    return row.second.gone_at != TimePoint::max() &&
           now - row.second.gone_at > kMemory;
  });
}

}  // namespace comfreyvane
