/// @file
/// Result of the choice of a backend server.
#ifndef COMFREYVANE_EDGE_BACKEND_CHOICE_H_
#define COMFREYVANE_EDGE_BACKEND_CHOICE_H_

#include <cstddef>
#include <optional>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/route/distance.h"

namespace comfreyvane {

/// A chosen backend server and the state that led to the choice.
struct BackendChoice {
  BackendServerId server;
  Distance distance = Distance::kSameFailureDomain;
  bool overflow = false;  ///< Left the region because its servers had no room.
  bool warm = false;      ///< The server is assumed to hold the object warm.
  /// Number of other objects that this host has sent to the server since it
  /// last sent this one; empty if unknown.
  std::optional<std::size_t> objects_since{};
  Duration expected{};  ///< Time until the answer, without network delay.
  /// The object's home, whose request limit left no room; empty: none.
  std::optional<BackendServerId> held_back_by{};

  friend bool operator==(const BackendChoice&, const BackendChoice&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_BACKEND_CHOICE_H_
