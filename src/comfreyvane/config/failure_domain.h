/// @file
/// A failure domain of a region.
#ifndef COMFREYVANE_CONFIG_FAILURE_DOMAIN_H_
#define COMFREYVANE_CONFIG_FAILURE_DOMAIN_H_

#include <string>

namespace comfreyvane {

/// A failure domain, with its own hosts and backend servers.
struct FailureDomain {
  std::string name;
  std::string region;

  friend bool operator==(const FailureDomain&, const FailureDomain&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_FAILURE_DOMAIN_H_
