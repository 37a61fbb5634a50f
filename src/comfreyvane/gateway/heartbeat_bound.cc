#include "comfreyvane/gateway/heartbeat_bound.h"

#include <algorithm>
#include <vector>

#include "comfreyvane/gateway/fleet_codec.h"

namespace comfreyvane {
namespace {

/// Part of a list that is cut at a time.
constexpr std::size_t kCutDivisor = 4;

void SortByImportance(Heartbeat& heartbeat) {
  std::ranges::sort(heartbeat.crash_counts, [](const auto& a, const auto& b) {
    return a.count != b.count ? a.count > b.count
                              : a.fingerprint < b.fingerprint;
  });
  if (heartbeat.use) {
    std::ranges::sort(*heartbeat.use, [](const auto& a, const auto& b) {
      return a.running > b.running;
    });
  }
  auto& requested = heartbeat.requested_tokens;
  if (!requested.empty()) {
    const auto first = heartbeat.sequence % requested.size();
    std::rotate(requested.begin(),
                requested.begin() + static_cast<std::ptrdiff_t>(first),
                requested.end());
  }
}

template <typename Row>
std::size_t Cut(std::vector<Row>& rows) {
  const std::size_t count = (rows.size() + kCutDivisor - 1) / kCutDivisor;
  rows.resize(rows.size() - count);
  return count;
}

/// @return number of rows that were cut; zero: none is left.
std::size_t CutLongest(Heartbeat& heartbeat) {
  const auto cut_if_longest = [](auto&... lists) {
    const std::size_t longest = std::max({lists.size()...});
    std::size_t count = 0;
    const auto cut = [&](auto& list) {
      if (count == 0 && longest > 0 && list.size() == longest)
        count = Cut(list);
    };
    (cut(lists), ...);
    return count;
  };
  std::vector<BackendUse> no_use;
  std::vector<PathReport> no_paths;
  const std::size_t count = cut_if_longest(
      heartbeat.crash_counts, heartbeat.use ? *heartbeat.use : no_use,
      heartbeat.requested_tokens, heartbeat.asked_paths,
      heartbeat.paths ? *heartbeat.paths : no_paths, heartbeat.limits,
      heartbeat.leaving_servers);
  return count > 0 ? count : Cut(heartbeat.granted_tokens);
}

}  // namespace

std::size_t CutToFit(Heartbeat& heartbeat, std::size_t max_bytes) {
  std::size_t total = 0;
  while (EncodeHeartbeat(heartbeat).size() > max_bytes) {
    if (total == 0)
      SortByImportance(heartbeat);
    const std::size_t count = CutLongest(heartbeat);
    if (count == 0)
      break;
    total += count;
  }
  return total;
}

}  // namespace comfreyvane
