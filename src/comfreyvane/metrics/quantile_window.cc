#include "comfreyvane/metrics/quantile_window.h"

#include <algorithm>

namespace comfreyvane {

namespace acc = boost::accumulators;

QuantileWindow::QuantileWindow()
    : accumulator_(acc::extended_p_square_probabilities = kProbabilities) {
  first_.reserve(kExactSamples);
}

void QuantileWindow::Add(double value) {
  if (first_.size() < kExactSamples)
    first_.push_back(value);
  accumulator_(value);
}

std::uint64_t QuantileWindow::count() const {
  return acc::count(accumulator_);
}

double QuantileWindow::greatest() const {
  return count() == 0 ? 0 : (acc::max)(accumulator_);
}

double QuantileWindow::FractionUpTo(double value) const {
  if (count() == 0)
    return 0;
  return count() <= kExactSamples ? FractionOfFew(value)
                                  : FractionOfMany(value);
}

double QuantileWindow::FractionOfFew(double value) const {
  const auto up_to = std::count_if(first_.begin(), first_.end(),
                                   [&](double v) { return v <= value; });
  return static_cast<double>(up_to) / static_cast<double>(first_.size());
}

double QuantileWindow::FractionOfMany(double value) const {
  const double least = (acc::min)(accumulator_);
  if (value < least)
    return 0;
  if (value >= greatest())
    return 1;
  const auto heights = acc::extended_p_square(accumulator_);
  double below_height = least;
  double below_fraction = 0;
  for (std::size_t i = 0; i <= kProbabilities.size(); ++i) {
    const bool last = i == kProbabilities.size();
    const double height = last ? greatest() : heights[i];
    const double fraction = last ? 1 : kProbabilities[i];
    if (value < height) {
      const double part = (value - below_height) / (height - below_height);
      return below_fraction + part * (fraction - below_fraction);
    }
    below_height = std::max(below_height, height);
    below_fraction = fraction;
  }
  return 1;
}

}  // namespace comfreyvane
