/// @file
/// State shared by the components of a gateway.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_CONTEXT_H_
#define COMFREYVANE_GATEWAY_GATEWAY_CONTEXT_H_

#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "comfreyvane/drain/stop_core.h"
#include "comfreyvane/edge/backend_picker.h"
#include "comfreyvane/edge/carrier_picker.h"
#include "comfreyvane/edge/configuration_freshness.h"
#include "comfreyvane/edge/fleet_view.h"
#include "comfreyvane/edge/path_monitor.h"
#include "comfreyvane/edge/poison_request_tracker.h"
#include "comfreyvane/edge/route_table.h"
#include "comfreyvane/edge/server_notice.h"
#include "comfreyvane/edge/share_splitter.h"
#include "comfreyvane/edge/workspace_limiter.h"
#include "comfreyvane/gateway/gateway_settings.h"
#include "comfreyvane/gateway/header_names.h"
#include "comfreyvane/log/line_budget.h"
#include "comfreyvane/metrics/metrics_registry.h"
#include "comfreyvane/route/retry_budget.h"

namespace comfreyvane {

/// Log lines per second: several times the request rate of an ordinary host.
inline constexpr double kAttemptLinesPerSecond = 150.0;
inline constexpr double kRefusalLinesPerSecond = 150.0;

/// Reads what a backend server says in its answer's head about the requests
/// that it takes.
using NoticeDecoder =
    ServerNotice (*)(const boost::beast::http::response_header<>& head);

/// State shared by the components of a gateway. Used by one thread.
struct GatewayContext {
  GatewaySettings settings;
  HeaderNames headers;
  NoticeDecoder notice_of;
  MetricsRegistry metrics{};
  std::shared_ptr<const RouteTable> table;  ///< Null until one is received.
  BackendPicker backends;
  FleetView fleet;
  WorkspaceLimiter limiter;
  std::uint64_t incarnation;  ///< Differs between runs of this host.
  CarrierPicker carriers;
  ConfigurationFreshness freshness;
  PathMonitor paths{};
  PoisonRequestTracker poison{};
  /// With which hosts authenticate each other; empty until it is read.
  std::string fleet_secret{};
  /// Sequence of the last request sent to a carrier.
  std::uint64_t carried_sequence = 0;
  Duration loop_delay{};  ///< By which periodic work is late, on average.
  std::unordered_map<std::string, ShareSplitter> splitters{};  ///< By route.
  std::unordered_map<ServiceId, RetryBudget> retry_budgets{};
  std::size_t buffered_body_bytes = 0;
  /// Requests that have been received but not answered.
  std::uint32_t running_requests = 0;
  bool leaving = false;  ///< This host is shutting down.
  StopCore stop{StopSettings{}};
  /// When any backend server last answered; zero: never.
  TimePoint last_answer_at{};
  /// Budgets of log lines on attempts and refusals. They are separate so that
  /// many successful attempts do not suppress the lines on refusals.
  LineBudget attempt_lines{kAttemptLinesPerSecond};
  LineBudget refusal_lines{kRefusalLinesPerSecond};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_CONTEXT_H_
