/// @file
/// Which peers a host talks to.
#ifndef COMFREYVANE_MEMBER_PEER_GRAPH_H_
#define COMFREYVANE_MEMBER_PEER_GRAPH_H_

#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/member/member_view.h"

namespace comfreyvane {

/// Peers that each host talks to in its own failure domain, at most.
inline constexpr std::size_t kDomainFanOut = 4;

/// Links between each two failure domains.
inline constexpr std::size_t kLinksPerDomainPair = 2;

/// Relays of a failure domain, at least. They read the store for the others.
inline constexpr std::size_t kRelaysPerDomain = 2;

/// Hosts of a failure domain for each relay.
inline constexpr std::size_t kHostsPerRelay = 8;

/// Which peers a host talks to. Every host works it out alike from its view:
/// in the own domain the members at offsets 1, 4, 16 and 64 in the order of
/// identifiers; between two domains the members that rendezvous hashing picks
/// for each link, so that links are shared out over a domain's hosts.
struct PeerGraph {
  std::vector<HostId> domain_peers;  ///< This host sends to these.
  std::vector<HostId> watched;       ///< These send to this host.
  std::vector<HostId> link_peers;    ///< In other domains; both directions.
  std::vector<HostId> relays;        ///< Of the own domain, this host included.

  /// @param view members; those dead or unreachable take no part.
  /// @param self the host whose peers are wanted; must be in the view.
  [[nodiscard]] static PeerGraph Of(const MemberView& view, HostId self);

  /// @return whether a host is a relay of the own domain.
  [[nodiscard]] bool IsRelay(HostId host) const;

  friend bool operator==(const PeerGraph&, const PeerGraph&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_PEER_GRAPH_H_
