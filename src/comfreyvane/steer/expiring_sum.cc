#include "comfreyvane/steer/expiring_sum.h"

#include <algorithm>
#include <cassert>

namespace comfreyvane {
namespace {

/// @return the first slot that starts at or after the time.
std::int64_t SlotFrom(TimePoint time) {
  const Duration since = time.time_since_epoch() + ExpiringSum::kSlot;
  return (since - Duration(1)) / ExpiringSum::kSlot;
}

/// @return the slot that contains the time.
std::int64_t SlotOf(TimePoint time) {
  return time.time_since_epoch() / ExpiringSum::kSlot;
}

}  // namespace

void ExpiringSum::Add(std::int64_t amount, TimePoint expires, TimePoint now) {
  assert(amount >= 0);
  assert(expires - now <= kHorizon);
  if (expires <= now)
    return;
  Advance(SlotOf(now));
  amounts_[static_cast<std::size_t>(SlotFrom(expires) % kSlots)] += amount;
  total_ += amount;
}

std::int64_t ExpiringSum::Total(TimePoint now) const {
  const std::int64_t last = std::min(SlotOf(now), slot_ + kSlots - 1);
  std::int64_t total = total_;
  for (std::int64_t slot = slot_ + 1; slot <= last; ++slot)
    total -= amounts_[static_cast<std::size_t>(slot % kSlots)];
  return total;
}

Duration ExpiringSum::UntilExpired(std::int64_t amount, TimePoint now) const {
  std::int64_t slot = std::max(slot_, SlotOf(now));
  const std::int64_t end = slot_ + kSlots;
  std::int64_t expired = 0;
  while (expired < amount && slot + 1 < end) {
    ++slot;
    expired += amounts_[static_cast<std::size_t>(slot % kSlots)];
  }
  return kSlot * slot - now.time_since_epoch();
}

void ExpiringSum::Advance(std::int64_t slot) {
  const std::int64_t last = std::min(slot, slot_ + kSlots - 1);
  for (std::int64_t i = slot_ + 1; i <= last; ++i) {
    std::int64_t& amount = amounts_[static_cast<std::size_t>(i % kSlots)];
    total_ -= amount;
    amount = 0;
  }
  slot_ = std::max(slot_, slot);
}

}  // namespace comfreyvane
