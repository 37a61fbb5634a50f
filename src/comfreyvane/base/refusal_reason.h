/// @file
/// Reasons for which a request or a look-up is refused.
#ifndef COMFREYVANE_BASE_REFUSAL_REASON_H_
#define COMFREYVANE_BASE_REFUSAL_REASON_H_

#include <cstddef>
#include <string_view>

namespace comfreyvane {

/// One counter stands for each reason.
enum class RefusalReason {
  kMalformedRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  kSlowCaller,
  kKeyMissing,
  kKeyUnknown,
  kKeyWithdrawn,
  kKeysStale,
  kConfigurationMissing,
  kConfigurationStale,
  kRouteUnknown,
  kRateExceeded,
  kQueueFull,
  kDeadlineTooNear,
  kDeadlinePassed,
  kRegionFull,
  kSiteUnavailable,
  kServerLimit,
  kNoPath,
  kNoBackendServer,
  kBackendConnectFailed,
  kBackendClosed,
  kBackendTimeout,
  kBackendMalformed,
  kRetryBudgetSpent,
  kRequestKeyMissing,
  kWrongHost,
  kInProgress,
  kAlreadyRan,
  kOutcomeUnknown,
  kRecordUnavailable,
  kRecordFull,
  kCrashContained,
  kHostLeaving,
  kCallerGone,
  kInternal,
};

/// Number of refusal reasons.
inline constexpr std::size_t kRefusalReasonCount =
    static_cast<std::size_t>(RefusalReason::kInternal) + 1;

/// @return the name in answers, logs and counters, such as "key-withdrawn".
[[nodiscard]] std::string_view Name(RefusalReason reason);

/// @return the HTTP status that carries the reason to a caller.
[[nodiscard]] unsigned HttpStatus(RefusalReason reason);

}  // namespace comfreyvane

#endif  // COMFREYVANE_BASE_REFUSAL_REASON_H_
