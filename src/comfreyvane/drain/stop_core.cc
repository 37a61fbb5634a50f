#include "comfreyvane/drain/stop_core.h"

#include <algorithm>
#include <cassert>

namespace comfreyvane {
namespace {

/// Time before the end of the grace at which running requests are given up, so
/// that their callers get answers: at most a tenth of the grace.
constexpr Duration kMaxAnswerMargin = std::chrono::milliseconds(600);
constexpr int kAnswerMarginDivisor = 10;

/// Time before the end of the grace at which the process exits: at most a
/// twentieth of the grace.
constexpr Duration kMaxExitMargin = std::chrono::milliseconds(300);
constexpr int kExitMarginDivisor = 20;

}  // namespace

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
  return LeavingRefusal();
}

std::optional<Refusal> StopCore::RefusalFor(const StopTerms& terms,
                                            TimePoint now) const {
  if (phase_ == StopPhase::kServing)
    return std::nullopt;
  const TimePoint end = gives_up_at();
  const bool is_early = terms.received < leaves_until();
  if (now >= end || (!is_early && !settings_.takes_late))
    return LeavingRefusal();
  const bool is_expected = std::max(now, terms.expected_end) <= end;
  if (terms.deadline <= end || (is_early && is_expected))
    return std::nullopt;
  return LeavingRefusal();
}

Refusal StopCore::LeavingRefusal() const {
  return {RefusalReason::kHostLeaving, RunState::kNotRun,
          settings_.retry_after};
}

TimePoint StopCore::leaves_until() const {
  return std::min(stop_requested_at_ + settings_.leave_grace, gives_up_at());
}

TimePoint StopCore::gives_up_at() const {
  if (settings_.grace == Duration::max())
    return TimePoint::max();
  return stop_requested_at_ + settings_.grace -
         std::min(kMaxAnswerMargin, settings_.grace / kAnswerMarginDivisor);
}

TimePoint StopCore::exits_at() const {
  if (settings_.grace == Duration::max())
    return TimePoint::max();
  return stop_requested_at_ + settings_.grace -
         std::min(kMaxExitMargin, settings_.grace / kExitMarginDivisor);
}

void StopCore::Advance(TimePoint now, StopActions& actions) {
  if (phase_ == StopPhase::kLeaving && now >= leaves_until()) {
    phase_ = StopPhase::kRefusing;
    refusing_since_ = now;
    actions.emplace_back(StopAccepting{});
    actions.emplace_back(ReturnLeases{});
  }
  const bool timed_out = now - refusing_since_ >= settings_.return_timeout;
  if (phase_ == StopPhase::kRefusing && (leases_returned_ || timed_out))
    phase_ = StopPhase::kFinishing;
  if (phase_ == StopPhase::kServing || phase_ == StopPhase::kStopped)
    return;
  if (!has_given_up_ && now >= gives_up_at()) {
    has_given_up_ = true;
    actions.emplace_back(GiveUp{});
  }
  const bool is_idle = running_ == 0 && connections_ == 0;
  if ((phase_ == StopPhase::kFinishing && is_idle) || now >= exits_at()) {
    phase_ = StopPhase::kStopped;
    actions.emplace_back(CloseAll{});
  }
}

}  // namespace comfreyvane
