#include "comfreyvane/edge/backend_state.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Number of recent objects that are tracked for each server.
constexpr std::size_t kMaxTrackedObjects = 64;

/// Time over which the weight of a load report falls to zero.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);

/// Fraction of a server's slots from which on it may be full: more requests may
/// have arrived since its load was reported.
constexpr double kBusyFraction = 0.5;

/// A load report of at most this age takes precedence over the use that peers
/// report, whose messages have an interval of twice this time.
constexpr Duration kFreshReportAge = std::chrono::milliseconds(250);

/// Time for which the use that peers report is valid: three intervals of their
/// messages.
constexpr Duration kPeerUseLifetime = std::chrono::milliseconds(1500);

/// Gain of the moving averages over answers of one server: about 5 answers.
constexpr double kSlownessGain = 0.2;
constexpr double kFailureGain = 0.2;

/// Bounds of the slowness, so that a few outliers have no lasting effect.
constexpr double kMinSlowness = 0.3;
constexpr double kMaxSlowness = 10.0;

/// A server is ejected if at least this fraction of its recent attempts failed.
constexpr double kEjectionFailureRate = 0.5;
constexpr std::uint32_t kMinEjectionSamples = 3;

/// Duration of the first ejection. It doubles with each consecutive ejection.
constexpr Duration kBaseEjectionTime = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxEjectionDoublings = 3;

/// Time for which a server that has shed a request gets no more.
constexpr Duration kShedBackoff = std::chrono::milliseconds(150);

/// A server is suspect if it has been silent for longer than the expected time
/// multiplied by this factor.
constexpr double kSuspectFactor = 2.0;
constexpr Duration kMinSuspectTime = std::chrono::milliseconds(400);

constexpr double kColdBurst = 1.0;

/// Upper bound on the time that a server states. One that is still overloaded
/// after it states another.
constexpr Duration kMaxServerWait = std::chrono::seconds(60);

/// Time after that in which the server gets one request at a time.
constexpr Duration kReturnTime = std::chrono::seconds(1);

}  // namespace

BackendState::BackendState(const BackendEntry& entry, TimePoint now)
    : entry_(entry), cold_updated_(now) {
  SetCold(entry.cold_for, now);
}

double BackendState::OthersRunning(TimePoint now) const {
  // Each answer reports the load. Between answers, the use that peers report is
  // more recent.
  const Duration report_age = now - reported_at_;
  if (report_age < kFreshReportAge)
    return reported_others_;
  if (now - peer_use_at_ < kPeerUseLifetime)
    return peer_running_;
  if (report_age >= kReportLifetime)
    return 0.0;
  return reported_others_ *
         (1.0 - static_cast<double>(report_age.count()) /
                    static_cast<double>(kReportLifetime.count()));
}

ServerLoad BackendState::Load(TimePoint now) const {
  const double slots = std::max(1U, entry_.slots);
  const double running = Running(now);
  const double waiting = std::max(0.0, running + 1.0 - slots);
  const bool is_unknown =
      reported_at_ == TimePoint{} && peer_use_at_ == TimePoint{};
  return {is_unknown || running >= kBusyFraction * slots,
          Scaled(mean_run_time_, waiting / slots)};
}

bool BackendState::IsSuspect(Duration expected, TimePoint now) const {
  if (own_running_ == 0 || silent_since_ > now)
    return false;
  const auto limit =
      std::max(kMinSuspectTime, Scaled(expected, kSuspectFactor));
  return now - silent_since_ > limit;
}

std::optional<std::size_t> BackendState::ObjectsSince(
    std::uint64_t object) const {
  const auto found = std::find(objects_.begin(), objects_.end(), object);
  if (found == objects_.end())
    return std::nullopt;
  return static_cast<std::size_t>(found - objects_.begin());
}

void BackendState::Update(const BackendEntry& entry, TimePoint now) {
  const bool is_new_incarnation = entry.started_ms != entry_.started_ms;
  entry_ = entry;
  is_removed_ = false;
  if (is_new_incarnation) {
    objects_.clear();
    is_used_ = false;
    slowness_ = 1.0;
    wait_until_ = TimePoint{};
    ForgetFailures();
  }
  if (entry.cold_for > Duration::zero())
    SetCold(entry.cold_for, now);
}

void BackendState::SetCold(Duration cold_for, TimePoint now) {
  cold_until_ = std::max(cold_until_, now + cold_for);
}

