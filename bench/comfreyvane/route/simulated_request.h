/// @file
/// A request of the experiment.
#ifndef BENCH_COMFREYVANE_ROUTE_SIMULATED_REQUEST_H_
#define BENCH_COMFREYVANE_ROUTE_SIMULATED_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "comfreyvane/base/time.h"

namespace comfreyvane::bench {

/// Key of the request that crashes each server that runs it.
inline constexpr std::uint64_t kCrashingKey = 1000000;

/// A request of the experiment.
struct SimulatedRequest {
  std::size_t host = 0;
  std::uint64_t key = 0;  ///< What it reads; its fingerprint.
  bool idempotent = true;
  TimePoint arrived{};
  TimePoint deadline{};
  TimePoint dispatched{};
  std::uint32_t attempts = 0;
  bool isolated = false;
  bool may_have_run = false;
  std::vector<std::size_t> tried;
};

}  // namespace comfreyvane::bench

#endif  // BENCH_COMFREYVANE_ROUTE_SIMULATED_REQUEST_H_
