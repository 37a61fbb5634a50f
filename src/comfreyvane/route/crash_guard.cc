#include "comfreyvane/route/crash_guard.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace comfreyvane {
namespace {

/// Evidence of two hosts about the same server within this time is attributed
/// to the same crash.
constexpr Duration kSameCrashWindow = std::chrono::seconds(1);

bool Contains(const std::vector<RequestId>& requests, RequestId request) {
  return std::find(requests.begin(), requests.end(), request) != requests.end();
}

}  // namespace

CrashGuard::CrashGuard(HostId self, Incarnation incarnation, CrashLimits limits)
    : self_(self), incarnation_(incarnation), limits_(limits) {}

CrashAdmission CrashGuard::Admit(RequestId request, TimePoint now) {
  if (suspects_.empty())
    return CrashAdmission::kUnrestricted;
  EvictSuspects(now);
  const auto found = suspects_.find(request);
  if (found == suspects_.end())
    return CrashAdmission::kUnrestricted;
  Touch(found->second, now);
  return found->second.contained ? CrashAdmission::kContained
                                 : CrashAdmission::kIsolated;
}

CrashEvidence CrashGuard::OnCrash(BackendServerId server,
                                  std::vector<RequestId> running,
                                  TimePoint now) {
  std::sort(running.begin(), running.end());
  running.erase(std::unique(running.begin(), running.end()), running.end());
  CrashEvidence evidence{.host = self_,
                         .incarnation = incarnation_,
                         .sequence = ++sequence_,
                         .server = server,
                         .running = std::move(running)};
  RecordCrash(evidence, now);
  return evidence;
}

void CrashGuard::OnEvidence(const CrashEvidence& evidence, TimePoint now) {
  if (evidence.host == self_)
    return;
  const bool known =
      std::any_of(crashes_.begin(), crashes_.end(), [&](const Crash& crash) {
        return crash.host == evidence.host &&
               crash.incarnation == evidence.incarnation &&
               crash.sequence == evidence.sequence;
      });
  if (!known)
    RecordCrash(evidence, now);
}

void CrashGuard::RecordCrash(const CrashEvidence& evidence, TimePoint now) {
  Crash latest{evidence.host,   evidence.incarnation,   evidence.sequence,
               evidence.server, EventOf(evidence, now), now,
               evidence.running};
  for (const Crash& crash : crashes_) {
    if (crash.event == latest.event && crash.culprit != RequestId())
      latest.culprit = crash.culprit;
  }
  crashes_.push_back(latest);
  if (crashes_.size() > limits_.max_crashes)
    crashes_.pop_front();
  for (const RequestId request : latest.running)
    MarkSuspect(request, now);
  ContainCulprits(latest);
  EvictSuspects(now);
}

void CrashGuard::ContainCulprits(const Crash& latest) {
  std::vector<RequestId> culprits;
  for (const RequestId request : latest.running) {
    if (IsOverLimit(BlameOf(request)))
      culprits.push_back(request);
  }
  for (const RequestId culprit : culprits)
    Contain(culprit);
  for (const RequestId culprit : culprits)
    AttributeCrashesTo(culprit);
}

std::uint64_t CrashGuard::EventOf(const CrashEvidence& evidence,
                                  TimePoint now) {
  for (auto crash = crashes_.rbegin(); crash != crashes_.rend(); ++crash) {
    if (crash->server != evidence.server ||
        now - crash->seen_at > kSameCrashWindow)
      continue;
    const bool reported =
        std::any_of(crashes_.begin(), crashes_.end(), [&](const Crash& other) {
          return other.event == crash->event && other.host == evidence.host;
        });
    if (!reported)
      return crash->event;
  }
  return next_event_++;
}

void CrashGuard::MarkSuspect(RequestId request, TimePoint now) {
  const auto [found, added] = suspects_.try_emplace(request);
  if (added) {
    by_recency_.push_front(request);
    found->second.position = by_recency_.begin();
  }
  Touch(found->second, now);
}

void CrashGuard::Touch(Suspect& suspect, TimePoint now) {
  suspect.last_seen = now;
  by_recency_.splice(by_recency_.begin(), by_recency_, suspect.position);
}

