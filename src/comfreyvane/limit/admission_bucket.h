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

/// Nano-tokens per token.
inline constexpr std::int64_t kNanoTokensPerToken = 1'000'000'000;

/// Sources of the slices of the host's own share. The source of a borrowed
/// slice is the identifier of the lender.
inline constexpr std::uint64_t kOwnBaseSource = 0;
inline constexpr std::uint64_t kOwnDynamicSource = 1;

/// Token bucket whose rate and burst are the sum of slices, each with its own
/// expiry. Never holds more tokens than the burst of its unexpired slices, and
/// refills at their rate. Expiry is checked on each use, so that a host that
/// was paused does not use an expired slice.
class alignas(64) AdmissionBucket {
 public:
  /// @param drift_divisor the bucket refills more slowly by 1 / drift_divisor,
  /// so that a fast clock does not raise the rate. See LeaseTerms.
  AdmissionBucket(Limit limit, TimePoint now, std::int64_t drift_divisor = 1000)
      : limit_(limit), drift_divisor_(drift_divisor), minted_until_(now) {}

  /// Takes tokens, all or none.
  /// @param cost tokens, more than zero.
  /// @param now must be read immediately before the call.
  [[nodiscard]] Admission TryTake(std::int64_t cost, TimePoint now);

  /// Changes rate and burst with immediate effect.
  void SetLimit(Limit limit, TimePoint now);

  /// Replaces the slice of a source; an empty share removes it. Tokens above
  /// the new burst are discarded.
  void SetSlice(std::uint64_t source,
                Share share,
                TimePoint expiry,
                TimePoint now);

  /// Adds nano-tokens, up to the capacity.
  void AddTokens(std::int64_t tokens, TimePoint now);

  /// Removes up to `max_tokens` nano-tokens.
  /// @return the number of nano-tokens removed.
  [[nodiscard]] std::int64_t RemoveTokens(std::int64_t max_tokens,
                                          TimePoint now);

  /// Refills up to `now` and removes expired slices.
  void Advance(TimePoint now);

  [[nodiscard]] const Limit& limit() const { return limit_; }
  /// @return nano-tokens held after the last modifying call.
  [[nodiscard]] std::int64_t tokens() const { return tokens_; }
  /// @return the burst in nano-tokens after the last modifying call.
  [[nodiscard]] std::int64_t capacity() const { return capacity_; }
  /// @return the sum of unexpired slices after the last modifying call.
  [[nodiscard]] Share share() const { return share_; }
  /// @return the unexpired slice of a source, or an empty share.
  [[nodiscard]] Share slice(std::uint64_t source) const;
  /// @return tokens requested so far, admitted or not.
  [[nodiscard]] std::int64_t offered() const { return offered_; }
  /// @return the nano-tokens in a share of the current burst.
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

  // Written by TryTake, so kept in one cache line.
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
