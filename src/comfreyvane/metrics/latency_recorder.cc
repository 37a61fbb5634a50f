#include "comfreyvane/metrics/latency_recorder.h"

#include <algorithm>
#include <vector>

namespace comfreyvane {
namespace {

/// Halvings of the range in which a quantile is searched.
constexpr int kBisections = 40;

double FractionUpTo(const std::vector<QuantileWindow>& windows, double value) {
  double weighted = 0;
  double total = 0;
  for (const QuantileWindow& window : windows) {
    const auto weight = static_cast<double>(window.count());
    weighted += weight * window.FractionUpTo(value);
    total += weight;
  }
  return weighted / total;
}

Duration Quantile(const std::vector<QuantileWindow>& windows,
                  double probability) {
  double low = 0;
  double high = 0;
  for (const QuantileWindow& window : windows)
    high = std::max(high, window.greatest());
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2;
    (FractionUpTo(windows, middle) < probability ? low : high) = middle;
  }
  return Duration(static_cast<Duration::rep>(high));
}

std::int64_t WindowNumber(TimePoint now) {
  return now.time_since_epoch() / LatencyRecorder::kWindow;
}

}  // namespace

void LatencyRecorder::Rotate(Shard& shard, std::int64_t number) {
  if (number <= shard.current_number)
    return;
  shard.previous =
      number == shard.current_number + 1 ? shard.current : QuantileWindow();
  shard.current = QuantileWindow();
  shard.current_number = number;
}

void LatencyRecorder::Record(Duration latency, TimePoint now) {
  Shard& shard = shards_[ThreadShard()];
  const std::lock_guard lock(shard.mutex);
  Rotate(shard, WindowNumber(now));
  ++shard.count;
  shard.sum += latency;
  shard.current.Add(static_cast<double>(latency.count()));
}

LatencySummary LatencyRecorder::Summary(TimePoint now) const {
  const std::int64_t number = WindowNumber(now);
  LatencySummary summary;
  std::vector<QuantileWindow> windows;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    summary.count += shard.count;
    summary.sum += shard.sum;
    const std::int64_t age = number - shard.current_number;
    if (age <= 1 && shard.current.count() > 0)
      windows.push_back(shard.current);
    if (age <= 0 && shard.previous.count() > 0)
      windows.push_back(shard.previous);
  }
  if (windows.empty())
    return summary;
  summary.p50 = Quantile(windows, 0.50);
  summary.p90 = Quantile(windows, 0.90);
  summary.p99 = Quantile(windows, 0.99);
  return summary;
}

}  // namespace comfreyvane
