#include "comfreyvane/config/configuration_index.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {
namespace {

template <typename Id, typename Object>
void AddAll(const std::vector<Object>& objects,
            std::unordered_map<Id, const Object*>& table) {
  table.reserve(objects.size());
  for (const Object& object : objects)
    table.emplace(Id::Of(object.name), &object);
}

template <typename Id, typename Object>
const Object* Get(const std::unordered_map<Id, const Object*>& table, Id id) {
  const auto found = table.find(id);
  return found == table.end() ? nullptr : found->second;
}

/// Finds by name through the identifier, which needs no copy of the name. A
/// name that only shares the identifier is not found.
template <typename Id, typename Object>
const Object* GetNamed(const std::unordered_map<Id, const Object*>& table,
                       std::string_view name) {
  const Object* object = Get(table, Id::Of(name));
  return object != nullptr && object->name == name ? object : nullptr;
}

}  // namespace

ConfigurationIndex::ConfigurationIndex(
    std::shared_ptr<const Configuration> configuration,
    Revision revision)
    : configuration_(std::move(configuration)), revision_(revision) {
  AddAll(configuration_->services, services_);
  AddAll(configuration_->sites, sites_);
  AddAll(configuration_->regions, regions_);
  AddAll(configuration_->failure_domains, failure_domains_);
  AddAll(configuration_->workspaces, workspaces_);
  AddAll(configuration_->backend_servers, backend_servers_);
  for (const BackendServer& server : configuration_->backend_servers)
    servers_by_service_[ServiceId::Of(server.service)].push_back(&server);
  AddKeys();
  AddRoutes();
}

void ConfigurationIndex::AddKeys() {
  std::uint32_t workspace_index = 0;
  for (const Workspace& workspace : configuration_->workspaces) {
    const auto workspace_id = WorkspaceId::Of(workspace.name);
    for (const KeyRecord& key : workspace.keys) {
      const auto digest = KeyDigest::FromHex(key.sha256);
      if (!digest)
        continue;
      const IndexedKey indexed{KeyId::Of(key.id), workspace_id, workspace_index,
                               key.withdrawn};
      keys_.emplace(*digest, indexed);
      key_digests_.emplace(indexed.id, *digest);
    }
    ++workspace_index;
  }
}

void ConfigurationIndex::AddRoutes() {
  for (const Service& service : configuration_->services)
    routes_.push_back({service.path_prefix, &service, -1});
  std::sort(routes_.begin(), routes_.end(),
            [](const Route& a, const Route& b) { return a.prefix < b.prefix; });
  for (std::size_t i = 1; i < routes_.size(); ++i) {
    auto shorter = static_cast<std::int32_t>(i) - 1;
    while (shorter >= 0 &&
           !routes_[i].prefix.starts_with(
               routes_[static_cast<std::size_t>(shorter)].prefix))
      shorter = routes_[static_cast<std::size_t>(shorter)].shorter;
    routes_[i].shorter = shorter;
  }
}

const IndexedKey* ConfigurationIndex::FindKey(const KeyDigest& digest) const {
  const auto found = keys_.find(digest);
  return found == keys_.end() ? nullptr : &found->second;
}

const IndexedKey* ConfigurationIndex::FindKey(KeyId id) const {
  const auto found = key_digests_.find(id);
  return found == key_digests_.end() ? nullptr : FindKey(found->second);
}

const Service* ConfigurationIndex::FindRoute(std::string_view path) const {
  const auto after = std::upper_bound(
      routes_.begin(), routes_.end(), path,
      [](std::string_view p, const Route& route) { return p < route.prefix; });
  auto at = static_cast<std::int32_t>(after - routes_.begin()) - 1;
  while (at >= 0) {
    const Route& route = routes_[static_cast<std::size_t>(at)];
    if (path.starts_with(route.prefix))
      return route.service;
    at = route.shorter;
  }
  return nullptr;
}

const Service* ConfigurationIndex::FindService(std::string_view name) const {
  return GetNamed(services_, name);
}

const Site* ConfigurationIndex::FindSite(std::string_view name) const {
  return GetNamed(sites_, name);
}

const Region* ConfigurationIndex::FindRegion(std::string_view name) const {
  return GetNamed(regions_, name);
}

const FailureDomain* ConfigurationIndex::FindFailureDomain(
    std::string_view name) const {
  return GetNamed(failure_domains_, name);
}

const Workspace* ConfigurationIndex::FindWorkspace(
    std::string_view name) const {
  return GetNamed(workspaces_, name);
}

const BackendServer* ConfigurationIndex::FindBackendServer(
    std::string_view name) const {
  return GetNamed(backend_servers_, name);
}

const Service* ConfigurationIndex::Find(ServiceId id) const {
  return Get(services_, id);
}

const Site* ConfigurationIndex::Find(SiteId id) const {
  return Get(sites_, id);
}

const Region* ConfigurationIndex::Find(RegionId id) const {
  return Get(regions_, id);
}

const FailureDomain* ConfigurationIndex::Find(FailureDomainId id) const {
  return Get(failure_domains_, id);
}

const Workspace* ConfigurationIndex::Find(WorkspaceId id) const {
  return Get(workspaces_, id);
}

const BackendServer* ConfigurationIndex::Find(BackendServerId id) const {
  return Get(backend_servers_, id);
}

const std::vector<const BackendServer*>& ConfigurationIndex::BackendServersOf(
    ServiceId service) const {
  static const std::vector<const BackendServer*> kNone;
  const auto found = servers_by_service_.find(service);
  return found == servers_by_service_.end() ? kNone : found->second;
}

}  // namespace comfreyvane
