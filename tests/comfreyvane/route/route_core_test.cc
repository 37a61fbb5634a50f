#include "comfreyvane/route/route_core.h"

#include <algorithm>
#include <map>
#include <optional>

#include "comfreyvane/route/route_fixture.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;

namespace {

RouteCore CoreOf(const std::vector<RouteServer>& servers) {
  RouteCore core(kService, RouteLimits{}, 1);
  core.OnServers(servers, kStart);
  return core;
}

bool Refused(const Chosen& chosen) {
  return std::holds_alternative<Refusal>(chosen);
}

BackendServerId ServerOf(const Chosen& chosen) {
  const auto* choice = std::get_if<RouteChoice>(&chosen);
  return choice == nullptr ? BackendServerId() : choice->server;
}

/// Starts requests until no server has a free slot.
std::map<BackendServerId, int> Fill(RouteCore& core, TimePoint now) {
  std::map<BackendServerId, int> started;
  for (Chosen chosen = Choose(core, Read(), now); !Refused(chosen);
       chosen = Choose(core, Read(), now)) {
    ++started[ServerOf(chosen)];
    cr_assert(core.TryStart(ServerOf(chosen), false, now));
  }
  return started;
}

}  // namespace

Test(route_core, refuses_as_not_run_without_a_server) {
  RouteCore core = CoreOf({});
  const Chosen chosen = Choose(core, Read(), kStart);
  cr_assert(Refused(chosen));
  const auto& refusal = std::get<Refusal>(chosen);
  cr_expect(refusal.reason == RefusalReason::kNoBackendServer);
  cr_expect(refusal.run_state == RunState::kNotRun);
  cr_expect(refusal.retry_after > Duration(0));
}

Test(route_core, refuses_requests_past_their_deadline) {
  RouteCore core = CoreOf(Servers(1));
  RouteRequest late = Read();
  late.deadline = kStart;
  const Chosen chosen = Choose(core, late, kStart);
  cr_assert(Refused(chosen));
  cr_expect(std::get<Refusal>(chosen).reason == RefusalReason::kDeadlinePassed);
}

Test(route_core, fills_slots_evenly_and_no_more) {
  RouteCore core = CoreOf(Servers(4));
  const auto started = Fill(core, kStart);
  cr_assert(started.size() == 4);
  for (const auto& [server, count] : started)
    cr_expect(count == 3);
  cr_expect(core.FreeSlots() == 0);
  cr_expect(core.InUse() == 12);
}

Test(route_core, stays_within_its_connection_quota) {
  RouteServer server = Server(0, Distance::kSameFailureDomain, 7);
  server.connection_quota = 4;
  RouteCore core = CoreOf({server});
  cr_expect(Fill(core, kStart)[server.id] == 3);
}

Test(route_core, leaves_slots_for_the_other_hosts) {
  struct Case {
    Distance distance;
    std::optional<std::uint32_t> peer_use;
    std::optional<std::uint32_t> reported;
    int fits;
  };
  const Distance near = Distance::kSameFailureDomain;
  const Distance far = Distance::kSameRegion;
  for (const Case& each :
       {Case{near, {}, {}, 3}, Case{near, 2, {}, 1}, Case{near, 3, {}, 1},
        Case{near, 9, {}, 1}, Case{near, {}, 2, 1}, Case{near, {}, 100, 1},
        Case{near, 2, 0, 2}, Case{near, 0, 100, 2}, Case{near, 2, 2, 1},
        Case{far, 2, {}, 1}, Case{far, 3, {}, 0}, Case{far, 9, {}, 0},
        Case{far, {}, 100, 1}, Case{far, 3, 100, 1}, Case{far, 3, 0, 2}}) {
    const RouteServer server = Server(0, each.distance);
    RouteCore core = CoreOf({server});
    if (each.peer_use) {
      core.OnPeerUse({.host = HostId::Of("peer"),
                      .incarnation = Incarnation(1),
                      .sequence = 1,
                      .service = kService,
                      .servers = {{server.id, *each.peer_use}}},
                     kStart);
    }
    if (each.reported)
      core.OnLoadReport(server.id, {.in_use = *each.reported}, kStart, kStart);
    cr_expect(Fill(core, kStart + milliseconds(20))[server.id] == each.fits);
  }
}

