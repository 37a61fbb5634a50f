#include "comfreyvane/steer/shift_core.h"

#include <functional>
#include <variant>
#include <vector>

#include "comfreyvane/config/site_share.h"
#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::seconds;

namespace {

const ServiceId kService(7);
const SiteId kOld(1);
const SiteId kNew(2);
constexpr std::uint32_t kCap = 500;
const ShiftSettings kSettings;

ShiftTarget Target(std::uint64_t revision,
                   std::uint32_t at_new,
                   std::uint32_t cap = kCap) {
  return {
      Revision(revision), cap, {{kOld, kWholeShare - at_new}, {kNew, at_new}}};
}

TimePoint At(int second) {
  return TimePoint(seconds(1000 + second));
}

SiteMeasurement HealthyMeasurement(SiteId site, TimePoint now) {
  return {.site = site, .rate = 500, .headroom = 10000, .measured_at = now};
}

/// Reports that all other hosts have the same progress as the core.
void ObserveFleetInStep(ShiftCore& core, TimePoint now) {
  core.ObserveFleet(core.OwnProgress(now), now);
}

/// A shift of all clients to the new site, advanced by one second per call.
struct ShiftRun {
  ShiftCore core{kService, Target(1, 0), kSettings};
  int second = 0;

  ShiftRun() {
    ObserveFleetInStep(core, At(-60));
    core.SetTarget(Target(2, kWholeShare));
  }

  TimePoint now() const { return At(second); }

  std::vector<ShiftAction> Next(
      const std::function<void(SiteMeasurement&)>& change = nullptr) {
    ++second;
    for (const SiteId site : {kOld, kNew}) {
      SiteMeasurement measurement = HealthyMeasurement(site, now());
      if (change)
        change(measurement);
      core.Observe(measurement);
    }
    ObserveFleetInStep(core, now());
    return core.Tick(now());
  }
};

const ShiftPaused* PauseOf(const std::vector<ShiftAction>& actions) {
  for (const auto& action : actions) {
    if (const auto* pause = std::get_if<ShiftPaused>(&action))
      return pause;
  }
  return nullptr;
}

template <typename Action>
int Count(const std::vector<ShiftAction>& actions) {
  int count = 0;
  for (const auto& action : actions)
    count += std::holds_alternative<Action>(action) ? 1 : 0;
  return count;
}

}  // namespace

Test(shift_core, waits_until_answers_from_before_a_step_have_expired) {
  ShiftRun run;
  cr_assert(Count<StepTaken>(run.Next()) == 1);
  cr_expect(run.core.in_force().PositionCount(kNew) == kCap);
  const int lifetime = static_cast<int>(kSettings.answer_lifetime / seconds(1));
  for (int i = 1; i <= lifetime; ++i)
    cr_assert(Count<StepTaken>(run.Next()) == 0, "second %d", i);
  cr_assert(Count<StepTaken>(run.Next()) == 1);
  cr_expect(run.core.in_force().PositionCount(kNew) == 2 * kCap);
}

Test(shift_core, waits_longer_for_answers_with_a_later_expiry) {
  ShiftRun run;
  run.core.RecordAnswer(kOld, At(30), At(0));
  cr_assert(Count<StepTaken>(run.Next()) == 1);
  while (run.second < 29)
    cr_assert(Count<StepTaken>(run.Next()) == 0);
  cr_assert(Count<StepTaken>(run.Next()) == 1);
}

Test(shift_core, completes_and_reports_once) {
  ShiftRun run;
  int steps = 0;
  int completed = 0;
  for (int i = 0; i < 400; ++i) {
    const auto actions = run.Next();
    steps += Count<StepTaken>(actions);
    completed += Count<ShiftCompleted>(actions);
  }
  cr_expect(steps == static_cast<int>(kWholeShare / kCap));
  cr_expect(completed == 1);
  cr_expect(run.core.is_complete());
}