void CrashGuard::Contain(RequestId request) {
  Suspect& suspect = suspects_.at(request);
  if (!suspect.contained)
    ++contained_count_;
  suspect.contained = true;
}

void CrashGuard::AttributeCrashesTo(RequestId culprit) {
  std::set<std::uint64_t> events;
  for (const Crash& crash : crashes_) {
    if (Contains(crash.running, culprit))
      events.insert(crash.event);
  }
  for (Crash& crash : crashes_) {
    if (events.contains(crash.event))
      Attribute(crash, culprit);
  }
  for (const Crash& crash : crashes_) {
    if (crash.culprit != culprit)
      continue;
    for (const RequestId request : crash.running) {
      if (request != culprit)
        ReleaseIfExonerated(request);
    }
  }
}

void CrashGuard::Attribute(Crash& crash, RequestId culprit) {
  const bool unattributed = crash.culprit == RequestId();
  if (unattributed || Exceeds(BlameOf(culprit), BlameOf(crash.culprit)))
    crash.culprit = culprit;
}

bool CrashGuard::Exceeds(Blame first, Blame second) {
  return std::pair(first.in_fleet, first.at_host) >
         std::pair(second.in_fleet, second.at_host);
}

void CrashGuard::ReleaseIfExonerated(RequestId request) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || !found->second.contained ||
      IsOverLimit(UnattributedBlameOf(request)))
    return;
  found->second.contained = false;
  --contained_count_;
}

bool CrashGuard::OnCompleted(RequestId request, TimePoint now) {
  if (suspects_.empty() || !suspects_.contains(request))
    return false;
  for (Crash& crash : crashes_) {
    std::erase(crash.running, request);
    if (crash.culprit == request)
      crash.culprit = RequestId();
  }
  RemoveSuspect(request);
  EvictSuspects(now);
  return true;
}

void CrashGuard::RemoveSuspect(RequestId request) {
  const auto found = suspects_.find(request);
  contained_count_ -= found->second.contained ? 1 : 0;
  by_recency_.erase(found->second.position);
  suspects_.erase(found);
}

void CrashGuard::EvictSuspects(TimePoint now) {
  while (!by_recency_.empty()) {
    const Suspect& oldest = suspects_.at(by_recency_.back());
    const bool expired = now - oldest.last_seen > limits_.suspect_ttl;
    if (!expired && suspects_.size() <= limits_.max_suspects)
      return;
    RemoveSuspect(by_recency_.back());
  }
}

bool CrashGuard::IsContained(RequestId request) const {
  const auto found = suspects_.find(request);
  return found != suspects_.end() && found->second.contained;
}

CrashGuard::Blame CrashGuard::BlameOf(RequestId request) const {
  return Count(request, [](const Crash&) { return true; });
}

CrashGuard::Blame CrashGuard::UnattributedBlameOf(RequestId request) const {
  const Blame blame = BlameOf(request);
  return Count(request, [&](const Crash& crash) {
    return crash.culprit == RequestId() || crash.culprit == request ||
           !Exceeds(BlameOf(crash.culprit), blame);
  });
}

template <typename Filter>
CrashGuard::Blame CrashGuard::Count(RequestId request, Filter filter) const {
  Blame blame;
  std::set<std::uint64_t> events;
  std::map<HostId, std::uint32_t> at_hosts;
  for (const Crash& crash : crashes_) {
    if (!Contains(crash.running, request) || !filter(crash))
      continue;
    events.insert(crash.event);
    blame.at_host = std::max(blame.at_host, ++at_hosts[crash.host]);
  }
  blame.in_fleet = static_cast<std::uint32_t>(events.size());
  return blame;
}

bool CrashGuard::IsOverLimit(Blame blame) const {
  return blame.at_host >= limits_.host_crash_threshold ||
         blame.in_fleet >= limits_.fleet_crash_threshold;
}

Refusal CrashGuard::ContainedRefusal() const {
  return {RefusalReason::kCrashContained, RunState::kNotRun,
          limits_.retry_after};
}

std::uint32_t CrashGuard::CrashesAtHost(RequestId request) const {
  return BlameOf(request).at_host;
}

std::uint32_t CrashGuard::CrashesInFleet(RequestId request) const {
  return BlameOf(request).in_fleet;
}

}  // namespace comfreyvane