Test(route_core, ignores_load_reports_below_its_own_count) {
  const RouteServer server = Server(0, Distance::kSameRegion);
  RouteCore core = CoreOf({server});
  cr_assert(core.TryStart(server.id, false, kStart));
  core.OnPeerUse({.host = HostId::Of("peer"),
                  .incarnation = Incarnation(1),
                  .sequence = 1,
                  .service = kService,
                  .servers = {{server.id, 2}}},
                 kStart);
  for (int i = 0; i < 10; ++i)
    core.OnLoadReport(server.id, {.in_use = 0}, kStart, kStart);
  cr_expect(Refused(Choose(core, Read(), kStart + milliseconds(20))));
  for (int i = 0; i < 10; ++i)
    core.OnLoadReport(server.id, {.in_use = 1}, kStart, kStart);
  cr_expect(!Refused(Choose(core, Read(), kStart + milliseconds(40))));
}

Test(route_core, ignores_outdated_peer_use_and_expires_it) {
  const RouteServer server = Server(0, Distance::kSameRegion);
  RouteCore core = CoreOf({server});
  PeerUse use{.host = HostId::Of("peer"),
              .incarnation = Incarnation(2),
              .sequence = 5,
              .service = kService,
              .servers = {{server.id, 3}}};
  core.OnPeerUse(use, kStart);
  use.servers.clear();
  use.sequence = 4;
  core.OnPeerUse(use, kStart);
  use.sequence = 9;
  use.incarnation = Incarnation(1);
  core.OnPeerUse(use, kStart);
  TimePoint now = kStart + milliseconds(20);
  cr_expect(Refused(Choose(core, Read(), now)));
  now = kStart + seconds(3);
  cr_expect(!Refused(Choose(core, Read(), now)));
}

Test(route_core, an_idle_report_does_not_hide_own_requests) {
  const RouteServer server = Server(0);
  RouteCore core = CoreOf({server});
  Fill(core, kStart);
  core.OnLoadReport(server.id, {.in_use = 0}, kStart, kStart);
  cr_expect(Refused(Choose(core, Read(), kStart + milliseconds(20))));
}

Test(route_core, uses_farther_servers_only_if_nearer_ones_are_full) {
  RouteCore core = CoreOf({Server(0, Distance::kOtherRegion),
                           Server(1, Distance::kSameRegion),
                           Server(2, Distance::kSameFailureDomain)});
  for (const Distance expected :
       {Distance::kSameFailureDomain, Distance::kSameRegion,
        Distance::kOtherRegion}) {
    for (int i = 0; i < 3; ++i) {
      const Chosen chosen = Choose(core, Read(), kStart);
      cr_assert(!Refused(chosen));
      cr_expect(std::get<RouteChoice>(chosen).distance == expected);
      cr_expect(core.TryStart(ServerOf(chosen), false, kStart));
    }
  }
}

Test(route_core, respects_the_link_quota) {
  RouteCore core = CoreOf({Server(0, Distance::kOtherRegion, 7)});
  core.OnLinkQuota(RegionId::Of("far"), 2, kStart);
  cr_expect(core.FreeSlots() == 2);
  const auto started = Fill(core, kStart);
  cr_expect(started.begin()->second == 2);
}

Test(route_core, sends_nothing_to_a_draining_or_removed_server) {
  for (const bool gone : {false, true}) {
    std::vector<RouteServer> servers = Servers(2);
    RouteCore core = CoreOf(servers);
    const BackendServerId leaving = servers[0].id;
    cr_assert(core.TryStart(leaving, false, kStart));
    servers[0].leaving = true;
    if (gone)
      servers.erase(servers.begin());
    core.OnServers(servers, kStart);
    cr_expect(!core.TryStart(leaving, false, kStart));
    const auto started = Fill(core, kStart);
    cr_expect(!started.contains(leaving));
    cr_expect(core.InUse() == 4);
    core.Finish(leaving, RequestOutcome::kOk, milliseconds(5), kStart);
    cr_expect(core.InUse() == 3);
  }
}

Test(route_core, respects_a_server_that_reports_draining) {
  const auto servers = Servers(2);
  RouteCore core = CoreOf(servers);
  core.OnLoadReport(servers[0].id, {.leaving = true}, kStart, kStart);
  cr_expect(!core.TryStart(servers[0].id, false, kStart));
  cr_expect(!Fill(core, kStart).contains(servers[0].id));
}

