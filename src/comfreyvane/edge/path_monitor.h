/// @file
/// Detection of lost paths between a host and backend servers.
#ifndef COMFREYVANE_EDGE_PATH_MONITOR_H_
#define COMFREYVANE_EDGE_PATH_MONITOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/expected_answer.h"
#include "comfreyvane/edge/path_change.h"
#include "comfreyvane/edge/path_group.h"
#include "comfreyvane/edge/path_report.h"
#include "comfreyvane/edge/server_reach.h"
#include "comfreyvane/edge/server_silence.h"

namespace comfreyvane {

/// Distinguishes a host that has lost its path to backend servers from servers
/// that have failed. The evidence is added up over groups of servers:
///
/// - connects to several servers failed, and none succeeded since, or their
///   connections were closed without an answer, and no server has answered
///   since, or
/// - requests and probes at several servers are overdue, and no other server of
///   the group answers, while another host has answers of the group; or, for
///   all servers together, for a longer time. Servers that may only be busy are
///   no evidence (see ServerSilence).
///
/// Servers of several failure domains are needed if the group has them. One
/// server's failure is no evidence, and a host without traffic has none.
///
/// Answers of two servers to probes show that a path is back, or to requests if
/// connects have not failed. Then a growing part of requests takes the path.
class PathMonitor {
 public:
  /// Adds a server. One that is listed again with another service or failure
  /// domain, or has restarted, must be removed first.
  void OnListed(BackendServerId server,
                ServiceId service,
                FailureDomainId domain);
  void OnGone(BackendServerId server);

  /// Records that a request or a probe has been sent to a server.
  void OnSent(BackendServerId server,
              TimePoint now,
              const ExpectedAnswer& expected = {});
  /// Records an answer.
  /// @param sent_at when the request was sent; nothing: it is the oldest.
  void OnAnswered(BackendServerId server,
                  TimePoint now,
                  std::optional<TimePoint> sent_at = std::nullopt);
  /// Records that no answer will come.
  /// @param sent_at when the request was sent; nothing: it is the oldest.
  void OnUnanswered(BackendServerId server,
                    std::optional<TimePoint> sent_at = std::nullopt);
  /// Records that a server closed the connection of a request, instead of
  /// OnUnanswered.
  /// @param sent_at when the request was sent; nothing: it is the oldest.
  void OnConnectionLost(BackendServerId server,
                        TimePoint now,
                        std::optional<TimePoint> sent_at = std::nullopt);
  void OnConnected(BackendServerId server, TimePoint now);
  void OnConnectFailed(BackendServerId server, TimePoint now);
  /// Records the answer to a probe, which uses a connection of its own, in
  /// addition to OnAnswered.
  void OnProbeAnswered(BackendServerId server);

  /// Sets what is known now of the load of a server with requests.
  void SetLoad(BackendServerId server, const ServerLoad& load);
  /// @return the servers with requests or probes without an answer.
  [[nodiscard]] const std::set<BackendServerId>& running() const {
    return running_;
  }
  /// Decides whether a request must be given up: its server is not reached, and
  /// would have answered by now if it were at work.
  /// @param sent_at when the request was sent.
  [[nodiscard]] bool IsHopeless(BackendServerId server,
                                TimePoint sent_at,
                                TimePoint now) const;

  /// Records that another host has asked what this one reaches. Servers of the
  /// groups without a recent answer are probed.
  void OnAsked(const std::vector<PathGroup>& groups, TimePoint now);

  /// Records what another host reaches.
  void OnPeerReport(HostId peer,
                    const std::vector<PathReport>& reports,
                    TimePoint now);

  /// Judges the evidence. Must be called periodically.
  /// @return the paths that were lost or regained.
  [[nodiscard]] std::vector<PathChange> Update(TimePoint now);

  /// Selects servers to probe.
  /// @param can_probe whether a probe may be sent to a server. If it says so,
  ///     the probe must be sent.
  template <typename CanProbe>
  [[nodiscard]] std::vector<BackendServerId> TakeProbes(CanProbe can_probe,
                                                        TimePoint now);

  [[nodiscard]] ServerReach ReachOf(BackendServerId server) const;
  /// @return the group whose loss makes a server unreachable; nothing if it can
  ///     be reached.
  [[nodiscard]] std::optional<PathGroup> LostGroupOf(
      BackendServerId server) const;
  /// @return whether a path is lost, or was regained a short time ago.
  [[nodiscard]] bool is_disturbed() const { return disturbed_ > 0; }
  /// Decides whether a request to a server takes a path that was regained a
  /// short time ago.
  /// @return the group that another host should rather reach for the request;
  ///     nothing if it takes the path.
  [[nodiscard]] std::optional<PathGroup> HoldBack(BackendServerId server,
                                                  TimePoint now);

  /// @return the groups that this host needs other hosts' evidence on.
  [[nodiscard]] std::vector<PathGroup> AskedGroups(TimePoint now) const;
  /// @return this host's evidence that it reaches groups; lacks those that it
  ///     does not reach.
  [[nodiscard]] std::vector<PathReport> ReportsOn(
      const std::vector<PathGroup>& groups,
      TimePoint now) const;

 private:
  /// Probes that are sent at once.
  static constexpr std::size_t kMaxProbes = 3;

  enum class State : std::uint8_t { kOpen, kLost, kRegained };

  struct Server {
    std::array<PathGroup, 3> groups;
    FailureDomainId domain;
    ServerSilence silence{};
    TimePoint connected_at{};  ///< Last connect that succeeded; zero: never.
    TimePoint connect_failed_at{};   ///< Zero: not since the last success.
    TimePoint connection_lost_at{};  ///< Zero: never.
  };

  struct Witness {
    HostId host;
    TimePoint answered_at{};
  };

