/// @file
/// The whole configuration.
#ifndef COMFREYVANE_CONFIG_CONFIGURATION_H_
#define COMFREYVANE_CONFIG_CONFIGURATION_H_

#include <vector>

#include "comfreyvane/config/backend_server.h"
#include "comfreyvane/config/failure_domain.h"
#include "comfreyvane/config/region.h"
#include "comfreyvane/config/region_link.h"
#include "comfreyvane/config/service.h"
#include "comfreyvane/config/site.h"
#include "comfreyvane/config/workspace.h"

namespace comfreyvane {

/// What operators declare. Shared between threads as an immutable value.
struct Configuration {
  std::vector<Region> regions;
  std::vector<RegionLink> links;
  std::vector<FailureDomain> failure_domains;
  std::vector<Site> sites;
  std::vector<Service> services;
  std::vector<BackendServer> backend_servers;
  std::vector<Workspace> workspaces;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_CONFIGURATION_H_
