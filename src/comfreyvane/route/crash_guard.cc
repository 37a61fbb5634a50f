#include "comfreyvane/route/crash_guard.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace comfreyvane {
namespace {

/// Evidence of two hosts about one server within this time is of one crash.
constexpr Duration kSameCrashWindow = std::chrono::seconds(1);

bool Holds(const std::vector<RequestId>& requests, RequestId request) {
  return std::find(requests.begin(), requests.end(), request) != requests.end();
}

}  // namespace

CrashGuard::CrashGuard(HostId self, Incarnation incarnation, CrashLimits limits)
    : self_(self), incarnation_(incarnation), limits_(limits) {}

CrashAdmission CrashGuard::Admit(RequestId request, TimePoint now) {
  if (suspects_.empty())
    return CrashAdmission::kUnrestricted;
  Trim(now);
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
  Note(evidence, now);
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
    Note(evidence, now);
}

void CrashGuard::Note(const CrashEvidence& evidence, TimePoint now) {
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
    Suspected(request, now);
  ContainBlamed(latest);
  Trim(now);
}

void CrashGuard::ContainBlamed(const Crash& latest) {
  std::vector<RequestId> culprits;
  for (const RequestId request : latest.running) {
    if (OverLimit(BlameOf(request)))
      culprits.push_back(request);
  }
  for (const RequestId culprit : culprits)
    Contain(culprit);
  for (const RequestId culprit : culprits)
    ExplainCrashesOf(culprit);
}

std::uint64_t CrashGuard::EventOf(const CrashEvidence& evidence,
                                  TimePoint now) {
  for (auto crash = crashes_.rbegin(); crash != crashes_.rend(); ++crash) {
    if (crash->server != evidence.server ||
        now - crash->noted > kSameCrashWindow)
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

void CrashGuard::Suspected(RequestId request, TimePoint now) {
  const auto [found, added] = suspects_.try_emplace(request);
  if (added) {
    recent_.push_front(request);
    found->second.position = recent_.begin();
  }
  Touch(found->second, now);
}

void CrashGuard::Touch(Suspect& suspect, TimePoint now) {
  suspect.seen = now;
  recent_.splice(recent_.begin(), recent_, suspect.position);
}

void CrashGuard::Contain(RequestId request) {
  Suspect& suspect = suspects_.at(request);
  if (!suspect.contained)
    ++contained_;
  suspect.contained = true;
}

void CrashGuard::ExplainCrashesOf(RequestId culprit) {
  std::set<std::uint64_t> events;
  for (const Crash& crash : crashes_) {
    if (Holds(crash.running, culprit))
      events.insert(crash.event);
  }
  for (Crash& crash : crashes_) {
    if (events.contains(crash.event))
      Explain(crash, culprit);
  }
  for (const Crash& crash : crashes_) {
    if (crash.culprit != culprit)
      continue;
    for (const RequestId request : crash.running) {
      if (request != culprit)
        ReleaseIfExplained(request);
    }
  }
}

void CrashGuard::Explain(Crash& crash, RequestId culprit) {
  const bool free = crash.culprit == RequestId();
  if (free || Exceeds(BlameOf(culprit), BlameOf(crash.culprit)))
    crash.culprit = culprit;
}

bool CrashGuard::Exceeds(Blame first, Blame second) {
  return std::pair(first.in_fleet, first.at_host) >
         std::pair(second.in_fleet, second.at_host);
}

void CrashGuard::ReleaseIfExplained(RequestId request) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || !found->second.contained ||
      OverLimit(UnexplainedBlameOf(request)))
    return;
  found->second.contained = false;
  --contained_;
}

bool CrashGuard::OnCompleted(RequestId request, TimePoint now) {
  if (suspects_.empty() || !suspects_.contains(request))
    return false;
  for (Crash& crash : crashes_) {
    std::erase(crash.running, request);
    if (crash.culprit == request)
      crash.culprit = RequestId();
  }
  Forget(request);
  Trim(now);
  return true;
}

void CrashGuard::Forget(RequestId request) {
  const auto found = suspects_.find(request);
  contained_ -= found->second.contained ? 1 : 0;
  recent_.erase(found->second.position);
  suspects_.erase(found);
}

void CrashGuard::Trim(TimePoint now) {
  while (!recent_.empty()) {
    const Suspect& oldest = suspects_.at(recent_.back());
    const bool expired = now - oldest.seen > limits_.suspect_ttl;
    if (!expired && suspects_.size() <= limits_.max_suspects)
      return;
    Forget(recent_.back());
  }
}

bool CrashGuard::Contained(RequestId request) const {
  const auto found = suspects_.find(request);
  return found != suspects_.end() && found->second.contained;
}

CrashGuard::Blame CrashGuard::BlameOf(RequestId request) const {
  return Count(request, [](const Crash&) { return true; });
}

CrashGuard::Blame CrashGuard::UnexplainedBlameOf(RequestId request) const {
  const Blame blame = BlameOf(request);
  return Count(request, [&](const Crash& crash) {
    return crash.culprit == RequestId() || crash.culprit == request ||
           !Exceeds(BlameOf(crash.culprit), blame);
  });
}

template <typename Counts>
CrashGuard::Blame CrashGuard::Count(RequestId request, Counts counts) const {
  Blame blame;
  std::set<std::uint64_t> events;
  std::map<HostId, std::uint32_t> at_hosts;
  for (const Crash& crash : crashes_) {
    if (!Holds(crash.running, request) || !counts(crash))
      continue;
    events.insert(crash.event);
    blame.at_host = std::max(blame.at_host, ++at_hosts[crash.host]);
  }
  blame.in_fleet = static_cast<std::uint32_t>(events.size());
  return blame;
}

bool CrashGuard::OverLimit(Blame blame) const {
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
