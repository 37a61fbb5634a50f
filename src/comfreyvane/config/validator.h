/// @file
/// Checker of one configuration.
#ifndef COMFREYVANE_CONFIG_VALIDATOR_H_
#define COMFREYVANE_CONFIG_VALIDATOR_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "comfreyvane/config/configuration.h"
#include "comfreyvane/config/configuration_error.h"
#include "comfreyvane/config/name_set.h"

namespace comfreyvane {

/// Checks one configuration and collects every fault. Used by Validate().
class Validator {
 public:
  /// @param configuration must outlive the validator.
  explicit Validator(const Configuration& configuration);

  /// Makes all checks. Call it once.
  void Run();

  [[nodiscard]] const std::vector<ConfigurationError>& errors() const {
    return errors_;
  }

 private:
  using Kind = ConfigurationErrorKind;

  template <typename Object>
  void AddNames(const std::string& kind,
                const std::vector<Object>& objects,
                NameSet& names);
  void AddAllNames();
  void CheckRegions();
  void CheckLinks();
  void CheckFailureDomains();
  void CheckSites();
  void CheckServices();
  void CheckPathPrefix(const Service& service, const std::string& object);
  void CheckShares(const Service& service, const std::string& object);
  void CheckBackendServers();
  void CheckWorkspaces();
  void CheckKey(const KeyRecord& key, const std::string& workspace);
  void CheckNotZero(const std::string& object,
                    const char* member,
                    std::uint64_t value);
  void CheckKnown(const std::string& object,
                  const char* member,
                  const std::string& name,
                  const NameSet& names,
                  Kind kind);
  [[nodiscard]] bool HasServer(const std::string& service,
                               const std::string& site) const;
  void AddError(Kind kind,
                const std::string& object,
                const std::string& member,
                const std::string& value,
                std::uint64_t limit = 0);

  const Configuration& configuration_;
  NameSet regions_;
  NameSet failure_domains_;
  NameSet sites_;
  NameSet services_;
  NameSet backend_servers_;
  NameSet workspaces_;
  NameSet key_ids_;
  std::set<std::string> path_prefixes_;
  std::set<std::string> key_hashes_;
  std::set<std::pair<std::string, std::string>> served_;
  std::vector<ConfigurationError> errors_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_VALIDATOR_H_
