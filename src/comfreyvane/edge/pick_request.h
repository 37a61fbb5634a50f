/// @file
/// What the choice of a backend server needs to know of a request.
#ifndef COMFREYVANE_EDGE_PICK_REQUEST_H_
#define COMFREYVANE_EDGE_PICK_REQUEST_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// What the choice of a backend server needs to know of a request.
struct PickRequest {
  ServiceId service;
  std::uint64_t kind = 0;    ///< Key of LatencyModel.
  std::uint64_t object = 0;  ///< What the request is about; 0: unknown.
  bool idempotent = false;
  Duration objective{};  ///< First estimate of the time at a server.
  TimePoint deadline = TimePoint::max();  ///< Later answers are of no use.
  std::vector<RegionId> regions;  ///< Where it may run; empty: anywhere.
  std::vector<BackendServerId> excluded;  ///< Tried already.

  [[nodiscard]] bool MayRunIn(RegionId region) const {
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
  }

  [[nodiscard]] bool HasTried(BackendServerId server) const {
    return std::find(excluded.begin(), excluded.end(), server) !=
           excluded.end();
  }

  friend bool operator==(const PickRequest&, const PickRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_PICK_REQUEST_H_
