/// @file
/// Place of a host among those that may use a limited backend server.
#ifndef COMFREYVANE_EDGE_LIMIT_RANK_H_
#define COMFREYVANE_EDGE_LIMIT_RANK_H_

#include <cstddef>
#include <limits>

namespace comfreyvane {

/// Place of a host in the order in which hosts may use a limited server. All
/// hosts that know the same list of hosts agree on the order.
struct LimitRank {
  /// Number of hosts that come before this one. The default is after all.
  std::size_t rank = std::numeric_limits<std::size_t>::max();
  std::size_t hosts = 0;  ///< Hosts in the list.

  friend bool operator==(const LimitRank&, const LimitRank&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_LIMIT_RANK_H_
