/// @file
/// A link between regions.
#ifndef COMFREYVANE_CONFIG_REGION_LINK_H_
#define COMFREYVANE_CONFIG_REGION_LINK_H_

#include <cstdint>
#include <string>

namespace comfreyvane {

/// The link that two regions share, the same size each way.
struct RegionLink {
  std::string first;
  std::string second;
  std::uint32_t megabits = 0;  ///< Mbit/s each way.

  friend bool operator==(const RegionLink&, const RegionLink&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_REGION_LINK_H_
