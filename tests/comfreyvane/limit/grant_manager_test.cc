#include "comfreyvane/limit/grant_manager.h"

#include <array>
#include <set>

#include "support/criterion.h"
#include "support/limit_fleet.h"

using namespace std::chrono_literals;

namespace comfreyvane::testing {
namespace {

/// Units usable now at the hosts of a set; all hosts without one.
std::int64_t Units(LimitFleet& fleet, std::set<std::uint32_t> of = {}) {
  std::int64_t units = 0;
  for (std::uint32_t i = 0; i < fleet.size(); ++i) {
    if (fleet.host(i).alive && (of.empty() || of.contains(i)))
      units +=
          fleet.host(i).manager->own_share(fleet.Local(i)).At(fleet.Local(i));
  }
  return units;
}

LimitFleet Formed(std::uint32_t hosts = 8) {
  LimitFleet::Options options;
  options.hosts = hosts;
  LimitFleet fleet(options);
  fleet.RunUntil(TimePoint(20s));
  cr_assert_eq(Units(fleet), kTotalUnits);
  return fleet;
}

struct DeathCase {
  const char* name;
  bool store_up;
  std::vector<std::uint32_t> dead;
  std::int64_t least;  ///< Units usable at the others after 5 s.
};

}  // namespace

Test(grant_manager, dead_hosts_take_little_along) {
  const std::array<DeathCase, 4> cases{{
      {"one, store up", true, {3}, 970'000},
      {"one, store down", false, {3}, 970'000},
      {"same region, store down", false, {0, 3}, 700'000},
      {"one after the other, store up", true, {5}, 970'000},
  }};
  for (const DeathCase& test : cases) {
    LimitFleet fleet = Formed();
    fleet.store().up = test.store_up;
    for (const std::uint32_t host : test.dead)
      fleet.Kill(host);
    fleet.RunUntil(fleet.now() + 5s);
    cr_expect(Units(fleet) >= test.least, "%s", test.name);
    cr_expect(Units(fleet) <= kTotalUnits, "%s", test.name);
  }
}

Test(grant_manager, an_isolated_host_keeps_its_base_for_an_hour) {
  LimitFleet fleet = Formed(4);
  fleet.connected = [](std::uint32_t a, std::uint32_t b) {
    return a == b || (a != 1 && b != 1);
  };
  fleet.RunUntil(fleet.now() + 5s);
  cr_expect_eq(Units(fleet, {1}), 25'000);
  cr_expect_eq(Units(fleet, {0, 2, 3}), 975'000);
  fleet.RunUntil(fleet.now() + 1h);
  cr_expect_eq(Units(fleet, {1}), 25'000);
  cr_expect_eq(Units(fleet, {0, 2, 3}), 975'000);
  fleet.RunUntil(fleet.now() + 1h);
  cr_expect_eq(Units(fleet, {1}), 0);
  cr_expect(Units(fleet) >= 970'000);
}

Test(grant_manager, a_store_outage_of_an_hour_changes_nothing) {
  LimitFleet fleet = Formed(4);
  fleet.RunUntil(TimePoint(5min));
  fleet.store().up = false;
  fleet.RunUntil(fleet.now() + 1h);
  cr_expect_eq(Units(fleet), kTotalUnits);
}

Test(grant_manager, a_paused_holder_loses_its_dynamic_part_at_use) {
  LimitFleet fleet = Formed();
  fleet.Pause(2, 10s);
  fleet.RunUntil(fleet.now() + 10s - 1ns);
  const OwnShare own = fleet.host(2).manager->own_share(fleet.Local(2));
  cr_expect_eq(own.At(fleet.Local(2)), 25'000);
  cr_expect_eq(Units(fleet), kTotalUnits);
}

Test(grant_manager, a_planned_stop_gives_everything_back) {
  for (const bool store_up : {true, false}) {
    LimitFleet fleet = Formed();
    fleet.store().up = store_up;
    fleet.Stop(6);
    fleet.RunUntil(fleet.now() + 500ms);
    cr_expect(fleet.host(6).manager->released());
    fleet.Kill(6);
    fleet.RunUntil(fleet.now() + 5s);
    cr_expect_eq(Units(fleet), kTotalUnits);
    fleet.store().up = true;
    fleet.RunUntil(fleet.now() + 3h);
    cr_expect_eq(Units(fleet), kTotalUnits);
  }
}

Test(grant_manager, a_replacement_gets_a_part_with_the_store_up_only) {
  for (const bool store_up : {true, false}) {
    LimitFleet fleet = Formed();
    fleet.store().up = store_up;
    fleet.Kill(1);
    fleet.RunUntil(fleet.now() + 5s);
    fleet.Start(1);
    fleet.RunUntil(fleet.now() + 30s);
    cr_expect_eq(Units(fleet, {1}) >= 62'500, store_up);
    cr_expect(Units(fleet) >= 970'000);
  }
}

Test(grant_manager, lost_answers_are_repeated_under_the_same_id) {
  LimitFleet::Options options;
  options.hosts = 3;
  LimitFleet fleet(options);
  fleet.store().lost_answers = 0.7;
  fleet.RunUntil(TimePoint(60s));
  cr_expect_eq(Units(fleet), 999'999);
  cr_expect(fleet.store().outcomes.size() < fleet.store().writes);
}

Test(grant_manager, writes_stay_few) {
  LimitFleet fleet = Formed();
  const std::uint64_t before = fleet.store().writes;
  fleet.RunUntil(fleet.now() + 1h);
  cr_expect(fleet.store().writes - before <= 36'000);
  cr_expect_eq(Units(fleet), kTotalUnits);
}

/// A holder counts its lease from when it first sent the write.
Test(grant_manager, a_late_answer_does_not_lengthen_the_lease) {
  const LeaseTerms terms;
  const TimePoint start(1s);
  GrantManager manager({HostId(3), Incarnation(1), {}, {}, terms, 1}, start);
  (void)manager.OnSharesReading({TableStatus::kDone, {}, {}}, start);
  const auto actions = manager.OnTick(start);
  cr_assert(actions.commit.has_value());
  const std::string id = actions.commit->transaction_id;
  (void)manager.OnSharesOutcome({id, TableStatus::kUnknown, {}}, start + 5min);
  const auto repeat = manager.OnTick(start + 10min);
  cr_assert(repeat.commit == actions.commit);
  (void)manager.OnSharesOutcome({id, TableStatus::kDone, Revision(1)},
                                start + 15min);
  cr_expect(manager.own_share(start + 15min).base_until ==
            start + SafeLifetime(terms, terms.grant_lifetime));
}

/// A release counts once however often it is sent, and only after the loans of
/// the former holder have lapsed.
Test(grant_manager, a_repeated_release_counts_once) {
  const HostId holder(1);
  const TimePoint start(1s);
  const std::array<PeerHost, 1> peers{{{holder, Incarnation(1), {}, {}}}};
  GrantManager manager({HostId(3), Incarnation(1), {}, {}, {}, 1}, start);
  manager.OnPeers(peers, start);
  GrantMessage release;
  release.echo = MessageStamp{Incarnation(1), 1, start};
  release.releases.push_back({GrantId(9), 10, 20, 10min, 1s});
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    release.stamp = {Incarnation(1), sequence, start};
    const auto answer = manager.OnPeerMessage(holder, release, start);
    cr_assert_eq(answer.messages[0].message.release_acks.size(), 1U);
  }
  cr_expect_eq(manager.own_share(start + 1s).At(start + 1s), 0);
  cr_expect_eq(manager.own_share(start + 2s).At(start + 2s), 30);
}

/// A guardian of grant 9 of host 1, beside the other guardian.
struct GuardCase {
  GuardCase(bool successor_under_test)
      : self(3),
        other(2),
        manager({self, Incarnation(1), {}, {}, {}, 1}, start) {
    const std::array<PeerHost, 2> peers{
        {{holder, Incarnation(1), {}, {}}, {other, Incarnation(1), {}, {}}}};
    manager.OnPeers(peers, start);
    successor = {successor_under_test ? self : other, Incarnation(1)};
    voter = {successor_under_test ? other : self, Incarnation(1)};
  }

  static GrantMessage Message(std::uint64_t sequence) {
    GrantMessage sent;
    sent.stamp = {Incarnation(1), sequence, start};
    sent.echo = MessageStamp{Incarnation(1), 1, start};
    return sent;
  }
  GrantMessage Ask(std::uint64_t sequence, std::int64_t dynamic) const {
    GrantMessage ask = Message(sequence);
    ask.renewal_requests.push_back(
        {GrantId(9), successor, voter, dynamic, 10min});
    return ask;
  }

  static constexpr TimePoint start{Duration(1s)};
  const HostId holder{1};
  HostId self;
  HostId other;
  HostIncarnation successor;
  HostIncarnation voter;
  GrantManager manager;
  const TimePoint bound =
      LatestExpiry({}, start, LeaseTerms{}.renewal_lifetime);
};

/// A guardian that renews a grant may not vote on it, and one that has voted
/// never renews it again.
Test(grant_manager, a_vote_and_a_renewal_exclude_each_other) {
  GuardCase test(false);
  GrantMessage request = GuardCase::Message(1);
  request.vote_requests.push_back({GrantId(9)});
  const auto renewed =
      test.manager.OnPeerMessage(test.holder, test.Ask(1, 1000), test.start);
  cr_assert_eq(renewed.messages[0].message.renewals.size(), 1U);
  cr_expect(test.manager.OnPeerMessage(test.other, request, test.bound)
                .messages.empty());
  request.stamp.sequence = 2;
  const auto voted =
      test.manager.OnPeerMessage(test.other, request, test.bound + 1ns);
  cr_assert_eq(voted.messages[0].message.votes.size(), 1U);
  cr_expect_eq(voted.messages[0].message.votes[0].dynamic, 1000);
  const auto refused = test.manager.OnPeerMessage(
      test.holder, test.Ask(2, 1000), test.bound + 2ns);
  cr_expect(refused.messages[0].message.renewals[0].fenced);
}

/// A successor that has renewed a grant takes nothing over, whatever the vote.
Test(grant_manager, a_vote_counts_once_the_successor_renews_no_more) {
  for (const bool lapsed : {false, true}) {
    GuardCase test(true);
    GrantMessage vote = GuardCase::Message(1);
    vote.votes.push_back({GrantId(9), 700});
    (void)test.manager.OnPeerMessage(test.holder, test.Ask(1, 1000),
                                     test.start);
    const TimePoint now = test.bound + (lapsed ? 1ns : 0ns);
    (void)test.manager.OnPeerMessage(test.other, vote, now);
    cr_expect_eq(test.manager.own_share(now).At(now), lapsed ? 700 : 0);
  }
}

/// A delayed ask from before units were given away changes nothing.
Test(grant_manager, a_delayed_ask_does_not_raise_the_units_under_guard) {
  GuardCase test(false);
  (void)test.manager.OnPeerMessage(test.holder, test.Ask(2, 400), test.start);
  (void)test.manager.OnPeerMessage(test.holder, test.Ask(1, 1000), test.start);
  GrantMessage request = GuardCase::Message(1);
  request.vote_requests.push_back({GrantId(9)});
  const auto voted =
      test.manager.OnPeerMessage(test.other, request, test.bound + 1ns);
  cr_expect_eq(voted.messages[0].message.votes[0].dynamic, 400);
}

/// Units go to another host only after all loans of them have lapsed.
Test(grant_manager, given_units_wait_for_their_loans) {
  const LeaseTerms terms;
  const TimePoint start(1s);
  const HostId receiver(1);
  const std::array<PeerHost, 1> peers{{{receiver, Incarnation(1), {}, {}}}};
  GrantManager manager({HostId(3), Incarnation(1), {}, {}, terms, 1}, start);
  (void)manager.OnSharesReading({TableStatus::kDone, {}, {}}, start);
  const auto first = manager.OnTick(start);
  (void)manager.OnSharesOutcome(
      {first.commit->transaction_id, TableStatus::kDone, Revision(1)}, start);
  const ShareTable table = first.commit->table;
  manager.OnPeers(peers, start);
  std::optional<TimePoint> lowered;
  for (TimePoint now = start; now < start + 10s; now += 50ms) {
    (void)manager.OnSharesReading({TableStatus::kDone, Revision(1), table},
                                  now);
    GrantMessage alive;
    alive.stamp = {Incarnation(1),
                   static_cast<std::uint64_t>(now.time_since_epoch().count()),
                   now};
    (void)manager.OnPeerMessage(receiver, alive, now);
    const auto actions = manager.OnTick(now);
    if (!lowered && manager.own_share(now).At(now) < kTotalUnits)
      lowered = now;
    if (!actions.commit)
      continue;
    cr_assert(lowered.has_value());
    cr_expect(now > LatestExpiry(terms, *lowered, terms.loan_lifetime));
    return;
  }
  cr_assert(false, "nothing was given");
}

}  // namespace comfreyvane::testing
