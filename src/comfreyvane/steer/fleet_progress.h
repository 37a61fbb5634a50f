/// @file
/// Progress of a shift over all hosts.
#ifndef COMFREYVANE_STEER_FLEET_PROGRESS_H_
#define COMFREYVANE_STEER_FLEET_PROGRESS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Number of points that divide the largest step that the cap permits. Hosts
/// end a step at one of them, according to the traffic of the clients moved.
inline constexpr std::size_t kStepCheckpoints = 32;

/// Progress of a service's shift over all other hosts that may give answers. It
/// combines by minimum, maximum and sum, so failure domains can aggregate and
/// forward it. A host without peers uses its own progress.
struct FleetProgress {
  /// Digest of the plan of all these hosts; zero if the plans differ.
  std::uint64_t plan = 0;
  std::uint32_t remaining = 0;      ///< Moves left on the hindmost host.
  TimePoint reported_at{};          ///< Time of the oldest report, local clock.
  std::uint32_t min_remaining = 0;  ///< Moves left on the foremost host.
  std::uint64_t traffic = 0;        ///< Requests in the last complete window.
  /// Of these, the largest number that any site gains or loses up to each
  /// checkpoint. Valid only if all hosts have made the same number of moves.
  std::array<std::uint64_t, kStepCheckpoints> moved_traffic{};

  friend bool operator==(const FleetProgress&, const FleetProgress&) = default;
};

/// @return the combined progress of the hosts of both.
[[nodiscard]] FleetProgress Combine(const FleetProgress& left,
                                    const FleetProgress& right);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_FLEET_PROGRESS_H_