Test(shift_core, pauses_with_the_reason_and_resumes) {
  struct Row {
    PauseReason reason;
    SiteId site;
    std::function<void(SiteMeasurement&)> change;
  };
  const auto only = [](SiteId site, auto change) {
    return [site, change](SiteMeasurement& measurement) {
      if (measurement.site == site)
        change(measurement);
    };
  };
  const std::vector<Row> rows{
      {PauseReason::kSiteFailed, kNew,
       only(kNew, [](auto& m) { m.up = false; })},
      {PauseReason::kSiteFailed, kOld,
       only(kOld, [](auto& m) { m.up = false; })},
      {PauseReason::kNoHeadroom, kNew,
       only(kNew, [](auto& m) { m.headroom = 0; })},
      {PauseReason::kMeasurementStale, kOld,
       only(kOld, [](auto& m) { m.measured_at = TimePoint(); })},
  };
  for (const auto& row : rows) {
    ShiftRun run;
    cr_assert(Count<StepTaken>(run.Next()) == 1);
    const auto parts = run.core.in_force().PositionCount(kNew);
    int pauses = 0;
    for (int i = 0; i < 60; ++i) {
      const auto actions = run.Next(row.change);
      pauses += Count<ShiftPaused>(actions);
      if (const auto* pause = PauseOf(actions)) {
        cr_expect(pause->reason == row.reason);
        cr_expect(pause->site == row.site);
      }
    }
    cr_expect(pauses == 1);
    cr_expect(run.core.in_force().PositionCount(kNew) == parts);
    if (row.reason == PauseReason::kSiteFailed) {
      const auto returning = run.Next();
      cr_assert(PauseOf(returning) != nullptr);
      cr_expect(PauseOf(returning)->reason == PauseReason::kSiteReturning);
      while (run.second < 60 + kSettings.recovery_hold / seconds(1))
        cr_assert(run.Next().empty());
    }
    const auto actions = run.Next();
    cr_expect(Count<ShiftResumed>(actions) == 1);
    cr_expect(Count<StepTaken>(actions) == 1);
  }
}

Test(shift_core, pauses_without_measurements_or_cap) {
  ShiftCore missing(kService, Target(1, 0), kSettings);
  missing.SetTarget(Target(2, kWholeShare));
  ObserveFleetInStep(missing, At(0));
  const auto actions = missing.Tick(At(0));
  cr_assert(PauseOf(actions) != nullptr);
  cr_expect(PauseOf(actions)->reason == PauseReason::kMeasurementMissing);
  ShiftRun run;
  run.core.SetTarget(Target(3, kWholeShare / 2, 0));
  const auto no_cap = run.Next();
  cr_assert(PauseOf(no_cap) != nullptr);
  cr_expect(PauseOf(no_cap)->reason == PauseReason::kNoCap);
}

Test(shift_core, keeps_steps_within_the_measured_headroom) {
  ShiftRun run;
  const auto low_headroom = [](SiteMeasurement& m) { m.headroom = 20; };
  static_cast<void>(run.Next(low_headroom));
  cr_expect(run.core.in_force().PositionCount(kNew) ==
            20 * 90 / 100 * kWholeShare / 1000);
}

Test(shift_core, ignores_older_revisions_and_measurements) {
  ShiftRun run;
  run.core.SetTarget(Target(1, 0));
  cr_expect(run.core.revision() == Revision(2));
  static_cast<void>(run.Next());
  run.core.Observe({.site = kNew, .up = false, .measured_at = At(-5)});
  cr_expect(run.core.Tick(run.now()).empty());
}

Test(shift_core, rolls_back_clients_with_cached_answers_at_once) {
  ShiftRun run;
  static_cast<void>(run.Next());
  run.core.SetTarget(Target(3, 0));
  const auto actions = run.Next();
  cr_expect(Count<ShiftCompleted>(actions) == 1);
  cr_expect(run.core.in_force() == ShareMap::Of(Target(1, 0).parts));
}

Test(shift_core, a_replacement_host_resumes_at_the_progress_of_its_peers) {
  ShiftRun run;
  for (int i = 0; i < 30; ++i)
    static_cast<void>(run.Next());
  ShiftCore replacement(run.core.progress(), Target(2, kWholeShare), kSettings,
                        run.now());
  cr_expect(replacement.in_force() == run.core.in_force());
  const int lifetime = static_cast<int>(kSettings.answer_lifetime / seconds(1));
  ObserveFleetInStep(replacement, run.now());
  for (int i = 0; i <= lifetime; ++i) {
    const TimePoint now = At(run.second + i);
    for (const SiteId site : {kOld, kNew})
      replacement.Observe(HealthyMeasurement(site, now));
    ObserveFleetInStep(replacement, now);
    cr_assert(Count<StepTaken>(replacement.Tick(now)) ==
              (i == lifetime ? 1 : 0));
  }
}

/// Records requests for each position in a window that ends at second 0.
void RecordWeights(ShiftRun& run,
                   const std::function<std::uint32_t(std::uint32_t)>& weight) {
  for (std::uint32_t i = 0; i < kWholeShare; ++i)
    run.core.RecordArrival(static_cast<ClientPosition>(i), weight(i), At(-30));
  run.core.RecordArrival(0, 0, At(0));
}

