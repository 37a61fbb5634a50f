/// @file
/// Which backend servers keep an object warm.
#ifndef COMFREYVANE_EDGE_OBJECT_HOMES_H_
#define COMFREYVANE_EDGE_OBJECT_HOMES_H_

#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/pick_request.h"
#include "comfreyvane/edge/server_slot.h"

namespace comfreyvane {

/// The servers that run the requests of one object. A server keeps few objects
/// warm and runs a cold request several times as long, so a request that finds
/// its home full waits rather than run at a server that would forget another
/// object for it. Answers a load that is near what the servers can do warm.
struct ObjectHomes {
  /// Where its requests run; null: no server may.
  const ServerSlot* home = nullptr;
  /// Where they run while the home is full; null: they wait. In another region
  /// where there is one, whose peak is at another time.
  const ServerSlot* overflow = nullptr;

  [[nodiscard]] bool Contains(const ServerSlot* slot) const {
    return slot == home || slot == overflow;
  }

  friend bool operator==(const ObjectHomes&, const ObjectHomes&) = default;
};

/// Finds the homes of the request's object by rendezvous hashing, so that all
/// hosts of a region agree on them without a message. A region with few servers
/// has part of its objects at home in others.
/// @param self region of this host.
/// @param slots servers of the request's service.
[[nodiscard]] ObjectHomes HomesOf(const PickRequest& request,
                                  RegionId self,
                                  const std::vector<ServerSlot*>& slots,
                                  TimePoint now);

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_OBJECT_HOMES_H_
