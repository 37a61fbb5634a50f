/// @file
/// Faults that the platform stand-in can show.
#ifndef STANDINS_PLATFORM_FAULTS_H_
#define STANDINS_PLATFORM_FAULTS_H_

#include <cstdint>

namespace comfreyvane::standin {

/// Faults in force; all off by default.
struct PlatformFaults {
  bool down = false;               ///< Every call answers 503.
  std::uint32_t slow_ms = 0;       ///< Delay of each answer.
  std::uint32_t lose_answers = 0;  ///< Commits that take effect unanswered.
  std::uint32_t conflicts = 0;     ///< Commits refused with a conflict.
  std::uint32_t host_list_lag_ms = 0;

  friend bool operator==(const PlatformFaults&,
                         const PlatformFaults&) = default;
};

}  // namespace comfreyvane::standin

#endif  // STANDINS_PLATFORM_FAULTS_H_
