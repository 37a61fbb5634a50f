/// @file
/// Reasons for which an attempt is repeated.
#ifndef COMFREYVANE_BASE_RETRY_REASON_H_
#define COMFREYVANE_BASE_RETRY_REASON_H_

#include <cstddef>
#include <string_view>

namespace comfreyvane {

/// One counter stands for each reason.
enum class RetryReason {
  kConnectFailed,    ///< No connection, so nothing was sent.
  kStaleConnection,  ///< A pooled connection closed before any answer byte.
  kServerShed,       ///< The backend server refused the work as not run.
  kServerFailed,     ///< The backend server broke off an idempotent request.
  kTimeout,          ///< An idempotent attempt took too long.
  kHedge,            ///< A second attempt beside a slow first one.
};

/// Number of retry reasons.
inline constexpr std::size_t kRetryReasonCount =
    static_cast<std::size_t>(RetryReason::kHedge) + 1;

/// @return the name in logs and counters, such as "connect-failed".
[[nodiscard]] std::string_view Name(RetryReason reason);

}  // namespace comfreyvane

#endif  // COMFREYVANE_BASE_RETRY_REASON_H_
