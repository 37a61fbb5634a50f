#include "comfreyvane/route/server_record.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace comfreyvane {
namespace {

/// Weights of a new sample in the moving averages. Latency increases weigh more
/// than decreases.
constexpr double kSlowerGain = 0.3;
constexpr double kFasterGain = 0.1;
constexpr double kSuccessGain = 0.1;
constexpr double kSuccessFloor = 0.05;
constexpr double kContradictionGain = 0.2;
constexpr double kMaxContradictionRate = 0.5;
constexpr std::uint32_t kConnectFailuresToEject = 2;
constexpr std::uint32_t kProbeFailuresToEject = 2;
constexpr std::uint32_t kMaxDoublings = 16;
/// Slots that a host may always use at a server of its own failure domain.
constexpr std::uint32_t kReservedLocalSlots = 1;
constexpr int kFailureLatencyFactor = 2;

Duration Doubled(Duration base, std::uint32_t times, Duration limit) {
  const auto doublings = std::min(times, kMaxDoublings);
  return std::min<Duration>(base * (1LL << doublings), limit);
}

}  // namespace

ServerRecord::ServerRecord(const RouteServer& server,
                           bool warm,
                           Duration latency,
                           TimePoint now)
    : server_(server),
      latency_(latency),
      last_sample_(now),
      is_ramping_(!warm),
      ramp_start_(now) {}

std::uint32_t ServerRecord::FreeSlots() const {
  if (!HasFreeSlot())
    return 0;
  return std::min(own_limit_ - own_in_use_,
                  limit_ - own_in_use_ - others_in_use_);
}

void ServerRecord::Update(const RouteServer& server, TimePoint now) {
  if (server.site != server_.site || server.distance != server_.distance) {
    is_ramping_ = true;
    ramp_start_ = now;
  }
  server_ = server;
}

void ServerRecord::OnStarted(bool isolated) {
  ++own_in_use_;
  isolated_ = isolated_ || isolated;
}

void ServerRecord::OnFinished(RequestOutcome outcome,
                              Duration latency,
                              Duration mean_latency,
                              const RouteLimits& limits,
                              TimePoint now) {
  assert(own_in_use_ > 0);
  --own_in_use_;
  isolated_ = isolated_ && own_in_use_ > 0;
  switch (outcome) {
    case RequestOutcome::kOk:
      RecordLatency(latency, now);
      success_rate_ += kSuccessGain * (1.0 - success_rate_);
      ++samples_;
      consecutive_errors_ = 0;
      consecutive_connect_failures_ = 0;
      consecutive_probe_failures_ = 0;
      consecutive_holds_ = 0;
      is_trial_ = false;
      break;
    case RequestOutcome::kFailed:
    case RequestOutcome::kTimeout:
      RecordFailure(latency, mean_latency, now);
      break;
    case RequestOutcome::kConnectFailed:
      ++consecutive_connect_failures_;
      RecordFailure(latency, mean_latency, now);
      break;
    case RequestOutcome::kCrashed:
      has_crashed_ = true;
      break;
    case RequestOutcome::kShed:
      Hold(limits, now);
      break;
    case RequestOutcome::kCancelled:
      break;
  }
}

void ServerRecord::RecordFailure(Duration latency,
                                 Duration mean_latency,
                                 TimePoint now) {
  RecordLatency(std::max(latency, kFailureLatencyFactor * mean_latency), now);
  success_rate_ -= kSuccessGain * success_rate_;
  ++samples_;
  ++consecutive_errors_;
}

void ServerRecord::RecordLatency(Duration latency, TimePoint now) {
  const double gain = latency > latency_ ? kSlowerGain : kFasterGain;
  const double step = gain * static_cast<double>((latency - latency_).count());
  latency_ += Duration(static_cast<Duration::rep>(step));
  last_sample_ = now;
}

void ServerRecord::OnLoadReport(const LoadReport& report,
                                TimePoint reported_at) {
  if (has_report_ && reported_at < reported_at_)
    return;
  has_report_ = true;
  reported_at_ = reported_at;
  reported_leaving_ = report.leaving;
  if (own_in_use_ > 0) {
    const double contradicts = report.in_use < own_in_use_ ? 1.0 : 0.0;
    contradiction_rate_ +=
        kContradictionGain * (contradicts - contradiction_rate_);
  }
  const std::uint64_t load = std::uint64_t{report.in_use} + report.queued;
  const std::uint64_t others = load > own_in_use_ ? load - own_in_use_ : 0;
  const std::uint64_t max_others = server_.slots > 0 ? server_.slots - 1 : 0;
  reported_others_ = static_cast<std::uint32_t>(std::min(others, max_others));
}

