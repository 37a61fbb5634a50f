/// @file
/// Chooses backend servers for one service.
#ifndef COMFREYVANE_ROUTE_ROUTE_CORE_H_
#define COMFREYVANE_ROUTE_ROUTE_CORE_H_

#include <array>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/base/random_source.h"
#include "comfreyvane/base/refusal.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/route/load_report.h"
#include "comfreyvane/route/peer_use.h"
#include "comfreyvane/route/probe_outcome.h"
#include "comfreyvane/route/request_outcome.h"
#include "comfreyvane/route/route_choice.h"
#include "comfreyvane/route/route_limits.h"
#include "comfreyvane/route/route_request.h"
#include "comfreyvane/route/route_server.h"
#include "comfreyvane/route/server_record.h"
#include "comfreyvane/route/server_state.h"
#include "comfreyvane/route/site_weight.h"

namespace comfreyvane {

/// Chooses the backend server of each request of one service at one host.
///
/// A server has a free slot while the requests of this host and the estimate
/// for the other hosts are together below its slots. The estimate is the use
/// that peers report, averaged with the load that the server itself reports.
/// Without peers it is the load report alone. A load report never counts as all
/// slots, and is left out of the average while reports keep falling below this
/// host's own count. A host may always use one slot of each
/// server of its own failure domain; if the estimate is too low there, the
/// server refuses the request without executing it. The nearest servers with a
/// free slot are preferred. Ejections are based only on evidence of this host.
class RouteCore {
 public:
  /// @param seed of the random numbers that break ties and sample sites.
  RouteCore(ServiceId service, RouteLimits limits, std::uint64_t seed);

  /// Replaces the list of servers. The servers of the first list receive full
  /// load at once; servers that are added or move later get a slow start. A
  /// server that is draining or not in the list receives no new requests.
  void OnServers(const std::vector<RouteServer>& servers, TimePoint now);

  /// Sets the weights among sites at the same distance. Sites that are not in
  /// the list receive no new requests. An empty list gives all sites the same
  /// weight.
  void OnSiteWeights(const std::vector<SiteWeight>& weights, TimePoint now);

  /// Limits the concurrent requests of this host in another region.
  void OnLinkQuota(RegionId region, std::uint32_t in_use, TimePoint now);

  /// Chooses a server for a request. Does not occupy a slot: call TryStart.
  /// @return the server, or a Refusal with RunState::kNotRun: kDeadlinePassed,
  ///     or kNoBackendServer with the time after which a free slot is expected.
  [[nodiscard]] boost::leaf::result<RouteChoice> Choose(
      const RouteRequest& request,
      TimePoint now);

  /// Occupies a slot for a request that is about to be sent.
  /// @param isolated value of RouteRequest::isolated in the call of Choose.
  /// @return false, without a change, if the server is no longer available: the
  ///     request must not be sent.
  [[nodiscard]] bool TryStart(BackendServerId server,
                              bool isolated,
                              TimePoint now);

  /// Ends a request for which TryStart returned true.
  /// @param latency time from dispatch to the end of the response.
  void Finish(BackendServerId server,
              RequestOutcome outcome,
              Duration latency,
              TimePoint now);

  /// Processes a load report of a server.
  /// @param reported_at time at which this host requested the report.
  void OnLoadReport(BackendServerId server,
                    const LoadReport& report,
                    TimePoint reported_at,
                    TimePoint now);

  /// Processes the outcome of a health probe.
  void OnProbe(BackendServerId server, ProbeOutcome outcome, TimePoint now);

  /// Processes the use of a peer. Outdated and duplicate messages are ignored.
  void OnPeerUse(const PeerUse& use, TimePoint now);

  /// Removes the use of a peer that has left.
  void OnPeerRemoved(HostId host, TimePoint now);

  /// @return number of requests that can be sent now, over all servers.
  [[nodiscard]] std::uint32_t FreeSlots() const;

  /// @return running requests of this host, over all servers.
  [[nodiscard]] std::uint32_t InUse() const;

  /// @return running requests of this host by server, for PeerUse messages.
  ///     Servers without requests are omitted.
  [[nodiscard]] std::vector<ServerUse> Use() const;

  /// @return state of each server, in the order of the list. Removed servers
  ///     with running requests follow.
  [[nodiscard]] std::vector<ServerState> States(TimePoint now) const;

  /// @return total number of choices with this reason.
  [[nodiscard]] std::uint64_t Choices(ChoiceReason reason) const;

  /// @return total number of ejections with this reason.
  [[nodiscard]] std::uint64_t Ejections(EjectionReason reason) const;

 private:
  struct Candidates;
  struct Peer {
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    TimePoint received_at{};
    std::vector<ServerUse> servers;
  };
  struct Site {
    SiteId id;
    std::uint32_t weight = 1;
    Distance distance = Distance::kSameFailureDomain;
  };
  struct Link {
    RegionId region;
    std::uint32_t quota = 0;
    std::uint32_t in_use = 0;
  };

  [[nodiscard]] ServerRecord* Find(BackendServerId server);
  [[nodiscard]] bool IsAllowed(const ServerRecord& record) const;
  [[nodiscard]] bool IsUsable(const ServerRecord& record,
                              const RouteRequest& request,
                              TimePoint now) const;
  [[nodiscard]] std::uint32_t Rank(const ServerRecord& record,
                                   const RouteRequest& request) const;
  void UpdateCandidates(std::uint32_t index,
                        const RouteRequest& request,
                        Candidates& candidates);
  [[nodiscard]] RouteChoice RecordChoice(const Candidates& candidates,
                                         const RouteRequest& request);
  [[nodiscard]] Duration RetryAfter(TimePoint now) const;
  [[nodiscard]] std::uint32_t SiteIndex(const RouteServer& server);
  [[nodiscard]] std::uint32_t LinkIndex(RegionId region);
  void IndexRecords();
  void UpdateSiteWeights();
  void SampleSites(RequestId affinity);
  void Refresh(TimePoint now);
  void RefreshPeers(TimePoint now);
  void ReserveForIsolated(TimePoint now);
  void EjectIfFailing(ServerRecord& record, TimePoint now);
  [[nodiscard]] bool CanEject() const;

  ServiceId service_;
  RouteLimits limits_;
  RandomSource random_;
  bool has_server_list_ = false;
  std::vector<ServerRecord> records_;
  std::unordered_map<BackendServerId, std::size_t> index_;
  std::vector<Site> sites_;
  std::vector<SiteWeight> weights_;
  bool samples_sites_ = false;
  std::array<std::uint64_t, kDistanceCount> weight_of_distance_{};
  std::array<std::uint32_t, kDistanceCount> sampled_site_{};
  std::vector<Link> links_;
  std::unordered_map<HostId, Peer> peers_;
  Duration mean_latency_;
  TimePoint next_refresh_{};
  TimePoint next_peer_refresh_{};
  BackendServerId reserved_;
  TimePoint reserved_until_{};
  std::uint64_t jitter_seed_ = 0;
  std::array<std::uint64_t, kChoiceReasonCount> choices_{};
  std::array<std::uint64_t, kEjectionReasonCount> ejections_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_ROUTE_CORE_H_
