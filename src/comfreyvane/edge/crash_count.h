/// @file
/// Number of crashes during a request.
#ifndef COMFREYVANE_EDGE_CRASH_COUNT_H_
#define COMFREYVANE_EDGE_CRASH_COUNT_H_

#include <cstdint>

namespace comfreyvane {

/// How often backend servers closed the connection while they processed a
/// request.
struct CrashCount {
  std::uint64_t fingerprint = 0;  ///< Of the request.
  std::uint32_t count = 0;        ///< Seen by one host.

  friend bool operator==(const CrashCount&, const CrashCount&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_CRASH_COUNT_H_
