/// @file
/// What is drained.
#ifndef COMFREYVANE_OPERATE_DRAIN_TARGET_H_
#define COMFREYVANE_OPERATE_DRAIN_TARGET_H_

#include <string_view>

namespace comfreyvane {

/// What is drained.
enum class DrainTarget {
  kHost,
  kBackendServer,
};

/// @return "host" or "backend-server".
[[nodiscard]] std::string_view Name(DrainTarget target);

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_DRAIN_TARGET_H_
