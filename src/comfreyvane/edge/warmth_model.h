/// @file
/// How many objects servers of a service keep warm.
#ifndef COMFREYVANE_EDGE_WARMTH_MODEL_H_
#define COMFREYVANE_EDGE_WARMTH_MODEL_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <unordered_map>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

/// Estimates how many objects of this host a server of each service keeps warm:
/// servers forget the objects that they have handled least recently, among them
/// those of other hosts.
class WarmthModel {
 public:
  /// @param objects_since how many others were sent there since the object.
  [[nodiscard]] bool IsWarm(ServiceId service,
                            std::optional<std::size_t> objects_since) const {
    return objects_since && *objects_since < Capacity(service);
  }

  /// Takes in whether an object turned out to be warm.
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
