/// @file
/// Bounds of the proof of freshness.
#ifndef COMFREYVANE_SPREAD_FRESHNESS_SETTINGS_H_
#define COMFREYVANE_SPREAD_FRESHNESS_SETTINGS_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Bounds of the proof of freshness.
struct FreshnessSettings {
  /// Keyed requests are served on a proof no older than this.
  Duration proof_validity = std::chrono::milliseconds(1900);
  Duration read_period = std::chrono::milliseconds(500);  ///< Of the store.
  Duration ask_period = std::chrono::milliseconds(500);   ///< Of peers.
  /// A question without an answer for so long goes to another peer.
  Duration ask_again_after = std::chrono::milliseconds(200);
  Duration retry_after = std::chrono::milliseconds(500);  ///< For callers.

  friend bool operator==(const FreshnessSettings&,
                         const FreshnessSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_FRESHNESS_SETTINGS_H_