Test(route_core, a_site_without_weight_receives_no_requests) {
  std::vector<RouteServer> servers = Servers(4);
  servers[0].site = SiteId::Of("old");
  servers[1].site = SiteId::Of("old");
  RouteCore core = CoreOf(servers);
  core.OnSiteWeights({{servers[2].site, 1}}, kStart);
  cr_expect(!core.TryStart(servers[0].id, false, kStart));
  cr_expect(Fill(core, kStart).size() == 2);
}

Test(route_core, samples_sites_by_weight) {
  std::vector<RouteServer> servers = Servers(2);
  servers[0].site = SiteId::Of("old");
  for (const bool sticky : {false, true}) {
    RouteCore core = CoreOf(servers);
    core.OnSiteWeights({{servers[0].site, 1}, {servers[1].site, 3}}, kStart);
    int old = 0;
    for (std::uint64_t i = 1; i <= 4000; ++i) {
      const RouteRequest request = Read(sticky ? i * 7919 : 0);
      old += ServerOf(Choose(core, request, kStart)) == servers[0].id ? 1 : 0;
    }
    cr_expect(old > 850 && old < 1150, "%d", old);
  }
}

Test(route_core, repeated_reads_reach_the_warm_server_while_it_has_slots) {
  RouteCore core = CoreOf(Servers(8));
  const BackendServerId warm = ServerOf(Choose(core, Read(42), kStart));
  for (int i = 0; i < 3; ++i) {
    cr_expect(ServerOf(Choose(core, Read(42), kStart)) == warm);
    cr_assert(core.TryStart(warm, false, kStart));
  }
  const BackendServerId next = ServerOf(Choose(core, Read(42), kStart));
  cr_expect(next != warm && next != BackendServerId());
  cr_expect(ServerOf(Choose(core, Read(42), kStart)) == next);
  core.Finish(warm, RequestOutcome::kOk, milliseconds(5), kStart);
  cr_expect(ServerOf(Choose(core, Read(42), kStart)) == warm);
}

Test(route_core, few_reads_move_when_a_server_is_removed) {
  std::vector<RouteServer> servers = Servers(10);
  RouteCore core = CoreOf(servers);
  std::map<std::uint64_t, BackendServerId> before;
  for (std::uint64_t read = 1; read <= 1000; ++read)
    before[read] = ServerOf(Choose(core, Read(read), kStart));
  const BackendServerId gone = servers[3].id;
  servers.erase(servers.begin() + 3);
  core.OnServers(servers, kStart);
  for (const auto& [read, server] : before) {
    const BackendServerId now = ServerOf(Choose(core, Read(read), kStart));
    cr_expect(server == gone ? now != gone : now == server);
  }
}

Test(route_core, a_fast_failing_server_receives_few_requests) {
  const auto servers = Servers(6);
  RouteCore core = CoreOf(servers);
  TimePoint now = kStart;
  int failures = 0;
  for (int i = 0; i < 10000; ++i) {
    now += milliseconds(1);
    const Chosen chosen = Choose(core, Read(), now);
    cr_assert(!Refused(chosen));
    const bool bad = ServerOf(chosen) == servers[0].id;
    failures += bad ? 1 : 0;
    cr_assert(core.TryStart(ServerOf(chosen), false, now));
    core.Finish(ServerOf(chosen),
                bad ? RequestOutcome::kFailed : RequestOutcome::kOk,
                bad ? milliseconds(1) : milliseconds(20), now);
  }
  cr_expect(failures <= 20, "%d of 10000 requests met the failing server",
            failures);
}

Test(route_core, a_partly_failing_server_receives_less_than_its_share) {
  const auto servers = Servers(6);
  RouteCore core = CoreOf(servers);
  TimePoint now = kStart;
  int met = 0;
  for (int i = 0; i < 6000; ++i) {
    now += milliseconds(1);
    const Chosen chosen = Choose(core, Read(), now);
    cr_assert(!Refused(chosen));
    const bool bad = ServerOf(chosen) == servers[0].id;
    met += bad ? 1 : 0;
    const bool fails = bad && met % 3 == 0;
    cr_assert(core.TryStart(ServerOf(chosen), false, now));
    core.Finish(ServerOf(chosen),
                fails ? RequestOutcome::kFailed : RequestOutcome::kOk,
                milliseconds(fails ? 1 : 20), now);
  }
  cr_expect(met < 1000, "%d of 6000", met);
}

