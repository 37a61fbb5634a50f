/// @file
/// Runs a stand-in's HTTP service on one thread.
#ifndef STANDINS_STANDIN_SERVER_H_
#define STANDINS_STANDIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "comfreyvane/net/caller_listener.h"
#include "comfreyvane/net/timeout_sweeper.h"

namespace comfreyvane::standin {

/// An HTTP server around a handler of CallerListener's kind.
/// @tparam Handler see CallerListener.
template <typename Handler>
class StandinServer {
 public:
  StandinServer(asio::io_context& io,
                const tcp::endpoint& endpoint,
                Handler& handler)
      : io_(io),
        sweeper_(io),
        listener_(io,
                  endpoint,
                  PortSharing::kExclusive,
                  nullptr,
                  sweeper_,
                  Limits(),
                  handler) {
    sweeper_.Start();
    listener_.Start();
  }

  [[nodiscard]] tcp::endpoint local_endpoint() const {
    return listener_.local_endpoint();
  }

  /// Serves until the process is told to stop.
  void RunUntilSignal() {
    asio::signal_set signals(io_, SIGINT, SIGTERM);
    signals.async_wait([this](const error_code&, int) { io_.stop(); });
    io_.run();
  }

 private:
  [[nodiscard]] static HttpLimits Limits() {
    HttpLimits limits;
    limits.header_bytes = 64 * 1024;
    return limits;
  }

  asio::io_context& io_;
  TimeoutSweeper sweeper_;
  CallerListener<Handler> listener_;
};

}  // namespace comfreyvane::standin

#endif  // STANDINS_STANDIN_SERVER_H_
