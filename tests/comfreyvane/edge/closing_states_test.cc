/// @file
/// Tests that each state that closes something ends by itself, within the
/// bounds of docs/edge.md. Lost paths, containment, limits close to zero and
/// relays that failed have tests of their own.
#include <algorithm>
#include <vector>

#include "comfreyvane/edge/edge_fixture.h"
#include "support/criterion.h"
#include "support/feed_fleet.h"
#include "support/limited_fleet.h"
#include "support/picker_fleet.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kFleets[] = {2, 8, 60};
constexpr Duration kStep = milliseconds(50);

/// Time in which all hosts hear that a limit has ended, although messages fail.
constexpr Duration kTold = seconds(5);

/// Time to an answer after a silence of the store; one without changes is held.
constexpr Duration kStoreIsBack = milliseconds(1050) + FeedSchedule::kCheckWait;

const BackendServerId kServer = BackendServerId::Of("w1");

}  // namespace

// A host's own state: others are not told.
Test(closing_states, a_stated_wait_lasts_for_a_minute_at_most) {
  for (const std::size_t count : kFleets) {
    PickerFleet fleet(count);
    fleet.ForEach([](BackendPicker& picker) {
      picker.OnWait(kServer, std::chrono::hours(1), kStart);
    });
    fleet.ExpectOpenFrom(kServer, kStart + seconds(60));
    fleet.ForEach([now = kStart + seconds(60)](BackendPicker& picker) {
      cr_assert(picker.OnStarted(*picker.Pick(RequestFor(0), now), now));
    });
    fleet.ExpectOpenFrom(kServer, kStart + seconds(61));
  }
}

// A host's own state: each has failures of its own.
Test(closing_states, an_ejection_lasts_for_four_seconds_at_most) {
  for (const std::size_t count : kFleets) {
    PickerFleet fleet(count);
    TimePoint now = kStart;
    for (int failure = 0; failure < 6; ++failure)
      fleet.Run(RequestOutcome::kConnectFailed, now += seconds(4));
    fleet.ExpectOpenFrom(kServer, now + seconds(4));
    fleet.Run(RequestOutcome::kShed, now += seconds(10));
    fleet.ExpectOpenFrom(kServer, now + milliseconds(150));
  }
}

// A host's own state, in which it hears no others.
Test(closing_states, an_ejection_ends_with_a_path_that_is_back) {
  const std::vector<BackendEntry> entries = {EntryOf("w1", "west-a"),
                                             EntryOf("w2", "west-b"),
                                             EntryOf("e1", "east-a")};
  PickerFleet fleet(1, entries);
  PickRequest only_here = RequestFor(0);
  only_here.excluded = {entries[1].id(), entries[2].id()};
  TimePoint now = kStart;
  for (int failure = 0; failure < 4; ++failure)
    fleet.Run(RequestOutcome::kConnectFailed, now += seconds(4), only_here);
  fleet.ForEach([&](BackendPicker& picker) {
    PathMonitor paths;
    for (const BackendEntry& entry : entries)
      paths.OnListed(entry.id(), entry.service, entry.failure_domain);
    const auto update = [&] {
      now += kStep;
      static_cast<void>(paths.Update(now));
      picker.ApplyReach(paths, now);
    };
    for (int i = 0; i < 10; ++i) {
      for (const BackendEntry& entry : entries)
        paths.OnConnectFailed(entry.id(), now);
      update();
    }
    cr_expect(picker.ReachOf(kServer) != ServerReach::kDirect);
    const TimePoint latest = now + milliseconds(1250);
    cr_expect(picker.Find(kServer)->IsEjected(latest));
    while (now < latest) {
      for (const BackendServerId server :
           paths.TakeProbes([](BackendServerId) { return true; }, now)) {
        paths.OnSent(server, now, {});
        paths.OnConnected(server, now);
        paths.OnAnswered(server, now);
        paths.OnProbeAnswered(server);
      }
      update();
    }
    cr_expect(picker.Pick(only_here, now).has_value());
  });
}

Test(closing_states, a_cold_server_is_open_to_all_at_the_stated_time) {
  for (const std::size_t count : kFleets) {
    BackendEntry entry = EntryOf("w1", "west-a");
    entry.cold_for = seconds(10);
    PickerFleet fleet(count, {entry});
    fleet.ExpectOpenFrom(kServer, kStart + seconds(10));
    fleet.RampUp(kServer);
    cr_expect(fleet.OpenAt(kServer, kStart) == std::min<std::size_t>(3, count));
  }
}

Test(closing_states, an_evacuation_ends_when_it_is_taken_back) {
  for (const std::size_t count : kFleets) {
    PickerFleet fleet(count,
                      {EntryOf("w1", "west-a"), EntryOf("w2", "west-b")});
    const auto homes_at = [&](TimePoint now) {
      std::vector<std::size_t> homes;
      for (std::uint64_t object = 1; object <= 100; ++object)
        homes.push_back(fleet.OpenAt(kServer, now, RequestFor(object)));
      return homes;
    };
    const std::vector<std::size_t> homes = homes_at(kStart);
    fleet.Run(RequestOutcome::kOk, kStart);
    fleet.ForEach([](BackendPicker& picker) {
      picker.SetEvacuated({FailureDomainId::Of("west-a")}, {}, kStart);
    });
    const TimePoint gone = kStart + std::chrono::minutes(30);
    cr_expect(homes_at(gone) == std::vector<std::size_t>(100));
    fleet.ForEach([&](BackendPicker& picker) {
      picker.SetEvacuated({}, {{ServiceId::Of("capture"), seconds(5)}}, gone);
    });
    PickRequest only_here = RequestFor(0);
    only_here.excluded = {BackendServerId::Of("w2")};
    cr_expect(fleet.OpenAt(kServer, gone + seconds(5), only_here) == count);
    // Objects return over 15 to 45 s.
    cr_expect(homes_at(gone + seconds(14)) != homes);
    cr_expect(homes_at(gone + seconds(45)) == homes);
  }
}

