#include "comfreyvane/edge/path_monitor.h"

#include <string>

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr Duration kTick = milliseconds(50);

/// A host with six servers of two services in three failure domains.
class MonitoredHost {
 public:
  static constexpr std::size_t kServers = 6;

  MonitoredHost() {
    for (std::size_t i = 0; i < kServers; ++i)
      paths.OnListed(Server(i), ServiceId(i % 2), FailureDomainId(i / 2));
    Run(seconds(3));
  }

  [[nodiscard]] static BackendServerId Server(std::size_t number) {
    return BackendServerId(100 + number);
  }

  /// Lets servers that are reached answer requests, one each 10 ms.
  void Run(Duration span) {
    for (const TimePoint end = now + span; now < end; now += milliseconds(10)) {
      const std::size_t server = ++requests_ % kServers;
      paths.OnSent(Server(server), now, {work, load[server]});
      if (is_reached[server])
        paths.OnAnswered(Server(server), now);
      else if (first_sent[server] == TimePoint{})
        first_sent[server] = now;
      Tick();
    }
  }
  /// Sends nothing.
  void Wait(Duration span) {
    for (const TimePoint end = now + span; now < end; now += milliseconds(10))
      Tick();
  }
  void SetReached(bool reached) {
    for (bool& one : is_reached)
      one = reached;
  }
  /// Another host reports that it reaches all servers.
  void HearFromPeer() {
    std::vector<PathReport> reports;
    for (const PathGroup& group : paths.AskedGroups(now))
      reports.push_back({group, milliseconds(20)});
    paths.OnPeerReport(HostId(1), reports, now);
  }
  [[nodiscard]] bool HasLost(const PathGroup& group) const {
    for (const PathChange& change : changes) {
      if (change.kind == PathChange::Kind::kLost && change.group == group)
        return true;
    }
    return false;
  }

  PathMonitor paths;
  TimePoint now = kStart;
  std::array<bool, kServers> is_reached = {true, true, true, true, true, true};
  bool has_peer = true;
  bool answers_probes = false;
  bool has_connects = true;  ///< Whether connects of probes succeed or hang.
  Duration work{};           ///< That requests are expected to take.
  std::array<ServerLoad, kServers> load{};
  std::array<TimePoint, kServers> first_sent{};  ///< Without an answer.
  std::vector<PathChange> changes;

 private:
  void Tick() {
    if (now < next_tick_)
      return;
    next_tick_ = now + kTick;
    if (has_peer)
      HearFromPeer();
    for (const PathChange& change : paths.Update(now))
      changes.push_back(change);
    const auto probes =
        paths.TakeProbes([](BackendServerId) { return true; }, now);
    for (const BackendServerId server : probes)
      Probe(server);
  }

  void Probe(BackendServerId server) {
    const std::size_t number = server.value() - Server(0).value();
    paths.OnSent(server, now, {.load = load[number]});
    if (!has_connects)
      paths.OnConnectFailed(server, now);
    if (!answers_probes)
      return;
    paths.OnConnected(server, now);
    paths.OnAnswered(server, now);
    paths.OnProbeAnswered(server);
  }

  TimePoint next_tick_{};
  std::size_t requests_ = 0;
};

}  // namespace

Test(path_monitor,
     silence_of_all_servers_is_a_lost_path_if_a_peer_has_answers) {
  MonitoredHost host;
  host.SetReached(false);
  host.Run(seconds(1));
  cr_assert(host.HasLost(PathGroup::All()));
  cr_expect(host.changes.front().witness == HostId(1));
  cr_expect(host.changes.front().silence < milliseconds(900));
  cr_expect(host.paths.ReachOf(MonitoredHost::Server(0)) == ServerReach::kNone);
  cr_expect(host.paths.ReportsOn({PathGroup::All()}, host.now).empty());
}

Test(path_monitor, silence_without_a_witness_takes_longer) {
  MonitoredHost host;
  host.has_peer = false;
  host.SetReached(false);
  host.Run(seconds(1));
  cr_expect(host.changes.empty(), "the servers may be down");
  host.Run(milliseconds(500));
  cr_assert(host.HasLost(PathGroup::All()));
  cr_expect(!host.changes.front().witness);
}

Test(path_monitor, a_silent_service_alone_is_no_lost_path) {
  MonitoredHost host;
  host.has_peer = false;
  for (const std::size_t server : {0U, 2U, 4U})
    host.is_reached[server] = false;
  host.Run(seconds(5));
  cr_expect(host.changes.empty(), "its servers may be down");
}

Test(path_monitor, one_silent_server_is_no_lost_path) {
  MonitoredHost host;
  host.is_reached[2] = false;
  host.Run(seconds(5));
  cr_expect(host.changes.empty());
}

Test(path_monitor, a_host_without_traffic_has_no_evidence) {
  MonitoredHost host;
  host.SetReached(false);
  host.Wait(seconds(10));
  cr_expect(host.changes.empty());
}