  struct Group {
    std::set<BackendServerId> members;
    std::map<FailureDomainId, std::size_t> domains;  ///< Members by domain.
    State state = State::kOpen;
    TimePoint changed_at{};
    TimePoint last_answer{};
    TimePoint last_connect{};
    double mean_gap_ns = 0.0;  ///< Moving average of the time between answers.
    std::size_t running = 0;   ///< Requests without an answer yet.
    TimePoint busy_since{};    ///< When the first of these was sent.
    TimePoint suspected_at{};  ///< Start of a silence; zero: none.
    TimePoint refused_at{};    ///< Several servers refuse; zero: they do not.
    /// While lost: connections that are open still bring answers.
    bool has_open_connections = false;
    /// While lost: connects did not fail, so that any answer shows a path.
    bool is_only_silent = false;
    std::set<BackendServerId> probed;  ///< Servers that answered probes.
    TimePoint asked_at{};              ///< By another host; zero: never.
    std::optional<Witness> witness;
    double direct_credit = 0.0;
  };

  /// Evidence about a group, from the servers that show any.
  struct Evidence {
    std::size_t silent = 0;  ///< Servers that do not answer.
    std::size_t busy = 0;    ///< Those of them that may be at work.
    /// Against the path: servers with overdue requests, and those that refuse.
    std::set<BackendServerId> servers;
    std::set<BackendServerId> refusing;
    std::size_t failing = 0;  ///< That refused or closed a connection.
  };

  [[nodiscard]] Evidence EvidenceOn(const PathGroup& id,
                                    const Group& group,
                                    TimePoint now) const;
  /// @return whether servers are several, and of several failure domains if the
  ///     group has them.
  [[nodiscard]] bool AreSeveral(const std::set<BackendServerId>& servers,
                                const Group& group) const;
  [[nodiscard]] Duration SilenceOf(const Group& group, TimePoint now) const;
  [[nodiscard]] bool IsSilent(const PathGroup& id,
                              const Group& group,
                              TimePoint now) const;
  [[nodiscard]] bool NeedsProbes(const PathGroup& id,
                                 const Group& group,
                                 TimePoint now) const;
  /// @return whether the connections that a server has closed without an answer
  ///     are evidence.
  [[nodiscard]] bool ClosesUnanswered(const Server& record,
                                      const Group& group,
                                      TimePoint now) const;
  /// @return whether a probe of a server would tell anything. One of a busy
  ///     server waits for a slot; only its connect is of use.
  [[nodiscard]] bool IsWorthProbing(const Group& group,
                                    BackendServerId server,
                                    TimePoint now) const;
  [[nodiscard]] std::optional<PathChange> Judge(const PathGroup& id,
                                                Group& group,
                                                TimePoint now);
  /// Records since when a group is silent or refuses connects.
  void NoteDoubts(const Evidence& evidence, Group& group, TimePoint now) const;
  /// @return whether new connections to the servers of a group fail.
  [[nodiscard]] static bool FailsConnects(const Group& group, TimePoint now);
  /// @return whether another host has had answers since this one had any.
  [[nodiscard]] static bool HasWitness(const Group& group, TimePoint now);
  /// @return whether no answers of a group are to be expected any more.
  [[nodiscard]] bool IsAbandoned(const PathGroup& id,
                                 const Evidence& evidence,
                                 const Group& group,
                                 TimePoint now) const;
  /// @return the members of a group in an order that changes with each call.
  [[nodiscard]] std::vector<BackendServerId> ProbeOrder(const Group& group);
  void SetState(Group& group, State state, TimePoint now);
  /// Opens all groups but that of all servers, whose state goes before theirs.
  void ResetParts(TimePoint now);
  /// @return whether the group of all servers is lost, so that a smaller group
  ///     is not judged.
  [[nodiscard]] bool IsIncluded(const PathGroup& id) const;
  [[nodiscard]] bool AllLost() const;
  void ForgetFailures(TimePoint now);
  /// @return whether an event has happened, within a time before now.
  [[nodiscard]] static bool IsWithin(TimePoint event,
                                     Duration memory,
                                     TimePoint now) {
    return event != TimePoint{} && now - event < memory;
  }

  std::unordered_map<BackendServerId, Server> servers_;
  std::map<PathGroup, Group> groups_;
  std::set<BackendServerId> running_;  ///< With requests without an answer.
  /// Servers that refused or closed a connection a short time ago.
  std::set<BackendServerId> failing_;
  std::size_t disturbed_ = 0;  ///< Groups that are not open.
  TimePoint updated_at_{};
  TimePoint resumed_at_{};  ///< End of the last pause of this host.
  TimePoint next_probes_{};
  std::size_t probe_round_ = 0;
};

template <typename CanProbe>
std::vector<BackendServerId> PathMonitor::TakeProbes(CanProbe can_probe,
                                                     TimePoint now) {
  constexpr Duration kProbeInterval = std::chrono::milliseconds(250);
  std::vector<BackendServerId> probes;
  if (now < next_probes_)
    return probes;
  std::set<FailureDomainId> domains;
  for (const auto& [id, group] : groups_) {
    if (!NeedsProbes(id, group, now))
      continue;
    for (const BackendServerId server : ProbeOrder(group)) {
      const FailureDomainId domain = servers_.at(server).domain;
      const bool is_new_domain =
          group.domains.size() == 1 || !domains.contains(domain);
      if (probes.size() >= kMaxProbes)
        break;
      if (is_new_domain && IsWorthProbing(group, server, now) &&
          can_probe(server)) {
        domains.insert(domain);
        probes.push_back(server);
      }
    }
  }
  if (!probes.empty())
    next_probes_ = now + kProbeInterval;
  return probes;
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_PATH_MONITOR_H_
