#include "comfreyvane/steer/capacity_ramp.h"

#include <cassert>

namespace comfreyvane {
namespace {

constexpr std::int64_t kPercent = 100;

}  // namespace

std::int64_t CapacityRamp::Usable(std::int64_t capacity, TimePoint now) const {
  assert(capacity >= 0);
  if (!started_ || now - *started_ >= kDuration)
    return capacity;
  const std::int64_t percent = kInitialPercent + (kPercent - kInitialPercent) *
                                                     (now - *started_).count() /
                                                     kDuration.count();
  return capacity * percent / kPercent;
}

}  // namespace comfreyvane
