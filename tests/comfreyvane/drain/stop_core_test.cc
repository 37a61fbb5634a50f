#include "comfreyvane/drain/stop_core.h"

#include <algorithm>
#include <deque>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/drain/server_drain_core.h"
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
constexpr Duration kTickInterval = milliseconds(50);

// Maximum time by which a stop may outlast the longest running request.
constexpr Duration kStopBound = seconds(1);

template <typename Action>
std::size_t Count(const StopActions& actions) {
  return static_cast<std::size_t>(
      std::ranges::count_if(actions, [](const StopAction& action) {
        return std::holds_alternative<Action>(action);
      }));
}

void Append(StopActions& all, const StopActions& more) {
  all.insert(all.end(), more.begin(), more.end());
}

// A host with requests of random duration.
struct Host {
  StopCore core{{}};
  StopActions actions;
  std::vector<TimePoint> ends;  ///< End times of running requests.
  TimePoint last_end = kStart;

  void Request(TimePoint now, Duration length) {
    if (core.RefusalForNewRequest())
      return;
    core.OnRequestStarted();
    ends.push_back(now + length);
    last_end = std::max(last_end, now + length);
  }

  void Step(TimePoint now) {
    for (auto end = ends.begin(); end != ends.end();) {
      if (*end > now) {
        ++end;
        continue;
      }
      end = ends.erase(end);
      Append(actions, core.OnRequestFinished(now));
    }
    Append(actions, core.OnTick(now));
  }
};

}  // namespace

Test(stop_core, runs_its_phases_in_order) {
  StopCore core({});
  cr_assert(!core.RefusalForNewRequest());
  core.OnRequestStarted();
  cr_assert(Count<AnnounceLeaving>(core.Stop(kStart)) == 1);
  cr_assert(!core.RefusalForNewRequest());
  const StopActions refuse = core.OnTick(kStart + milliseconds(500));
  cr_assert(Count<StopAccepting>(refuse) == 1);
  cr_assert(Count<ReturnLeases>(refuse) == 1);
  const auto refusal = core.RefusalForNewRequest();
  cr_assert(refusal && refusal->reason == RefusalReason::kHostLeaving);
  cr_assert(refusal->run_state == RunState::kNotRun);
  cr_assert(core.OnLeasesReturned(kStart + milliseconds(510)).empty());
  cr_assert(core.phase() == StopPhase::kFinishing);
  cr_assert(core.OnTick(kStart + seconds(60)).empty());
  const StopActions last = core.OnRequestFinished(kStart + seconds(61));
  cr_assert(Count<CloseAll>(last) == 1);
  cr_assert(core.phase() == StopPhase::kStopped);
}

Test(stop_core, ignores_repeated_stop_requests) {
  StopCore core({});
  core.OnRequestStarted();
  (void)core.Stop(kStart);
  for (int i = 1; i < 100; ++i) {
    const TimePoint now = kStart + i * kTickInterval;
    cr_expect(core.Stop(now).empty());
    cr_expect(Count<CloseAll>(core.OnTick(now)) == 0);
  }
  cr_assert(core.phase() == StopPhase::kFinishing);
}

Test(stop_core, ignores_an_early_lease_return_and_times_out_without_one) {
  StopCore core({});
  (void)core.OnLeasesReturned(kStart);
  (void)core.Stop(kStart);
  (void)core.OnLeasesReturned(kStart);
  (void)core.OnTick(kStart + milliseconds(500));
  cr_assert(core.phase() == StopPhase::kRefusing);
  (void)core.OnTick(kStart + milliseconds(900));
  cr_assert(core.phase() == StopPhase::kStopped);
}

Test(stop_core, random_schedules_abort_no_request_and_end_in_time) {
  for (std::uint64_t seed = 0; seed < kSchedules; ++seed) {
    RandomSource random(seed);
    Host host;
    const TimePoint stop = kStart + kTickInterval * random.Below(20);
    const bool returns = random.Below(2) == 0;
    const TimePoint returned = stop + milliseconds(random.Below(1500));
    TimePoint now = kStart;
    for (; host.core.phase() != StopPhase::kStopped; now += kTickInterval) {
      if (now >= stop && random.Below(4) == 0)
        Append(host.actions, host.core.Stop(now));
      if (now >= stop && host.core.phase() == StopPhase::kServing)
        Append(host.actions, host.core.Stop(now));
      if (returns && now >= returned)
        Append(host.actions, host.core.OnLeasesReturned(now));
      if (random.Below(2) == 0)
        host.Request(now, milliseconds(random.Below(3000)));
      host.Step(now);
      cr_assert(host.core.running() == host.ends.size());
      cr_assert(host.ends.empty() || Count<CloseAll>(host.actions) == 0);
      cr_assert(now < stop + seconds(10));
    }
    cr_assert(Count<CloseAll>(host.actions) == 1);
    cr_assert(Count<AnnounceLeaving>(host.actions) == 1);
    cr_assert(Count<ReturnLeases>(host.actions) == 1);
    const TimePoint longest = std::max(host.last_end, stop);
    cr_assert(now - kTickInterval <= longest + kStopBound);
  }
}

Test(server_drain_core, refuses_dispatch_and_reports_the_last_request) {
  const BackendServerId server(1);
  ServerDrainCore core;
  cr_assert(core.MayDispatch(server));
  core.OnDispatched(server);
  core.OnDispatched(server);
  cr_assert(!core.MarkLeaving(server, kStart));
  cr_assert(!core.MayDispatch(server));
  cr_assert(!core.MarkLeaving(server, kStart + seconds(1)));
  cr_assert(!core.OnFinished(server, kStart + seconds(2)));
  const auto drained = core.OnFinished(server, kStart + seconds(3));
  const ServerDrained expected{server, seconds(3)};
  cr_assert(drained && *drained == expected);
  cr_assert(!core.MayDispatch(server));
  core.MarkAvailable(server);
  cr_assert(core.MayDispatch(server) && core.running(server) == 0);
  cr_assert(core.MarkLeaving(server, kStart).has_value());
}
