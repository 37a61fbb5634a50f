/// @file
/// Token bucket of one limit at one host.
#ifndef COMFREYVANE_LIMIT_ADMISSION_BUCKET_H_
#define COMFREYVANE_LIMIT_ADMISSION_BUCKET_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/limit/admission.h"
#include "comfreyvane/limit/limit_value.h"
#include "comfreyvane/limit/share.h"

namespace comfreyvane {

/// Nano-tokens in a token.
inline constexpr std::int64_t kNanoTokensPerToken = 1'000'000'000;

/// Where a slice of a bucket comes from: a peer's identifier, or one of these.
inline constexpr std::uint64_t kOwnBaseSource = 0;
inline constexpr std::uint64_t kOwnDynamicSource = 1;

/// Token bucket made of slices, each with its own expiry. Never holds more
/// tokens than its unexpired slices have burst, and mints at their rate. An
/// expired slice is noticed at the moment of use.
class alignas(64) AdmissionBucket {
 public:
  /// @param drift_divisor the bucket mints slower by one part in so many, so
  /// that a fast clock does not raise the rate. See LeaseTerms.
  AdmissionBucket(Limit limit, TimePoint now, std::int64_t drift_divisor = 1000)
      : limit_(limit), drift_divisor_(drift_divisor), minted_until_(now) {}

  /// Takes tokens, all or none.
  /// @param cost tokens, more than zero.
  /// @param now read at the moment of use.
  [[nodiscard]] Admission TryTake(std::int64_t cost, TimePoint now);

  /// Changes rate and burst at once.
  void SetLimit(Limit limit, TimePoint now);

  /// Replaces the slice of a source; an empty share removes it. Tokens above
  /// the new burst are lost.
  void SetSlice(std::uint64_t source,
                Share share,
                TimePoint expiry,
                TimePoint now);

  /// Adds nano-tokens, at most up to the burst held.
  void AddTokens(std::int64_t tokens, TimePoint now);

  /// Removes up to `max_tokens` nano-tokens.
  /// @return how many were removed.
  [[nodiscard]] std::int64_t RemoveTokens(std::int64_t max_tokens,
                                          TimePoint now);

  /// Mints up to `now` and drops slices that have expired.
  void Advance(TimePoint now);

  [[nodiscard]] const Limit& limit() const { return limit_; }
  /// @return nano-tokens held as of the last command.
  [[nodiscard]] std::int64_t tokens() const { return tokens_; }
  /// @return nano-tokens that fit as of the last command.
  [[nodiscard]] std::int64_t capacity() const { return capacity_; }
  /// @return the sum of unexpired slices as of the last command.
  [[nodiscard]] Share share() const { return share_; }
  /// @return the unexpired slice of a source; empty without one.
  [[nodiscard]] Share slice(std::uint64_t source) const;
  /// @return tokens asked for so far, also in vain.
  [[nodiscard]] std::int64_t offered() const { return offered_; }
  /// @return nano-tokens of a burst share under the present limit.
  [[nodiscard]] std::int64_t BurstTokens(std::int64_t burst_units) const;

 private:
  struct Slice {
    std::uint64_t source;
    Share share;
    TimePoint expiry;
  };

  void Mint(TimePoint until);
  void DropExpired(TimePoint now);
  void Recompute();

  // Written by TryTake, together in one cache line.
  Limit limit_;
  std::int64_t drift_divisor_;
  TimePoint minted_until_;
  std::int64_t tokens_ = 0;
  std::int64_t offered_ = 0;
  std::int64_t capacity_ = 0;
  TimePoint next_expiry_ = TimePoint::max();

  Share share_;
  std::vector<Slice> slices_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_ADMISSION_BUCKET_H_