void BackendState::ForgetFailures() {
  failure_rate_ = 0.0;
  samples_ = 0;
  ejections_in_row_ = 0;
  ejected_until_ = TimePoint{};
  failing_until_ = TimePoint{};
}

void BackendState::OnStarted(TimePoint now) {
  if (own_running_ == 0)
    silent_since_ = now;
  ++own_running_;
  is_used_ = true;
}

void BackendState::OnFinished(RequestOutcome outcome,
                              Duration latency,
                              Duration expected,
                              std::uint64_t object,
                              TimePoint now) {
  if (own_running_ > 0)
    --own_running_;
  if (outcome == RequestOutcome::kCancelled)
    return;
  if (outcome == RequestOutcome::kShed) {
    silent_since_ = now;
    ejected_until_ = std::max(ejected_until_, now + kShedBackoff);
    return;
  }
  const double ratio = expected > Duration::zero()
                           ? static_cast<double>(latency.count()) /
                                 static_cast<double>(expected.count())
                           : 1.0;
  if (outcome == RequestOutcome::kTimeout) {
    // The request was cut off at its deadline, so the latency is a lower bound.
    if (ratio > slowness_)
      slowness_ += kSlownessGain * (std::min(ratio, kMaxSlowness) - slowness_);
    return;
  }
  ++samples_;
  const bool ok = outcome == RequestOutcome::kOk;
  failure_rate_ += kFailureGain * ((ok ? 0.0 : 1.0) - failure_rate_);
  if (!ok) {
    const bool unreachable = outcome == RequestOutcome::kConnectFailed ||
                             outcome == RequestOutcome::kCrashed;
    if (unreachable || (samples_ >= kMinEjectionSamples &&
                        failure_rate_ >= kEjectionFailureRate))
      Eject(now);
    return;
  }
  silent_since_ = now;
  ejections_in_row_ = 0;
  slowness_ += kSlownessGain * (ratio - slowness_);
  slowness_ = std::clamp(slowness_, kMinSlowness, kMaxSlowness);
  mean_run_time_ += Scaled(latency - mean_run_time_, kSlownessGain);
  if (object == 0)
    return;
  const auto found = std::find(objects_.begin(), objects_.end(), object);
  if (found != objects_.end())
    objects_.erase(found);
  else if (objects_.size() >= kMaxTrackedObjects)
    objects_.pop_back();
  objects_.insert(objects_.begin(), object);
}

void BackendState::OnLoad(const LoadReport& report, TimePoint now) {
  const double all = static_cast<double>(report.in_use) + report.queued;
  reported_others_ = std::max(0.0, all - own_running_);
  reported_at_ = now;
}

bool BackendState::IsHeldBack(TimePoint now) const {
  if (wait_until_ == TimePoint{} || now >= wait_until_ + kReturnTime)
    return false;
  return now < wait_until_ || own_running_ > 0;
}

bool BackendState::TakeWaitProbe(TimePoint now) {
  if (wait_probed_at_ != TimePoint{} && now - wait_probed_at_ < kMaxServerWait)
    return false;
  wait_probed_at_ = now;
  return true;
}

void BackendState::OnWait(Duration wait, TimePoint now) {
  wait_until_ = std::max(wait_until_, now + std::min(wait, kMaxServerWait));
}

void BackendState::OnPeerUse(std::uint32_t running, TimePoint now) {
  peer_running_ = running;
  peer_use_at_ = now;
}

bool BackendState::TakeColdToken(double rate, TimePoint now) {
  cold_tokens_ = ColdTokens(rate, now);
  cold_updated_ = now;
  if (rate <= 0.0 || cold_tokens_ < 1.0)
    return false;
  cold_tokens_ -= 1.0;
  return true;
}

bool BackendState::HasColdToken(double rate, TimePoint now) const {
  return rate > 0.0 && ColdTokens(rate, now) >= 1.0;
}

double BackendState::ColdTokens(double rate, TimePoint now) const {
  const double seconds =
      std::chrono::duration<double>(now - cold_updated_).count();
  return std::min(kColdBurst, cold_tokens_ + rate * std::max(0.0, seconds));
}

void BackendState::Eject(TimePoint now) {
  failing_until_ = now + kBaseEjectionTime * (1U << ejections_in_row_);
  ejected_until_ = failing_until_;
  ejections_in_row_ = std::min(ejections_in_row_ + 1, kMaxEjectionDoublings);
  samples_ = 0;
}

}  // namespace comfreyvane
