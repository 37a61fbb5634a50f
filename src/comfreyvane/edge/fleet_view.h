/// @file
/// View of one host on the fleet.
#ifndef COMFREYVANE_EDGE_FLEET_VIEW_H_
#define COMFREYVANE_EDGE_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/fleet_host.h"
#include "comfreyvane/edge/server_limit.h"

namespace comfreyvane {

/// Tracks the hosts that are listed in the store and their liveness by
/// heartbeats.
class FleetView {
 public:
  explicit FleetView(FleetHost self);

  [[nodiscard]] const FleetHost& self() const { return self_; }

  /// Replaces the list of hosts.
  void OnListed(const std::vector<FleetHost>& hosts, TimePoint now);

  /// Records a heartbeat of a host.
  /// @param leaving whether the host is about to stop.
  void OnHeartbeat(HostId host, bool leaving, TimePoint now);

  /// @return all listed hosts other than this one.
  [[nodiscard]] std::vector<FleetHost> Peers() const;

  /// @return the listed host, or nothing.
  [[nodiscard]] std::optional<FleetHost> Find(HostId host) const;

  /// @return whether a host is listed in the failure domain of this host.
  [[nodiscard]] bool IsInOwnDomain(HostId host) const;

  /// @return whether a host is in the region of this host. Hosts of one region
  ///     exchange more data, and more often.
  [[nodiscard]] bool IsInOwnRegion(const FleetHost& host) const {
    return host.region == self_.region;
  }

  /// @return the hosts that serve callers; this one is the first.
  /// @param self_leaving whether this host is about to stop.
  [[nodiscard]] std::vector<FleetHost> Serving(bool self_leaving,
                                               TimePoint now) const;

  /// @return addresses for callers of a failure domain: those of the domain's
  ///     hosts, of the region's hosts if the domain has fewer than two, or of
  ///     all hosts if the region has fewer than two.
  [[nodiscard]] std::vector<std::string> AddressesFor(
      const std::string& region,
      const std::string& failure_domain,
      bool self_leaving,
      TimePoint now) const;

  /// @return the host through which this one follows the store: of the serving
  ///     hosts of this failure domain, the one with the largest share of a
  ///     processor. Nothing if that is this host.
  [[nodiscard]] std::optional<FleetHost> FindRelay(TimePoint now) const;

  /// @return a host through which this one can follow the store when the store
  ///     does not answer it: the one that relayed last, or the relay of the
  ///     failure domain whose hosts have failed least recently.
  [[nodiscard]] std::optional<FleetHost> FindAnyRelay(TimePoint now) const;

  /// Records that a host has relayed the changes of the store.
  void OnRelayed(HostId host) { last_relay_ = host; }

  /// Records that a host does not relay the changes of the store. FindRelay
  /// skips it for some time.
  void OnRelayFailed(HostId host, TimePoint now);

  /// @return whether this host pools the limits of its failure domain.
  [[nodiscard]] bool IsLimitPool(TimePoint now) const;

  /// @return the host that pools the limits of this host's failure domain.
  [[nodiscard]] FleetHost LimitPool(TimePoint now) const;

  /// @return the hosts that pool the limits of the other failure domains.
  [[nodiscard]] std::vector<FleetHost> OtherLimitPools(TimePoint now) const;

  /// @return the sum of the shares of the other hosts of this failure domain.
  [[nodiscard]] double OtherSharesInDomain() const;

  /// @param max connections that a server accepts from all hosts together.
  /// @return this host's part of them, at least one.
  [[nodiscard]] std::uint32_t ConnectionShare(std::uint32_t max) const;

  /// @return this host's share of each limit, 0 to 1.
  [[nodiscard]] double Share(TimePoint now) const;

  /// @param domain failure domain of the server.
  /// @return this host's share of the requests that a cold server may get from
  ///     all hosts. A few hosts, on which all hosts agree, have equal shares;
  ///     hosts of the server's failure domain come first.
  [[nodiscard]] double ColdShare(BackendServerId server,
                                 FailureDomainId domain) const;

  /// @param domain failure domain of the server.
  /// @param self_leaving whether this host is about to stop.
  /// @return this host's place among the hosts that share the request limit of
  ///     a server. Hosts of the server's failure domain come first; a newly
  ///     listed host comes after all until the others have read the list.
  [[nodiscard]] LimitRank LimitRankFor(BackendServerId server,
                                       FailureDomainId domain,
                                       bool self_leaving,
                                       TimePoint now) const;

  /// @return the other hosts among those that report a server's request limit
  ///     to all.
  [[nodiscard]] std::vector<FleetHost> LimitReporters(
      BackendServerId server,
      FailureDomainId domain) const;

  [[nodiscard]] std::size_t size() const { return hosts_.size(); }

 private:
  /// Position of a host in the order in which hosts may use a server.
  using ServerRank = std::tuple<bool, std::uint64_t, HostId>;

  struct Member {
    FleetHost host{};
    FailureDomainId domain{};
    TimePoint first_seen{};  ///< Time when this host first read the entry.
    /// Upper bound of the time when the host was listed.
    TimePoint listed_at{};
    TimePoint last_heartbeat{};
    TimePoint relay_backoff_until{};
    bool leaving = false;
  };

  [[nodiscard]] bool IsServing(const Member& member, TimePoint now) const;

  /// @return whether this host has been listed for long enough that the others
  ///     have read the list as well.
  [[nodiscard]] static bool IsSettled(const Member& self, TimePoint now);

  /// @return the first hosts in the order for a server, without hosts that are
  ///     about to stop.
  /// @param count number of hosts at most.
  [[nodiscard]] std::vector<HostId> FirstForServer(BackendServerId server,
                                                   FailureDomainId domain,
                                                   std::size_t count) const;

  [[nodiscard]] static ServerRank RankFor(BackendServerId server,
                                          FailureDomainId domain,
                                          HostId id,
                                          const Member& member);

  /// @return the host of this failure domain, this one included, that ranks
  ///     first among those that serve and are accepted. All hosts agree on the
  ///     ranking.
  template <typename IsAccepted>
  [[nodiscard]] const FleetHost& FirstInDomain(TimePoint now,
                                               IsAccepted is_accepted) const;

  FleetHost self_;
  bool has_list_ = false;
  HostId last_relay_{};
  std::map<HostId, Member> hosts_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FLEET_VIEW_H_
