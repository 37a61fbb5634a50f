/// @file
/// A change of what a host knows about its path to backend servers.
#ifndef COMFREYVANE_EDGE_PATH_CHANGE_H_
#define COMFREYVANE_EDGE_PATH_CHANGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/path_group.h"

namespace comfreyvane {

/// A path that was lost or regained, with the evidence that decided it.
struct PathChange {
  enum class Kind : std::uint8_t {
    kLost,
    kRegained,  ///< From now on, ever more requests take the path again.
    kOpen,      ///< All requests take the path again.
  };

  Kind kind = Kind::kLost;
  PathGroup group;
  Duration silence{};       ///< Since a server of the group last answered.
  std::size_t silent = 0;   ///< Servers with requests that are not answered.
  std::size_t busy = 0;     ///< Those of them that may be at work.
  std::size_t refused = 0;  ///< Servers to which connects have failed.
  /// The host that had answers of the group meanwhile; empty: not needed.
  std::optional<HostId> witness{};
  Duration lasted{};  ///< Since the previous change of the group.

  friend bool operator==(const PathChange&, const PathChange&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_PATH_CHANGE_H_
