/// @file
/// Forward declarations of package metrics.
#ifndef COMFREYVANE_METRICS_FWD_H_
#define COMFREYVANE_METRICS_FWD_H_

#include <cstddef>

namespace comfreyvane {

struct LatencySummary;
struct MetricsSnapshot;
class LatencyRecorder;
class MetricsRegistry;
class QuantileWindow;
template <std::size_t kCount>
class ShardedCounters;
enum class CounterName;
enum class GaugeName;
enum class LatencyName;

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_FWD_H_
