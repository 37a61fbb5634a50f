#include "comfreyvane/edge/poison_request_tracker.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Number of crashes, over all hosts, from which on a request is refused.
constexpr std::uint32_t kMaxCrashes = 3;

/// Time after the last crash for which a record is valid.
constexpr Duration kRetention = std::chrono::minutes(2);

/// Upper bound of the number of records.
constexpr std::size_t kMaxRecords = 1024;

}  // namespace

std::uint32_t PoisonRequestTracker::Total(const Record& record) {
  std::uint32_t total = record.own;
  for (const auto& [peer, count] : record.by_peer)
    total += count;
  return total;
}

bool PoisonRequestTracker::MayRun(std::uint64_t fingerprint,
                                  TimePoint now) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ||
         now - found->second.updated_at > kRetention ||
         Total(found->second) < kMaxCrashes;
}

void PoisonRequestTracker::OnServerCrash(std::uint64_t fingerprint,
                                         TimePoint now) {
  Trim(now);
  Record& record = records_[fingerprint];
  ++record.own;
  record.updated_at = now;
}

void PoisonRequestTracker::OnPeerReport(std::uint64_t fingerprint,
                                        std::uint32_t count,
                                        std::uint64_t peer,
                                        TimePoint now) {
  Trim(now);
  Record& record = records_[fingerprint];
  record.by_peer[peer] = count;
  record.updated_at = now;
}

void PoisonRequestTracker::OnAnswered(std::uint64_t fingerprint) {
  records_.erase(fingerprint);
}

std::vector<PoisonRequestTracker::CrashCount> PoisonRequestTracker::CrashCounts(
    TimePoint now) const {
  std::vector<CrashCount> counts;
  for (const auto& [fingerprint, record] : records_) {
    if (record.own > 0 && now - record.updated_at <= kRetention)
      counts.push_back({fingerprint, record.own});
  }
  return counts;
}

void PoisonRequestTracker::Trim(TimePoint now) {
  if (records_.size() < kMaxRecords)
    return;
  std::erase_if(records_, [now](const auto& row) {
    return now - row.second.updated_at > kRetention;
  });
  if (records_.size() < kMaxRecords)
    return;
  records_.erase(std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        return a.second.updated_at < b.second.updated_at;
      }));
}

}  // namespace comfreyvane