void ServerRecord::OnFailedProbe(const RouteLimits& limits, TimePoint now) {
  ++consecutive_probe_failures_;
  if (ejected_ != EjectionReason::kNone)
    ejected_until_ = std::max(ejected_until_, now + limits.base_ejection_time);
}

void ServerRecord::OnHealthyProbe(TimePoint now) {
  consecutive_probe_failures_ = 0;
  consecutive_connect_failures_ = 0;
  if (ejected_ != EjectionReason::kNone && ejected_ != EjectionReason::kErrors)
    Reopen(now);
}

void ServerRecord::Hold(const RouteLimits& limits, TimePoint now) {
  held_until_ = now + Doubled(limits.base_shed_backoff, consecutive_holds_,
                              limits.max_shed_backoff);
  ++consecutive_holds_;
  accepts_requests_ = false;
}

void ServerRecord::Eject(EjectionReason reason,
                         const RouteLimits& limits,
                         TimePoint now) {
  assert(reason != EjectionReason::kNone);
  ejected_ = reason;
  ejected_until_ =
      now + Doubled(limits.base_ejection_time, consecutive_ejections_,
                    limits.max_ejection_time);
  ++consecutive_ejections_;
  accepts_requests_ = false;
}

void ServerRecord::Reopen(TimePoint now) {
  ejected_ = EjectionReason::kNone;
  is_trial_ = true;
  has_crashed_ = false;
  success_rate_ = 1.0;
  samples_ = 0;
  consecutive_errors_ = 0;
  consecutive_connect_failures_ = 0;
  consecutive_probe_failures_ = 0;
  is_ramping_ = true;
  ramp_start_ = now;
}

EjectionReason ServerRecord::EjectionVerdict(const RouteLimits& limits) const {
  if (has_crashed_)
    return EjectionReason::kCrashed;
  if (consecutive_connect_failures_ >= kConnectFailuresToEject)
    return EjectionReason::kConnectFailed;
  if (consecutive_probe_failures_ >= kProbeFailuresToEject)
    return EjectionReason::kProbeFailed;
  const bool failed_trial = is_trial_ && consecutive_errors_ > 0;
  const bool too_many_errors =
      consecutive_errors_ >= limits.consecutive_errors_to_eject;
  const bool low_success_rate =
      samples_ >= limits.min_samples && success_rate_ < limits.min_success_rate;
  return failed_trial || too_many_errors || low_success_rate
             ? EjectionReason::kErrors
             : EjectionReason::kNone;
}

void ServerRecord::RefreshRamp(const RouteLimits& limits, TimePoint now) {
  if (!is_ramping_) {
    ramp_ = 1.0;
    return;
  }
  const double elapsed = static_cast<double>((now - ramp_start_).count()) /
                         static_cast<double>(limits.slow_start.count());
  const double floor = limits.initial_ramp;
  ramp_ = std::min(1.0, floor + (1.0 - floor) * elapsed);
  if (ramp_ < 1.0)
    return;
  is_ramping_ = false;
  if (!is_trial_)
    consecutive_ejections_ = 0;
}

std::uint32_t ServerRecord::EstimateOthers() const {
  std::uint32_t others = peer_use_.value_or(reported_others_);
  const bool use_report =
      has_report_ && contradiction_rate_ < kMaxContradictionRate;
  if (peer_use_ && use_report)
    others = (*peer_use_ + reported_others_) / 2;
  const bool is_local = server_.distance == Distance::kSameFailureDomain;
  const std::uint32_t reserved = is_local ? kReservedLocalSlots : 0;
  return std::min(others, server_.slots - std::min(server_.slots, reserved));
}

void ServerRecord::Refresh(const RouteLimits& limits,
                           Duration mean_latency,
                           TimePoint now) {
  if (ejected_ != EjectionReason::kNone && now >= ejected_until_)
    Reopen(now);
  RefreshRamp(limits, now);
  if (has_report_ && now - reported_at_ > limits.load_report_ttl) {
    has_report_ = false;
    reported_leaving_ = false;
    reported_others_ = 0;
  }
  others_in_use_ = EstimateOthers();
  const double ramped = std::ceil(server_.slots * ramp_);
  limit_ = std::max(static_cast<std::uint32_t>(ramped), 1U);
  const std::uint32_t quota = server_.connection_quota;
  own_limit_ = std::min(server_.slots, quota > 1 ? quota - 1 : quota);
  if (is_trial_)
    own_limit_ = std::min(own_limit_, 1U);
  if (own_in_use_ == 0 && now - last_sample_ > limits.latency_ttl)
    latency_ = mean_latency;
  const double success = std::max(success_rate_, kSuccessFloor);
  cost_ = static_cast<double>(latency_.count()) / (success * success * limit_);
  accepts_requests_ =
      !is_leaving() && ejected_ == EjectionReason::kNone && now >= held_until_;
}

}  // namespace comfreyvane
