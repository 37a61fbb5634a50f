/// @file
/// A value under its own lock.
#ifndef COMFREYVANE_HOST_LOCKED_H_
#define COMFREYVANE_HOST_LOCKED_H_

#include <mutex>
#include <utility>

namespace comfreyvane {

/// A value that threads reach only under its lock.
/// @tparam T the value.
template <typename T>
class Locked {
 public:
  /// Makes the value from the arguments.
  template <typename... Args>
  explicit Locked(Args&&... args) : value_(std::forward<Args>(args)...) {}
  Locked(const Locked&) = delete;
  Locked& operator=(const Locked&) = delete;

  /// Runs `work(T&)` under the lock. Must not be nested.
  template <typename Work>
  auto With(Work&& work) {
    const std::lock_guard lock(mutex_);
    return std::forward<Work>(work)(value_);
  }

  /// Runs `work(const T&)` under the lock. Must not be nested.
  template <typename Work>
  auto With(Work&& work) const {
    const std::lock_guard lock(mutex_);
    return std::forward<Work>(work)(value_);
  }

 private:
  mutable std::mutex mutex_;
  T value_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_LOCKED_H_
