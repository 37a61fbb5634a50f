#include "comfreyvane/route/server_subset.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <map>

#include "comfreyvane/base/hash.h"

namespace comfreyvane {
namespace {

constexpr std::uint64_t kSubsetSeed = 0x737562736574ULL;
constexpr std::uint32_t kUsableTenths = 9;
constexpr std::uint32_t kLocalThirds = 2;

std::uint64_t RankHash(std::uint64_t id) {
  return HashPair(kSubsetSeed, id);
}

/// Position of a member among the members of a group.
struct Position {
  std::size_t rank = 0;
  std::size_t count = 0;
};

/// Connections that a group of hosts receives at a server.
struct GroupShare {
  std::uint32_t hosts = 0;
  std::uint32_t connections = 0;  ///< Per host.
};

GroupShare ShareOf(std::uint32_t connections, std::size_t hosts) {
  if (connections == 0 || hosts == 0)
    return {};
  const std::uint32_t fit =
      std::max(connections / ServerSubset::kMinConnections, 1U);
  const auto users =
      static_cast<std::uint32_t>(std::min<std::size_t>(hosts, fit));
  return {users, connections / users};
}

/// @return whether the host is in the server's window of ranks, which starts at
/// the server's relative rank.
bool InWindow(Position host, Position server, std::uint32_t width) {
  const std::size_t start = server.rank * host.count / server.count;
  const std::size_t offset = (host.rank + host.count - start) % host.count;
  return offset < width;
}

class HostRanks {
 public:
  HostRanks(HostId self, const std::vector<SubsetHost>& hosts) {
    const std::uint64_t own = RankHash(self.value());
    for (const SubsetHost& host : hosts) {
      const bool before = RankHash(host.id.value()) < own;
      Position& group = domains_[host.failure_domain];
      ++group.count;
      ++all_.count;
      group.rank += before ? 1 : 0;
      all_.rank += before ? 1 : 0;
      if (host.id == self)
        own_domain_ = host.failure_domain;
    }
  }

  [[nodiscard]] bool IsLocal(FailureDomainId domain) const {
    return domain == own_domain_;
  }

  [[nodiscard]] Position In(FailureDomainId domain) const {
    const auto found = domains_.find(domain);
    return found == domains_.end() ? Position{} : found->second;
  }

  [[nodiscard]] Position OutOf(FailureDomainId domain) const {
    const Position in = In(domain);
    return {all_.rank - in.rank, all_.count - in.count};
  }

 private:
  FailureDomainId own_domain_;
  Position all_;
  std::map<FailureDomainId, Position> domains_;
};

struct ServerRank {
  Position in_domain;
  Position in_all;
};

std::vector<ServerRank> RankServers(const std::vector<SubsetServer>& servers) {
  std::vector<std::pair<std::uint64_t, std::size_t>> order;
  for (std::size_t i = 0; i < servers.size(); ++i)
    order.emplace_back(RankHash(servers[i].id.value()), i);
  std::sort(order.begin(), order.end());
  std::map<FailureDomainId, std::size_t> counts;
  std::vector<ServerRank> ranks(servers.size());
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    const std::size_t index = order[rank].second;
    ranks[index].in_all = {rank, servers.size()};
    ranks[index].in_domain.rank = counts[servers[index].failure_domain]++;
  }
  for (std::size_t i = 0; i < servers.size(); ++i)
    ranks[i].in_domain.count = counts[servers[i].failure_domain];
  return ranks;
}

ServerQuota QuotaOf(const SubsetServer& server,
                    const ServerRank& rank,
                    const HostRanks& hosts) {
  const Position in = hosts.In(server.failure_domain);
  const Position out = hosts.OutOf(server.failure_domain);
  const std::uint32_t usable = server.connections * kUsableTenths / 10;
  std::uint32_t local = usable * kLocalThirds / 3;
  if (in.count == 0)
    local = 0;
  if (out.count == 0)
    local = usable;
  const GroupShare local_share = ShareOf(local, in.count);
  const GroupShare remote_share = ShareOf(usable - local, out.count);
  const bool is_local = hosts.IsLocal(server.failure_domain);
  const bool chosen = is_local ? InWindow(in, rank.in_domain, local_share.hosts)
                               : InWindow(out, rank.in_all, remote_share.hosts);
  const std::uint32_t connections =
      is_local ? local_share.connections : remote_share.connections;
  return {server.id, chosen ? connections : 0,
          local_share.hosts + remote_share.hosts};
}

}  // namespace

std::vector<ServerQuota> ServerSubset::Divide(
    HostId self,
    const std::vector<SubsetHost>& hosts,
    const std::vector<SubsetServer>& servers) {
  assert(std::any_of(hosts.begin(), hosts.end(),
                     [&](const SubsetHost& host) { return host.id == self; }));
  const HostRanks ranks(self, hosts);
  const std::vector<ServerRank> server_ranks = RankServers(servers);
  std::vector<ServerQuota> quotas;
  quotas.reserve(servers.size());
  for (std::size_t i = 0; i < servers.size(); ++i)
    quotas.push_back(QuotaOf(servers[i], server_ranks[i], ranks));
  return quotas;
}

}  // namespace comfreyvane