Test(closing_states, a_server_is_open_when_its_entry_or_a_later_one_returns) {
  for (const std::size_t count : kFleets) {
    PickerFleet fleet(count);
    BackendEntry entry = EntryOf("w1", "west-a");
    const auto upsert = [&](auto& picker) { picker.Upsert(entry, kStart); };
    fleet.ForEach(
        [](BackendPicker& picker) { picker.Remove(kServer, kStart); });
    cr_expect(fleet.OpenAt(kServer, kStart) == 0U, "removed");
    fleet.ForEach(upsert);
    cr_expect(fleet.OpenAt(kServer, kStart) == count);
    fleet.ForEach([&](BackendPicker& picker) {
      picker.OnLeaving({kServer, entry.started_ms}, kStart);
      upsert(picker);
    });
    cr_expect(fleet.OpenAt(kServer, kStart) == 0U, "leaving is final");
    ++entry.started_ms;
    fleet.ForEach(upsert);
    cr_expect(fleet.OpenAt(kServer, kStart) == count);
  }
}

// A host's own state, from when it hears of the failure first.
Test(closing_states, overflow_is_limited_four_seconds_after_the_last_cause) {
  const auto overflow_after = [](Duration delay) {
    PickerFleet fleet(1, {EntryOf("w1", "west-a", 1), EntryOf("w2", "west-b"),
                          EntryOf("e1", "east-a", 1000)});
    int overflow = 0;
    fleet.ForEach([&](BackendPicker& picker) {
      // Other hosts report the same server for 15 s.
      for (Duration at{}; at < delay; at += kStep)
        picker.OnLeaving({BackendServerId::Of("w2"), 0}, kStart + at);
      for (int i = 0; i < 100; ++i) {
        const TimePoint now = kStart + delay + milliseconds(9) * i;
        const auto choice = picker.Pick(RequestFor(0), now);
        if (choice && picker.OnStarted(*choice, now))
          overflow += choice->overflow ? 1 : 0;
      }
    });
    return overflow;
  };
  cr_expect(overflow_after(seconds(3)) > 90);
  // A third of the step of two seconds, and one request.
  cr_expect(overflow_after(seconds(4)) <= kMaxShift / 3 * 100 + 1);
}

Test(closing_states, a_named_limit_ends_with_the_next_request) {
  // The next request is sent by a sender, else by the first host of the order.
  const auto play = [](std::size_t count, double rate, Duration next,
                       std::size_t gone) {
    LimitedFleet fleet(
        {.hosts = count, .servers = 1, .rate_per_server = 120.0});
    fleet.Run(seconds(5));
    fleet.NameLimit(0, rate);
    fleet.Run(seconds(10));
    cr_expect(fleet.LimitedHosts(0) == count);
    fleet.FreezeFirst(0, gone, std::chrono::hours(1));
    fleet.NameLimit(0, std::nullopt);
    fleet.Run(next + kTold);
    const std::size_t limited = fleet.LimitedHosts(0);
    cr_expect(limited == 0U, "%zu hosts, %zu gone, limit %.1f: %zu", count,
              gone, rate, limited);
  };
  for (const std::size_t count : kFleets) {
    play(count, 2.4, seconds(10), 0);
    play(count, 0.3, seconds(54), 0);
    play(count, 0.0, seconds(60), 0);
    // All senders, those that report the limit among them.
    play(count, 2.4, seconds(10), 6);
    play(count, 0.3, seconds(54), 2);
  }
}

Test(closing_states, bound_requests_are_sent_again_once_the_store_answers) {
  enum class Cause { kSilence, kRefusal, kFreeze };
  const auto play = [](std::size_t count, Duration span, Cause cause) {
    FeedFleet fleet({.hosts = count, .domains = count == 2 ? 1U : 6U});
    const auto set = [&](bool is_on) {
      if (cause == Cause::kSilence)
        fleet.SetSilent(is_on);
      fleet.refused.clear();
      for (std::size_t i = 0; i < count; ++i) {
        if (cause == Cause::kFreeze)
          fleet.SetFrozen(i, is_on);
        else if (cause == Cause::kRefusal && is_on)
          fleet.refused.insert(i);
      }
    };
    fleet.Run(seconds(5));
    set(true);
    fleet.Run(span);
    cr_expect(fleet.HostsThatMaySendBound() == 0U);
    set(false);
    fleet.Run(kStoreIsBack);
    const std::size_t open = fleet.HostsThatMaySendBound();
    cr_expect(open == count, "%zu of %zu hosts, cause %d", open, count,
              static_cast<int>(cause));
  };
  for (const std::size_t count : kFleets) {
    // Each phase of the calls.
    for (Duration span = seconds(6); span < seconds(8); span += 2 * kStep) {
      play(count, span, Cause::kSilence);
      play(count, span, Cause::kRefusal);
      play(count, span, Cause::kFreeze);
    }
  }
}
