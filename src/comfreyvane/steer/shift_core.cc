#include "comfreyvane/steer/shift_core.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "comfreyvane/config/site_share.h"
#include "comfreyvane/steer/step_checkpoints.h"

namespace comfreyvane {
namespace {

constexpr std::int64_t kPercent = 100;

/// Maximum number of replaced maps that unexpired answers may follow.
constexpr std::size_t kMaxLiveMaps = 8;

std::shared_ptr<const ShareMap> MakeShared(ShareMap map) {
  return std::make_shared<const ShareMap>(std::move(map));
}

std::size_t MovesDone(const ShiftPlan& plan, const ShiftProgress& progress) {
  assert(progress.remaining <= plan.moves().size());
  return plan.moves().size() - progress.remaining;
}

bool SameCause(const std::optional<ShiftPaused>& left,
               const ShiftPaused& right) {
  return left && left->reason == right.reason && left->site == right.site;
}

}  // namespace

ShiftCore::ShiftCore(ServiceId service,
                     const ShiftTarget& target,
                     const ShiftSettings& settings)
    : service_(service),
      target_(target),
      settings_(settings),
      ledger_(MakeShared(ShareMap::Of(target.parts))),
      weights_(settings.answer_lifetime),
      plan_(ledger_.in_force(), ledger_.in_force(), target.parts) {}

ShiftCore::ShiftCore(const ShiftProgress& progress,
                     const ShiftTarget& target,
                     const ShiftSettings& settings,
                     TimePoint now)
    : service_(progress.service),
      target_{progress.revision, target.cap, progress.declared},
      settings_(settings),
      ledger_(nullptr),
      weights_(settings.answer_lifetime),
      plan_(progress),
      moves_done_(MovesDone(plan_, progress)),
      step_(progress.step),
      no_step_before_(now + settings.answer_lifetime) {
  ledger_ = AnswerLedger(MakeShared(plan_.MapAfter(moves_done_)));
  SetTarget(target);
}

void ShiftCore::SetTarget(const ShiftTarget& target) {
  if (target.revision <= target_.revision)
    return;
  const bool same = target.Digest() == target_.Digest();
  target_ = target;
  if (same)
    return;
  if (!is_complete())
    fleet_in_step_since_.reset();
  plan_ = ShiftPlan(plan_.base(), in_force(), target.parts);
  moves_done_ = 0;
  step_ = 0;
  has_new_target_ = true;
  paused_.reset();
}

void ShiftCore::Adopt(const ShiftProgress& progress, TimePoint now) {
  if (progress.plan <= plan_.digest() || now < no_step_before_ ||
      ledger_.LiveMapCount(now) > 0 ||
      ShiftTarget{{}, 0, progress.declared}.Digest() != target_.Digest())
    return;
  plan_ = ShiftPlan(progress);
  moves_done_ = MovesDone(plan_, progress);
  step_ = progress.step;
  ledger_.Replace(MakeShared(plan_.MapAfter(moves_done_)),
                  settings_.answer_lifetime, now);
  no_step_before_ = now + settings_.answer_lifetime;
  fleet_in_step_since_.reset();
}

void ShiftCore::Observe(const SiteMeasurement& measurement) {
  const auto [found, added] =
      measurements_.try_emplace(measurement.site, measurement);
  if (!added && found->second.measured_at >= measurement.measured_at)
    return;
  found->second = measurement;
  if (!measurement.up)
    last_down_[measurement.site] = measurement.measured_at;
}

void ShiftCore::ObserveFleet(const FleetProgress& fleet, TimePoint now) {
  if (fleet_ && fleet.reported_at < fleet_->reported_at)
    return;
  fleet_ = fleet;
  const bool in_step =
      fleet.plan == plan_.digest() && fleet.remaining <= remaining();
  if (!in_step)
    fleet_in_step_since_.reset();
  else if (!fleet_in_step_since_)
    fleet_in_step_since_ = now;
}

void ShiftCore::RecordAnswer(SiteId site, TimePoint expires, TimePoint now) {
  ledger_.Record(site, expires, now);
}

std::vector<ShiftAction> ShiftCore::Tick(TimePoint now) {
  weights_.Advance(now);
  ledger_.ExpireBefore(now - settings_.max_measurement_age);
  if (is_complete())
    return {};
  std::vector<ShiftAction> actions;
  if (const auto cause = FindPauseCause(now)) {
    if (!SameCause(paused_, *cause))
      actions.emplace_back(*cause);
    paused_ = cause;
    return actions;
  }
  if (paused_ && paused_->reason != PauseReason::kClientAboveCap) {
    paused_.reset();
    actions.emplace_back(ShiftResumed{service_, target_.revision});
  }
  if (now < no_step_before_ || ledger_.LiveMapCount(now) >= kMaxLiveMaps)
    return actions;
  std::ranges::move(TakeStep(now), std::back_inserter(actions));
  return actions;
}

std::vector<SiteId> ShiftCore::InvolvedSites() const {
  std::vector<SiteId> sites;
  for (const auto& part : ledger_.in_force().Allocations())
    sites.push_back(part.site);
  for (const auto& part : target_.parts) {
    if (part.parts > 0)
      sites.push_back(part.site);
  }
  std::ranges::sort(sites);
  sites.erase(std::unique(sites.begin(), sites.end()), sites.end());
  return sites;
}

std::optional<ShiftPaused> ShiftCore::FindPauseCause(TimePoint now) const {
  if (target_.cap == 0)
    return PauseFor(PauseReason::kNoCap, SiteId(), now);
  if (!fleet_ || now - fleet_->reported_at > settings_.max_measurement_age)
    return PauseFor(PauseReason::kPeersSilent, SiteId(), now);
  for (const SiteId site : InvolvedSites()) {
    if (auto cause = FindMeasurementFault(site, now))
      return cause;
  }
  for (const auto& part : target_.parts) {
    if (IsGaining(part.site) && HeadroomPositions(part.site) == 0)
      return PauseFor(PauseReason::kNoHeadroom, part.site, now);
  }
  return std::nullopt;
}

std::optional<ShiftPaused> ShiftCore::FindMeasurementFault(
    SiteId site,
    TimePoint now) const {
  const auto found = measurements_.find(site);
  if (found == measurements_.end())
    return PauseFor(PauseReason::kMeasurementMissing, site, now);
  if (now - found->second.measured_at > settings_.max_measurement_age)
    return PauseFor(PauseReason::kMeasurementStale, site, now);
  if (!found->second.up)
    return PauseFor(PauseReason::kSiteFailed, site, now);
  const auto down = last_down_.find(site);
  if (down != last_down_.end() && now - down->second < settings_.recovery_hold)
    return PauseFor(PauseReason::kSiteReturning, site, now);
  return std::nullopt;
}

ShiftPaused ShiftCore::PauseFor(PauseReason reason,
                                SiteId site,
                                TimePoint now) const {
  ShiftPaused pause{.service = service_,
                    .revision = target_.revision,
                    .step = step_,
                    .reason = reason,
                    .site = site,
                    .needed = (TotalRate() + kWholeShare - 1) / kWholeShare};
  const auto found = measurements_.find(site);
  if (found != measurements_.end()) {
    pause.age = now - found->second.measured_at;
    pause.headroom = found->second.headroom;
  }
  return pause;
}

std::int64_t ShiftCore::TotalRate() const {
  std::int64_t total = 0;
  for (const auto& [site, measurement] : measurements_)
    total += measurement.rate;
  return total;
}

std::int64_t ShiftCore::HeadroomPositions(SiteId site) const {
  const auto found = measurements_.find(site);
  if (found == measurements_.end())
    return 0;
  const std::int64_t usable = found->second.headroom *
                              (kPercent - settings_.headroom_margin_percent) /
                              kPercent;
  const std::int64_t rate = std::max<std::int64_t>(TotalRate(), 1);
  return std::clamp<std::int64_t>(usable * kWholeShare / rate, 0, kWholeShare);
}

bool ShiftCore::IsSettled(TimePoint now) const {
  TimePoint oldest_measurement = now;
  for (const SiteId site : InvolvedSites())
    oldest_measurement =
        std::min(oldest_measurement, measurements_.at(site).measured_at);
  return fleet_in_step_since_ &&
         oldest_measurement >=
             *fleet_in_step_since_ + settings_.answer_lifetime &&
         oldest_measurement >= no_step_before_ &&
         ledger_.LiveMapCount(oldest_measurement) == 0;
}

FleetProgress ShiftCore::OwnProgress(TimePoint now) const {
  FleetProgress own{.plan = plan_.digest(),
                    .remaining = remaining(),
                    .reported_at = now,
                    .min_remaining = remaining(),
                    .traffic = weights_.total()};
  if (!is_complete() && own.traffic > 0)
    own.moved_traffic =
        MovedTraffic(plan_, {moves_done_, target_.cap}, weights_);
  return own;
}

/// @return the number of moves that a step may take. If another host is ahead,
///     the moves that it has made beyond this host; otherwise those up to the
///     last checkpoint where the moved traffic of the fleet is within the cap.
std::size_t ShiftCore::FleetMoveLimit(TimePoint now) const {
  if (fleet_->min_remaining < remaining())
    return remaining() - fleet_->min_remaining;
  const FleetProgress all = Combine(*fleet_, OwnProgress(now));
  const std::uint64_t cap_percent =
      std::uint64_t{target_.cap} *
      static_cast<std::uint64_t>(kPercent - settings_.traffic_margin_percent);
  const std::uint64_t max_traffic =
      all.traffic * cap_percent / (kPercent * std::uint64_t{kWholeShare});
  const auto beyond = std::ranges::find_if(
      all.moved_traffic,
      [max_traffic](std::uint64_t traffic) { return traffic > max_traffic; });
  const auto checkpoints =
      static_cast<std::size_t>(beyond - all.moved_traffic.begin());
  return CheckpointEnd(plan_, {moves_done_, target_.cap}, checkpoints);
}

/// Counts the next moves of the plan against the cap, the headroom and the
/// limit of the fleet. Unless settled, admits only clients that may still use
/// an answer for their new site.
/// @return the number of moves admitted.
std::size_t ShiftCore::AdmitMoves(bool settled, TimePoint now) {
  const std::int64_t cap = target_.cap;
  PositionCounts gain_limit;
  for (const auto& part : target_.parts)
    gain_limit[part.site] = std::min(cap, HeadroomPositions(part.site));
  const std::size_t end_limit =
      settled ? moves_done_ + FleetMoveLimit(now) : plan_.moves().size();
  std::size_t end = moves_done_;
  for (; end < end_limit; ++end) {
    const ShiftMove& move = plan_.moves()[end];
    if (!settled && !ledger_.MaySend(move.position, move.to, now))
      break;
    if (gained_[move.to] >= gain_limit[move.to] || lost_[move.from] >= cap)
      break;
    ++gained_[move.to];
    ++lost_[move.from];
  }
  return end - moves_done_;
}

std::vector<ShiftAction> ShiftCore::TakeStep(TimePoint now) {
  const bool settled = IsSettled(now);
  if (!settled && !has_new_target_)
    return {};
  has_new_target_ = false;
  if (settled) {
    gained_.clear();
    lost_.clear();
  }
  const std::size_t moved = AdmitMoves(settled, now);
  if (moved == 0)
    return settled ? PauseForLargeClient(now) : std::vector<ShiftAction>();
  const auto moves = std::span(plan_.moves()).subspan(moves_done_, moved);
  ledger_.Replace(MakeShared(in_force().With(moves)), settings_.answer_lifetime,
                  now);
  moves_done_ += moved;
  fleet_in_step_since_.reset();
  ++step_;
  std::vector<ShiftAction> actions;
  if (std::exchange(paused_, std::nullopt))
    actions.emplace_back(ShiftResumed{service_, target_.revision});
  actions.emplace_back(StepTaken{service_, target_.revision, step_,
                                 static_cast<std::uint32_t>(moved),
                                 in_force().Allocations()});
  if (is_complete())
    actions.emplace_back(ShiftCompleted{service_, target_.revision, step_});
  return actions;
}

/// Pauses the shift at a position whose clients alone exceed the cap. Called
/// when no move is in flight and none fits.
std::vector<ShiftAction> ShiftCore::PauseForLargeClient(TimePoint now) {
  const auto pause = PauseFor(PauseReason::kClientAboveCap,
                              plan_.moves()[moves_done_].to, now);
  const bool already_paused = SameCause(paused_, pause);
  paused_ = pause;
  if (already_paused)
    return {};
  return {pause};
}

bool ShiftCore::IsGaining(SiteId site) const {
  return plan_.EndOfGain(site) > moves_done_;
}

ShiftProgress ShiftCore::progress() const {
  return {.service = service_,
          .revision = target_.revision,
          .step = step_,
          .plan = plan_.digest(),
          .remaining = remaining(),
          .declared = target_.parts,
          .base = plan_.base().Runs(),
          .earlier = plan_.earlier().Runs()};
}

ShiftExplanation ShiftCore::Explain(TimePoint now) const {
  ShiftExplanation explanation{.service = service_,
                               .revision = target_.revision,
                               .step = step_,
                               .cap = target_.cap,
                               .remaining = remaining(),
                               .in_force = in_force().Allocations(),
                               .declared = target_.parts,
                               .share_bounds = ledger_.ShareBounds(now),
                               .measurements = {},
                               .now = now,
                               .fleet = fleet_,
                               .paused = paused_};
  for (const auto& [site, measurement] : measurements_)
    explanation.measurements.push_back(measurement);
  return explanation;
}

}  // namespace comfreyvane
