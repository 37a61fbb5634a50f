#include "comfreyvane/route/connection_monitor.h"

#include <algorithm>
#include <map>

#include "comfreyvane/base/random_source.h"
#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr Duration kMaxDetectionTime = seconds(2);
constexpr Duration kTick = milliseconds(50);
const BackendServerId kServer = BackendServerId::Of("server");
const ConnectionId kConnection = ConnectionId(1);

/// Reply of the fake server to checks.
enum class CheckReply { kNone, kLost, kRunning };

void RecordLatencies(ConnectionMonitor& monitor, Duration latency) {
  const ConnectionId connection(99);
  monitor.OnOpened(connection, kServer, kStart - latency);
  for (int i = 0; i < 100; ++i) {
    monitor.OnUse(connection, true, kStart - latency);
    cr_assert(monitor.OnAnswered(connection, true, kStart));
  }
  monitor.OnClosed(connection);
}

/// Runs a request that gets no response.
/// @return the time after which it fails, or max_time.
Duration TimeToFail(ConnectionMonitor& monitor,
                    CheckReply reply,
                    Duration max_time) {
  monitor.OnOpened(kConnection, kServer, kStart);
  monitor.OnUse(kConnection, false, kStart);
  for (Duration passed(0); passed < max_time; passed += kTick) {
    const TimePoint now = kStart + passed;
    for (const ConnectionAction& action : monitor.TakeActions(now)) {
      if (std::holds_alternative<FailAttempt>(action)) {
        cr_expect(std::get<FailAttempt>(action).run_state ==
                  RunState::kUnknown);
        return passed;
      }
      if (std::holds_alternative<CheckServer>(action) &&
          reply != CheckReply::kNone)
        monitor.OnCheckResult(kServer, reply == CheckReply::kRunning ? 1 : 0,
                              now);
    }
  }
  return max_time;
}

}  // namespace

Test(connection_monitor, detects_an_unresponsive_connection_in_time) {
  for (const CheckReply reply :
       {CheckReply::kNone, CheckReply::kLost, CheckReply::kRunning}) {
    for (const Duration typical : {Duration(0), Duration(milliseconds(20)),
                                   Duration(milliseconds(400))}) {
      ConnectionMonitor monitor(ConnectionLimits{});
      if (typical > Duration(0))
        RecordLatencies(monitor, typical);
      cr_expect(TimeToFail(monitor, reply, seconds(10)) <= kMaxDetectionTime);
      cr_expect(monitor.silent_connections() == 1);
      cr_expect(monitor.connections() == 0);
    }
  }
}

Test(connection_monitor, lets_a_slow_request_run_that_the_server_confirms) {
  ConnectionMonitor monitor(ConnectionLimits{});
  RecordLatencies(monitor, seconds(4));
  cr_expect(TimeToFail(monitor, CheckReply::kRunning, seconds(10)) ==
            seconds(10));
  cr_expect(monitor.OnAnswered(kConnection, true, kStart + seconds(10)));
}

Test(connection_monitor, detects_a_lost_request_of_a_slow_service_in_time) {
  for (const CheckReply reply : {CheckReply::kNone, CheckReply::kLost}) {
    ConnectionMonitor monitor(ConnectionLimits{});
    RecordLatencies(monitor, seconds(4));
    cr_expect(TimeToFail(monitor, reply, seconds(10)) <= kMaxDetectionTime);
  }
}

Test(connection_monitor, progress_postpones_suspicion) {
  ConnectionMonitor monitor(ConnectionLimits{});
  monitor.OnOpened(kConnection, kServer, kStart);
  monitor.OnUse(kConnection, true, kStart);
  for (int i = 1; i <= 20; ++i) {
    const TimePoint now = kStart + milliseconds(900) * i;
    cr_expect(monitor.OnProgress(kConnection, now));
    cr_expect(monitor.TakeActions(now).empty());
  }
}

Test(connection_monitor, drops_a_late_response_of_an_abandoned_request) {
  ConnectionMonitor monitor(ConnectionLimits{});
  monitor.OnOpened(kConnection, kServer, kStart);
  monitor.OnUse(kConnection, true, kStart);
  cr_expect(!monitor.MayCarry(kConnection, true, kStart));
  monitor.OnAbandoned(kConnection);
  const auto actions = monitor.TakeActions(kStart);
  cr_assert(actions.size() == 1);
  cr_expect(std::holds_alternative<CloseConnection>(actions.front()));
  cr_expect(!monitor.MayCarry(kConnection, true, kStart));
  cr_expect(!monitor.OnProgress(kConnection, kStart));
  cr_expect(!monitor.OnAnswered(kConnection, true, kStart));
}

Test(connection_monitor,
     non_idempotent_requests_need_a_recently_active_connection) {
  ConnectionMonitor monitor(ConnectionLimits{});
  monitor.OnOpened(kConnection, kServer, kStart);
  const TimePoint later = kStart + seconds(1);
  cr_expect(monitor.MayCarry(kConnection, false, kStart));
  cr_expect(monitor.MayCarry(kConnection, true, later));
  cr_expect(!monitor.MayCarry(kConnection, false, later));
  cr_expect(monitor.TakeActions(kStart + seconds(11)).size() == 1);
  cr_expect(monitor.connections() == 0);
}

Test(connection_monitor_random,
     carries_one_request_per_connection_and_detects_silence_in_time) {
  struct Use {
    TimePoint start;
    bool silent;
  };
  for (std::uint64_t seed = 1; seed <= 10000; ++seed) {
    RandomSource random(seed);
    ConnectionMonitor monitor(ConnectionLimits{});
    std::map<ConnectionId, Use> uses;
    std::uint64_t next = 1;
    for (int step = 0; step < 60; ++step) {
      const TimePoint now = kStart + kTick * step;
      if (random.Below(3) == 0) {
        const ConnectionId id(next++);
        monitor.OnOpened(id, kServer, now);
        cr_assert(monitor.MayCarry(id, false, now));
        monitor.OnUse(id, random.Below(2) == 0, now);
        uses[id] = {now, random.Below(3) == 0};
      }
      for (auto use = uses.begin(); use != uses.end();) {
        const auto [id, state] = *use++;
        if (state.silent || random.Below(4) != 0)
          continue;
        cr_assert(monitor.OnAnswered(id, random.Below(2) == 0, now));
        uses.erase(id);
      }
      const auto running = static_cast<std::uint32_t>(
          std::count_if(uses.begin(), uses.end(),
                        [](const auto& use) { return !use.second.silent; }));
      for (const ConnectionAction& action : monitor.TakeActions(now)) {
        if (std::holds_alternative<CheckServer>(action) && random.Below(2) == 0)
          monitor.OnCheckResult(kServer, running, now);
      }
      for (const ConnectionAction& action : monitor.TakeActions(now)) {
        if (const auto* failed = std::get_if<FailAttempt>(&action))
          uses.erase(failed->connection);
      }
      const auto due = monitor.NextDue();
      cr_assert(!due || *due > now);
      std::erase_if(uses, [&](const auto& use) {
        return !monitor.OnProgress(use.first, use.second.start);
      });
      for (const auto& [id, use] : uses) {
        cr_assert(!monitor.MayCarry(id, true, now));
        cr_assert(!use.silent || now - use.start <= kMaxDetectionTime);
      }
    }
  }
}
