/// @file
/// What the operator configures in the soak.
#ifndef TESTS_SOAK_SOAK_CONFIGURATION_H_
#define TESTS_SOAK_SOAK_CONFIGURATION_H_

#include <algorithm>
#include <string>
#include <vector>

namespace comfreyvane::soak {

/// What the operator configures in the soak.
struct SoakConfiguration {
  int timeout_ms = 1000;
  double rate = 0.0;  ///< Of the workspace with a limit, in requests/s.
  double burst = 0.0;
  /// Where requests of the bound routes and of the bound workspace may run;
  /// empty: anywhere.
  std::vector<std::string> route_regions;
  std::vector<std::string> workspace_regions;

  friend bool operator==(const SoakConfiguration&,
                         const SoakConfiguration&) = default;

  /// @return whether a request may run in a region.
  [[nodiscard]] bool Allows(const std::string& region,
                            bool is_route_bound,
                            bool is_workspace_bound) const {
    const auto has = [&](const std::vector<std::string>& regions) {
      return regions.empty() || std::ranges::count(regions, region) > 0;
    };
    return (!is_route_bound || has(route_regions)) &&
           (!is_workspace_bound || has(workspace_regions));
  }

  /// @return the store's text of it.
  [[nodiscard]] std::string Text(unsigned version) const;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_SOAK_CONFIGURATION_H_
