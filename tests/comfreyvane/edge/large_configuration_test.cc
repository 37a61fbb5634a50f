/// @file
/// Plays fleets whose configuration takes most of a second to reach a host.
#include "support/criterion.h"
#include "support/feed_fleet.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time within which a version must be in force at all hosts.
constexpr Duration kBound = milliseconds(3000);

/// An answer with 2,800 routes.
constexpr double kRowBytes = 1.1e6;
/// Hosts relay it compressed, see relay_answer_cache_test.
constexpr double kRelayedBytes = kRowBytes / 8;

constexpr std::size_t kFleets[] = {8, 60, 300};
constexpr std::size_t kDomains = 6;

FeedFleet::Options OptionsOf(std::size_t hosts) {
  return {.hosts = hosts,
          .domains = kDomains,
          .row_bytes = kRowBytes,
          .relayed_bytes = kRelayedBytes,
          .fast_per_domain = hosts <= 8 ? 1U : 2U};
}

std::size_t HostsWithout(const FeedFleet& fleet, std::uint64_t version) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i)
    count += fleet.IsUp(i) && fleet.VersionAt(i) != version ? 1 : 0;
  return count;
}

/// @return hosts that may send requests bound to regions although their
///     configuration was replaced longer than the bound ago.
std::size_t HostsSendingByAnOldTable(const FeedFleet& fleet,
                                     TimePoint replaced_at) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const bool is_old = fleet.VersionAt(i) != fleet.version() &&
                        fleet.now() - replaced_at > kBound;
    count += fleet.IsUp(i) && is_old && fleet.MaySendBound(i) ? 1 : 0;
  }
  return count;
}

}  // namespace

Test(large_configuration, reaches_hosts_with_slow_links_in_time) {
  for (const std::size_t hosts : kFleets) {
    FeedFleet fleet(OptionsOf(hosts));
    fleet.Run(seconds(12));
    fleet.Write(fleet.version() + 2);
    fleet.Run(kBound);
    cr_expect(HostsWithout(fleet, fleet.version()) == 0, "%zu of %zu hosts",
              HostsWithout(fleet, fleet.version()), hosts);
  }
}

Test(large_configuration, follows_another_within_the_bound) {
  for (const std::size_t hosts : kFleets) {
    FeedFleet fleet(OptionsOf(hosts));
    fleet.Run(seconds(12));
    fleet.Write(fleet.version() + 2);
    fleet.Run(seconds(1));
    fleet.Write(fleet.version() + 2);
    fleet.Run(kBound);
    cr_expect(HostsWithout(fleet, fleet.version()) == 0, "%zu of %zu hosts",
              HostsWithout(fleet, fleet.version()), hosts);
  }
}

Test(large_configuration, is_not_received_again_and_again) {
  FeedFleet fleet(OptionsOf(60));
  fleet.Run(seconds(12));
  const double before = fleet.ReceivedAt(59);
  fleet.Write(fleet.version() + 2);
  fleet.Run(seconds(6));
  const double received = fleet.ReceivedAt(59) - before;
  cr_expect(received < 2.0 * kRowBytes, "%.0f bytes", received);
}

Test(bound_requests, are_not_sent_by_a_table_that_was_replaced) {
  for (const std::size_t hosts : kFleets) {
    FeedFleet fleet(OptionsOf(hosts));
    fleet.Run(seconds(12));
    // Some hosts are cut from the store, others from all relays as well.
    for (std::size_t i = 0; i < hosts; i += 3)
      fleet.refused.insert(i);
    fleet.lost_answers = 0.2;
    const TimePoint replaced_at = fleet.now();
    fleet.Write(fleet.version() + 2);
    for (int step = 0; step < 400; ++step) {
      fleet.Run(milliseconds(20));
      const std::size_t count = HostsSendingByAnOldTable(fleet, replaced_at);
      cr_assert(count == 0, "%zu of %zu hosts, %d ms after the change", count,
                hosts, 20 * step);
    }
  }
}

Test(bound_requests, are_not_sent_while_no_host_hears_the_store) {
  for (const std::size_t hosts : kFleets) {
    FeedFleet fleet(OptionsOf(hosts));
    fleet.Run(seconds(12));
    fleet.SetSilent(true);
    const TimePoint replaced_at = fleet.now();
    fleet.Write(fleet.version() + 2);
    fleet.Run(kBound + milliseconds(20));
    cr_expect(HostsSendingByAnOldTable(fleet, replaced_at) == 0);
  }
}

Test(bound_requests, are_sent_on_calm_days) {
  for (const std::size_t hosts : kFleets) {
    FeedFleet fleet(OptionsOf(hosts));
    fleet.Run(seconds(12));
    for (int step = 0; step < 100; ++step) {
      if (step == 30)
        fleet.Write(fleet.version() + 2);
      fleet.Run(milliseconds(50));
      for (std::size_t i = 0; i < hosts; ++i)
        cr_assert(fleet.MaySendBound(i), "host %zu of %zu in step %d", i, hosts,
                  step);
    }
  }
}

Test(bound_requests, are_not_sent_by_a_restored_copy) {
  for (const std::size_t hosts : kFleets) {
    FeedFleet fleet(OptionsOf(hosts));
    fleet.Run(seconds(12));
    const std::uint64_t before = fleet.version();
    for (std::size_t i = 0; i < hosts; ++i)
      fleet.refused.insert(i);
    const TimePoint replaced_at = fleet.now();
    fleet.Write(before + 2);
    fleet.Run(seconds(4));
    fleet.refused.clear();
    fleet.Restore(1, before);
    for (int step = 0; step < 100; ++step) {
      fleet.Run(milliseconds(20));
      const std::size_t count = HostsSendingByAnOldTable(fleet, replaced_at);
      cr_assert(count == 0, "%zu of %zu hosts, step %d", count, hosts, step);
    }
  }
}
