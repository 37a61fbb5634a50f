/// @file
/// Assignment of objects to backend servers.
#ifndef COMFREYVANE_EDGE_OBJECT_HOMES_H_
#define COMFREYVANE_EDGE_OBJECT_HOMES_H_

#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/pick_request.h"
#include "comfreyvane/edge/server_slot.h"

namespace comfreyvane {

/// The servers that run the requests of one object. A server keeps only a few
/// objects warm, and a cold request takes several times as long as a warm one.
/// A request whose home is full therefore waits rather than run at a server
/// that would evict another object for it. This keeps most requests warm when
/// the load is close to the capacity of warm servers.
struct ObjectHomes {
  /// Runs the requests; null if no server may run them.
  const ServerSlot* home = nullptr;
  /// Runs the requests while the home is full; null: they wait. A server of
  /// another region if there is one, since its load peaks at a different time.
  const ServerSlot* overflow = nullptr;
  /// Would be the home, but its request limit leaves no room now; else null.
  const ServerSlot* limited = nullptr;

  [[nodiscard]] bool Contains(const ServerSlot* slot) const {
    return slot == home || slot == overflow;
  }

  friend bool operator==(const ObjectHomes&, const ObjectHomes&) = default;
};

/// Servers that can be homes.
enum class HomeScope {
  kReachable,
  kAll,  ///< Also those that this host does not reach, but others may.
};

/// Finds the homes of the request's object by rendezvous hashing, so that all
/// hosts of a region agree on them without communication. A region with few
/// servers has the homes of some of its objects in other regions.
/// @param self region of this host.
/// @param slots servers of the request's service.
[[nodiscard]] ObjectHomes HomesOf(const PickRequest& request,
                                  RegionId self,
                                  const std::vector<ServerSlot*>& slots,
                                  HomeScope scope,
                                  TimePoint now);

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_OBJECT_HOMES_H_