Test(path_monitor, requests_that_end_with_the_traffic_are_no_evidence) {
  MonitoredHost host;
  host.answers_probes = true;
  host.SetReached(false);
  host.Run(milliseconds(40));
  host.Wait(seconds(3));
  cr_expect(host.changes.empty(), "probes are answered");
}

Test(path_monitor, a_pause_of_the_host_is_no_silence) {
  MonitoredHost host;
  host.paths.OnSent(MonitoredHost::Server(0), host.now);
  host.paths.OnSent(MonitoredHost::Server(3), host.now);
  host.paths.OnSent(MonitoredHost::Server(5), host.now);
  host.now += seconds(4);
  host.Wait(milliseconds(100));
  host.Run(seconds(1));
  cr_expect(host.changes.empty());
}

Test(path_monitor, failed_connects_to_several_servers_are_a_lost_path) {
  MonitoredHost host;
  host.has_peer = false;
  for (const std::size_t server : {0U, 3U, 5U})
    host.paths.OnConnectFailed(MonitoredHost::Server(server), host.now);
  host.Run(milliseconds(200));
  cr_assert(host.HasLost(PathGroup::All()));
  cr_expect(host.changes.front().refused == 3U);
  cr_expect(host.paths.ReachOf(MonitoredHost::Server(1)) ==
                ServerReach::kOpenConnections,
            "requests on open connections are answered");
}

Test(path_monitor, a_connect_that_succeeds_outweighs_those_that_failed) {
  MonitoredHost host;
  for (const std::size_t server : {0U, 3U, 5U})
    host.paths.OnConnectFailed(MonitoredHost::Server(server), host.now);
  host.now += milliseconds(20);
  host.paths.OnConnected(MonitoredHost::Server(1), host.now);
  host.Run(seconds(2));
  cr_expect(host.changes.empty(), "some servers are down");
}

Test(path_monitor, a_failure_domain_that_is_cut_off_is_lost_alone) {
  MonitoredHost host;
  for (const std::size_t server : {2U, 3U}) {
    host.is_reached[server] = false;
    host.paths.OnConnectFailed(MonitoredHost::Server(server), host.now);
  }
  host.Run(milliseconds(200));
  cr_assert(host.HasLost(PathGroup::Of(FailureDomainId(1))));
  cr_expect(!host.HasLost(PathGroup::All()));
  cr_expect(host.paths.LostGroupOf(MonitoredHost::Server(2)) ==
            PathGroup::Of(FailureDomainId(1)));
  cr_expect(!host.paths.LostGroupOf(MonitoredHost::Server(0)));
}

Test(path_monitor, requests_return_to_a_path_by_and_by) {
  MonitoredHost host;
  host.SetReached(false);
  host.Run(seconds(2));
  cr_assert(host.HasLost(PathGroup::All()));
  host.SetReached(true);
  host.answers_probes = true;
  host.Wait(milliseconds(500));
  cr_assert(host.changes.back().kind == PathChange::Kind::kRegained);
  int direct_early = 0;
  int direct_late = 0;
  for (int i = 0; i < 20; ++i) {
    direct_early +=
        host.paths.HoldBack(MonitoredHost::Server(0), host.now) ? 0 : 1;
    direct_late +=
        host.paths.HoldBack(MonitoredHost::Server(0), host.now + seconds(2))
            ? 0
            : 1;
  }
  cr_expect(direct_early >= 1 && direct_early <= 6, "%d", direct_early);
  cr_expect(direct_late >= 18, "%d", direct_late);
  host.Run(seconds(3));
  cr_expect(host.changes.back().kind == PathChange::Kind::kOpen);
  cr_expect(!host.paths.is_disturbed());
}

Test(path_monitor, one_server_that_answers_probes_is_no_path) {
  MonitoredHost host;
  host.SetReached(false);
  host.Run(seconds(2));
  host.paths.OnProbeAnswered(MonitoredHost::Server(4));
  host.Wait(seconds(1));
  cr_expect(host.changes.back().kind == PathChange::Kind::kLost);
}

Test(path_monitor, servers_that_are_gone_leave_no_state) {
  MonitoredHost host;
  host.SetReached(false);
  host.Run(seconds(2));
  cr_assert(host.paths.is_disturbed());
  for (std::size_t i = 0; i < MonitoredHost::kServers; ++i)
    host.paths.OnGone(MonitoredHost::Server(i));
  cr_expect(!host.paths.is_disturbed());
  cr_expect(host.paths.Update(host.now).empty());
}

Test(path_monitor, a_single_server_is_not_probed) {
  PathMonitor paths;
  const BackendServerId server(1);
  paths.OnListed(server, ServiceId(1), FailureDomainId(1));
  paths.OnSent(server, kStart);
  for (TimePoint now = kStart; now < kStart + seconds(5); now += kTick) {
    cr_expect(paths.Update(now).empty());
    cr_expect(
        paths.TakeProbes([](BackendServerId) { return true; }, now).empty());
  }
}

