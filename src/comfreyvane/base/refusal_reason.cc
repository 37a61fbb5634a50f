#include "comfreyvane/base/refusal_reason.h"

#include <array>
#include <cassert>

namespace comfreyvane {
namespace {

struct ReasonRow {
  RefusalReason reason;
  std::string_view name;
  unsigned status;
};

constexpr std::array<ReasonRow, kRefusalReasonCount> kRows{{
    {RefusalReason::kMalformedRequest, "malformed-request", 400},
    {RefusalReason::kHeaderTooLarge, "header-too-large", 431},
    {RefusalReason::kBodyTooLarge, "body-too-large", 413},
    {RefusalReason::kSlowCaller, "slow-caller", 408},
    {RefusalReason::kKeyMissing, "key-missing", 401},
    {RefusalReason::kKeyUnknown, "key-unknown", 401},
    {RefusalReason::kKeyWithdrawn, "key-withdrawn", 401},
    {RefusalReason::kKeysStale, "keys-stale", 503},
    {RefusalReason::kConfigurationMissing, "configuration-missing", 503},
    {RefusalReason::kConfigurationStale, "configuration-stale", 503},
    {RefusalReason::kRouteUnknown, "route-unknown", 404},
    {RefusalReason::kRateExceeded, "rate-exceeded", 429},
    {RefusalReason::kQueueFull, "queue-full", 503},
    {RefusalReason::kDeadlineTooNear, "deadline-too-near", 503},
    {RefusalReason::kDeadlinePassed, "deadline-passed", 504},
    {RefusalReason::kRegionFull, "region-full", 503},
    {RefusalReason::kSiteUnavailable, "site-unavailable", 503},
    {RefusalReason::kServerLimit, "server-limit", 503},
    {RefusalReason::kNoPath, "no-path", 503},
    {RefusalReason::kNoBackendServer, "no-backend-server", 503},
    {RefusalReason::kBackendConnectFailed, "backend-connect-failed", 502},
    {RefusalReason::kBackendClosed, "backend-closed", 502},
    {RefusalReason::kBackendTimeout, "backend-timeout", 504},
    {RefusalReason::kBackendMalformed, "backend-malformed", 502},
    {RefusalReason::kRetryBudgetSpent, "retry-budget-spent", 503},
    {RefusalReason::kRequestKeyMissing, "request-key-missing", 400},
    {RefusalReason::kWrongHost, "wrong-host", 421},
    {RefusalReason::kInProgress, "in-progress", 409},
    {RefusalReason::kAlreadyRan, "already-ran", 409},
    {RefusalReason::kOutcomeUnknown, "outcome-unknown", 409},
    {RefusalReason::kRecordUnavailable, "record-unavailable", 503},
    {RefusalReason::kRecordFull, "record-full", 503},
    {RefusalReason::kCrashContained, "crash-contained", 503},
    {RefusalReason::kHostLeaving, "host-leaving", 503},
    {RefusalReason::kCallerGone, "caller-gone", 499},
    {RefusalReason::kInternal, "internal", 500},
}};

const ReasonRow& Row(RefusalReason reason) {
  const auto index = static_cast<std::size_t>(reason);
  assert(index < kRows.size());
  assert(kRows[index].reason == reason);
  return kRows[index];
}

}  // namespace

std::string_view Name(RefusalReason reason) {
  return Row(reason).name;
}

unsigned HttpStatus(RefusalReason reason) {
  return Row(reason).status;
}

}  // namespace comfreyvane
