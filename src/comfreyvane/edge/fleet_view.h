/// @file
/// The hosts of the fleet as one host sees them.
#ifndef COMFREYVANE_EDGE_FLEET_VIEW_H_
#define COMFREYVANE_EDGE_FLEET_VIEW_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/fleet_host.h"

namespace comfreyvane {

/// The hosts that are listed_at in the store, and which of them are
/// last_heartbeat.
class FleetView {
 public:
  explicit FleetView(FleetHost self);

  [[nodiscard]] const FleetHost& self() const { return self_; }

  /// Replaces the list of hosts.
  void OnListed(const std::vector<FleetHost>& hosts, TimePoint now);

  /// Takes in a heartbeat.
  /// @param leaving the host is about to stop.
  void OnHeartbeat(HostId host, bool leaving, TimePoint now);

  /// @return all other hosts that are listed_at.
  [[nodiscard]] std::vector<FleetHost> Peers() const;

  /// @return a host that is listed_at, or nothing.
  [[nodiscard]] std::optional<FleetHost> Find(HostId host) const;

  /// @return whether a host is listed_at in the failure domain of this one.
  [[nodiscard]] bool IsInOwnDomain(HostId host) const;

  /// @return whether a host is in the region of this one: those tell each other
  ///     more, and more often.
  [[nodiscard]] bool IsInOwnRegion(const FleetHost& host) const {
    return host.region == self_.region;
  }

  /// @return hosts that serve callers, this one first.
  /// @param self_leaving this host is about to stop.
  [[nodiscard]] std::vector<FleetHost> Serving(bool self_leaving,
                                               TimePoint now) const;

  /// @return addresses for callers of a region: the region's hosts, or all
  ///     where it has fewer than two.
  [[nodiscard]] std::vector<std::string> AddressesFor(
      const std::string& region,
      const std::string& failure_domain,
      bool self_leaving,
      TimePoint now) const;

  /// @return the host of this failure domain through which this one follows
  ///     the store: of those that serve, the one with the largest part of a
  ///     processor; nothing if that is this host.
  [[nodiscard]] std::optional<FleetHost> FindRelay(TimePoint now) const;

  /// Notes that a host does not pass on the store's changes. Others come before
  /// it for a while.
  void OnRelayFailed(HostId host, TimePoint now);

  /// @return whether this host pools the limits of its failure domain.
  [[nodiscard]] bool IsLimitPool(TimePoint now) const;

  /// @return the host that pools the limits of this host's failure domain.
  [[nodiscard]] FleetHost LimitPool(TimePoint now) const;

  /// @return the other hosts that pool the limits of a failure domain.
  [[nodiscard]] std::vector<FleetHost> OtherLimitPools(TimePoint now) const;

  /// @return the sum of the shares of the other hosts of this failure domain.
  [[nodiscard]] double OtherSharesInDomain() const;

  /// @return this host's part of what all hosts share, 0 to 1.
  [[nodiscard]] double Share(TimePoint now) const;

  /// @param domain of the server.
  /// @return this host's part of what a cold server may get from all hosts; a
  ///     few hosts, the same in the view of each, have equal parts: those of
  ///     its failure domain first.
  [[nodiscard]] double ColdShare(BackendServerId server,
                                 FailureDomainId domain) const;

  [[nodiscard]] std::size_t size() const { return hosts_.size(); }

 private:
  struct Member {
    FleetHost host{};
    FailureDomainId domain{};
    TimePoint first_seen{};  ///< By this host.
    TimePoint listed_at{};   ///< No later than this.
    TimePoint last_heartbeat{};
    TimePoint relay_backoff_until{};
    bool leaving = false;
  };

  [[nodiscard]] bool IsServing(const Member& member, TimePoint now) const;

  /// @return the first, in the order that all hosts agree on, of this host and
  ///     the others of its failure domain that serve and are accepted.
  template <typename IsAccepted>
  [[nodiscard]] const FleetHost& FirstInDomain(TimePoint now,
                                               IsAccepted is_accepted) const;

  FleetHost self_;
  bool has_list_ = false;
  std::map<HostId, Member> hosts_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FLEET_VIEW_H_