Test(path_monitor, connections_that_are_accepted_and_closed_are_a_lost_path) {
  MonitoredHost host;
  for (std::size_t i = 0; i < 30; ++i) {
    const BackendServerId server =
        MonitoredHost::Server(i % MonitoredHost::kServers);
    host.paths.OnConnected(server, host.now);
    host.paths.OnSent(server, host.now);
    host.paths.OnConnectionLost(server, host.now);
    host.Wait(milliseconds(20));
  }
  cr_expect(host.HasLost(PathGroup::All()));
}

Test(path_monitor, an_answer_outweighs_connections_that_were_closed) {
  MonitoredHost host;
  for (std::size_t i = 0; i < 30; ++i) {
    const BackendServerId server =
        MonitoredHost::Server(i % MonitoredHost::kServers);
    host.paths.OnSent(server, host.now);
    if (i % MonitoredHost::kServers == 0)
      host.paths.OnAnswered(server, host.now);
    else
      host.paths.OnConnectionLost(server, host.now);
    host.Wait(milliseconds(10));
  }
  cr_expect(!host.HasLost(PathGroup::All()));
}

Test(path_monitor, an_idle_host_looks_for_evidence_when_it_is_asked) {
  MonitoredHost host;
  host.Wait(seconds(5));
  const auto can_probe = [](BackendServerId) { return true; };
  cr_expect(host.paths.ReportsOn({PathGroup::All()}, host.now).empty());
  cr_expect(host.paths.TakeProbes(can_probe, host.now).empty());
  host.paths.OnAsked({PathGroup::All()}, host.now);
  const auto probes = host.paths.TakeProbes(can_probe, host.now);
  cr_assert(!probes.empty());
  host.paths.OnSent(probes.front(), host.now);
  host.paths.OnAnswered(probes.front(), host.now);
  cr_expect(host.paths.ReportsOn({PathGroup::All()}, host.now).size() == 1);
  host.Wait(milliseconds(300));
  host.paths.OnAsked({PathGroup::All()}, host.now);
  cr_expect(host.paths.TakeProbes(can_probe, host.now).empty(),
            "it has a recent answer");
}

Test(path_monitor, busy_servers_of_a_small_domain_are_no_lost_path) {
  MonitoredHost host;
  constexpr ServerLoad kBusy{.is_busy = true, .wait = milliseconds(800)};
  for (const std::size_t server : {2U, 3U}) {
    host.is_reached[server] = false;
    host.load[server] = kBusy;
  }
  host.Run(seconds(2));
  cr_expect(host.changes.empty(), "another host has answers of other requests");
  cr_expect(!host.paths.IsHopeless(MonitoredHost::Server(2), host.first_sent[2],
                                   host.now));
}

Test(path_monitor, a_request_is_not_given_up_while_it_may_run) {
  MonitoredHost host;
  host.work = seconds(1);
  host.SetReached(false);
  host.has_connects = false;
  host.Run(milliseconds(1500));
  cr_assert(host.HasLost(PathGroup::All()));
  const BackendServerId server = MonitoredHost::Server(2);
  cr_expect(host.paths.ReachOf(server) == ServerReach::kNone);
  const TimePoint sent_at = host.first_sent[2];
  cr_expect(!host.paths.IsHopeless(server, sent_at, host.now));
  cr_expect(host.paths.IsHopeless(server, sent_at, sent_at + seconds(2)));
}

Test(path_monitor, a_busy_server_that_accepts_connections_is_rarely_probed) {
  PathMonitor paths;
  const BackendServerId busy(1);
  const BackendServerId idle(2);
  const auto can_probe = [](BackendServerId) { return true; };
  for (const BackendServerId server : {busy, idle}) {
    paths.OnListed(server, ServiceId(1), FailureDomainId(1));
    paths.OnSent(server, kStart, {.load = {.is_busy = server == busy}});
  }
  static_cast<void>(paths.Update(kStart));
  TimePoint now = kStart;
  std::size_t probes = 0;
  for (; now < kStart + seconds(2); now += kTick) {
    static_cast<void>(paths.Update(now));
    for (const BackendServerId server : paths.TakeProbes(can_probe, now)) {
      probes += server == busy ? 1 : 0;
      paths.OnConnected(server, now);
    }
  }
  cr_expect(probes >= 1U && probes <= 2U, "%zu", probes);
}

Test(path_monitor, late_answers_end_a_loss_that_was_only_silence) {
  MonitoredHost host;
  host.SetReached(false);
  host.Run(seconds(1));
  cr_assert(host.HasLost(PathGroup::All()));
  host.paths.OnAnswered(MonitoredHost::Server(1), host.now);
  host.Wait(milliseconds(100));
  cr_expect(host.changes.back().kind == PathChange::Kind::kLost);
  host.paths.OnAnswered(MonitoredHost::Server(4), host.now);
  host.Wait(milliseconds(100));
  cr_expect(host.changes.back().kind == PathChange::Kind::kRegained);
}
