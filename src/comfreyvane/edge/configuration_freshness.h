/// @file
/// Decides whether a host may act on the regions in its configuration.
#ifndef COMFREYVANE_EDGE_CONFIGURATION_FRESHNESS_H_
#define COMFREYVANE_EDGE_CONFIGURATION_FRESHNESS_H_

#include <algorithm>
#include <cassert>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Knows when the configuration of a host was last confirmed to be the newest,
/// and decides whether requests that are bound to regions may be sent by it. A
/// newer version, which may have moved the regions, is in force elsewhere once
/// the configuration has not been confirmed for its maximum age.
class ConfigurationFreshness {
 public:
  /// @param max_age time within which an accepted configuration is in force.
  explicit ConfigurationFreshness(Duration max_age) : max_age_(max_age) {
    assert(max_age > Duration::zero());
  }

  /// Records that no newer version had been accepted at a point in time.
  void OnConfirmed(TimePoint at) {
    confirmed_at_ = std::max(confirmed_at_, at);
  }

  /// @return time since the last confirmation, or since the start of the clock
  ///     if there was none.
  [[nodiscard]] Duration Age(TimePoint now) const {
    return now - confirmed_at_;
  }

  /// @return whether a request that is bound to regions may be sent: it arrives
  ///     before a newer version is in force.
  [[nodiscard]] bool MaySendBound(TimePoint now) const {
    return confirmed_at_ != TimePoint{} &&
           Age(now) <= max_age_ - std::min(kMaxTransit, max_age_);
  }

 private:
  /// Time within which a request that is sent reaches its server.
  static constexpr Duration kMaxTransit = std::chrono::milliseconds(250);

  Duration max_age_;
  TimePoint confirmed_at_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_CONFIGURATION_FRESHNESS_H_
