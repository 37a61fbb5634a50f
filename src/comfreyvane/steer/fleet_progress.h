/// @file
/// How far a shift is on all hosts.
#ifndef COMFREYVANE_STEER_FLEET_PROGRESS_H_
#define COMFREYVANE_STEER_FLEET_PROGRESS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Ends within the largest step allowed by number of clients, between which
/// hosts choose by their clients' traffic.
inline constexpr std::size_t kStepCheckpoints = 32;

/// Progress of a service's shift over all other hosts that may give answers.
/// Failure domains can pass on theirs, as it combines by minimum, maximum and
/// sum. A host without others takes its own.
struct FleetProgress {
  /// Digest of the plan that all of them follow; zero where they differ.
  std::uint64_t plan = 0;
  std::uint32_t remaining = 0;  ///< Most parts that one has yet to move.
  TimePoint reported_at{};      ///< Of the oldest report, on this host's clock.
  std::uint32_t min_remaining = 0;  ///< Least parts that one has yet to move.
  std::uint64_t traffic = 0;        ///< Requests of the last whole window.
  /// Of these, most that one site gains or loses up to each checkpoint. Counts
  /// only where all hosts are equally far.
  std::array<std::uint64_t, kStepCheckpoints> moved_traffic{};

  friend bool operator==(const FleetProgress&, const FleetProgress&) = default;
};

/// @return the progress of all hosts behind both.
[[nodiscard]] FleetProgress Combine(const FleetProgress& left,
                                    const FleetProgress& right);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_FLEET_PROGRESS_H_
