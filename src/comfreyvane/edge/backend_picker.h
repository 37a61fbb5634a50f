/// @file
/// Selection of the backend server for each request.
#ifndef COMFREYVANE_EDGE_BACKEND_PICKER_H_
#define COMFREYVANE_EDGE_BACKEND_PICKER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "comfreyvane/edge/backend_choice.h"
#include "comfreyvane/edge/backend_entry.h"
#include "comfreyvane/edge/backend_state.h"
#include "comfreyvane/edge/backend_use.h"
#include "comfreyvane/edge/expected_answer.h"
#include "comfreyvane/edge/latency_model.h"
#include "comfreyvane/edge/leaving_report.h"
#include "comfreyvane/edge/leaving_servers.h"
#include "comfreyvane/edge/limit_change.h"
#include "comfreyvane/edge/limit_report.h"
#include "comfreyvane/edge/limited_room.h"
#include "comfreyvane/edge/named_limit.h"
#include "comfreyvane/edge/object_homes.h"
#include "comfreyvane/edge/overflow_limiter.h"
#include "comfreyvane/edge/path_monitor.h"
#include "comfreyvane/edge/pick_request.h"
#include "comfreyvane/edge/server_load.h"
#include "comfreyvane/edge/server_reach.h"
#include "comfreyvane/edge/server_slot.h"
#include "comfreyvane/edge/warmth_model.h"

namespace comfreyvane {

/// Selects the backend server for each request of one host: of the servers with
/// free capacity, the one with the lowest cost. The cost is the expected time
/// to the answer, which depends on whether the server holds the request's
/// object warm, on its speed and its load, plus the cost of the network path.
/// Requests for an object run only at its homes (see ObjectHomes), which keeps
/// each object warm at few servers.
class BackendPicker {
 public:
  /// Location of this host.
  struct Location {
    FailureDomainId failure_domain;
    RegionId region;
  };

  /// @param regions region of each failure domain.
  /// @param max_shift largest change of the fraction of requests that run in
  ///     other regions, between two consecutive windows of two seconds.
  BackendPicker(Location self,
                std::unordered_map<FailureDomainId, RegionId> regions,
                double max_shift);

  /// Adds a backend server or updates its entry.
  void Upsert(const BackendEntry& entry, TimePoint now);
  /// Stops the use of a server that the registry no longer lists.
  void Remove(BackendServerId server, TimePoint now);
  /// Deletes servers that have been removed and run no request of this host.
  void Prune(TimePoint now);

  /// Replaces the set of evacuated failure domains, whose servers get no
  /// requests. The servers of a domain that is no longer evacuated start cold.
  void SetEvacuated(const std::unordered_set<FailureDomainId>& domains,
                    const std::unordered_map<ServiceId, Duration>& cold_times,
                    TimePoint now);

  /// Sets what a cold or new server may get from this host.
  /// @param is_initial_sender whether this host is one of the few that send the
  ///     first requests to a new server.
  /// @param cold_rate requests/s that this host may send while the server is
  ///     cold.
  void SetRampUp(BackendServerId server,
                 bool is_initial_sender,
                 double cold_rate);

  /// Sets how many connections this host may have to each server of a service.
  /// A service that is not listed has no limit.
  void SetMaxConnections(
      std::unordered_map<ServiceId, std::uint32_t> max_connections);

