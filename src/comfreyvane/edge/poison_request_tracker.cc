#include "comfreyvane/edge/poison_request_tracker.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {
namespace {

/// Number of crashes, over all hosts, from which on a request is refused.
constexpr std::uint32_t kMaxCrashes = 3;

/// Time after the last crash for which a record is valid.
constexpr Duration kRetention = std::chrono::minutes(2);

/// Servers that close connections within this time do so for the same reason.
constexpr Duration kBreakSpan = std::chrono::milliseconds(20);

/// Time before a crash is reported to peers. A host notices within this time
/// that its connections broke because it lost its path to the servers.
constexpr Duration kReportDelay = std::chrono::milliseconds(700);

/// Upper bound of the number of records.
constexpr std::size_t kMaxRecords = 1024;

}  // namespace

std::uint32_t PoisonRequestTracker::Total(const Record& record) {
  auto total = static_cast<std::uint32_t>(record.own.size());
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
                                         BackendServerId server,
                                         TimePoint sent_at,
                                         TimePoint now) {
  const Break last = std::exchange(last_break_, {server, now});
  // A retry, which is sent after the first crash, may crash the next server.
  const bool is_simultaneous = last.at != TimePoint{} &&
                               last.server != server && sent_at < last.at &&
                               now - last.at < kBreakSpan;
  if (is_simultaneous) {
    Retract(last.at);
    broken_at_ = last.at;
  }
  if (sent_at < broken_at_)
    return;
  Trim(now);
  Record& record = records_[fingerprint];
  if (record.own.size() < kMaxCrashes)
    record.own.push_back(now);
  record.updated_at = now;
}

void PoisonRequestTracker::Retract(TimePoint since) {
  for (auto& [fingerprint, record] : records_)
    std::erase_if(record.own, [since](TimePoint at) { return at >= since; });
}

void PoisonRequestTracker::OnPeerReport(std::uint64_t peer,
                                        const std::vector<CrashCount>& counts,
                                        TimePoint now) {
  for (auto& [fingerprint, record] : records_)
    record.by_peer.erase(peer);
  for (const CrashCount& reported : counts) {
    Trim(now);
    Record& record = records_[reported.fingerprint];
    record.by_peer[peer] = reported.count;
    record.updated_at = now;
  }
}

void PoisonRequestTracker::OnAnswered(std::uint64_t fingerprint) {
  records_.erase(fingerprint);
}

std::vector<CrashCount> PoisonRequestTracker::CrashCounts(TimePoint now) const {
  std::vector<CrashCount> counts;
  for (const auto& [fingerprint, record] : records_) {
    if (now - record.updated_at > kRetention)
      continue;
    const auto count = static_cast<std::uint32_t>(std::ranges::count_if(
        record.own, [now](TimePoint at) { return now - at >= kReportDelay; }));
    if (count > 0)
      counts.push_back({fingerprint, count});
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