Test(route_core, ejects_on_failures_and_returns_by_a_trial) {
  struct Case {
    RequestOutcome outcome;
    int times;
    EjectionReason reason;
  };
  for (const Case& each :
       {Case{RequestOutcome::kFailed, 3, EjectionReason::kErrors},
        Case{RequestOutcome::kTimeout, 3, EjectionReason::kErrors},
        Case{RequestOutcome::kConnectFailed, 2, EjectionReason::kConnectFailed},
        Case{RequestOutcome::kCrashed, 1, EjectionReason::kCrashed}}) {
    const auto servers = Servers(4);
    RouteCore core = CoreOf(servers);
    const BackendServerId bad = servers[0].id;
    for (int i = 0; i < each.times; ++i) {
      cr_expect(StateOf(core, bad, kStart).ejected == EjectionReason::kNone);
      cr_assert(core.TryStart(bad, false, kStart));
      core.Finish(bad, each.outcome, milliseconds(1), kStart);
    }
    cr_expect(StateOf(core, bad, kStart).ejected == each.reason);
    cr_expect(!Fill(core, kStart).contains(bad));
    const TimePoint back = kStart + milliseconds(1001);
    cr_expect(StateOf(core, bad, back).trial);
    cr_expect(StateOf(core, bad, back).free_slots == 1);
    cr_assert(core.TryStart(bad, false, back));
    core.Finish(bad, RequestOutcome::kFailed, milliseconds(1), back);
    const ServerState again = StateOf(core, bad, back);
    cr_expect(again.ejected == EjectionReason::kErrors);
    cr_expect(again.ejected_until - back > milliseconds(1500));
  }
}

Test(route_core, limits_a_returning_server_to_one_request_until_it_answers) {
  std::vector<RouteServer> servers;
  for (int i = 0; i < 2; ++i)
    servers.push_back(Server(i, Distance::kSameFailureDomain, 7));
  RouteCore core = CoreOf(servers);
  const BackendServerId back = servers[0].id;
  cr_assert(core.TryStart(back, false, kStart));
  core.Finish(back, RequestOutcome::kCrashed, milliseconds(1), kStart);
  cr_expect(StateOf(core, back, kStart + seconds(1)).trial);
  cr_assert(core.TryStart(servers[1].id, false, kStart + seconds(1)));
  const TimePoint later = kStart + seconds(6);
  cr_expect(StateOf(core, back, later).free_slots == 1);
  cr_assert(core.TryStart(back, false, later));
  cr_expect(StateOf(core, back, later).free_slots == 0);
  core.Finish(back, RequestOutcome::kOk, milliseconds(5), later);
  cr_expect(StateOf(core, back, later).free_slots > 1);
}

Test(route_core, ejects_at_most_the_maximum_fraction) {
  const auto servers = Servers(5);
  RouteCore core = CoreOf(servers);
  for (const RouteServer& server : servers) {
    for (int i = 0; i < 3; ++i) {
      cr_assert(core.TryStart(server.id, false, kStart));
      core.Finish(server.id, RequestOutcome::kFailed, milliseconds(1), kStart);
    }
  }
  const auto states = core.States(kStart);
  const auto ejected =
      std::count_if(states.begin(), states.end(), [](const ServerState& state) {
        return state.ejected != EjectionReason::kNone;
      });
  cr_expect(ejected == 2);
  cr_expect(!Refused(Choose(core, Read(), kStart + milliseconds(100))));
}

Test(route_core, non_idempotent_requests_avoid_trials_while_others_have_slots) {
  const auto servers = Servers(2);
  RouteCore core = CoreOf(servers);
  cr_assert(core.TryStart(servers[0].id, false, kStart));
  core.Finish(servers[0].id, RequestOutcome::kCrashed, milliseconds(1), kStart);
  const TimePoint back = kStart + seconds(2);
  RouteRequest submission;
  for (int i = 0; i < 3; ++i) {
    const Chosen chosen = Choose(core, submission, back);
    cr_expect(ServerOf(chosen) == servers[1].id);
    cr_assert(core.TryStart(servers[1].id, false, back));
  }
  cr_expect(ServerOf(Choose(core, submission, back)) == servers[0].id);
}

