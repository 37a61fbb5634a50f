#include <algorithm>

#include "comfreyvane/edge/backend_picker.h"

namespace comfreyvane {

bool BackendPicker::OnLeaving(const LeavingReport& report, TimePoint now) {
  if (!leaving_.Add(report, now))
    return false;
  const auto found = states_.find(report.server);
  if (found == states_.end())
    return true;
  ServerSlot& slot = *found->second;
  slot.state.SetSaidLeaving(
      leaving_.Contains(report.server, slot.state.entry().started_ms));
  if (slot.region == self_.region)
    overflow_limiter_.SuspendUntil(now + kOverflowSuspension);
  return true;
}

void BackendPicker::OnWait(BackendServerId server,
                           Duration wait,
                           TimePoint now) {
  const auto found = states_.find(server);
  if (found != states_.end())
    found->second->state.OnWait(wait, now);
}

Duration BackendPicker::TimeUntilWanted(const PickRequest& request,
                                        TimePoint now) const {
  const auto found = by_service_.find(request.service);
  if (found == by_service_.end())
    return Duration::zero();
  TimePoint first = TimePoint::max();
  for (const ServerSlot* slot : found->second) {
    if (slot->MayRun(request))
      first = std::min(first, std::max(now, slot->state.wait_until()));
  }
  return first == TimePoint::max() ? Duration::zero() : first - now;
}

}  // namespace comfreyvane
