#include "comfreyvane/limit/admission_bucket.h"

#include <algorithm>
#include <cassert>

namespace comfreyvane {
namespace {

constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1);

__extension__ using Wide = __int128;

std::int64_t MulDiv(std::int64_t a, std::int64_t b, std::int64_t divisor) {
  return static_cast<std::int64_t>(Wide{a} * b / divisor);
}

}  // namespace

Admission AdmissionBucket::TryTake(std::int64_t cost, TimePoint now) {
  assert(cost > 0);
  Advance(now);
  offered_ += cost;
  const std::int64_t requested = cost * kNanoTokensPerToken;
  const bool admitted = tokens_ >= requested;
  if (admitted) {
    tokens_ -= requested;
    return {true, tokens_ < capacity_ / 4, Duration{0}};
  }
  const std::int64_t minted_per_second = limit_.rate * share_.rate;
  Duration wait = kMaxRetryAfter;
  if (minted_per_second > 0) {
    const std::int64_t shortfall =
        std::min(requested - tokens_, 1000 * kNanoTokensPerToken);
    wait = Duration(MulDiv(shortfall, kTotalUnits, minted_per_second));
  }
  return {false, true, std::clamp(wait, kMinRetryAfter, kMaxRetryAfter)};
}

void AdmissionBucket::SetLimit(Limit limit, TimePoint now) {
  Advance(now);
  limit_ = limit;
  Recompute();
}

void AdmissionBucket::SetSlice(std::uint64_t source,
                               Share share,
                               TimePoint expiry,
                               TimePoint now) {
  assert(share.rate >= 0 && share.burst >= 0);
  Advance(now);
  const auto has_source = [source](const Slice& s) {
    return s.source == source;
  };
  const auto found = std::find_if(slices_.begin(), slices_.end(), has_source);
  const bool empty = share == Share{} || expiry <= now;
  if (found != slices_.end()) {
    if (empty)
      slices_.erase(found);
    else
      *found = {source, share, expiry};
  } else if (!empty) {
    slices_.push_back({source, share, expiry});
  }
  Recompute();
}

void AdmissionBucket::AddTokens(std::int64_t tokens, TimePoint now) {
  assert(tokens >= 0);
  Advance(now);
  tokens_ += std::min(tokens, capacity_ - tokens_);
}

std::int64_t AdmissionBucket::RemoveTokens(std::int64_t max_tokens,
                                           TimePoint now) {
  Advance(now);
  const std::int64_t removed = std::clamp<std::int64_t>(max_tokens, 0, tokens_);
  tokens_ -= removed;
  return removed;
}

void AdmissionBucket::Advance(TimePoint now) {
  while (now >= next_expiry_) {
    const TimePoint expiry = next_expiry_;
    Mint(expiry);
    DropExpired(expiry);
  }
  Mint(now);
}

Share AdmissionBucket::slice(std::uint64_t source) const {
  for (const Slice& slice : slices_) {
    if (slice.source == source)
      return slice.share;
  }
  return {};
}

std::int64_t AdmissionBucket::BurstTokens(std::int64_t burst_units) const {
  return burst_units * (kNanoTokensPerToken / kTotalUnits) * limit_.burst;
}

void AdmissionBucket::Mint(TimePoint until) {
  if (until <= minted_until_)
    return;
  const std::int64_t elapsed = (until - minted_until_).count();
  const std::int64_t minted = MulDiv(elapsed - elapsed / drift_divisor_,
                                     limit_.rate * share_.rate, kTotalUnits);
  minted_until_ = until;
  tokens_ += std::min(minted, capacity_ - tokens_);
}

void AdmissionBucket::DropExpired(TimePoint now) {
  std::erase_if(slices_, [now](const Slice& s) { return s.expiry <= now; });
  Recompute();
}

void AdmissionBucket::Recompute() {
  share_ = {};
  next_expiry_ = TimePoint::max();
  for (const Slice& slice : slices_) {
    share_ = share_ + slice.share;
    next_expiry_ = std::min(next_expiry_, slice.expiry);
  }
  capacity_ = BurstTokens(share_.burst);
  tokens_ = std::min(tokens_, capacity_);
}

}  // namespace comfreyvane
