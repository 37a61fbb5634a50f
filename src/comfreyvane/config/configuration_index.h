/// @file
/// Lookups in a configuration on the request path.
#ifndef COMFREYVANE_CONFIG_CONFIGURATION_INDEX_H_
#define COMFREYVANE_CONFIG_CONFIGURATION_INDEX_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/config/configuration.h"
#include "comfreyvane/config/indexed_key.h"
#include "comfreyvane/config/key_digest.h"

namespace comfreyvane {

/// Immutable lookups in one accepted configuration, shared between threads.
/// No query allocates. Objects stay valid while the index lives.
class ConfigurationIndex {
 public:
  /// @param configuration must be free of errors as by Validate().
  /// @param revision its revision.
  ConfigurationIndex(std::shared_ptr<const Configuration> configuration,
                     Revision revision);

  [[nodiscard]] const Configuration& configuration() const {
    return *configuration_;
  }
  [[nodiscard]] Revision revision() const { return revision_; }

  /// @param digest of the key that a caller presented.
  /// @return what the key stands for, or null if no workspace has it.
  [[nodiscard]] const IndexedKey* FindKey(const KeyDigest& digest) const;

  /// @param id of a key.
  /// @return what the key stands for, or null.
  [[nodiscard]] const IndexedKey* FindKey(KeyId id) const;

  /// @param path of a request, starting with '/'.
  /// @return the service with the longest path prefix of it, or null.
  [[nodiscard]] const Service* FindRoute(std::string_view path) const;

  /// @return the object of that name, or null.
  [[nodiscard]] const Service* FindService(std::string_view name) const;
  [[nodiscard]] const Site* FindSite(std::string_view name) const;
  [[nodiscard]] const Region* FindRegion(std::string_view name) const;
  [[nodiscard]] const FailureDomain* FindFailureDomain(
      std::string_view name) const;
  [[nodiscard]] const Workspace* FindWorkspace(std::string_view name) const;
  [[nodiscard]] const BackendServer* FindBackendServer(
      std::string_view name) const;

  /// @return the object of that identifier, or null.
  [[nodiscard]] const Service* Find(ServiceId id) const;
  [[nodiscard]] const Site* Find(SiteId id) const;
  [[nodiscard]] const Region* Find(RegionId id) const;
  [[nodiscard]] const FailureDomain* Find(FailureDomainId id) const;
  [[nodiscard]] const Workspace* Find(WorkspaceId id) const;
  [[nodiscard]] const BackendServer* Find(BackendServerId id) const;

  /// @return the backend servers of a service, leaving ones included; empty
  ///         for an unknown service.
  [[nodiscard]] const std::vector<const BackendServer*>& BackendServersOf(
      ServiceId service) const;

 private:
  /// A path prefix in sorted order.
  struct Route {
    std::string_view prefix;
    const Service* service = nullptr;
    std::int32_t shorter = -1;  ///< The longest other prefix of this one.
  };

  template <typename Id, typename Object>
  using Table = std::unordered_map<Id, const Object*>;

  void AddKeys();
  void AddRoutes();

  std::shared_ptr<const Configuration> configuration_;
  Revision revision_;
  std::unordered_map<KeyDigest, IndexedKey> keys_;
  std::unordered_map<KeyId, KeyDigest> key_digests_;
  std::vector<Route> routes_;
  Table<ServiceId, Service> services_;
  Table<SiteId, Site> sites_;
  Table<RegionId, Region> regions_;
  Table<FailureDomainId, FailureDomain> failure_domains_;
  Table<WorkspaceId, Workspace> workspaces_;
  Table<BackendServerId, BackendServer> backend_servers_;
  std::unordered_map<ServiceId, std::vector<const BackendServer*>>
      servers_by_service_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_CONFIGURATION_INDEX_H_
