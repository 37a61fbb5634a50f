/// @file
/// Properties of a request for the choice of its backend server.
#ifndef COMFREYVANE_EDGE_PICK_REQUEST_H_
#define COMFREYVANE_EDGE_PICK_REQUEST_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Properties of a request that decide the choice of its backend server.
struct PickRequest {
  ServiceId service;
  std::uint64_t kind = 0;  ///< Key of LatencyModel.
  /// Hash of the object that it refers to; 0: unknown.
  std::uint64_t object = 0;
  bool idempotent = false;
  Duration objective{};  ///< Initial estimate of the latency.
  /// The caller discards later answers.
  TimePoint deadline = TimePoint::max();
  /// Regions where it may run; empty: all. The unknown region stands for none.
  std::vector<RegionId> regions;
  std::vector<BackendServerId> excluded;  ///< Servers of earlier attempts.
  /// Region of the host that the caller is connected to, whose servers come
  /// first; empty: that of this host.
  std::optional<RegionId> origin_region{};

  /// @return whether the request may run in a region; never in an unknown one
  ///     if it is bound.
  [[nodiscard]] bool MayRunIn(RegionId region) const {
    return regions.empty() ||
           (region != RegionId() &&
            std::find(regions.begin(), regions.end(), region) != regions.end());
  }

  /// @return whether the request may run in some regions only.
  [[nodiscard]] bool is_bound() const { return !regions.empty(); }

  [[nodiscard]] bool HasTried(BackendServerId server) const {
    return std::find(excluded.begin(), excluded.end(), server) !=
           excluded.end();
  }

  friend bool operator==(const PickRequest&, const PickRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_PICK_REQUEST_H_
