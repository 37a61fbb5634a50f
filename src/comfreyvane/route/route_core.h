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
/// A server has free_slots while the requests of this host and those assumed
/// for the other hosts stay below its slots. The others' use is what peers
/// tell, and as much by weight what the server reports, unless its reports fall
/// below this host's own count again and again; a report never stands for all
/// slots. A host may always use one slot of each server of its failure domain:
/// there the server's own refusal as not run is the last resort. The nearest
/// servers with free_slots are taken first. Failures weigh by this host's own
/// evidence isolated.
class RouteCore {
 public:
  /// @param service the service routed for.
  /// @param seed of the random numbers that spread equal choices.
  RouteCore(ServiceId service, RouteLimits limits, std::uint64_t seed);

  /// Replaces the list of servers. Servers of the first list are taken as warm;
  /// later ones, and ones that moved, start slowly. A server that is not in
  /// the list, or is leaving, gets no new work from now on.
  void OnServers(const std::vector<RouteServer>& servers, TimePoint now);

  /// Sets the weights among sites at the same distance. Sites that are not
  /// named get no new work. An empty list allows all sites alike.
  void OnSiteWeights(const std::vector<SiteWeight>& weights, TimePoint now);

  /// Bounds the requests of this host that run in another region at a time.
  void OnLinkQuota(RegionId region, std::uint32_t in_use, TimePoint now);

  /// Decides where a request runs. Does not count it: call TryStart.
  /// @return the server, or a Refusal kNoBackendServer as not run with the
  ///     time after which a slot is expected, or kDeadlinePassed.
  [[nodiscard]] boost::leaf::result<RouteChoice> Choose(
      const RouteRequest& request,
      TimePoint now);

  /// Counts a request that is about to be sent.
  /// @param isolated whether it was chosen with RouteRequest::isolated.
  /// @return false if the server has gone or is leaving since the choice: the
  ///     request must not be sent; it is not counted.
  [[nodiscard]] bool TryStart(BackendServerId server,
                              bool isolated,
                              TimePoint now);

  /// Ends a request that TryStart has counted.
  /// @param latency from dispatch to the end of the answer.
  void Finish(BackendServerId server,
              RequestOutcome outcome,
              Duration latency,
              TimePoint now);

  /// Takes in a report of a server.
  /// @param reported_at when this host asked for it.
  void OnLoadReport(BackendServerId server,
                    const LoadReport& report,
                    TimePoint reported_at,
                    TimePoint now);

  /// Takes in the end of a health probe.
  void OnProbe(BackendServerId server, ProbeOutcome outcome, TimePoint now);

  /// Takes in what a peer has running. Late or repeated messages are ignored.
  void OnPeerUse(const PeerUse& use, TimePoint now);

  /// Forgets a peer that is gone.
  void OnPeerRemoved(HostId host, TimePoint now);

  /// @return free slots at servers that a request may be sent to now.
  [[nodiscard]] std::uint32_t FreeSlots() const;

  /// @return requests of this host that run at all servers.
  [[nodiscard]] std::uint32_t InUse() const;

  /// @return own use, for PeerUse messages; only servers in use.
  [[nodiscard]] std::vector<ServerUse> Use() const;

  /// @return state of each server, in the order of the list.
  [[nodiscard]] std::vector<ServerState> States(TimePoint now) const;

  /// @return choices made so far by reason.
  [[nodiscard]] std::uint64_t Choices(ChoiceReason reason) const;

  /// @return ejections so far by reason.
  [[nodiscard]] std::uint64_t Ejections(EjectionReason reason) const;

 private:
  struct Pick;
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
  [[nodiscard]] bool Allowed(const ServerRecord& record) const;
  [[nodiscard]] bool Usable(const ServerRecord& record,
                            const RouteRequest& request,
                            TimePoint now) const;
  [[nodiscard]] std::uint32_t Rank(const ServerRecord& record,
                                   const RouteRequest& request) const;
  void Consider(std::uint32_t index, const RouteRequest& request, Pick& pick);
  [[nodiscard]] RouteChoice Take(const Pick& pick, const RouteRequest& request);
  [[nodiscard]] Duration RetryAfter(TimePoint now) const;
  [[nodiscard]] std::uint32_t SiteIndex(const RouteServer& server);
  [[nodiscard]] std::uint32_t LinkIndex(RegionId region);
  void IndexRecords();
  void UpdateSiteWeights();
  void SampleSites(RequestId affinity);
  void Refresh(TimePoint now);
  void RefreshPeers(TimePoint now);
  void ReserveForIsolated(TimePoint now);
  void Judge(ServerRecord& record, TimePoint now);
  [[nodiscard]] bool MayEject() const;

  ServiceId service_;
  RouteLimits limits_;
  RandomSource random_;
  bool listed_ = false;
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
  std::uint64_t salt_ = 0;
  std::array<std::uint64_t, kChoiceReasonCount> choices_{};
  std::array<std::uint64_t, kEjectionReasonCount> ejections_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_ROUTE_CORE_H_