Test(shift_core, hosts_agree_on_the_plan_with_the_greater_digest) {
  ShiftRun ahead;
  static_cast<void>(ahead.Next());
  ShiftRun behind;
  ahead.core.SetTarget(Target(3, kWholeShare / 2));
  behind.core.SetTarget(Target(3, kWholeShare / 2));
  const bool swap =
      ahead.core.OwnProgress(At(1)).plan < behind.core.OwnProgress(At(1)).plan;
  const ShiftProgress greater = (swap ? behind : ahead).core.progress();
  const ShiftProgress lesser = (swap ? ahead : behind).core.progress();
  ShiftCore replacement(lesser, Target(3, kWholeShare / 2), kSettings, At(1));
  const TimePoint later = At(1) + kSettings.answer_lifetime;
  replacement.Adopt(greater, later - Duration(1));
  cr_expect(replacement.OwnProgress(later).plan == lesser.plan);
  replacement.Adopt(greater, later);
  cr_expect(replacement.progress() == greater);
  replacement.Adopt(lesser, later + kSettings.answer_lifetime);
  cr_expect(replacement.progress() == greater);
}

Test(shift_core, adopts_no_plan_before_answers_from_before_its_step_expire) {
  ShiftRun other;
  ShiftRun run;
  static_cast<void>(run.Next());
  std::uint64_t revision = 3;
  do {
    const auto parts = static_cast<std::uint32_t>(5000 + revision);
    other.core.SetTarget(Target(revision, parts));
    run.core.SetTarget(Target(revision, parts));
    ++revision;
  } while (run.core.OwnProgress(At(1)).plan >
           other.core.OwnProgress(At(1)).plan);
  const ShiftProgress own = run.core.progress();
  const ShiftProgress greater = other.core.progress();
  const TimePoint later = At(1) + kSettings.answer_lifetime;
  run.core.Adopt(greater, later - Duration(1));
  cr_expect(run.core.progress() == own);
  run.core.Adopt(greater, later);
  cr_expect(run.core.progress() == greater);
}

Test(shift_core, limits_steps_by_the_traffic_of_clients) {
  ShiftRun run;
  RecordWeights(run, [](std::uint32_t i) { return i < 1000 ? 10U : 1U; });
  static_cast<void>(run.Next());
  const auto traffic = 10 * run.core.in_force().PositionCount(kNew);
  const std::uint32_t cap = (1000 * 10 + 9000) * kCap / kWholeShare;
  cr_expect(traffic <= cap);
  cr_expect(traffic >= cap * 3 / 4);
}

Test(shift_core, pauses_before_a_client_with_more_traffic_than_the_cap) {
  ShiftRun run;
  RecordWeights(run, [](std::uint32_t i) { return i == 0 ? 1000U : 1U; });
  const auto actions = run.Next();
  cr_assert(PauseOf(actions) != nullptr);
  cr_expect(PauseOf(actions)->reason == PauseReason::kClientAboveCap);
  cr_expect(run.core.in_force().PositionCount(kNew) == 0);
  for (int i = 0; i < 400; ++i)
    static_cast<void>(run.Next());
  cr_expect(run.core.is_complete());
}

Test(shift_core,
     waits_for_hosts_that_are_behind_and_pauses_without_recent_reports) {
  ShiftRun run;
  cr_assert(Count<StepTaken>(run.Next()) == 1);
  const auto next_with = [&run](const FleetProgress& fleet) {
    ++run.second;
    for (const SiteId site : {kOld, kNew})
      run.core.Observe(HealthyMeasurement(site, run.now()));
    run.core.ObserveFleet(fleet, run.now());
    return run.core.Tick(run.now());
  };
  const auto plan = run.core.progress().plan;
  for (int i = 0; i < 40; ++i) {
    cr_assert(next_with({plan, kWholeShare, run.now(), 0}).empty());
    cr_assert(next_with({.reported_at = run.now()}).empty());
  }
  const FleetProgress stale{plan, 0, run.now(), 0};
  int pauses = 0;
  for (int i = 0; i < 20; ++i) {
    const auto actions = next_with(stale);
    cr_assert(Count<StepTaken>(actions) == 0);
    pauses += Count<ShiftPaused>(actions);
  }
  cr_expect(pauses == 1);
  cr_expect(run.core.paused()->reason == PauseReason::kPeersSilent);
}

Test(shift_core, a_revision_with_the_same_shares_does_not_restart_a_shift) {
  ShiftRun run;
  int steps = 0;
  for (int i = 0; i < 400; ++i) {
    run.core.SetTarget(Target(static_cast<std::uint64_t>(3 + i), kWholeShare));
    steps += Count<StepTaken>(run.Next());
  }
  cr_expect(steps == static_cast<int>(kWholeShare / kCap));
  cr_expect(run.core.is_complete());
}
