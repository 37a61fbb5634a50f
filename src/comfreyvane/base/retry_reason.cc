#include "comfreyvane/base/retry_reason.h"

namespace comfreyvane {

std::string_view Name(RetryReason reason) {
  switch (reason) {
    case RetryReason::kConnectFailed:
      return "connect-failed";
    case RetryReason::kStaleConnection:
      return "stale-connection";
    case RetryReason::kServerShed:
      return "server-shed";
    case RetryReason::kServerFailed:
      return "server-failed";
    case RetryReason::kTimeout:
      return "timeout";
    case RetryReason::kHedge:
      return "hedge";
  }
  return "unknown";
}

}  // namespace comfreyvane
