/// @file
/// The dispatchers of all services.
#ifndef COMFREYVANE_HOST_DISPATCHER_TABLE_H_
#define COMFREYVANE_HOST_DISPATCHER_TABLE_H_

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/host/fwd.h"

namespace comfreyvane {

/// Finds the dispatcher of a service. A service that a configuration drops
/// keeps its dispatcher, whose servers then are gone. Safe for use by all
/// threads.
class DispatcherTable {
 public:
  using DispatcherPtr = std::shared_ptr<ServiceDispatcher>;

  /// @param seed of the dispatchers' random choices.
  explicit DispatcherTable(std::uint64_t seed);

  /// @return the dispatcher of the service, made if there is none.
  [[nodiscard]] DispatcherPtr Ensure(ServiceId service);

  /// @return the dispatcher of the service, or null.
  [[nodiscard]] DispatcherPtr Find(ServiceId service) const;

  /// @return all dispatchers with their services.
  [[nodiscard]] std::vector<std::pair<ServiceId, DispatcherPtr>> All() const;

 private:
  std::uint64_t seed_;
  mutable std::mutex mutex_;
  std::unordered_map<ServiceId, DispatcherPtr> dispatchers_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_DISPATCHER_TABLE_H_
