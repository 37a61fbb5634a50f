/// @file
/// A region of the deployment.
#ifndef COMFREYVANE_CONFIG_REGION_H_
#define COMFREYVANE_CONFIG_REGION_H_

#include <cstdint>
#include <string>

namespace comfreyvane {

/// A region: failure domains with short links between them.
struct Region {
  std::string name;
  std::uint32_t capacity = 0;  ///< Requests a second over all its sites.

  friend bool operator==(const Region&, const Region&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_REGION_H_
