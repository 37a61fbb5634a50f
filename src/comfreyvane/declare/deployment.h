/// @file
/// Declaration of a whole deployment.
#ifndef COMFREYVANE_DECLARE_DEPLOYMENT_H_
#define COMFREYVANE_DECLARE_DEPLOYMENT_H_

#include <boost/leaf/result.hpp>
#include <deque>
#include <iosfwd>
#include <string>

#include "comfreyvane/config/configuration.h"
#include "comfreyvane/declare/declaration_errors.h"
#include "comfreyvane/declare/handle.h"
#include "comfreyvane/declare/service_builder.h"
#include "comfreyvane/declare/units.h"
#include "comfreyvane/declare/workspace_builder.h"

namespace comfreyvane::declare {

/// What an operator's program declares: regions, failure domains, sites,
/// services with their backend servers, and workspaces with their keys. It is
/// checked and printed as a configuration in a stable order.
class Deployment {
 public:
  /// @param capacity requests a second over all sites of the region.
  RegionHandle AddRegion(std::string name, RequestsPerSecond capacity);

  /// Declares the link that two regions share.
  /// @param size each way.
  void AddLink(const RegionHandle& first,
               const RegionHandle& second,
               Megabits size);

  FailureDomainHandle AddFailureDomain(std::string name,
                                       const RegionHandle& region);

  /// @param provider the hosting provider.
  /// @param capacity requests a second over all its backend servers.
  SiteHandle AddSite(std::string name,
                     const FailureDomainHandle& failure_domain,
                     std::string provider,
                     RequestsPerSecond capacity);

  /// @return its builder, valid while the deployment lives.
  ServiceBuilder& AddService(std::string name, std::string path_prefix);

  /// @return its builder, valid while the deployment lives.
  WorkspaceBuilder& AddWorkspace(std::string name);

  /// @return the configuration, or the error object DeclarationErrors with
  ///         every fault.
  [[nodiscard]] boost::leaf::result<Configuration> Build() const;

  /// Prints the configuration, or every fault if there is one.
  /// @param out gets the configuration.
  /// @param errors gets one line a fault.
  /// @return the exit status of the operator's program: 0, or 2 at a fault.
  [[nodiscard]] int Print(std::ostream& out, std::ostream& errors) const;

 private:
  Configuration places_;
  std::deque<ServiceBuilder> services_;
  std::deque<WorkspaceBuilder> workspaces_;
};

}  // namespace comfreyvane::declare

#endif  // COMFREYVANE_DECLARE_DEPLOYMENT_H_