  /// Sets how this host reaches each server. One that is reached again starts
  /// without a record of failures.
  void ApplyReach(const PathMonitor& paths, TimePoint now);
  [[nodiscard]] ServerReach ReachOf(BackendServerId server) const;
  /// @return whether the failure domain of a server is evacuated.
  [[nodiscard]] bool IsEvacuated(BackendServerId server) const;
  /// Takes what a probe of a server needs. Probes count like requests: under a
  /// named limit and at a cold server each takes a token, and of a server that
  /// wants no requests there are few. No state of a server rules them out for
  /// good, since only their answers show that a lost path is back.
  /// @return false if the probe must not be sent.
  [[nodiscard]] bool TryProbe(BackendServerId server, TimePoint now);
  /// @return what is known of the load of a server.
  [[nodiscard]] ServerLoad LoadOf(BackendServerId server, TimePoint now) const;
  /// @return what is expected of the answer to a request that is sent to a
  ///     server now, whether its object is warm there or not.
  [[nodiscard]] ExpectedAnswer ExpectedAnswerOf(BackendServerId server,
                                                const PickRequest& request,
                                                TimePoint now) const;
  /// @param has_open_connection whether an idle connection to a server is open.
  void SetOpenConnections(
      std::function<bool(BackendServerId)> has_open_connection) {
    has_open_connection_ = std::move(has_open_connection);
  }
  /// @return a server that this host does not reach and that should run the
  ///     request: its object's home or, without an object, any if no server
  ///     nearby can be reached. Nothing if the request can go its way.
  [[nodiscard]] std::optional<BackendServerId> UnreachableFor(
      const PickRequest& request,
      TimePoint now) const;
  /// @return any server that may run the request and is not reached.
  [[nodiscard]] std::optional<BackendServerId> AnyUnreachableFor(
      const PickRequest& request) const;
  /// @return whether this host reaches a server that may run the request.
  [[nodiscard]] bool CanReach(const PickRequest& request) const;

  /// Selects the server for a request. The request is not counted until
  /// OnStarted is called.
  /// @return nothing if no server has free capacity.
  [[nodiscard]] std::optional<BackendChoice> Pick(const PickRequest& request,
                                                  TimePoint now) const;

  /// @return whether a request may still be sent to a server by an entry that
  ///     was read when the server was chosen.
  [[nodiscard]] bool MaySend(const BackendEntry& entry,
                             const PickRequest& request) const;

  /// Counts a request that is about to be sent.
  /// @return false if the server has been removed, drained or evacuated since
  ///     the choice, or is cold and its rate is used up. The request is not
  ///     counted then and must not be sent.
  [[nodiscard]] bool OnStarted(const BackendChoice& choice, TimePoint now);

  /// Records the end of a request that OnStarted has counted.
  /// @param answer_bytes size of the answer's body, if there was an answer.
  void OnFinished(const BackendChoice& choice,
                  const PickRequest& request,
                  RequestOutcome outcome,
                  Duration latency,
                  std::size_t answer_bytes,
                  TimePoint now);

  /// Records the request limit that an answer of a server names.
  /// @param sent_at when the answered request was sent.
  /// @return how the known limit of the server has changed.
  [[nodiscard]] LimitChange OnNamedLimit(BackendServerId server,
                                         const NamedLimit& named,
                                         TimePoint sent_at,
                                         TimePoint now);

  /// Records what another host tells about the request limit of a server.
  /// Reports on another incarnation of the server are ignored.
  [[nodiscard]] LimitChange OnLimitReport(const LimitReport& report,
                                          TimePoint now);
  /// Sets this host's place among the hosts that share a server's limit.
  void SetLimitRank(BackendServerId server,
                    const LimitRank& rank,
                    TimePoint now);

  /// Records that a server has said in an answer that it leaves.
  /// @return whether that was not known.
  bool OnLeaving(const LeavingReport& report, TimePoint now);
  /// @return servers that leave, to report to the other hosts.
  [[nodiscard]] std::vector<LeavingReport> LeavingReports(TimePoint now) const {
    return leaving_.Reports(now);
  }

  /// Records for how long a server wants no requests from this host.
  void OnWait(BackendServerId server, Duration wait, TimePoint now);
  /// @return the time until the first of the servers that may run a request
  ///     wants requests again; zero if one does now, or none may run it.
  [[nodiscard]] Duration TimeUntilWanted(const PickRequest& request,
                                         TimePoint now) const;

  void OnLoad(BackendServerId server, const LoadReport& report, TimePoint now);
  /// @param use running requests of all other hosts, summed by server.
  void OnPeerUse(const std::vector<BackendUse>& use, TimePoint now);

