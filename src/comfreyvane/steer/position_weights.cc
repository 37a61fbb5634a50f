#include "comfreyvane/steer/position_weights.h"

#include <algorithm>
#include <numeric>

#include "comfreyvane/config/site_share.h"

namespace comfreyvane {

void PositionWeights::Record(ClientPosition position,
                             std::uint32_t requests,
                             TimePoint now) {
  Advance(now);
  if (current_.empty()) {
    current_.resize(kWholeShare, 0);
    previous_.resize(kWholeShare, 0);
  }
  current_[position] += requests;
}

void PositionWeights::Advance(TimePoint now) {
  if (now - window_start_ < window_)
    return;
  window_start_ = now;
  previous_.swap(current_);
  std::ranges::fill(current_, 0);
  total_ =
      std::accumulate(previous_.begin(), previous_.end(), std::uint64_t{0});
}

}  // namespace comfreyvane
