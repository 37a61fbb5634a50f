/// @file
/// Quantile estimate over one window of time.
#ifndef COMFREYVANE_METRICS_QUANTILE_WINDOW_H_
#define COMFREYVANE_METRICS_QUANTILE_WINDOW_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <vector>

namespace comfreyvane {

/// Estimates the distribution of the samples of one window by the extended
/// P-square algorithm (Raatikainen 1987), in constant memory.
class QuantileWindow {
 public:
  /// The quantiles that are estimated between the least and the greatest.
  static constexpr std::array<double, 9> kProbabilities{
      0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.999};

  QuantileWindow();

  /// @param value one sample.
  void Add(double value);

  [[nodiscard]] std::uint64_t count() const;

  /// @param value a possible sample.
  /// @return the estimated fraction of samples up to the value, 0 if empty.
  [[nodiscard]] double FractionUpTo(double value) const;

  /// @return the greatest sample, 0 if empty.
  [[nodiscard]] double greatest() const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::min,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>>;

  [[nodiscard]] double FractionOfFew(double value) const;
  [[nodiscard]] double FractionOfMany(double value) const;

  /// Samples up to the number that the estimate needs before it is defined.
  static constexpr std::size_t kExactSamples = 2 * kProbabilities.size() + 3;

  std::vector<double> first_;
  Accumulator accumulator_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_QUANTILE_WINDOW_H_
