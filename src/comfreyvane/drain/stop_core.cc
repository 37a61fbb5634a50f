#include "comfreyvane/drain/stop_core.h"

#include <cassert>

namespace comfreyvane {

StopActions StopCore::Stop(TimePoint now) {
  StopActions actions;
  if (phase_ != StopPhase::kServing)
    return actions;
  phase_ = StopPhase::kLeaving;
  stop_requested_at_ = now;
  actions.emplace_back(AnnounceLeaving{});
  return actions;
}

StopActions StopCore::OnTick(TimePoint now) {
  StopActions actions;
  Advance(now, actions);
  return actions;
}

void StopCore::OnRequestStarted() {
  assert(!RefusalForNewRequest());
  ++running_;
}

StopActions StopCore::OnRequestFinished(TimePoint now) {
  assert(running_ > 0);
  --running_;
  StopActions actions;
  Advance(now, actions);
  return actions;
}

StopActions StopCore::OnLeasesReturned(TimePoint now) {
  StopActions actions;
  leases_returned_ = phase_ == StopPhase::kRefusing;
  Advance(now, actions);
  return actions;
}

std::optional<Refusal> StopCore::RefusalForNewRequest() const {
  if (phase_ == StopPhase::kServing || phase_ == StopPhase::kLeaving)
    return std::nullopt;
  return Refusal{RefusalReason::kHostLeaving, RunState::kNotRun,
                 settings_.retry_after};
}

void StopCore::Advance(TimePoint now, StopActions& actions) {
  if (phase_ == StopPhase::kLeaving &&
      now - stop_requested_at_ >= settings_.leave_grace) {
    phase_ = StopPhase::kRefusing;
    refusing_since_ = now;
    actions.emplace_back(StopAccepting{});
    actions.emplace_back(ReturnLeases{});
  }
  const bool timed_out = now - refusing_since_ >= settings_.return_timeout;
  if (phase_ == StopPhase::kRefusing && (leases_returned_ || timed_out))
    phase_ = StopPhase::kFinishing;
  if (phase_ == StopPhase::kFinishing && running_ == 0) {
    phase_ = StopPhase::kStopped;
    actions.emplace_back(CloseAll{});
  }
}

}  // namespace comfreyvane
