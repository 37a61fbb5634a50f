#include "comfreyvane/edge/spill_ramp.h"

#include <algorithm>

namespace comfreyvane {
namespace {

constexpr Duration kInterval = std::chrono::seconds(1);

/// Requests of an interval below which its part says little.
constexpr std::uint32_t kLeastSent = 8;

}  // namespace

bool SpillRamp::MayLeave(TimePoint now) const {
  if (now < released_until_)
    return true;
  const double most = std::min(1.0, part_ + step_);
  return left_ + 1 <= most * std::max(sent_ + 1, kLeastSent);
}

bool SpillRamp::ShouldLeave(TimePoint now) const {
  if (now < released_until_)
    return false;
  const double least = std::max(0.0, part_ - step_);
  return left_ + 1 < least * (sent_ + 1);
}

void SpillRamp::OnSent(bool left_region, TimePoint now) {
  if (now >= interval_end_) {
    if (sent_ >= kLeastSent)
      part_ = static_cast<double>(left_) / sent_;
    sent_ = left_ = 0;
    interval_end_ = now + kInterval;
  }
  ++sent_;
  left_ += left_region ? 1 : 0;
}

}  // namespace comfreyvane
