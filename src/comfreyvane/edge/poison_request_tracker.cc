#include "comfreyvane/edge/poison_request_tracker.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {
namespace {

/// Number of crashes, over all hosts, from which on a request is refused.
constexpr std::uint32_t kMaxCrashes = 3;

/// Time for which a crash that this host has seen, and a peer's report, count.
constexpr Duration kRetention = std::chrono::minutes(2);

/// Servers that close connections within this time do so for the same reason.
constexpr Duration kBreakSpan = std::chrono::milliseconds(20);

/// Time before a crash is reported to peers. A host notices within this time
/// that its connections broke because it lost its path to the servers.
constexpr Duration kReportDelay = std::chrono::milliseconds(700);

/// Upper bound of the number of records.
constexpr std::size_t kMaxRecords = 1024;

}  // namespace

std::uint32_t PoisonRequestTracker::Total(const Record& record, TimePoint now) {
  auto total = static_cast<std::uint32_t>(std::ranges::count_if(
      record.own,
      [now](const Crash& crash) { return now - crash.at <= kRetention; }));
  for (const auto& [peer, reported] : record.by_peer) {
    if (now - reported.reported_at <= kRetention)
      total += reported.count;
  }
  return total;
}

bool PoisonRequestTracker::MayRun(std::uint64_t fingerprint,
                                  TimePoint now) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() || Total(found->second, now) < kMaxCrashes;
}

void PoisonRequestTracker::OnServerCrash(std::uint64_t fingerprint,
                                         BackendServerId server,
                                         TimePoint sent_at,
                                         TimePoint now) {
  const Crash last = std::exchange(last_break_, {server, now});
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
  std::erase_if(record.own, [now](const Crash& crash) {
    return now - crash.at > kRetention;
  });
  // What was sent to the server before its crash ran when it crashed.
  const bool is_same = std::ranges::any_of(record.own, [&](const Crash& crash) {
    return crash.server == server && sent_at < crash.at;
  });
  if (!is_same && record.own.size() < kMaxCrashes)
    record.own.push_back({server, now});
  record.updated_at = now;
}

void PoisonRequestTracker::Retract(TimePoint since) {
  for (auto& [fingerprint, record] : records_)
    std::erase_if(record.own,
                  [since](const Crash& crash) { return crash.at >= since; });
}

void PoisonRequestTracker::OnPeerReport(std::uint64_t peer,
                                        const std::vector<CrashCount>& counts,
                                        TimePoint now) {
  for (auto& [fingerprint, record] : records_)
    record.by_peer.erase(peer);
  for (const CrashCount& reported : counts) {
    Trim(now);
    Record& record = records_[reported.fingerprint];
    record.by_peer[peer] = {reported.count, now};
    record.updated_at = now;
  }
}

void PoisonRequestTracker::OnAnswered(std::uint64_t fingerprint) {
  records_.erase(fingerprint);
}

std::vector<CrashCount> PoisonRequestTracker::CrashCounts(TimePoint now) const {
  std::vector<CrashCount> counts;
  for (const auto& [fingerprint, record] : records_) {
    const auto count = static_cast<std::uint32_t>(
        std::ranges::count_if(record.own, [now](const Crash& crash) {
          return now - crash.at >= kReportDelay && now - crash.at <= kRetention;
        }));
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
