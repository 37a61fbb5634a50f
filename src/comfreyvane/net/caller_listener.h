/// @file
/// Accepts callers.
#ifndef COMFREYVANE_NET_CALLER_LISTENER_H_
#define COMFREYVANE_NET_CALLER_LISTENER_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <tuple>
#include <utility>

#include "comfreyvane/log/log.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/caller_exchange.h"
#include "comfreyvane/net/http_limits.h"

namespace comfreyvane {

/// Whether several listeners may open one port.
enum class PortSharing {
  kExclusive,      ///< A second listener fails to open it.
  kWithinProcess,  ///< Threads share it; the kernel spreads connections.
};

/// Accepts connections on one thread and serves the requests on each by a
/// handler.
/// @tparam Handler with
///   awaitable<bool> Handle(CallerExchange<S>&)          serves one request
///   awaitable<void> Refuse(CallerExchange<S>&, RefusalReason)
/// where the result of Handle says whether the connection may go on.
template <typename Handler>
class CallerListener {
 public:
  /// Opens the port.
  /// @param sharing whether other listeners of this process open it too.
  /// @param tls null for plain TCP.
  /// @throws boost::system::system_error if the port cannot be opened.
  CallerListener(asio::io_context& io,
                 const tcp::endpoint& endpoint,
                 PortSharing sharing,
                 asio::ssl::context* tls,
                 TimeoutSweeper& sweeper,
                 const HttpLimits& limits,
                 Handler& handler)
      : io_(io),
        acceptor_(io),
        tls_(tls),
        sweeper_(sweeper),
        limits_(limits),
        handler_(handler) {
    using ReusePort =
        asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.set_option(ReusePort(sharing == PortSharing::kWithinProcess));
    acceptor_.bind(endpoint);
    acceptor_.listen();
  }
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  [[nodiscard]] tcp::endpoint local_endpoint() const {
    return acceptor_.local_endpoint();
  }

  void Start() {
    is_accepting_ = true;
    asio::co_spawn(io_, Accept(), asio::detached);
  }

  /// Each answer from now on closes its connection.
  void BeginLeaving() { leaving_ = true; }

  /// Puts other limits in force for connections accepted from now on.
  void SetLimits(const HttpLimits& limits) { limits_ = limits; }

  /// Takes what has connected already, then accepts no more, and closes the
  /// connections that are idle. Requests that have begun to arrive go on.
  void StopAccepting() {
    leaving_ = true;
    stopped_ = true;
    error_code error;
    acceptor_.non_blocking(true, error);
    while (!error)
      Serve(acceptor_.accept(error));
    acceptor_.close(error);
    for (const Reading& reading : reading_)
      reading.end_when_idle();
  }

  /// Refuses the requests whose heads have been read in part.
  /// @pre StopAccepting was called.
  void GiveUpHeads() {
    gives_up_ = true;
    for (const Reading& reading : reading_)
      reading.give_up();
  }

  /// @return connections that are open.
  [[nodiscard]] std::size_t connections() const { return connections_; }

  /// @return connections that are open or may just have been accepted. Once
  ///     StopAccepting was called, each holds a request, a part of one, or an
  ///     answer that its caller has not taken.
  [[nodiscard]] std::size_t unfinished() const {
    return connections_ + (is_accepting_ ? 1 : 0);
  }

 private:
  /// Time after a failed accept, such as one for lack of descriptors.
  static constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

  /// A connection that waits for a head or reads one.
  struct Reading {
    std::function<void()> end_when_idle;
    std::function<void()> give_up;
  };

  asio::awaitable<void> Accept() {
    asio::steady_timer pause(io_);
    while (!stopped_) {
      auto accepted = co_await acceptor_.async_accept(kAwait);
      const error_code& error = std::get<0>(accepted);
      Serve(std::move(std::get<tcp::socket>(accepted)));
      if (!error || stopped_)
        continue;
      // The connection stays in the queue, so that the next accept would fail
      // at once too.
      Log(LogLevel::kWarning, "accept-failed",
          {{"error", error.message()},
           {"connections", connections_},
           {"pause_ms", kAcceptPause}});
      pause.expires_after(kAcceptPause);
      static_cast<void>(co_await pause.async_wait(kAwait));
    }
    is_accepting_ = false;
  }

  /// @param socket not open if the accept failed.
  void Serve(tcp::socket socket) {
    if (!socket.is_open())
      return;
    ++connections_;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    if (tls_ == nullptr)
      asio::co_spawn(io_, ServePlain(std::move(socket)), asio::detached);
    else
      asio::co_spawn(io_, ServeTls(std::move(socket)), asio::detached);
  }

  // The linter takes the copy of a coroutine's parameter into its frame for a
  // use after the move in the body.
  // NOLINTBEGIN(bugprone-use-after-move)
  asio::awaitable<void> ServePlain(tcp::socket socket) {
    CallerExchange<tcp::socket> exchange(std::move(socket), sweeper_, limits_);
    co_await ServeRequests(exchange);
  }

  asio::awaitable<void> ServeTls(tcp::socket socket) {
    using TlsStream = asio::ssl::stream<tcp::socket>;
    CallerExchange<TlsStream> exchange(TlsStream(std::move(socket), *tls_),
                                       sweeper_, limits_);
    if (co_await exchange.HandshakeAsServer())
      co_await ServeRequests(exchange);
    else
      --connections_;
  }
  // NOLINTEND(bugprone-use-after-move)

  template <typename Exchange>
  asio::awaitable<void> ServeRequests(Exchange& exchange) {
    exchange.FollowLeaving(leaving_);
    bool go_on = true;
    while (go_on) {
      const auto place = reading_.insert(
          reading_.end(), Reading{[&exchange] { exchange.EndWhenIdle(); },
                                  [&exchange] { exchange.GiveUpHead(); }});
      if (stopped_)
        exchange.EndWhenIdle();
      if (gives_up_)
        exchange.GiveUpHead();
      const auto head = co_await exchange.ReadHead();
      reading_.erase(place);
      if (head.ended)
        break;
      if (head.refusal) {
        co_await handler_.Refuse(exchange, *head.refusal);
        break;
      }
      go_on = co_await handler_.Handle(exchange);
    }
    co_await exchange.CloseGently();
    --connections_;
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  asio::ssl::context* tls_;
  TimeoutSweeper& sweeper_;
  HttpLimits limits_;
  Handler& handler_;
  std::list<Reading> reading_;
  std::size_t connections_ = 0;
  bool leaving_ = false;
  bool stopped_ = false;
  bool is_accepting_ = false;
  bool gives_up_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_CALLER_LISTENER_H_
