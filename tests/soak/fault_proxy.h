/// @file
/// A TCP proxy on loopback that injects faults.
#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <fcntl.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <tuple>

#include "comfreyvane/net/async.h"

namespace comfreyvane::soak {

/// What a proxy does with the bytes of its connections.
enum class ProxyMode {
  kPass,
  kDelay,   ///< Each piece arrives later.
  kSilent,  ///< Nothing passes; connections stay open.
  kOneWay,  ///< Only what callers send passes.
  kRefuse,  ///< New connections are closed at once.
};

/// How the connections through a proxy fail while it is cut.
enum class CutKind {
  kHang,    ///< Nothing passes; connections stay open.
  kReset,   ///< Open connections are reset, new ones are refused.
  kRefuse,  ///< Open connections go on, new ones are refused.
};

/// Passes connections on to a listener on loopback. Used by one thread.
class FaultProxy {
 public:
  FaultProxy(asio::io_context& io, std::uint16_t target_port)
      : io_(io),
        target_(asio::ip::address_v4::loopback(), target_port),
        acceptor_(io),
        holder_(io) {
    Bind(holder_);
    port_ = holder_.local_endpoint().port();
    Listen();
  }

  [[nodiscard]] std::uint16_t port() const { return port_; }

  void SetMode(ProxyMode mode) { mode_ = mode; }

  void Cut(CutKind kind) {
    if (kind == CutKind::kHang) {
      mode_ = ProxyMode::kSilent;
      return;
    }
    StopListening();
    if (kind == CutKind::kReset)
      ResetAll();
  }
  /// Ends a cut.
  void Restore() {
    Listen();
    mode_ = ProxyMode::kPass;
  }

  /// Resets all open connections.
  void ResetAll() {
    for (const auto& link : links_)
      link->Reset();
  }

 private:
  static constexpr std::chrono::milliseconds kDelay{120};
  static constexpr std::chrono::milliseconds kPoll{20};

  struct Link {
    explicit Link(asio::io_context& io) : upstream(io), caller(io) {}
    void Reset() {
      for (tcp::socket* socket : {&caller, &upstream}) {
        error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
      }
    }
    tcp::socket upstream;
    tcp::socket caller;
  };
  using LinkPtr = std::shared_ptr<Link>;

  /// Makes the kernel refuse new connections. Open ones go on.
  void StopListening() {
    error_code ignored;
    acceptor_.close(ignored);
  }
  void Listen() {
    if (acceptor_.is_open())
      return;
    Bind(acceptor_);
    acceptor_.listen();
    asio::co_spawn(io_, Accept(), asio::detached);
  }
  /// Processes that are started later must not keep a socket open.
  template <typename Socket>
  static void CloseInChildren(Socket& socket) {
    fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
  }
  /// @param socket is bound to the port; to a free one at first.
  template <typename Socket>
  void Bind(Socket& socket) {
    using ReusePort =
        asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    socket.open(tcp::v4());
    CloseInChildren(socket);
    socket.set_option(ReusePort(true));
    socket.bind(tcp::endpoint(asio::ip::address_v4::loopback(), port_));
  }

  asio::awaitable<void> Accept() {
    while (acceptor_.is_open()) {
      auto link = std::make_shared<Link>(io_);
      const auto [error] =
          co_await acceptor_.async_accept(link->caller, kAwait);
      if (error == asio::error::operation_aborted)
        co_return;
      if (error || mode_ == ProxyMode::kRefuse)
        continue;
      CloseInChildren(link->caller);
      links_.push_back(link);
      asio::co_spawn(io_, Serve(link), asio::detached);
    }
  }

  asio::awaitable<void> Serve(LinkPtr link) {
    link->upstream.open(tcp::v4());
    CloseInChildren(link->upstream);
    const auto [error] = co_await link->upstream.async_connect(target_, kAwait);
    if (error) {
      link->Reset();
    } else {
      asio::co_spawn(io_, Pump(link, link->upstream, link->caller, false),
                     asio::detached);
      co_await Pump(link, link->caller, link->upstream, true);
    }
    links_.remove(link);
  }

  /// @param link keeps the sockets alive.
  asio::awaitable<void> Pump([[maybe_unused]] LinkPtr link,
                             tcp::socket& from,
                             tcp::socket& to,
                             bool from_caller) {
    std::array<char, 16 * 1024> piece;
    while (true) {
      const auto [read_error, size] =
          co_await from.async_read_some(asio::buffer(piece), kAwait);
      if (read_error)
        break;
      co_await Hold(from_caller);
      const auto [write_error, written] =
          co_await asio::async_write(to, asio::buffer(piece, size), kAwait);
      if (write_error)
        break;
    }
    error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
  }

  asio::awaitable<void> Hold(bool from_caller) {
    asio::steady_timer timer(io_);
    if (mode_ == ProxyMode::kDelay) {
      timer.expires_after(kDelay);
      co_await timer.async_wait(kAwait);
    }
    while (mode_ == ProxyMode::kSilent ||
           (mode_ == ProxyMode::kOneWay && !from_caller)) {
      timer.expires_after(kPoll);
      co_await timer.async_wait(kAwait);
    }
  }

  asio::io_context& io_;
  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  tcp::socket holder_;  ///< Keeps the port while nothing listens.
  std::uint16_t port_ = 0;
  ProxyMode mode_ = ProxyMode::kPass;
  std::list<LinkPtr> links_;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_FAULT_PROXY_H_
