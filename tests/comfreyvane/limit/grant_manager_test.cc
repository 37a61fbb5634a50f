#include "comfreyvane/limit/grant_manager.h"

#include <array>
#include <set>

#include "support/criterion.h"
#include "support/limit_fleet.h"

using namespace std::chrono_literals;

namespace comfreyvane::testing {
namespace {

/// @return units usable now on the hosts `of`, or on all hosts if it is empty.
std::int64_t Units(LimitFleet& fleet, std::set<std::uint32_t> of = {}) {
  std::int64_t units = 0;
  for (std::uint32_t i = 0; i < fleet.size(); ++i) {
    if (fleet.host(i).alive && (of.empty() || of.contains(i)))
      units += fleet.host(i)
                   .manager->own_share(fleet.LocalTime(i))
                   .At(fleet.LocalTime(i));
  }
  return units;
}

LimitFleet FormedFleet(std::uint32_t hosts = 8) {
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
  std::int64_t min_units;  ///< Usable on the other hosts after 5 s.
};

}  // namespace

Test(grant_manager, few_units_are_lost_with_failed_hosts) {
  const std::array<DeathCase, 4> cases{{
      {"one, store up", true, {3}, 970'000},
      {"one, store down", false, {3}, 970'000},
      {"same region, store down", false, {0, 3}, 700'000},
      {"one after the other, store up", true, {5}, 970'000},
  }};
  for (const DeathCase& test : cases) {
    LimitFleet fleet = FormedFleet();
    fleet.store().up = test.store_up;
    for (const std::uint32_t host : test.dead)
      fleet.Kill(host);
    fleet.RunUntil(fleet.now() + 5s);
    cr_expect(Units(fleet) >= test.min_units, "%s", test.name);
    cr_expect(Units(fleet) <= kTotalUnits, "%s", test.name);
  }
}

Test(grant_manager, an_isolated_host_keeps_its_base_units_for_an_hour) {
  LimitFleet fleet = FormedFleet(4);
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
  LimitFleet fleet = FormedFleet(4);
  fleet.RunUntil(TimePoint(5min));
  fleet.store().up = false;
  fleet.RunUntil(fleet.now() + 1h);
  cr_expect_eq(Units(fleet), kTotalUnits);
}

Test(grant_manager, a_paused_holder_cannot_use_expired_dynamic_units) {
  LimitFleet fleet = FormedFleet();
  fleet.Pause(2, 10s);
  fleet.RunUntil(fleet.now() + 10s - 1ns);
  const OwnShare own = fleet.host(2).manager->own_share(fleet.LocalTime(2));
  cr_expect_eq(own.At(fleet.LocalTime(2)), 25'000);
  cr_expect_eq(Units(fleet), kTotalUnits);
}

Test(grant_manager, a_planned_stop_releases_all_units) {
  for (const bool store_up : {true, false}) {
    LimitFleet fleet = FormedFleet();
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

Test(grant_manager, a_replacement_gets_units_only_while_the_store_is_up) {
  for (const bool store_up : {true, false}) {
    LimitFleet fleet = FormedFleet();
    fleet.store().up = store_up;
    fleet.Kill(1);
    fleet.RunUntil(fleet.now() + 5s);
    fleet.Start(1);
    fleet.RunUntil(fleet.now() + 30s);
    cr_expect_eq(Units(fleet, {1}) >= 62'500, store_up);
    cr_expect(Units(fleet) >= 970'000);
  }
}

Test(grant_manager, commits_without_a_reply_are_retried_with_the_same_id) {
  LimitFleet::Options options;
  options.hosts = 3;
  LimitFleet fleet(options);
  fleet.store().reply_loss = 0.7;
  fleet.RunUntil(TimePoint(60s));
  cr_expect_eq(Units(fleet), 999'999);
  cr_expect(fleet.store().outcomes.size() < fleet.store().writes);
}

Test(grant_manager, a_stable_fleet_writes_to_the_store_rarely) {
  LimitFleet fleet = FormedFleet();
  const std::uint64_t before = fleet.store().writes;
  fleet.RunUntil(fleet.now() + 1h);
  cr_expect(fleet.store().writes - before <= 36'000);
  cr_expect_eq(Units(fleet), kTotalUnits);
}

/// A holder must count its lease from when it first sent the commit, even if
/// the reply arrives after a retry.
Test(grant_manager, a_late_reply_does_not_extend_the_lease) {
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

/// A release takes effect once, however often it is sent, and only after the
/// loans of the previous holder have expired.
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

/// A witness under test and the other witness of grant 9, held by host 1.
struct WitnessCase {
  WitnessCase(bool successor_under_test)
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
  GrantMessage RenewalRequestMessage(std::uint64_t sequence,
                                     std::int64_t dynamic) const {
    GrantMessage request = Message(sequence);
    request.renewal_requests.push_back(
        {GrantId(9), successor, voter, dynamic, 10min});
    return request;
  }

  static constexpr TimePoint start{Duration(1s)};
  const HostId holder{1};
  HostId self;
  HostId other;
  HostIncarnation successor;
  HostIncarnation voter;
  GrantManager manager;
  const TimePoint latest_expiry =
      LatestExpiry({}, start, LeaseTerms{}.renewal_lifetime);
};

/// A voter must not vote on a grant while one of its renewals may be in use,
/// and must never renew the grant after its vote.
Test(grant_manager, a_vote_and_a_renewal_exclude_each_other) {
  WitnessCase test(false);
  GrantMessage request = WitnessCase::Message(1);
  request.vote_requests.push_back({GrantId(9)});
  const auto renewed = test.manager.OnPeerMessage(
      test.holder, test.RenewalRequestMessage(1, 1000), test.start);
  cr_assert_eq(renewed.messages[0].message.renewals.size(), 1U);
  cr_expect(test.manager.OnPeerMessage(test.other, request, test.latest_expiry)
                .messages.empty());
  request.stamp.sequence = 2;
  const auto voted =
      test.manager.OnPeerMessage(test.other, request, test.latest_expiry + 1ns);
  cr_assert_eq(voted.messages[0].message.votes.size(), 1U);
  cr_expect_eq(voted.messages[0].message.votes[0].dynamic, 1000);
  const auto refused = test.manager.OnPeerMessage(
      test.holder, test.RenewalRequestMessage(2, 1000),
      test.latest_expiry + 2ns);
  cr_expect(refused.messages[0].message.renewals[0].fenced);
}

/// A successor must not take units over while its own renewal may be in use,
/// even if the voter has voted.
Test(grant_manager, a_vote_counts_after_the_successors_renewals_expire) {
  for (const bool expired : {false, true}) {
    WitnessCase test(true);
    GrantMessage vote = WitnessCase::Message(1);
    vote.votes.push_back({GrantId(9), 700});
    (void)test.manager.OnPeerMessage(
        test.holder, test.RenewalRequestMessage(1, 1000), test.start);
    const TimePoint now = test.latest_expiry + (expired ? 1ns : 0ns);
    (void)test.manager.OnPeerMessage(test.other, vote, now);
    cr_expect_eq(test.manager.own_share(now).At(now), expired ? 700 : 0);
  }
}

/// A request that was delayed until after units were transferred must be
/// ignored.
Test(grant_manager, a_delayed_request_does_not_raise_the_recorded_units) {
  WitnessCase test(false);
  (void)test.manager.OnPeerMessage(
      test.holder, test.RenewalRequestMessage(2, 400), test.start);
  (void)test.manager.OnPeerMessage(
      test.holder, test.RenewalRequestMessage(1, 1000), test.start);
  GrantMessage request = WitnessCase::Message(1);
  request.vote_requests.push_back({GrantId(9)});
  const auto voted =
      test.manager.OnPeerMessage(test.other, request, test.latest_expiry + 1ns);
  cr_expect_eq(voted.messages[0].message.votes[0].dynamic, 400);
}

/// Units may be transferred to another host only after all loans of them have
/// expired.
Test(grant_manager, units_are_transferred_after_their_loans_expire) {
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
    GrantMessage reply;
    reply.stamp = {Incarnation(1),
                   static_cast<std::uint64_t>(now.time_since_epoch().count()),
                   now};
    (void)manager.OnPeerMessage(receiver, reply, now);
    const auto actions = manager.OnTick(now);
    if (!lowered && manager.own_share(now).At(now) < kTotalUnits)
      lowered = now;
    if (!actions.commit)
      continue;
    cr_assert(lowered.has_value());
    cr_expect(now > LatestExpiry(terms, *lowered, terms.loan_lifetime));
    return;
  }
  cr_assert(false, "no units were transferred");
}

}  // namespace comfreyvane::testing
