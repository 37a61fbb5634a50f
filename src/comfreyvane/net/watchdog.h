/// @file
/// Timeout of one connection.
#ifndef COMFREYVANE_NET_WATCHDOG_H_
#define COMFREYVANE_NET_WATCHDOG_H_

#include <functional>
#include <list>
#include <memory>

#include "comfreyvane/base/time.h"
#include "comfreyvane/net/fwd.h"

namespace comfreyvane {

/// Calls a function once its deadline has passed. Arming costs one store.
class Watchdog {
 public:
  /// @param sweeper of the thread that owns the connection.
  /// @param on_fire cancels the connection's pending operations; must not
  /// destroy the watchdog.
  Watchdog(TimeoutSweeper& sweeper, std::function<void()> on_fire);
  ~Watchdog();
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

  /// Sets the deadline and forgets an earlier firing.
  void Arm(TimePoint deadline);
  void Disarm();

  /// Ends the connection's operations for good: pending ones now, and each
  /// further one as it begins.
  void Cancel();

  /// @return whether it fired since it was last armed.
  [[nodiscard]] bool fired() const { return fired_; }
  [[nodiscard]] bool is_cancelled() const { return is_cancelled_; }

  /// @return whether no further operation may begin before it is armed again.
  [[nodiscard]] bool IsOver(TimePoint now) const {
    return is_cancelled_ || fired_ || now >= deadline_;
  }

 private:
  friend class TimeoutSweeper;
  void FireIfDue(TimePoint now);

  /// Shared, since a connection may end after the sweeper.
  std::shared_ptr<std::list<Watchdog*>> watchdogs_;
  std::function<void()> on_fire_;
  std::list<Watchdog*>::iterator place_;
  TimePoint deadline_ = TimePoint::max();
  bool fired_ = false;
  bool is_cancelled_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_WATCHDOG_H_
