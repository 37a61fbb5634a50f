/// @file
/// The gateway process.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_PROCESS_H_
#define COMFREYVANE_GATEWAY_GATEWAY_PROCESS_H_

#include <algorithm>
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

#include "comfreyvane/gateway/backend_client.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_dispatcher.h"
#include "comfreyvane/gateway/gateway_handler.h"
#include "comfreyvane/gateway/gateway_state.h"
#include "comfreyvane/gateway/load_gateway_settings.h"
#include "comfreyvane/gateway/look_up_handler.h"
#include "comfreyvane/gateway/path_supervisor.h"
#include "comfreyvane/gateway/peer_handler.h"
#include "comfreyvane/gateway/peer_link.h"
#include "comfreyvane/gateway/relay_handler.h"
#include "comfreyvane/gateway/stop_driver.h"
#include "comfreyvane/gateway/store_follower.h"
#include "comfreyvane/log/bounded_output.h"
#include "comfreyvane/net/caller_listener.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/timeout_sweeper.h"
#include "comfreyvane/settings/settings_errors.h"

namespace comfreyvane {

/// The gateway process. A single thread serves callers, look-ups, readiness
/// checks and other hosts, and follows the platform's store.
/// @tparam Platform see StoreFollower and LookUpHandler.
template <typename Platform>
class GatewayProcess {
 public:
  /// @param settings_file reloaded on SIGHUP and when it changes.
  /// @param incarnation differs between runs of this host.
  /// @param log_output output of log lines; drained periodically.
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
                 Platform::NoticeOf,
                 {},
                 nullptr,
                 BackendPicker(LocationOf(settings),
                               DomainsOf(settings),
                               settings.max_shift),
                 FleetView(SelfOf(settings)),
                 WorkspaceLimiter(settings.limits),
                 incarnation,
                 CarrierPicker(SelfOf(settings)),
                 ConfigurationFreshness(settings.max_configuration_age)},
        dispatcher_(context_, io_),
        backend_client_(context_, io_, sweeper_),
        path_supervisor_(context_, io_, sweeper_, dispatcher_, backend_client_),
        state_(context_, dispatcher_, backend_client_),
        peers_(state_, io_, incarnation),
        handler_(context_, io_, dispatcher_, backend_client_, peers_),
        look_up_handler_(context_),
        caller_listener_(io_,
                         EndpointOf(settings.callers),
                         PortSharing::kExclusive,
                         nullptr,
                         sweeper_,
                         HttpLimits{},
                         handler_),
        readiness_listener_(io_,
                            EndpointOf(settings.readiness),
                            PortSharing::kExclusive,
                            nullptr,
                            sweeper_,
                            HttpLimits{},
                            look_up_handler_),
        look_up_listener_(io_,
                          EndpointOf(settings.lookups),
                          PortSharing::kExclusive,
                          nullptr,
                          sweeper_,
                          HttpLimits{},
                          look_up_handler_),
        store_(io_, sweeper_, EndpointOf(settings.platform)),
        store_follower_(state_, io_, sweeper_, store_, incarnation),
        relay_handler_(state_, store_follower_),
        peer_handler_(relay_handler_, handler_),
        peer_listener_(io_,
                       EndpointOf(settings.peers),
                       PortSharing::kExclusive,
                       nullptr,
                       sweeper_,
                       HttpLimits{},
                       peer_handler_),
        stop_driver_(context_, io_, StopHooks()) {
    if (settings.metrics.port != 0) {
      metrics_listener_.emplace(io_, EndpointOf(settings.metrics),
                                PortSharing::kExclusive, nullptr, sweeper_,
                                HttpLimits{}, look_up_handler_);
    }
    state_.SetConfigurationListener(
        [this](const RouteTable& table) { SetLimits(table); });
  }

  /// Starts a graceful shutdown, as SIGTERM does. Thread-safe.
  void Stop() {
    asio::post(io_, [this] { stop_driver_.Begin(MonotonicNow()); });
  }

  /// Serves until a graceful shutdown has finished.
  void Run() {
    sweeper_.Start();
    caller_listener_.Start();
    readiness_listener_.Start();
    look_up_listener_.Start();
    if (metrics_listener_)
      metrics_listener_->Start();
    peers_.Start();
    peer_listener_.Start();
    store_follower_.Start();
    settings_file_time_ = SettingsFileTime();
    WaitForSignal();
    Tick();
    io_.run();
  }

