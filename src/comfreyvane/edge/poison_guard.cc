#include "comfreyvane/edge/poison_guard.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Servers that a request may break over all hosts before it is contained.
constexpr std::uint32_t kMostBroken = 3;

/// Time after which a suspect is forgotten.
constexpr Duration kMemory = std::chrono::minutes(2);

/// Suspects that are remembered.
constexpr std::size_t kMostRecords = 1024;

}  // namespace

std::uint32_t PoisonGuard::Total(const Record& record) {
  std::uint32_t total = record.own;
  for (const auto& [peer, count] : record.by_peer)
    total += count;
  return total;
}

bool PoisonGuard::MayRun(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() || now - found->second.noted > kMemory ||
         Total(found->second) < kMostBroken;
}

void PoisonGuard::OnBrokenOff(std::uint64_t fingerprint, TimePoint now) {
  Trim(now);
  Record& record = records_[fingerprint];
  ++record.own;
  record.noted = now;
}

void PoisonGuard::OnPeerReport(std::uint64_t fingerprint,
                               std::uint32_t count,
                               std::uint64_t peer,
                               TimePoint now) {
  Trim(now);
  Record& record = records_[fingerprint];
  record.by_peer[peer] = count;
  record.noted = now;
}

void PoisonGuard::OnAnswered(std::uint64_t fingerprint) {
  records_.erase(fingerprint);
}

std::vector<PoisonGuard::Suspect> PoisonGuard::Suspects(TimePoint now) const {
  std::vector<Suspect> suspects;
  for (const auto& [fingerprint, record] : records_) {
    if (record.own > 0 && now - record.noted <= kMemory)
      suspects.push_back({fingerprint, record.own});
  }
  return suspects;
}

void PoisonGuard::Trim(TimePoint now) {
  if (records_.size() < kMostRecords)
    return;
  std::erase_if(records_, [now](const auto& row) {
    return now - row.second.noted > kMemory;
  });
  if (records_.size() < kMostRecords)
    return;
  records_.erase(std::min_element(records_.begin(), records_.end(),
                                  [](const auto& a, const auto& b) {
                                    return a.second.noted < b.second.noted;
                                  }));
}

}  // namespace comfreyvane