  [[nodiscard]] const BackendState* Find(BackendServerId server) const;
  /// @return the expected time at a warm server of average speed.
  [[nodiscard]] Duration ExpectedWarm(const PickRequest& request) const;
  /// @return running requests of this host by server, without idle servers.
  [[nodiscard]] std::vector<BackendUse> LocalUse() const;
  /// @return running requests of this host at the servers of one region.
  [[nodiscard]] std::vector<BackendUse> LocalUseIn(RegionId region) const;
  /// @return servers that are cold, or that have joined and got no request of
  ///     this host yet. Only some hosts may send to them; see
  ///     SetRampUp.
  [[nodiscard]] std::vector<BackendServerId> ServersInRampUp(
      TimePoint now) const;
  /// @return the limit that a server names, requests/s; nothing if it has none.
  [[nodiscard]] std::optional<double> LimitOf(BackendServerId server) const;
  /// @return servers that name a limit.
  [[nodiscard]] std::vector<BackendServerId> LimitedServers() const;
  /// @return limits that this host has to report to all others.
  [[nodiscard]] std::vector<LimitReport> LimitReports(TimePoint now) const;
  /// @return limits that an answer to this host has just changed.
  [[nodiscard]] std::vector<LimitReport> LimitNews(TimePoint now) const;
  /// @return the room that limits leave for a request; nothing if a server that
  ///     may run it has no limit, or none may run it.
  [[nodiscard]] std::optional<LimitedRoom> RoomUnderLimits(
      const PickRequest& request,
      TimePoint now) const;
  /// @return whether a service has a server that is neither draining nor
  ///     removed.
  [[nodiscard]] bool HasServers(ServiceId service) const;
  [[nodiscard]] std::size_t size() const { return states_.size(); }

 private:
  /// A server that can run the request.
  struct Candidate {
    const ServerSlot* slot = nullptr;
    double cost = 0.0;  ///< Milliseconds.
    bool warm = false;  ///< The server is assumed to hold the object warm.
    bool must_wait = false;
    Duration expected{};  ///< Time until the answer, without network delay.
  };

  /// Time for which a failure of servers in the region suspends the limit on
  /// overflow.
  static constexpr Duration kOverflowSuspension = std::chrono::seconds(4);

  [[nodiscard]] static LimitReport ReportOf(const ServerSlot& slot,
                                            TimePoint now);
  void ApplyMaxConnections(ServerSlot& slot) const;
  [[nodiscard]] Distance DistanceOf(FailureDomainId domain) const;
  /// @return the region whose servers come first for a request.
  [[nodiscard]] RegionId RegionOf(const PickRequest& request) const;
  /// @return the distance of a server from the caller's host.
  [[nodiscard]] Distance DistanceFor(const ServerSlot& slot,
                                     const PickRequest& request) const;
  [[nodiscard]] bool IsReachable(const ServerSlot& slot) const;
  [[nodiscard]] bool IsUsable(const ServerSlot& slot,
                              const PickRequest& request,
                              TimePoint now) const;
  [[nodiscard]] Candidate Evaluate(const ServerSlot& slot,
                                   const ObjectHomes& homes,
                                   const PickRequest& request,
                                   TimePoint now) const;

  Location self_;
  std::unordered_map<FailureDomainId, RegionId> regions_;
  std::unordered_map<BackendServerId, std::unique_ptr<ServerSlot>> states_;
  std::unordered_map<ServiceId, std::vector<ServerSlot*>> by_service_;
  std::unordered_set<FailureDomainId> evacuated_;
  std::unordered_map<ServiceId, std::uint32_t> max_connections_;
  LatencyModel latencies_;
  WarmthModel warmth_;
  LeavingServers leaving_;
  bool has_sent_ = false;
  /// Average size of answers by kind of request, kilobytes.
  std::unordered_map<std::uint64_t, double> answer_kb_;
  OverflowLimiter overflow_limiter_;
  std::size_t unreachable_ = 0;  ///< Servers that are not reached directly.
  std::function<bool(BackendServerId)> has_open_connection_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_BACKEND_PICKER_H_
