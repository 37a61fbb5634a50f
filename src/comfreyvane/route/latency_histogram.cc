#include "comfreyvane/route/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace comfreyvane {
namespace {

constexpr std::uint64_t kMinLatencyNs = 1024;
constexpr std::uint64_t kBucketsPerOctave = 4;
constexpr std::uint64_t kMinSamples = 20;

std::size_t BucketOf(Duration latency) {
  const auto ns = static_cast<std::uint64_t>(std::max<Duration::rep>(
      latency.count(), static_cast<Duration::rep>(kMinLatencyNs)));
  const auto octave = static_cast<std::uint64_t>(std::bit_width(ns)) - 1;
  const std::uint64_t quarter = (ns >> (octave - 2)) & 3U;
  const std::uint64_t first = std::bit_width(kMinLatencyNs) - 1;
  const std::uint64_t bucket = (octave - first) * kBucketsPerOctave + quarter;
  return std::min<std::size_t>(bucket, LatencyHistogram::kBuckets - 1);
}

Duration UpperBound(std::size_t bucket) {
  const std::uint64_t octave = bucket / kBucketsPerOctave;
  const std::uint64_t quarter = bucket % kBucketsPerOctave;
  const std::uint64_t base = kMinLatencyNs << octave;
  return Duration(static_cast<Duration::rep>(base + base * (quarter + 1) /
                                                        kBucketsPerOctave));
}

}  // namespace

void LatencyHistogram::Add(Duration latency) {
  ++counts_[BucketOf(latency)];
  if (++samples_ < 2 * kHalvingSamples)
    return;
  samples_ = 0;
  for (std::uint32_t& count : counts_) {
    count /= 2;
    samples_ += count;
  }
}

std::optional<Duration> LatencyHistogram::Quantile(double rank) const {
  assert(rank >= 0.0 && rank <= 1.0);
  if (samples_ < kMinSamples)
    return std::nullopt;
  const auto wanted =
      static_cast<std::uint64_t>(rank * static_cast<double>(samples_));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    seen += counts_[i];
    if (seen > wanted || seen == samples_)
      return UpperBound(i);
  }
  return UpperBound(kBuckets - 1);
}

}  // namespace comfreyvane
