/// @file
/// A chosen backend server.
#ifndef COMFREYVANE_EDGE_BACKEND_CHOICE_H_
#define COMFREYVANE_EDGE_BACKEND_CHOICE_H_

#include <cstddef>
#include <optional>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/route/distance.h"

namespace comfreyvane {

/// A chosen backend server and what decided the choice.
struct BackendChoice {
  BackendServerId server;
  Distance distance = Distance::kSameFailureDomain;
  bool overflow = false;  ///< It left the region for want of room there.
  bool warm = false;      ///< It is taken to have handled the object of late.
  /// Other objects that this host has sent there since the object, if known.
  std::optional<std::size_t> objects_since{};
  Duration expected{};  ///< Time until its answer, without the network.

  friend bool operator==(const BackendChoice&, const BackendChoice&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_BACKEND_CHOICE_H_
