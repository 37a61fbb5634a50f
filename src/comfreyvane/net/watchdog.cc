#include "comfreyvane/net/watchdog.h"

#include <utility>

#include "comfreyvane/net/timeout_sweeper.h"

namespace comfreyvane {

Watchdog::Watchdog(TimeoutSweeper& sweeper, std::function<void()> on_fire)
    : watchdogs_(sweeper.watchdogs_), on_fire_(std::move(on_fire)) {
  place_ = watchdogs_->insert(watchdogs_->end(), this);
}

Watchdog::~Watchdog() {
  watchdogs_->erase(place_);
}

void Watchdog::Arm(TimePoint deadline) {
  deadline_ = deadline;
  fired_ = false;
}

void Watchdog::Disarm() {
  deadline_ = TimePoint::max();
}

void Watchdog::Cancel() {
  is_cancelled_ = true;
  on_fire_();
}

void Watchdog::FireIfDue(TimePoint now) {
  if (now < deadline_)
    return;
  deadline_ = TimePoint::max();
  fired_ = true;
  on_fire_();
}

}  // namespace comfreyvane
