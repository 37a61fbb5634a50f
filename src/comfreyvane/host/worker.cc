#include "comfreyvane/host/worker.h"

#include <boost/asio/post.hpp>

namespace comfreyvane {
namespace {

constexpr Duration kIdleLimit = std::chrono::seconds(10);
constexpr auto kPrunePeriod = std::chrono::seconds(1);

/// Time for the last answers to be taken by their callers.
constexpr auto kQuitDelay = std::chrono::milliseconds(50);

tcp::endpoint CallerEndpoint(const HostSettings& settings) {
  return {asio::ip::make_address(settings.caller.address),
          settings.caller.port};
}

HttpLimits LimitsOf(const RequestLimits& limits) {
  HttpLimits result;
  result.header_bytes = limits.header_bytes;
  result.body_bytes = limits.body_bytes;
  result.header_timeout = limits.header_timeout;
  result.idle_timeout = limits.idle_timeout;
  result.progress_timeout = limits.body_timeout;
  return result;
}

}  // namespace

Worker::Worker(HostContext& context,
               asio::ssl::context* tls,
               std::uint64_t seed)
    : io_(1),
      sweeper_(io_),
      pool_(kIdleLimit),
      handler_(context, io_, sweeper_, pool_, seed),
      listener_(io_,
                CallerEndpoint(context.settings),
                PortSharing::kWithinProcess,
                tls,
                sweeper_,
                LimitsOf(context.settings.limits),
                handler_),
      prune_timer_(io_),
      quit_timer_(io_) {}

void Worker::Run() {
  sweeper_.Start();
  handler_.Start();
  listener_.Start();
  Prune();
  io_.run();
}

void Worker::Prune() {
  pool_.Prune(MonotonicNow());
  prune_timer_.expires_after(kPrunePeriod);
  prune_timer_.async_wait([this](const error_code& error) {
    if (!error)
      Prune();
  });
}

void Worker::BeginLeaving() {
  asio::post(io_, [this] { listener_.BeginLeaving(); });
}

void Worker::StopAccepting() {
  asio::post(io_, [this] { listener_.StopAccepting(); });
}

void Worker::Quit() {
  asio::post(io_, [this] {
    quit_timer_.expires_after(kQuitDelay);
    quit_timer_.async_wait([this](const error_code&) { io_.stop(); });
  });
}

}  // namespace comfreyvane
