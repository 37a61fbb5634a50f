/// @file
/// HTTP client for control traffic.
#ifndef COMFREYVANE_NET_HTTP_CLIENT_H_
#define COMFREYVANE_NET_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/http_call.h"
#include "comfreyvane/net/watchdog.h"

namespace comfreyvane {

/// Calls one server over kept connections. Used by one thread, which must
/// keep it until all calls have ended.
class HttpClient {
 public:
  HttpClient(asio::io_context& io,
             TimeoutSweeper& sweeper,
             tcp::endpoint server);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @param deadline by which the result is there, whatever happens.
  [[nodiscard]] asio::awaitable<HttpCallResult> Call(HttpCall call,
                                                     TimePoint deadline);

  /// The same for a call whose answer may be large. While parts of the answer
  /// arrive, the deadline is extended, by kMaxTransferTime at most.
  /// @param on_progress called when a part of the answer has arrived.
  [[nodiscard]] asio::awaitable<HttpCallResult> CallForLarge(
      HttpCall call,
      TimePoint deadline,
      std::function<void()> on_progress);

  /// Time without a part of an answer after which it is given up.
  static constexpr Duration kStallTimeout = std::chrono::milliseconds(400);
  /// Time beyond the deadline within which an answer must be complete.
  static constexpr Duration kMaxTransferTime = std::chrono::seconds(8);

  [[nodiscard]] const tcp::endpoint& server() const { return server_; }

 private:
  struct Connection;
  using ConnectionPtr = std::unique_ptr<Connection>;

  [[nodiscard]] ConnectionPtr TakeIdle();
  [[nodiscard]] asio::awaitable<ConnectionPtr> Open(TimePoint deadline);
  /// @param on_progress empty if the deadline is not extended.
  [[nodiscard]] asio::awaitable<HttpCallResult>
  Send(HttpCall call, TimePoint deadline, std::function<void()> on_progress);

  asio::io_context& io_;
  TimeoutSweeper& sweeper_;
  tcp::endpoint server_;
  std::vector<ConnectionPtr> idle_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_HTTP_CLIENT_H_
