#include "comfreyvane/host/dispatcher_table.h"

#include "comfreyvane/base/hash.h"
#include "comfreyvane/host/service_dispatcher.h"

namespace comfreyvane {

DispatcherTable::DispatcherTable(std::uint64_t seed) : seed_(seed) {}

DispatcherTable::DispatcherPtr DispatcherTable::Ensure(ServiceId service) {
  const std::lock_guard lock(mutex_);
  DispatcherPtr& dispatcher = dispatchers_[service];
  if (!dispatcher) {
    dispatcher = std::make_shared<ServiceDispatcher>(
        service, HashPair(seed_, service.value()));
  }
  return dispatcher;
}

DispatcherTable::DispatcherPtr DispatcherTable::Find(ServiceId service) const {
  const std::lock_guard lock(mutex_);
  const auto found = dispatchers_.find(service);
  return found == dispatchers_.end() ? nullptr : found->second;
}

std::vector<std::pair<ServiceId, DispatcherTable::DispatcherPtr>>
DispatcherTable::All() const {
  const std::lock_guard lock(mutex_);
  return {dispatchers_.begin(), dispatchers_.end()};
}

}  // namespace comfreyvane
