/// @file
/// Comparison of an era of the store with the one that a host knows.
#ifndef COMFREYVANE_EDGE_ERA_CHANGE_H_
#define COMFREYVANE_EDGE_ERA_CHANGE_H_

#include <cstdint>

namespace comfreyvane {

/// Comparison of an era of the store with the one that a host knows.
enum class EraChange : std::uint8_t {
  kNone,      ///< The same, or not stated.
  kFirst,     ///< The first that this host learns.
  kRestored,  ///< The store has been restored from an older copy.
  kOutdated,  ///< The answer is from before a restore.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_ERA_CHANGE_H_
