/// @file
/// A stream that keeps to the timeout of its connection.
#ifndef COMFREYVANE_NET_WATCHED_STREAM_H_
#define COMFREYVANE_NET_WATCHED_STREAM_H_

#include <boost/asio/compose.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/bind_handler.hpp>
#include <cstddef>
#include <type_traits>
#include <utility>

#include "comfreyvane/net/async.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/watchdog.h"

namespace comfreyvane {

/// Reads and writes of a connection that has a watchdog. One that begins after
/// the deadline is aborted even if the other end has bytes ready: the watchdog
/// itself only cancels what is pending, and with such a peer nothing is. Each
/// operation completes through the event loop, so that others have their turn
/// between two of them.
/// @tparam Stream a socket or a TLS stream.
template <typename Stream>
class WatchedStream {
 public:
  using executor_type = typename Stream::executor_type;
  using Signature = void(error_code, std::size_t);
  template <typename Token>
  using Result =
      typename asio::async_result<std::decay_t<Token>, Signature>::return_type;

  /// @param stream must outlive this object, as must the watchdog.
  WatchedStream(Stream& stream, const Watchdog& watchdog)
      : stream_(stream), watchdog_(watchdog) {}
  WatchedStream(const WatchedStream&) = delete;
  WatchedStream& operator=(const WatchedStream&) = delete;

  [[nodiscard]] executor_type get_executor() { return stream_.get_executor(); }

  template <typename Buffers, typename Token>
  Result<Token> async_read_some(const Buffers& buffers, Token&& token) {
    return Start(
        [this, buffers](auto&& handler) {
          stream_.async_read_some(buffers,
                                  std::forward<decltype(handler)>(handler));
        },
        std::forward<Token>(token));
  }

  template <typename Buffers, typename Token>
  Result<Token> async_write_some(const Buffers& buffers, Token&& token) {
    return Start(
        [this, buffers](auto&& handler) {
          stream_.async_write_some(buffers,
                                   std::forward<decltype(handler)>(handler));
        },
        std::forward<Token>(token));
  }

 private:
  template <typename Operation, typename Token>
  Result<Token> Start(Operation operation, Token&& token) {
    return asio::async_compose<Token, Signature>(
        [this, operation, is_started = false](auto& self,
                                              const error_code& error = {},
                                              std::size_t size = 0) mutable {
          if (std::exchange(is_started, true)) {
            self.complete(error, size);
          } else if (watchdog_.IsOver(MonotonicNow())) {
            const error_code aborted = asio::error::operation_aborted;
            asio::post(stream_.get_executor(),
                       boost::beast::bind_front_handler(
                           std::move(self), aborted, std::size_t{0}));
          } else {
            // Moving the operation away ends the life of this function object.
            const Operation begin = operation;
            begin(std::move(self));
          }
        },
        token, stream_);
  }

  Stream& stream_;
  const Watchdog& watchdog_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_WATCHED_STREAM_H_
