/// @file
/// Tests planned stops that end by a kill.
#include <algorithm>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/drain/stop_core.h"
#include "support/criterion.h"

using namespace comfreyvane;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t kSchedules = 500;
#else
constexpr std::uint64_t kSchedules = 10000;
#endif

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kTickInterval = milliseconds(10);

StopSettings Settings() {
  StopSettings settings;
  settings.leave_grace = milliseconds(2500);
  settings.grace = seconds(6);
  settings.takes_late = true;
  return settings;
}

template <typename Action>
bool Has(const StopActions& actions) {
  return std::ranges::any_of(actions, [](const StopAction& action) {
    return std::holds_alternative<Action>(action);
  });
}

StopTerms TermsAt(TimePoint now, Duration expected, Duration timeout) {
  return {now, now + expected, now + timeout};
}

/// Requests of a host whose connections close as soon as they are answered.
struct Host {
  struct Running {
    StopTerms terms;
    TimePoint end;
  };

  StopCore core{Settings()};
  std::vector<Running> running;
  TimePoint stop = TimePoint::max();
  bool has_given_up = false;
  bool has_closed = false;

  void Request(TimePoint now,
               Duration work,
               Duration expected,
               Duration limit) {
    const StopTerms terms = TermsAt(now, expected, limit);
    if (!core.RefusalFor(terms, now))
      running.push_back({terms, now + std::min(work, limit)});
  }

  void Carry(const StopActions& actions, TimePoint now) {
    if (Has<StopAccepting>(actions))
      Carry(core.OnLeasesReturned(now), now);
    if (Has<GiveUp>(actions)) {
      cr_assert(!has_given_up);
      has_given_up = true;
      // Later ones must have been refused if they could run that long.
      for (const Running& cut : running)
        cr_assert(cut.terms.received < stop + Settings().leave_grace);
      running.clear();
    }
    if (Has<CloseAll>(actions)) {
      cr_assert(!has_closed && running.empty());
      has_closed = true;
    }
  }

  void Step(TimePoint now) {
    std::erase_if(running, [&](const Running& one) { return one.end <= now; });
    core.OnConnections(running.size());
    Carry(core.OnTick(now), now);
  }
};

}  // namespace

Test(stop_grace, a_request_that_cannot_end_in_time_is_refused_at_once) {
  StopCore core(Settings());
  const auto is_taken = [&](Duration at, Duration expected, Duration timeout) {
    const TimePoint now = kStart + at;
    const auto refusal = core.RefusalFor(TermsAt(now, expected, timeout), now);
    cr_assert(!refusal || (refusal->reason == RefusalReason::kHostLeaving &&
                           refusal->run_state == RunState::kNotRun &&
                           refusal->retry_after > Duration::zero()));
    return !refusal.has_value();
  };
  cr_expect(is_taken(seconds(0), seconds(9), seconds(60)));
  (void)core.Stop(kStart);
  cr_expect(is_taken(milliseconds(1), milliseconds(40), seconds(60)));
  cr_expect(!is_taken(milliseconds(1), seconds(6), seconds(60)));
  cr_expect(is_taken(milliseconds(1), seconds(6), seconds(5)));
  (void)core.OnTick(kStart + milliseconds(2500));
  cr_expect(!is_taken(milliseconds(2501), milliseconds(40), seconds(3)));
  cr_expect(is_taken(milliseconds(2501), milliseconds(40), seconds(2)));
  cr_expect(!is_taken(milliseconds(5401), milliseconds(0), milliseconds(1)));
}

Test(stop_grace, a_wait_that_lasts_too_long_ends_in_a_refusal) {
  StopCore core(Settings());
  (void)core.Stop(kStart);
  StopTerms terms = TermsAt(kStart, milliseconds(40), seconds(60));
  const TimePoint late = kStart + milliseconds(5000);
  cr_expect(!core.RefusalFor(terms, late));
  terms.expected_end = late + milliseconds(500);
  cr_expect(core.RefusalFor(terms, late).has_value());
}

Test(stop_grace, running_requests_are_answered_before_the_exit) {
  StopCore core(Settings());
  core.OnConnections(1);
  (void)core.Stop(kStart);
  (void)core.OnTick(kStart + milliseconds(2500));
  (void)core.OnLeasesReturned(kStart + milliseconds(2500));
  // Servers may be at work until the last sixth of the grace.
  cr_expect(core.OnTick(kStart + seconds(5)).empty());
  const StopActions last = core.OnTick(kStart + milliseconds(5400));
  cr_expect(Has<GiveUp>(last) && !Has<CloseAll>(last));
  cr_expect(core.OnTick(kStart + milliseconds(5500)).empty());
  core.OnConnections(0);
  cr_expect(Has<CloseAll>(core.OnTick(kStart + milliseconds(5510))));
}

Test(stop_grace, the_exit_waits_for_no_caller_beyond_the_grace) {
  StopCore core(Settings());
  core.OnConnections(1);
  (void)core.Stop(kStart);
  (void)core.OnTick(kStart + milliseconds(5400));
  cr_expect(Has<CloseAll>(core.OnTick(kStart + milliseconds(5700))));
  cr_expect(core.phase() == StopPhase::kStopped);
}

Test(stop_grace, an_idle_host_exits_at_the_end_of_the_leave_grace) {
  Host host;
  (void)host.core.Stop(kStart);
  host.Step(kStart + milliseconds(2490));
  cr_expect(!host.has_closed);
  host.Step(kStart + milliseconds(2500));
  cr_expect(host.has_closed);
}

Test(stop_grace, the_grace_is_the_one_in_force) {
  StopCore core(Settings());
  core.OnConnections(1);
  (void)core.Stop(kStart);
  StopSettings settings = Settings();
  settings.grace = seconds(1);
  core.SetSettings(settings);
  const StopActions last = core.OnTick(kStart + milliseconds(900));
  cr_expect(Has<StopAccepting>(last) && Has<GiveUp>(last));
  cr_expect(Has<CloseAll>(core.OnTick(kStart + milliseconds(950))));
}

Test(stop_grace, random_schedules_cut_no_late_request_and_end_in_time) {
  for (std::uint64_t seed = 0; seed < kSchedules; ++seed) {
    RandomSource random(seed);
    Host host;
    host.stop = kStart + milliseconds(random.Below(1000));
    const Duration step = kTickInterval * (1 + random.Below(10));
    TimePoint now = kStart;
    while (!host.has_closed) {
      now += step;
      if (now >= host.stop)
        (void)host.core.Stop(host.stop);
      if (random.Below(3) == 0) {
        host.Request(now, milliseconds(random.Below(12000)),
                     milliseconds(random.Below(5000)),
                     milliseconds(1 + random.Below(9000)));
      }
      host.Step(now);
      cr_assert(now < host.stop + seconds(6));
    }
    cr_assert(now >= host.stop + milliseconds(2500));
  }
}
