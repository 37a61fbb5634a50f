#include "comfreyvane/edge/backend_state.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Objects of which a server is remembered as warm, by host.
constexpr std::size_t kWarmObjects = 1024;

/// An object that was not handled for so long counts as cold.
constexpr Duration kWarmMemory = std::chrono::seconds(60);

/// A load report loses its weight over this time.
constexpr Duration kReportMemory = std::chrono::milliseconds(1500);

/// What peers tell of their use loses its weight after this time: three of
/// their messages.
constexpr Duration kPeerMemory = std::chrono::milliseconds(1500);

/// Gain of the averages over answers of one server: about 5 answers.
constexpr double kSlownessGain = 0.2;
constexpr double kFailureGain = 0.2;

/// Bounds of the slowness, so that a few odd samples do not last.
constexpr double kLeastSlowness = 0.3;
constexpr double kMostSlowness = 10.0;

/// A server is ejected when this part of its recent attempts failed.
constexpr double kFailuresToEject = 0.5;
constexpr std::uint32_t kSamplesToEject = 3;

/// First time of ejection; doubles with each in a row.
constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
constexpr std::uint32_t kMostDoublings = 3;

/// A server that shed is left alone for this long.
constexpr Duration kShedHold = std::chrono::milliseconds(150);

/// Silence beyond this many times the expected time makes a server suspect.
constexpr double kSuspectFactor = 2.0;
constexpr Duration kLeastSuspectTime = std::chrono::milliseconds(400);

constexpr double kColdBurst = 1.0;

}  // namespace

BackendState::BackendState(const BackendEntry& entry, TimePoint now)
    : entry_(entry), cold_updated_(now) {
  SetCold(entry.cold_for, now);
}

double BackendState::Others(TimePoint now) const {
  if (now - peers_heard_at_ < kPeerMemory)
    return peer_running_;
  const Duration age = now - reported_at_;
  if (age >= kReportMemory)
    return 0.0;
  return reported_others_ * (1.0 - static_cast<double>(age.count()) /
                                       static_cast<double>(
                                           kReportMemory.count()));
}

bool BackendState::IsSuspect(Duration expected, TimePoint now) const {
  if (own_ == 0 || silent_since_ > now)
    return false;
  const auto limit = std::max(
      kLeastSuspectTime,
      Duration(static_cast<Duration::rep>(
          kSuspectFactor * static_cast<double>(expected.count()))));
  return now - silent_since_ > limit;
}

bool BackendState::IsWarm(std::uint64_t object, TimePoint now) const {
  const auto found = handled_.find(object);
  return found != handled_.end() && now - found->second < kWarmMemory;
}

void BackendState::Update(const BackendEntry& entry, TimePoint now) {
  const bool new_life = entry.started_ms != entry_.started_ms;
  entry_ = entry;
  gone_ = false;
  if (new_life) {
    handled_.clear();
    slowness_ = 1.0;
    failures_ = 0.0;
    samples_ = 0;
    ejections_in_row_ = 0;
    ejected_until_ = TimePoint{};
  }
  if (entry.cold_for > Duration::zero())
    SetCold(entry.cold_for, now);
}

void BackendState::SetCold(Duration cold_for, TimePoint now) {
  cold_until_ = std::max(cold_until_, now + cold_for);
}

void BackendState::OnStarted(TimePoint now) {
  if (own_ == 0)
    silent_since_ = now;
  ++own_;
}

void BackendState::OnFinished(RequestOutcome outcome,
                              Duration latency,
                              Duration expected,
                              std::uint64_t object,
                              TimePoint now) {
  if (own_ > 0)
    --own_;
  if (outcome == RequestOutcome::kCancelled)
    return;
  if (outcome == RequestOutcome::kShed) {
    silent_since_ = now;
    ejected_until_ = std::max(ejected_until_, now + kShedHold);
    return;
  }
  ++samples_;
  const bool ok = outcome == RequestOutcome::kOk;
  failures_ += kFailureGain * ((ok ? 0.0 : 1.0) - failures_);
  if (!ok) {
    const bool unreachable = outcome == RequestOutcome::kConnectFailed ||
                             outcome == RequestOutcome::kCrashed;
    if (unreachable ||
        (samples_ >= kSamplesToEject && failures_ >= kFailuresToEject))
      Eject(now);
    return;
  }
  silent_since_ = now;
  ejections_in_row_ = 0;
  if (expected > Duration::zero()) {
    const double ratio = static_cast<double>(latency.count()) /
                         static_cast<double>(expected.count());
    slowness_ += kSlownessGain * (ratio - slowness_);
    slowness_ = std::clamp(slowness_, kLeastSlowness, kMostSlowness);
  }
  if (object == 0)
    return;
  if (handled_.size() >= kWarmObjects && !handled_.contains(object)) {
    const auto oldest = std::min_element(
        handled_.begin(), handled_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    handled_.erase(oldest);
  }
  handled_[object] = now;
}

void BackendState::OnLoad(const LoadReport& report, TimePoint now) {
  const double all = static_cast<double>(report.in_use) + report.queued;
  reported_others_ = std::max(0.0, all - own_);
  reported_at_ = now;
}

void BackendState::OnPeerUse(std::uint32_t running, TimePoint now) {
  peer_running_ = running;
  peers_heard_at_ = now;
}

bool BackendState::TakeColdToken(double rate, TimePoint now) {
  cold_tokens_ = ColdTokens(rate, now);
  cold_updated_ = now;
  if (cold_tokens_ < 1.0)
    return false;
  cold_tokens_ -= 1.0;
  return true;
}

bool BackendState::HasColdToken(double rate, TimePoint now) const {
  return ColdTokens(rate, now) >= 1.0;
}

double BackendState::ColdTokens(double rate, TimePoint now) const {
  const double seconds =
      std::chrono::duration<double>(now - cold_updated_).count();
  return std::min(kColdBurst, cold_tokens_ + rate * std::max(0.0, seconds));
}

void BackendState::Eject(TimePoint now) {
  ejected_until_ = now + kFirstEjection * (1U << ejections_in_row_);
  ejections_in_row_ = std::min(ejections_in_row_ + 1, kMostDoublings);
  samples_ = 0;
}

}  // namespace comfreyvane
