#include "comfreyvane/host/active_configuration.h"

#include <utility>

#include "comfreyvane/config/configuration_index.h"

namespace comfreyvane {

const ActiveConfiguration::IndexPtr& ActiveConfiguration::Reader::Read() {
  const std::uint64_t version =
      source_.version_.load(std::memory_order_acquire);
  if (version != version_) {
    index_ = source_.Load();
    version_ = version;
  }
  return index_;
}

void ActiveConfiguration::Publish(IndexPtr index) {
  const std::lock_guard lock(mutex_);
  index_ = std::move(index);
  version_.fetch_add(1, std::memory_order_release);
}

ActiveConfiguration::IndexPtr ActiveConfiguration::Load() const {
  const std::lock_guard lock(mutex_);
  return index_;
}

}  // namespace comfreyvane
