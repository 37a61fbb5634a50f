#include "comfreyvane/route/server_subset.h"

#include <map>
#include <string>

#include "support/criterion.h"

using namespace comfreyvane;

namespace {

struct Fleet {
  int hosts;
  int domains;
  int servers;
  std::uint32_t connections;
};

std::vector<SubsetHost> Hosts(const Fleet& fleet) {
  std::vector<SubsetHost> hosts;
  for (int i = 0; i < fleet.hosts; ++i) {
    hosts.push_back({HostId::Of("host-" + std::to_string(i)),
                     FailureDomainId(1 + i % fleet.domains)});
  }
  return hosts;
}

std::vector<SubsetServer> ServersOf(const Fleet& fleet) {
  std::vector<SubsetServer> servers;
  for (int i = 0; i < fleet.servers; ++i) {
    servers.push_back({BackendServerId::Of("server-" + std::to_string(i)),
                       FailureDomainId(1 + i % fleet.domains),
                       fleet.connections});
  }
  return servers;
}

using Totals = std::map<BackendServerId, std::uint32_t>;

Totals Connections(const std::vector<SubsetHost>& hosts,
                   const std::vector<SubsetServer>& servers) {
  Totals totals;
  for (const SubsetHost& host : hosts) {
    for (const ServerQuota& quota :
         ServerSubset::Divide(host.id, hosts, servers))
      totals[quota.server] += quota.connections;
  }
  return totals;
}

}  // namespace

Test(server_subset, stays_within_the_connections_at_every_size) {
  for (const Fleet& fleet :
       {Fleet{1, 1, 1, 300}, Fleet{8, 6, 12, 300}, Fleet{8, 6, 14, 300},
        Fleet{60, 6, 12, 300}, Fleet{400, 34, 50, 300},
        Fleet{2900, 34, 200, 300}, Fleet{2900, 34, 12, 300},
        Fleet{50, 5, 10, 1}, Fleet{8, 2, 4, 0}}) {
    const auto hosts = Hosts(fleet);
    for (const auto& [server, total] : Connections(hosts, ServersOf(fleet)))
      cr_expect(total <= fleet.connections, "%u", total);
  }
}

Test(server_subset, gives_each_of_eight_hosts_connections_to_all_servers) {
  const Fleet fleet{8, 6, 12, 300};
  const auto hosts = Hosts(fleet);
  for (const SubsetHost& host : hosts) {
    for (const ServerQuota& quota :
         ServerSubset::Divide(host.id, hosts, ServersOf(fleet))) {
      cr_expect(quota.connections >= 8);
      cr_expect(quota.hosts == 8);
    }
  }
}

Test(server_subset, gives_every_host_at_least_two_servers) {
  for (const Fleet& fleet :
       {Fleet{2900, 34, 200, 300}, Fleet{2900, 34, 102, 300}}) {
    const auto hosts = Hosts(fleet);
    for (const SubsetHost& host : hosts) {
      int useful = 0;
      for (const ServerQuota& quota :
           ServerSubset::Divide(host.id, hosts, ServersOf(fleet)))
        useful += quota.connections >= ServerSubset::kMinConnections ? 1 : 0;
      cr_expect(useful >= 2);
    }
  }
}

Test(server_subset,
     removing_a_host_moves_few_quotas_and_mixed_views_stay_in_bounds) {
  const Fleet fleet{400, 4, 40, 60};
  const auto servers = ServersOf(fleet);
  const auto all = Hosts(fleet);
  auto fewer = all;
  fewer.erase(fewer.begin() + 17);
  Totals mixed;
  int moved = 0;
  for (std::size_t i = 0; i < fewer.size(); ++i) {
    const auto before = ServerSubset::Divide(fewer[i].id, all, servers);
    const auto after = ServerSubset::Divide(fewer[i].id, fewer, servers);
    for (std::size_t s = 0; s < servers.size(); ++s) {
      const bool had = before[s].connections > 0;
      const bool has = after[s].connections > 0;
      moved += had != has ? 1 : 0;
      mixed[servers[s].id] +=
          i % 2 == 0 ? before[s].connections : after[s].connections;
    }
  }
  cr_expect(moved <= 4 * fleet.servers, "%d", moved);
  for (const auto& [server, total] : mixed)
    cr_expect(total <= fleet.connections, "%u", total);
}
