#include "comfreyvane/declare/deployment.h"

#include <boost/leaf/handle_errors.hpp>
#include <ostream>
#include <utility>

#include "comfreyvane/config/codec.h"
#include "comfreyvane/config/validate.h"

namespace comfreyvane::declare {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitInvalid = 2;

}  // namespace

RegionHandle Deployment::AddRegion(std::string name,
                                   RequestsPerSecond capacity) {
  places_.regions.push_back({name, capacity.value});
  return RegionHandle(std::move(name));
}

void Deployment::AddLink(const RegionHandle& first,
                         const RegionHandle& second,
                         Megabits size) {
  places_.links.push_back({first.name(), second.name(), size.value});
}

FailureDomainHandle Deployment::AddFailureDomain(std::string name,
                                                 const RegionHandle& region) {
  places_.failure_domains.push_back({name, region.name()});
  return FailureDomainHandle(std::move(name));
}

SiteHandle Deployment::AddSite(std::string name,
                               const FailureDomainHandle& failure_domain,
                               std::string provider,
                               RequestsPerSecond capacity) {
  places_.sites.push_back(
      {name, failure_domain.name(), std::move(provider), capacity.value});
  return SiteHandle(std::move(name));
}

ServiceBuilder& Deployment::AddService(std::string name,
                                       std::string path_prefix) {
  return services_.emplace_back(std::move(name), std::move(path_prefix));
}

WorkspaceBuilder& Deployment::AddWorkspace(std::string name) {
  return workspaces_.emplace_back(std::move(name));
}

boost::leaf::result<Configuration> Deployment::Build() const {
  Configuration configuration = places_;
  DeclarationErrors errors;
  for (const ServiceBuilder& service : services_) {
    configuration.services.push_back(service.value());
    for (const BackendServerBuilder& server : service.servers())
      configuration.backend_servers.push_back(server.value());
  }
  for (const WorkspaceBuilder& workspace : workspaces_) {
    configuration.workspaces.push_back(workspace.value());
    errors.unreadable_key_files.insert(errors.unreadable_key_files.end(),
                                       workspace.unreadable().begin(),
                                       workspace.unreadable().end());
  }
  errors.errors = Validate(configuration);
  if (!errors.errors.empty() || !errors.unreadable_key_files.empty())
    return boost::leaf::new_error(std::move(errors));
  return Canonical(std::move(configuration));
}

int Deployment::Print(std::ostream& out, std::ostream& errors) const {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(configuration, Build());
        out << comfreyvane::Print(configuration);
        return kExitDone;
      },
      [&](const DeclarationErrors& faults) {
        errors << faults;
        return kExitInvalid;
      },
      [] { return kExitInvalid; });
}

std::ostream& operator<<(std::ostream& out, const DeclarationErrors& errors) {
  for (const std::filesystem::path& path : errors.unreadable_key_files)
    out << path.string() << ": key file unreadable\n";
  for (const ConfigurationError& error : errors.errors)
    out << error << '\n';
  return out;
}

}  // namespace comfreyvane::declare
