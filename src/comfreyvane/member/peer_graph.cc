#include "comfreyvane/member/peer_graph.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <map>

#include "comfreyvane/base/hash.h"

namespace comfreyvane {

namespace {

constexpr std::array<std::size_t, kDomainFanOut> kOffsets = {1, 4, 16, 64};

using Hosts = std::vector<HostId>;
using HostsByDomain = std::map<FailureDomainId, Hosts>;

bool TakesPart(const Member& member) {
  return member.state != MemberState::kDead &&
         member.state != MemberState::kUnreachable;
}

void AddOnce(Hosts& hosts, HostId host) {
  if (std::ranges::find(hosts, host) == hosts.end())
    hosts.push_back(host);
}

// Small domains are full meshes; larger ones take the offsets.
Hosts DomainPeers(const Hosts& domain, std::size_t own, bool backwards) {
  const std::size_t size = domain.size();
  Hosts peers;
  for (std::size_t i = 0; i < kDomainFanOut; ++i) {
    const std::size_t offset = size <= kDomainFanOut + 1 ? i + 1 : kOffsets[i];
    if (offset >= size)
      break;
    const std::size_t at = backwards ? own + size - offset : own + offset;
    AddOnce(peers, domain[at % size]);
  }
  return peers;
}

HostId LinkEnd(const Hosts& domain, std::uint64_t link) {
  return *std::ranges::max_element(
      domain, {}, [link](HostId host) { return HashPair(host.value(), link); });
}

void AddLinks(PeerGraph& graph,
              const Hosts& own,
              const Hosts& other,
              std::uint64_t pair,
              HostId self) {
  for (std::uint64_t i = 0; i < kLinksPerDomainPair; ++i) {
    const std::uint64_t link = HashPair(pair, i);
    if (LinkEnd(own, link) == self)
      AddOnce(graph.link_peers, LinkEnd(other, link));
  }
}

}  // namespace

PeerGraph PeerGraph::Of(const MemberView& view, HostId self) {
  const Member* own = view.Find(self);
  assert(own != nullptr);
  HostsByDomain domains;
  // An unreachable domain keeps its links, so that it is found again.
  for (const Member& member : view.members()) {
    const bool other = member.domain() != own->domain();
    if (TakesPart(member) || member.id == self ||
        (other && member.state == MemberState::kUnreachable))
      domains[member.domain()].push_back(member.id);
  }
  PeerGraph graph;
  const Hosts& domain = domains.at(own->domain());
  const auto index = static_cast<std::size_t>(
      std::ranges::lower_bound(domain, self) - domain.begin());
  graph.domain_peers = DomainPeers(domain, index, false);
  graph.watched = DomainPeers(domain, index, true);
  const std::size_t relays =
      std::max(kRelaysPerDomain, domain.size() / kHostsPerRelay);
  graph.relays.assign(domain.begin(),
                      domain.begin() + static_cast<std::ptrdiff_t>(
                                           std::min(domain.size(), relays)));
  for (const auto& [id, hosts] : domains) {
    if (id == own->domain())
      continue;
    const std::uint64_t pair = id.value() ^ own->domain().value();
    AddLinks(graph, domain, hosts, pair, self);
  }
  return graph;
}

bool PeerGraph::IsRelay(HostId host) const {
  return std::ranges::find(relays, host) != relays.end();
}

}  // namespace comfreyvane
