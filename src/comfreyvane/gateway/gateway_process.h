/// @file
/// The gateway process.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_PROCESS_H_
#define COMFREYVANE_GATEWAY_GATEWAY_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "comfreyvane/gateway/backend_call.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_dispatcher.h"
#include "comfreyvane/gateway/gateway_handler.h"
#include "comfreyvane/gateway/gateway_state.h"
#include "comfreyvane/gateway/load_gateway_settings.h"
#include "comfreyvane/gateway/look_up_handler.h"
#include "comfreyvane/gateway/peer_link.h"
#include "comfreyvane/gateway/relay_handler.h"
#include "comfreyvane/gateway/store_follower.h"
#include "comfreyvane/log/bounded_output.h"
#include "comfreyvane/net/caller_listener.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/timeout_sweeper.h"
#include "comfreyvane/settings/settings_errors.h"

namespace comfreyvane {

/// The gateway process: one thread that serves callers, look-ups and checks,
/// and follows the platform's store and the other hosts.
/// @tparam Platform see StoreFollower and LookUpHandler.
template <typename Platform>
class GatewayProcess {
 public:
  /// @param settings_file read again on SIGHUP and when it changes.
  /// @param incarnation differs from one run of this host to the next.
  /// @param log_output where log lines go; drained here.
  /// @throws boost::system::system_error if a port cannot be opened.
  GatewayProcess(const GatewaySettings& settings,
                 std::filesystem::path settings_file,
                 std::uint64_t incarnation,
                 BoundedOutput& log_output)
      : settings_file_(std::move(settings_file)),
        log_output_(log_output),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        timer_(io_),
        sweeper_(io_),
        context_{settings,
                 Platform::Headers(),
                 {},
                 nullptr,
                 BackendPicker(LocationOf(settings),
                               DomainsOf(settings),
                               settings.most_shift),
                 FleetView(SelfOf(settings)),
                 WorkspaceLimiter(settings.limits)},
        dispatcher_(context_, io_),
        calls_(context_, io_, sweeper_),
        state_(context_, dispatcher_, calls_),
        peers_(state_, io_, incarnation),
        handler_(context_, io_, dispatcher_, calls_, peers_),
        look_ups_(context_),
        callers_(io_,
                 EndpointOf(settings.callers),
                 PortSharing::kExclusive,
                 nullptr,
                 sweeper_,
                 HttpLimits{},
                 handler_),
        readiness_(io_,
                   EndpointOf(settings.readiness),
                   PortSharing::kExclusive,
                   nullptr,
                   sweeper_,
                   HttpLimits{},
                   look_ups_),
        directory_(io_,
                   EndpointOf(settings.lookups),
                   PortSharing::kExclusive,
                   nullptr,
                   sweeper_,
                   HttpLimits{},
                   look_ups_),
        store_(io_, sweeper_, EndpointOf(settings.platform)),
        follower_(state_, io_, sweeper_, store_, incarnation),
        relays_(state_, follower_),
        relay_listener_(io_,
                        EndpointOf(settings.peers),
                        PortSharing::kExclusive,
                        nullptr,
                        sweeper_,
                        HttpLimits{},
                        relays_) {
    if (settings.metrics.port != 0) {
      metrics_.emplace(io_, EndpointOf(settings.metrics),
                       PortSharing::kExclusive, nullptr, sweeper_, HttpLimits{},
                       look_ups_);
    }
    state_.OnInForce([this](const RouteTable& table) { SetLimits(table); });
  }

  /// Stops as on a signal. May be called from any thread.
  void Stop() {
    asio::post(io_, [this] { BeginStop(MonotonicNow()); });
  }

  /// Serves until the process is told to stop and has done so.
  void Run() {
    sweeper_.Start();
    callers_.Start();
    readiness_.Start();
    directory_.Start();
    if (metrics_)
      metrics_->Start();
    peers_.Start();
    relay_listener_.Start();
    follower_.Start();
    settings_changed_ = ChangeTime();
    WaitForSignal();
    Tick();
    io_.run();
  }

 private:
  /// Interval of what depends on time; short against the least objective.
  static constexpr Duration kTick = std::chrono::milliseconds(50);
  static constexpr Duration kSlowTick = std::chrono::milliseconds(500);
  /// Time between looks at the settings file.
  static constexpr Duration kSettingsCheck = std::chrono::seconds(2);
  /// Time after the signal to stop in which callers learn of other hosts: the
  /// life of a look-up's answer and some time to ask again.
  static constexpr Duration kTurnAway = std::chrono::milliseconds(2500);
  /// What is left of the grace period for the end of the process.
  static constexpr Duration kEndMargin = std::chrono::milliseconds(300);

  [[nodiscard]] static tcp::endpoint EndpointOf(const Endpoint& endpoint) {
    return {asio::ip::make_address(endpoint.address), endpoint.port};
  }
  [[nodiscard]] static BackendPicker::Location LocationOf(
      const GatewaySettings& settings) {
    return {FailureDomainId::Of(settings.failure_domain),
            RegionId::Of(settings.region)};
  }
  [[nodiscard]] static std::unordered_map<FailureDomainId, RegionId> DomainsOf(
      const GatewaySettings& settings) {
    std::unordered_map<FailureDomainId, RegionId> regions;
    for (const auto& [domain, region] : settings.domains)
      regions.emplace(FailureDomainId::Of(domain), RegionId::Of(region));
    return regions;
  }
  [[nodiscard]] static FleetHost SelfOf(const GatewaySettings& settings) {
    return {
        settings.name,
        settings.region,
        settings.failure_domain,
        settings.callers.address + ':' + std::to_string(settings.callers.port),
        settings.peers.address,
        settings.peers.port,
        settings.processor_share};
  }