 private:
  /// Interval of periodic work. Short compared to the smallest latency
  /// objective.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  static constexpr Duration kSlowTickInterval = std::chrono::milliseconds(500);
  /// Interval of checks whether the settings file has changed.
  static constexpr Duration kSettingsCheckInterval = std::chrono::seconds(2);
  /// Size of what a host adds to the head of a request that it sends to
  /// another.
  static constexpr std::size_t kMarkBytes = 2048;
  /// Gain of the moving average of the delay of periodic work.
  static constexpr double kDelayGain = 0.2;

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
    caller_listener_.SetLimits(limits);
    // Other hosts send requests on, with their marks.
    limits.header_bytes += kMarkBytes;
    limits.header_timeout = HttpLimits{}.header_timeout;
    limits.idle_timeout = HttpLimits{}.idle_timeout;
    peer_listener_.SetLimits(limits);
  }

  void WaitForSignal() {
    signals_.async_wait([this](const error_code& error, int signal) {
      if (error)
        return;
      if (signal == SIGHUP)
        Reload("signal");
      else
        stop_driver_.Begin(MonotonicNow());
      WaitForSignal();
    });
  }

  void Tick() {
    const TimePoint now = MonotonicNow();
    RecordDelay(now);
    path_supervisor_.OnTick(now);
    dispatcher_.OnTick(now);
    store_follower_.OnTick(now);
    peers_.OnTick(now);
    if (now >= next_slow_tick_) {
      next_slow_tick_ = now + kSlowTickInterval;
      state_.OnTick(now);
      SetGauges(now);
      LogSuppressed();
    }
    if (now >= next_settings_check_) {
      next_settings_check_ = now + kSettingsCheckInterval;
      const auto changed = SettingsFileTime();
      if (changed != settings_file_time_) {
        settings_file_time_ = changed;
        Reload("file");
      }
    }
    log_output_.Drain();
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](const error_code& error) {
      if (!error)
        Tick();
    });
  }

  void RecordDelay(TimePoint now) {
    if (last_tick_ != TimePoint{}) {
      const Duration delay = now - last_tick_ - kTickInterval;
      context_.loop_delay += Scaled(
          std::max(Duration::zero(), delay) - context_.loop_delay, kDelayGain);
    }
    last_tick_ = now;
  }

  void SetGauges(TimePoint now) {
    MetricsRegistry& metrics = context_.metrics;
    metrics.SetGauge(GaugeName::kOpenCallerConnections,
                     static_cast<std::int64_t>(caller_listener_.connections()));
    metrics.SetGauge(GaugeName::kRunningRequests, context_.running_requests);
    metrics.SetGauge(GaugeName::kQueuedRequests,
                     static_cast<std::int64_t>(dispatcher_.queued()));
    metrics.SetGauge(GaugeName::kLiveHosts,
                     static_cast<std::int64_t>(context_.fleet.size()));
    metrics.SetGauge(GaugeName::kAvailableBackendServers,
                     static_cast<std::int64_t>(context_.backends.size()));
    metrics.SetGauge(GaugeName::kLeaving, context_.leaving ? 1 : 0);
    const Duration answer_age = now - context_.last_answer_at;
    metrics.SetGauge(
        GaugeName::kAnswerAgeMs,
        std::chrono::duration_cast<std::chrono::milliseconds>(answer_age)
            .count());
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

  [[nodiscard]] std::filesystem::file_time_type SettingsFileTime() const {
    std::error_code ignored;
    return std::filesystem::last_write_time(settings_file_, ignored);
  }

  /// Reloads the settings file. Applies the grace period, the TTL of look-ups
  /// and the retry budget; other settings take effect after a restart.
  void Reload(const char* cause) {
    const bool is_accepted = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
          BOOST_LEAF_AUTO(settings, LoadGatewaySettings(settings_file_));
          context_.settings.grace = settings.grace;
          context_.settings.max_lookup_ttl = settings.max_lookup_ttl;
          context_.settings.retry_ratio = settings.retry_ratio;
          context_.settings.retry_slack = settings.retry_slack;
          return true;
        },
        [](const SettingsErrors&) { return false; }, [] { return false; });
    Log(is_accepted ? LogLevel::kInfo : LogLevel::kError, "settings-reloaded",
        {{"cause", cause}, {"accepted", is_accepted}});
  }

  [[nodiscard]] StopDriver::Hooks StopHooks() {
    StopDriver::Hooks hooks;
    hooks.announce = [this](TimePoint now) {
      caller_listener_.BeginLeaving();
      peer_listener_.BeginLeaving();
      peers_.SendAll(now);
    };
    hooks.stop_accepting = [this] {
      caller_listener_.StopAccepting();
      peer_listener_.StopAccepting();
    };
    hooks.stop_look_ups = [this] {
      look_up_listener_.StopAccepting();
      readiness_listener_.StopAccepting();
    };
    hooks.refuse_hopeless = [this](TimePoint now) {
      handler_.RefuseHopeless(now);
    };
    hooks.give_up = [this] {
      handler_.GiveUp();
      caller_listener_.GiveUpHeads();
      peer_listener_.GiveUpHeads();
    };
    hooks.callers = [this] {
      return caller_listener_.unfinished() + peer_listener_.unfinished();
    };
    hooks.look_ups = [this] {
      return look_up_listener_.unfinished() + readiness_listener_.unfinished();
    };
    hooks.exit = [this] {
      log_output_.Drain();
      store_follower_.Stop();
      io_.stop();
    };
    return hooks;
  }

  std::filesystem::path settings_file_;
  BoundedOutput& log_output_;
  asio::io_context io_{1};
  asio::signal_set signals_;
  asio::steady_timer timer_;
  TimeoutSweeper sweeper_;
  GatewayContext context_;
  GatewayDispatcher dispatcher_;
  BackendClient backend_client_;
  PathSupervisor path_supervisor_;
  GatewayState state_;
  PeerLink peers_;
  GatewayHandler handler_;
  LookUpHandler<Platform> look_up_handler_;
  CallerListener<GatewayHandler> caller_listener_;
  CallerListener<LookUpHandler<Platform>> readiness_listener_;
  CallerListener<LookUpHandler<Platform>> look_up_listener_;
  std::optional<CallerListener<LookUpHandler<Platform>>> metrics_listener_;
  typename Platform::Store store_;
  StoreFollower<Platform> store_follower_;
  using Relay = RelayHandler<StoreFollower<Platform>>;
  Relay relay_handler_;
  PeerHandler<Relay, GatewayHandler> peer_handler_;
  CallerListener<PeerHandler<Relay, GatewayHandler>> peer_listener_;
  StopDriver stop_driver_;
  TimePoint last_tick_{};
  TimePoint next_slow_tick_{};
  TimePoint next_settings_check_{};
  std::filesystem::file_time_type settings_file_time_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_PROCESS_H_
