/// @file
/// What the parts of the gateway share.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_CONTEXT_H_
#define COMFREYVANE_GATEWAY_GATEWAY_CONTEXT_H_

#include <memory>
#include <unordered_map>

#include "comfreyvane/edge/backend_picker.h"
#include "comfreyvane/edge/fleet_view.h"
#include "comfreyvane/edge/poison_request_tracker.h"
#include "comfreyvane/edge/route_table.h"
#include "comfreyvane/edge/share_splitter.h"
#include "comfreyvane/edge/workspace_limiter.h"
#include "comfreyvane/gateway/gateway_settings.h"
#include "comfreyvane/gateway/header_dialect.h"
#include "comfreyvane/log/line_budget.h"
#include "comfreyvane/metrics/metrics_registry.h"
#include "comfreyvane/route/retry_budget.h"

namespace comfreyvane {

/// Lines a second: several times the requests of an ordinary host.
inline constexpr double kAttemptLines = 150.0;
inline constexpr double kRefusalLines = 150.0;

/// State of one gateway. Used by one thread.
struct GatewayContext {
  GatewaySettings settings;
  HeaderDialect headers;
  MetricsRegistry metrics{};
  std::shared_ptr<const RouteTable> table;  ///< Null before the first one.
  BackendPicker backends;
  FleetView fleet;
  WorkspaceLimiter limiter;
  PoisonRequestTracker poison{};
  std::unordered_map<std::string, ShareSplitter> splitters{};  ///< By route.
  std::unordered_map<ServiceId, RetryBudget> retries{};
  std::size_t body_bytes_held = 0;
  std::uint32_t running = 0;  ///< Requests that were read and not answered.
  bool leaving = false;
  /// Lines on attempts and refusals. Refusals have a budget of their own, so
  /// that they are not lost beside many successes.
  LineBudget attempt_lines{kAttemptLines};
  LineBudget refusal_lines{kRefusalLines};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_CONTEXT_H_
