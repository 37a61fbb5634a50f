/// @file
/// Divides backend servers' connections among hosts.
#ifndef COMFREYVANE_ROUTE_SERVER_SUBSET_H_
#define COMFREYVANE_ROUTE_SERVER_SUBSET_H_

#include <vector>

#include "comfreyvane/route/server_quota.h"
#include "comfreyvane/route/subset_host.h"
#include "comfreyvane/route/subset_server.h"

namespace comfreyvane {

/// Divides the connections of each backend server among the hosts, so that
/// their sum stays within what the server accepts, at 8 hosts and at 2,900.
///
/// Hosts and servers are ranked by hashes of their identifiers. Two thirds of a
/// server's connections go to hosts of its failure domain and one third to the
/// others. Where these are too many for kMinConnections each, the hosts of
/// a window of ranks get them, and the windows of all servers cover the hosts
/// evenly. A host that comes or goes moves each window by at most two hosts.
class ServerSubset {
 public:
  /// Fewest connections that make a server useful to a host: one that carries
  /// requests and one for probes and replacement.
  static constexpr std::uint32_t kMinConnections = 2;

  /// @param hosts live hosts in any order; holds self.
  /// @return one quota a server, in the order of the servers.
  [[nodiscard]] static std::vector<ServerQuota> Divide(
      HostId self,
      const std::vector<SubsetHost>& hosts,
      const std::vector<SubsetServer>& servers);
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_SERVER_SUBSET_H_
