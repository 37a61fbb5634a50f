/// @file
/// Divides the connections of backend servers among the hosts.
#ifndef COMFREYVANE_ROUTE_SERVER_SUBSET_H_
#define COMFREYVANE_ROUTE_SERVER_SUBSET_H_

#include <vector>

#include "comfreyvane/route/server_quota.h"
#include "comfreyvane/route/subset_host.h"
#include "comfreyvane/route/subset_server.h"

namespace comfreyvane {

/// Divides the connections of each backend server among the hosts, so that
/// their sum does not exceed what the server accepts, for fleets of 8 as well
/// as 2,900 hosts.
///
/// Hosts and servers are ranked by hashes of their identifiers. Two thirds of a
/// server's connections go to hosts of its failure domain and one third to the
/// other hosts. If a group has too many hosts for kMinConnections each, only
/// the hosts in a window of ranks receive connections; the windows of all
/// servers cover the hosts evenly. Adding or removing a host moves each window
/// by at most two hosts.
class ServerSubset {
 public:
  /// Minimum number of connections with which a host can use a server: one for
  /// requests and one for probes and replacement.
  static constexpr std::uint32_t kMinConnections = 2;

  /// @param hosts all live hosts, including self, in any order.
  /// @return one quota per server, in the order of servers.
  [[nodiscard]] static std::vector<ServerQuota> Divide(
      HostId self,
      const std::vector<SubsetHost>& hosts,
      const std::vector<SubsetServer>& servers);
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_SERVER_SUBSET_H_