Test(route_core, a_healthy_probe_does_not_end_an_ejection_for_errors) {
  const auto servers = Servers(4);
  RouteCore core = CoreOf(servers);
  for (int i = 0; i < 3; ++i) {
    cr_assert(core.TryStart(servers[0].id, false, kStart));
    core.Finish(servers[0].id, RequestOutcome::kFailed, milliseconds(1),
                kStart);
  }
  for (int i = 0; i < 2; ++i)
    core.OnProbe(servers[1].id, ProbeOutcome::kConnectFailed, kStart);
  cr_expect(StateOf(core, servers[1].id, kStart).ejected ==
            EjectionReason::kProbeFailed);
  core.OnProbe(servers[0].id, ProbeOutcome::kHealthy, kStart);
  core.OnProbe(servers[1].id, ProbeOutcome::kHealthy, kStart);
  cr_expect(StateOf(core, servers[0].id, kStart).ejected ==
            EjectionReason::kErrors);
  cr_expect(StateOf(core, servers[1].id, kStart).ejected ==
            EjectionReason::kNone);
}

Test(route_core, backs_off_longer_each_time_a_server_sheds) {
  const RouteServer server = Server(0);
  RouteCore core = CoreOf({server});
  TimePoint now = kStart;
  Duration last(0);
  for (int i = 0; i < 4; ++i) {
    cr_assert(RunOne(core, Read(), RequestOutcome::kShed, milliseconds(1),
                     now) == server.id);
    const Chosen chosen = Choose(core, Read(), now);
    cr_assert(Refused(chosen));
    const Duration wait = std::get<Refusal>(chosen).retry_after;
    cr_expect(wait > last);
    last = wait;
    now += wait + milliseconds(11);
  }
}

Test(route_core, new_and_moved_servers_get_a_slow_start) {
  std::vector<RouteServer> servers = {Server(0, Distance::kSameRegion, 7)};
  RouteCore core = CoreOf(servers);
  cr_expect(StateOf(core, servers[0].id, kStart).limit == 7);
  servers.push_back(Server(1, Distance::kSameRegion, 7));
  servers[0].site = SiteId::Of("new-provider");
  core.OnServers(servers, kStart);
  for (const RouteServer& server : servers) {
    cr_expect(StateOf(core, server.id, kStart).limit == 1);
    cr_expect(StateOf(core, server.id, kStart + seconds(5)).limit == 4);
    cr_expect(StateOf(core, server.id, kStart + seconds(10)).limit == 7);
  }
}

Test(route_core, a_slow_server_receives_fewer_requests) {
  const auto servers = Servers(4);
  RouteCore core = CoreOf(servers);
  TimePoint now = kStart;
  int slow = 0;
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(1);
    const Chosen chosen = Choose(core, Read(), now);
    const bool is_slow = ServerOf(chosen) == servers[0].id;
    slow += is_slow ? 1 : 0;
    cr_assert(core.TryStart(ServerOf(chosen), false, now));
    core.Finish(ServerOf(chosen), RequestOutcome::kOk,
                milliseconds(is_slow ? 200 : 10), now);
  }
  cr_expect(slow < 40, "%d of 4000", slow);
}

Test(route_core, a_suspect_runs_isolated) {
  const auto servers = Servers(2);
  RouteCore core = CoreOf(servers);
  Fill(core, kStart);
  RouteRequest suspect = Read();
  suspect.isolated = true;
  cr_expect(Refused(Choose(core, suspect, kStart)));
  for (int i = 0; i < 3; ++i) {
    for (const RouteServer& server : servers)
      core.Finish(server.id, RequestOutcome::kOk, milliseconds(5), kStart);
    const Chosen other = Choose(core, Read(), kStart);
    if (!Refused(other))
      cr_assert(core.TryStart(ServerOf(other), false, kStart));
  }
  const Chosen chosen = Choose(core, suspect, kStart);
  cr_assert(!Refused(chosen), "a server was reserved and has run dry");
  const BackendServerId server = ServerOf(chosen);
  cr_expect(StateOf(core, server, kStart).in_use == 0);
  cr_assert(core.TryStart(server, true, kStart));
  cr_expect(!Fill(core, kStart).contains(server));
  core.Finish(server, RequestOutcome::kOk, milliseconds(5), kStart);
  cr_expect(Fill(core, kStart).contains(server));
}
