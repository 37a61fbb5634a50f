/// @file
/// The configuration in force, for all threads.
#ifndef COMFREYVANE_HOST_ACTIVE_CONFIGURATION_H_
#define COMFREYVANE_HOST_ACTIVE_CONFIGURATION_H_

#include <atomic>
#include <memory>
#include <mutex>

#include "comfreyvane/config/fwd.h"

namespace comfreyvane {

/// An immutable index that is replaced whole. Safe for use by all threads.
class ActiveConfiguration {
 public:
  using IndexPtr = std::shared_ptr<const ConfigurationIndex>;

  /// Keeps a thread's copy, so that reading takes no lock until a newer
  /// configuration is there. For one thread.
  class Reader {
   public:
    explicit Reader(const ActiveConfiguration& source) : source_(source) {}

    /// @return the configuration in force, or null before the first.
    [[nodiscard]] const IndexPtr& Read();

   private:
    const ActiveConfiguration& source_;
    std::uint64_t version_ = 0;
    IndexPtr index_;
  };

  /// Puts a configuration in force.
  void Publish(IndexPtr index);

  /// @return the configuration in force, or null before the first.
  [[nodiscard]] IndexPtr Load() const;

 private:
  mutable std::mutex mutex_;
  IndexPtr index_;
  std::atomic<std::uint64_t> version_{0};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_ACTIVE_CONFIGURATION_H_