  void SetLimits(const RouteTable& table) {
    HttpLimits limits;
    limits.header_bytes = table.limits().header_bytes;
    limits.body_bytes = table.limits().body_bytes;
    limits.header_timeout = table.limits().header_timeout;
    limits.idle_timeout = table.limits().idle_timeout;
    callers_.SetLimits(limits);
  }

  void WaitForSignal() {
    signals_.async_wait([this](const error_code& error, int signal) {
      if (error)
        return;
      if (signal == SIGHUP)
        Reload("signal");
      else
        BeginStop(MonotonicNow());
      WaitForSignal();
    });
  }

  void Tick() {
    const TimePoint now = MonotonicNow();
    dispatcher_.OnTick(now);
    follower_.OnTick(now);
    peers_.OnTick(now);
    if (now >= next_slow_tick_) {
      next_slow_tick_ = now + kSlowTick;
      state_.OnTick(now);
      SetGauges();
      LogSuppressed();
    }
    if (now >= next_settings_check_) {
      next_settings_check_ = now + kSettingsCheck;
      const auto changed = ChangeTime();
      if (changed != settings_changed_) {
        settings_changed_ = changed;
        Reload("file");
      }
    }
    log_output_.Drain();
    if (context_.leaving && StopIfDone(now))
      return;
    timer_.expires_after(kTick);
    timer_.async_wait([this](const error_code& error) {
      if (!error)
        Tick();
    });
  }

  void SetGauges() {
    MetricsRegistry& metrics = context_.metrics;
    metrics.SetGauge(GaugeName::kOpenCallerConnections,
                     static_cast<std::int64_t>(callers_.connections()));
    metrics.SetGauge(GaugeName::kRunningRequests, context_.running);
    metrics.SetGauge(GaugeName::kQueuedRequests,
                     static_cast<std::int64_t>(dispatcher_.queued()));
    metrics.SetGauge(GaugeName::kLiveHosts,
                     static_cast<std::int64_t>(context_.fleet.size()));
    metrics.SetGauge(GaugeName::kAvailableBackendServers,
                     static_cast<std::int64_t>(context_.backends.size()));
    metrics.SetGauge(GaugeName::kLeaving, context_.leaving ? 1 : 0);
  }

  void LogSuppressed() {
    const auto attempts = context_.attempt_lines.TakeSuppressed();
    const auto refusals = context_.refusal_lines.TakeSuppressed();
    const auto dropped = log_output_.TakeDropped();
    if (attempts + refusals + dropped > 0) {
      Log(LogLevel::kWarning, "lines-suppressed",
          {{"attempts", attempts},
           {"refusals", refusals},
           {"dropped", dropped}});
    }
  }

  [[nodiscard]] std::filesystem::file_time_type ChangeTime() const {
    std::error_code ignored;
    return std::filesystem::last_write_time(settings_file_, ignored);
  }

  /// Reads the settings again. What names addresses needs a new start; the
  /// rest is put in force.
  void Reload(const char* cause) {
    const bool read = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
          BOOST_LEAF_AUTO(settings, LoadGatewaySettings(settings_file_));
          context_.settings.grace = settings.grace;
          context_.settings.most_lookup_ttl = settings.most_lookup_ttl;
          context_.settings.retry_ratio = settings.retry_ratio;
          context_.settings.retry_slack = settings.retry_slack;
          return true;
        },
        [](const SettingsErrors&) { return false; }, [] { return false; });
    Log(read ? LogLevel::kInfo : LogLevel::kError, "settings-reloaded",
        {{"cause", cause}, {"accepted", read}});
  }

  void BeginStop(TimePoint now) {
    if (context_.leaving)
      return;
    context_.leaving = true;
    stop_begun_ = now;
    callers_.BeginLeaving();
    peers_.SendNow(now);
    Log(LogLevel::kInfo, "stop-begun",
        {{"running", context_.running},
         {"connections", callers_.connections()}});
  }

  /// @return whether the process may end.
  [[nodiscard]] bool StopIfDone(TimePoint now) {
    const Duration since = now - stop_begun_;
    if (!closed_ && since >= kTurnAway) {
      closed_ = true;
      callers_.StopAccepting();
    }
    const bool idle = closed_ && context_.running == 0;
    const bool late = since >= context_.settings.grace - kEndMargin;
    if (!idle && !late)
      return false;
    Log(LogLevel::kInfo, "stopped",
        {{"running", context_.running}, {"after_ms", since}});
    log_output_.Drain();
    follower_.Stop();
    io_.stop();
    return true;
  }

  std::filesystem::path settings_file_;
  BoundedOutput& log_output_;
  asio::io_context io_{1};
  asio::signal_set signals_;
  asio::steady_timer timer_;
  TimeoutSweeper sweeper_;
  GatewayContext context_;
  GatewayDispatcher dispatcher_;
  BackendCall calls_;
  GatewayState state_;
  PeerLink peers_;
  GatewayHandler handler_;
  LookUpHandler<Platform> look_ups_;
  CallerListener<GatewayHandler> callers_;
  CallerListener<LookUpHandler<Platform>> readiness_;
  CallerListener<LookUpHandler<Platform>> directory_;
  std::optional<CallerListener<LookUpHandler<Platform>>> metrics_;
  typename Platform::Store store_;
  StoreFollower<Platform> follower_;
  RelayHandler<StoreFollower<Platform>> relays_;
  CallerListener<RelayHandler<StoreFollower<Platform>>> relay_listener_;
  TimePoint next_slow_tick_{};
  TimePoint next_settings_check_{};
  TimePoint stop_begun_{};
  bool closed_ = false;
  std::filesystem::file_time_type settings_changed_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_PROCESS_H_
