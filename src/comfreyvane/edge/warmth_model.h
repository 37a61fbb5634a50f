/// @file
/// Estimates of how many objects servers keep warm.
#ifndef COMFREYVANE_EDGE_WARMTH_MODEL_H_
#define COMFREYVANE_EDGE_WARMTH_MODEL_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <unordered_map>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

/// Estimates how many objects of this host each server of a service keeps warm.
/// Servers evict the least recently used objects, and objects of other hosts
/// take space as well.
class WarmthModel {
 public:
  /// @param objects_since number of other objects sent to the server since it
  ///     last got this one.
  [[nodiscard]] bool IsWarm(ServiceId service,
                            std::optional<std::size_t> objects_since) const {
    return objects_since && *objects_since < Capacity(service);
  }

  /// Records whether an object turned out to be warm.
  void Add(ServiceId service, std::size_t objects_since, bool warm) {
    std::size_t& capacity =
        capacity_.try_emplace(service, kInitialCapacity).first->second;
    if (warm)
      capacity = std::max(capacity, objects_since + 1);
    else if (objects_since < capacity)
      capacity = std::max(kMinCapacity, capacity - 1);
  }

  [[nodiscard]] std::size_t Capacity(ServiceId service) const {
    const auto found = capacity_.find(service);
    return found == capacity_.end() ? kInitialCapacity : found->second;
  }

 private:
  static constexpr std::size_t kInitialCapacity = 16;
  static constexpr std::size_t kMinCapacity = 4;

  std::unordered_map<ServiceId, std::size_t> capacity_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_WARMTH_MODEL_H_
