#include "comfreyvane/gateway/stop_driver.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "comfreyvane/log/log.h"
#include "comfreyvane/net/clock.h"

namespace comfreyvane {
namespace {

/// Time after the signal during which connections are accepted. Covers the TTL
/// of look-up answers and the time of another look-up, after which callers use
/// other hosts.
constexpr Duration kLameDuckPeriod = std::chrono::milliseconds(2500);

/// Largest fraction of the grace during which connections are accepted.
constexpr double kLameDuckFraction = 5.0 / 12.0;

/// Retry-After of requests that the stop leaves no time for. Other hosts serve
/// them at once.
constexpr Duration kRetryAfter = std::chrono::milliseconds(50);

/// By how much the exit may be late.
constexpr Duration kStopTickInterval = std::chrono::milliseconds(5);

StopSettings SettingsFor(Duration grace) {
  StopSettings settings;
  settings.leave_grace =
      std::min(kLameDuckPeriod, Scaled(grace, kLameDuckFraction));
  settings.retry_after = kRetryAfter;
  settings.grace = grace;
  settings.takes_late = true;
  return settings;
}

}  // namespace

StopDriver::StopDriver(GatewayContext& context,
                       asio::io_context& io,
                       Hooks hooks)
    : context_(context), timer_(io), hooks_(std::move(hooks)) {}

void StopDriver::Begin(TimePoint now) {
  if (context_.leaving)
    return;
  context_.leaving = true;
  begun_ = now;
  context_.stop.SetSettings(SettingsFor(context_.settings.grace));
  Log(LogLevel::kInfo, "stop-begun",
      {{"running", context_.running_requests},
       {"connections", hooks_.callers()},
       {"grace_ms", context_.settings.grace}});
  Take(context_.stop.Stop(now), now);
  Wait();
}

void StopDriver::Wait() {
  timer_.expires_after(kStopTickInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      OnTick(MonotonicNow());
  });
}

void StopDriver::OnTick(TimePoint now) {
  // The grace may have been set anew.
  context_.stop.SetSettings(SettingsFor(context_.settings.grace));
  hooks_.refuse_hopeless(now);
  CountConnections();
  Take(context_.stop.OnTick(now), now);
  if (context_.stop.phase() != StopPhase::kStopped)
    Wait();
}

void StopDriver::CountConnections() {
  std::size_t open = hooks_.callers();
  if (open == 0 && has_stopped_accepting_) {
    if (!has_stopped_look_ups_) {
      has_stopped_look_ups_ = true;
      hooks_.stop_look_ups();
    }
    open = hooks_.look_ups();
  }
  context_.stop.OnConnections(open);
}

void StopDriver::Take(const StopActions& actions, TimePoint now) {
  for (const StopAction& action : actions) {
    if (std::holds_alternative<AnnounceLeaving>(action)) {
      hooks_.announce(now);
    } else if (std::holds_alternative<StopAccepting>(action)) {
      has_stopped_accepting_ = true;
      hooks_.stop_accepting();
    } else if (std::holds_alternative<ReturnLeases>(action)) {
      // This host holds no leases.
      CountConnections();
      Take(context_.stop.OnLeasesReturned(now), now);
    } else if (std::holds_alternative<GiveUp>(action)) {
      Log(LogLevel::kWarning, "stop-gives-up",
          {{"running", context_.running_requests},
           {"connections", hooks_.callers()},
           {"after_ms", now - begun_}});
      hooks_.give_up();
    } else {
      Log(LogLevel::kInfo, "stopped",
          {{"running", context_.running_requests},
           {"connections", hooks_.callers()},
           {"after_ms", now - begun_}});
      hooks_.exit();
    }
  }
}

}  // namespace comfreyvane
