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
    return objects_since && *objects_since < Kept(service);
  }

  /// Takes in whether an object turned out to be warm.
  void Add(ServiceId service, std::size_t objects_since, bool warm) {
    std::size_t& kept = kept_.try_emplace(service, kFirstKept).first->second;
    if (warm)
      kept = std::max(kept, objects_since + 1);
    else if (objects_since < kept)
      kept = std::max(kLeastKept, kept - 1);
  }

  [[nodiscard]] std::size_t Kept(ServiceId service) const {
    const auto found = kept_.find(service);
    return found == kept_.end() ? kFirstKept : found->second;
  }

 private:
  static constexpr std::size_t kFirstKept = 16;
  static constexpr std::size_t kLeastKept = 4;

  std::unordered_map<ServiceId, std::size_t> kept_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_WARMTH_MODEL_H_
