#include "comfreyvane/host/crash_desk.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {

CrashDesk::CrashDesk(HostId self, Incarnation incarnation, Sink sink)
    : guard_(self, incarnation, CrashLimits{}), sink_(std::move(sink)) {}

CrashAdmission CrashDesk::Admit(RequestId request, TimePoint now) {
  const std::lock_guard lock(mutex_);
  return guard_.Admit(request, now);
}

Refusal CrashDesk::ContainedRefusal() const {
  const std::lock_guard lock(mutex_);
  return guard_.ContainedRefusal();
}

void CrashDesk::OnStarted(BackendServerId server, RequestId request) {
  const std::lock_guard lock(mutex_);
  running_[server].push_back(request);
}

void CrashDesk::OnEnded(BackendServerId server, RequestId request) {
  const std::lock_guard lock(mutex_);
  std::vector<RequestId>& running = running_[server];
  const auto found = std::find(running.begin(), running.end(), request);
  if (found != running.end())
    running.erase(found);
}

void CrashDesk::OnCompleted(RequestId request, TimePoint now) {
  bool was_suspect = false;
  {
    const std::lock_guard lock(mutex_);
    was_suspect = guard_.OnCompleted(request, now);
  }
  if (was_suspect)
    sink_.on_cleared({request});
}

void CrashDesk::OnCrash(BackendServerId server, TimePoint now) {
  CrashEvidence evidence;
  {
    const std::lock_guard lock(mutex_);
    std::vector<RequestId> running = std::exchange(running_[server], {});
    // All connections to a crashed server break; the first one tells of it.
    if (running.empty())
      return;
    std::sort(running.begin(), running.end());
    running.erase(std::unique(running.begin(), running.end()), running.end());
    evidence = guard_.OnCrash(server, std::move(running), now);
  }
  sink_.on_crash(std::move(evidence));
}

void CrashDesk::OnEvidence(const CrashEvidence& evidence, TimePoint now) {
  const std::lock_guard lock(mutex_);
  guard_.OnEvidence(evidence, now);
}

void CrashDesk::OnCleared(const SuspectCleared& cleared, TimePoint now) {
  const std::lock_guard lock(mutex_);
  guard_.OnCompleted(cleared.request, now);
}

std::size_t CrashDesk::contained() const {
  const std::lock_guard lock(mutex_);
  return guard_.contained();
}

}  // namespace comfreyvane
