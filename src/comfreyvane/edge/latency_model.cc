#include "comfreyvane/edge/latency_model.h"

namespace comfreyvane {
namespace {

/// Gain of the moving average: about 20 requests.
constexpr double kGain = 0.05;

/// Assumed ratio of warm to cold latency before there is a sample.
constexpr double kFirstWarmRatio = 0.5;

void Average(double& estimate, Duration sample) {
  const auto value = static_cast<double>(sample.count());
  estimate = estimate == 0.0 ? value : estimate + kGain * (value - estimate);
}

}  // namespace

Duration LatencyModel::Expected(std::uint64_t kind,
                                bool warm,
                                Duration first) const {
  Estimate estimate;
  if (const auto found = estimates_.find(kind); found != estimates_.end())
    estimate = found->second;
  if (estimate.cold_ns == 0.0)
    estimate.cold_ns = static_cast<double>(first.count());
  if (estimate.warm_ns == 0.0)
    estimate.warm_ns = kFirstWarmRatio * estimate.cold_ns;
  return Duration(
      static_cast<Duration::rep>(warm ? estimate.warm_ns : estimate.cold_ns));
}

void LatencyModel::Add(std::uint64_t kind, bool warm, Duration sample) {
  Estimate& estimate = estimates_[kind];
  Average(warm ? estimate.warm_ns : estimate.cold_ns, sample);
}

}  // namespace comfreyvane
