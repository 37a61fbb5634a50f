#include "comfreyvane/steer/host_selector.h"

#include <algorithm>
#include <tuple>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/steer/topology.h"

namespace comfreyvane {
namespace {

constexpr std::uint64_t kPercent = 100;

struct RankedHost {
  bool overloaded = false;
  std::uint64_t score = 0;
  const HostView* host = nullptr;
};

bool Precedes(const RankedHost& left, const RankedHost& right) {
  return std::tie(left.overloaded, left.score) <
         std::tie(right.overloaded, right.score);
}

bool ContainsHost(const std::vector<EntryHost>& chosen, HostId host) {
  return std::ranges::find(chosen, host, &EntryHost::id) != chosen.end();
}

}  // namespace

HostSelector::HostSelector(const std::vector<HostView>& hosts,
                           const Topology& topology) {
  for (const auto& host : hosts) {
    if (host.leaving)
      continue;
    Domain& domain = domains_[host.failure_domain];
    domain.region = topology.RegionOf(host.failure_domain).value_or(RegionId());
    domain.load += host.load;
    domain.hosts.push_back(host);
  }
}

void HostSelector::Append(const Domain& domain,
                          std::uint64_t key,
                          std::size_t count,
                          std::vector<EntryHost>& chosen) const {
  std::vector<RankedHost> ranked;
  ranked.reserve(domain.hosts.size());
  for (const auto& host : domain.hosts) {
    if (ContainsHost(chosen, host.id))
      continue;
    const bool overloaded = host.load * domain.hosts.size() * kPercent >
                            domain.load * kLoadBoundPercent;
    ranked.push_back({overloaded, HashPair(key, host.id.value()), &host});
  }
  const auto end = ranked.begin() +
                   static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
  std::ranges::partial_sort(ranked, end, Precedes);
  for (auto it = ranked.begin(); it != end; ++it)
    chosen.push_back({it->host->id, it->host->incarnation, it->host->address,
                      it->host->caller_port});
}

std::vector<const HostSelector::Domain*> HostSelector::OtherDomains(
    std::uint64_t key,
    FailureDomainId nearest,
    RegionId region,
    std::size_t count) const {
  struct Ranked {
    bool is_remote;
    std::uint64_t score;
    const Domain* domain;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(domains_.size());
  for (const auto& [id, domain] : domains_) {
    if (id != nearest)
      ranked.push_back(
          {domain.region != region, HashPair(key, id.value()), &domain});
  }
  const auto end = ranked.begin() +
                   static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
  std::ranges::partial_sort(ranked, end,
                            [](const Ranked& left, const Ranked& right) {
                              return std::tie(left.is_remote, left.score) <
                                     std::tie(right.is_remote, right.score);
                            });
  std::vector<const Domain*> domains;
  domains.reserve(count);
  for (auto it = ranked.begin(); it != end; ++it)
    domains.push_back(it->domain);
  return domains;
}

std::vector<EntryHost> HostSelector::Select(std::uint64_t key,
                                            FailureDomainId domain,
                                            RegionId region,
                                            std::size_t count) const {
  std::vector<EntryHost> chosen;
  const auto nearest = domains_.find(domain);
  const std::size_t near_count = count > 1 ? count - 1 : count;
  if (nearest != domains_.end())
    Append(nearest->second, key, near_count, chosen);
  if (chosen.size() == count)
    return chosen;
  for (const Domain* other :
       OtherDomains(key, domain, region, count - chosen.size()))
    Append(*other, key, 1, chosen);
  if (nearest != domains_.end() && chosen.size() < count)
    Append(nearest->second, key, count - chosen.size(), chosen);
  return chosen;
}

}  // namespace comfreyvane
