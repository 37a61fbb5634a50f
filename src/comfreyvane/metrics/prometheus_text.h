/// @file
/// Metrics in the Prometheus text format.
#ifndef COMFREYVANE_METRICS_PROMETHEUS_TEXT_H_
#define COMFREYVANE_METRICS_PROMETHEUS_TEXT_H_

#include <string>
#include <string_view>

#include "comfreyvane/metrics/metrics_snapshot.h"

namespace comfreyvane {

/// Content type of the text.
inline constexpr std::string_view kPrometheusContentType =
    "text/plain; version=0.0.4; charset=utf-8";

/// @param snapshot the metrics.
/// @return them in the Prometheus text exposition format, version 0.0.4, in a
///         fixed order. Every reason has its series, also at zero.
[[nodiscard]] std::string PrometheusText(const MetricsSnapshot& snapshot);

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_PROMETHEUS_TEXT_H_
