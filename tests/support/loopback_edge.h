/// @file
/// A listener on loopback for raw clients.
#ifndef TESTS_SUPPORT_LOOPBACK_EDGE_H_
#define TESTS_SUPPORT_LOOPBACK_EDGE_H_

#include <poll.h>
#include <sys/time.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>

#include "comfreyvane/net/caller_listener.h"
#include "comfreyvane/net/header_names.h"
#include "comfreyvane/net/timeout_sweeper.h"

namespace comfreyvane::testing {

/// Answers with the number of body bytes, and refusals by reason.
class CountingHandler {
 public:
  template <typename Exchange>
  asio::awaitable<bool> Handle(Exchange& exchange) {
    const auto& head = exchange.head();
    if (head[boost::beast::http::field::expect] == "100-continue")
      (void)co_await exchange.WriteContinue();
    std::array<char, 512> piece;
    std::size_t received = 0;
    while (!exchange.body_done()) {
      const BodyChunk chunk = co_await exchange.ReadBody(piece);
      if (chunk.failure != ExchangeFailure::kNone) {
        co_await Refuse(exchange, ReasonOf(chunk.failure));
        co_return false;
      }
      received += chunk.size;
    }
    typename Exchange::Answer answer(boost::beast::http::status::ok, 11);
    answer.keep_alive(exchange.keep_alive());
    answer.body() = "received " + std::to_string(received);
    answer.prepare_payload();
    co_return co_await exchange.WriteAnswer(answer) ==
        ExchangeFailure::kNone&& exchange.keep_alive();
  }

  template <typename Exchange>
  asio::awaitable<void> Refuse(Exchange& exchange, RefusalReason reason) {
    typename Exchange::Answer answer(
        static_cast<boost::beast::http::status>(HttpStatus(reason)), 11);
    answer.set(kRefusedField, Name(reason));
    answer.keep_alive(false);
    answer.prepare_payload();
    (void)co_await exchange.WriteAnswer(answer);
  }

 private:
  static RefusalReason ReasonOf(ExchangeFailure failure) {
    switch (failure) {
      case ExchangeFailure::kTooLarge:
        return RefusalReason::kBodyTooLarge;
      case ExchangeFailure::kTimeout:
        return RefusalReason::kSlowCaller;
      default:
        return RefusalReason::kMalformedRequest;
    }
  }
};

/// A CallerListener on a free port, served by a thread.
class LoopbackEdge {
 public:
  explicit LoopbackEdge(const HttpLimits& limits)
      : sweeper_(io_),
        listener_(io_,
                  {asio::ip::address_v4::loopback(), 0},
                  PortSharing::kExclusive,
                  nullptr,
                  sweeper_,
                  limits,
                  handler_),
        endpoint_(listener_.local_endpoint()) {
    sweeper_.Start();
    listener_.Start();
    thread_ = std::thread([this] { io_.run(); });
  }
  LoopbackEdge(const LoopbackEdge&) = delete;
  LoopbackEdge& operator=(const LoopbackEdge&) = delete;
  ~LoopbackEdge() {
    io_.stop();
    thread_.join();
  }

  [[nodiscard]] const tcp::endpoint& endpoint() const { return endpoint_; }

 private:
  asio::io_context io_{1};
  TimeoutSweeper sweeper_;
  CountingHandler handler_;
  CallerListener<CountingHandler> listener_;
  tcp::endpoint endpoint_;
  std::thread thread_;
};

/// A client that sends bytes as they are.
class RawClient {
 public:
  explicit RawClient(const tcp::endpoint& endpoint) : socket_(io_) {
    socket_.connect(endpoint);
    // A guard against a listener that hangs, not a part of any contract.
    constexpr timeval kGuard{10, 0};
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kGuard,
               sizeof(kGuard));
  }

  void Send(std::string_view bytes) {
    error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
  }
  void EndInput() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }

  /// @return all that comes until the listener closes.
  [[nodiscard]] std::string ReceiveAll() {
    std::string all;
    std::array<char, 4096> piece;
    while (true) {
      const auto size =
          recv(socket_.native_handle(), piece.data(), piece.size(), 0);
      if (size <= 0)
        return all;
      all.append(piece.data(), static_cast<std::size_t>(size));
    }
  }

  /// @return how often a byte comes until the listener closes.
  [[nodiscard]] std::size_t CountUntilEnd(char counted) {
    std::size_t count = 0;
    std::array<char, 65536> piece;
    while (true) {
      const auto size =
          recv(socket_.native_handle(), piece.data(), piece.size(), 0);
      if (size <= 0)
        return count;
      count += static_cast<std::size_t>(
          std::count(piece.begin(), piece.begin() + size, counted));
    }
  }

  /// What came last, and whether the listener has closed.
  struct Tail {
    std::string text;
    bool is_closed = false;
  };

  /// Discards what comes, but for the last bytes of it.
  /// @return nothing that is closed if the listener does not close in time.
  [[nodiscard]] Tail DiscardFor(std::chrono::steady_clock::duration span) {
    constexpr std::size_t kTailBytes = 16;
    const auto end = std::chrono::steady_clock::now() + span;
    Tail tail;
    std::array<char, 65536> piece;
    while (std::chrono::steady_clock::now() < end) {
      constexpr int kPollMs = 20;
      pollfd ready{socket_.native_handle(), POLLIN, 0};
      if (poll(&ready, 1, kPollMs) == 0)
        continue;
      const auto size =
          recv(socket_.native_handle(), piece.data(), piece.size(), 0);
      if (size <= 0) {
        tail.is_closed = true;
        break;
      }
      tail.text.append(piece.data(), static_cast<std::size_t>(size));
      if (tail.text.size() > kTailBytes)
        tail.text.erase(0, tail.text.size() - kTailBytes);
    }
    return tail;
  }

  /// @return what comes until the text is in it, or the listener closes.
  [[nodiscard]] std::string ReceiveUntil(std::string_view text) {
    std::string all;
    char byte = 0;
    while (all.find(text) == std::string::npos &&
           recv(socket_.native_handle(), &byte, 1, 0) == 1)
      all.push_back(byte);
    return all;
  }

 private:
  asio::io_context io_;
  tcp::socket socket_;
};

/// Sends a text over a connection of its own.
/// @return all that comes until the listener closes.
[[nodiscard]] inline std::string FetchRaw(const tcp::endpoint& endpoint,
                                          std::string_view text) {
  RawClient client(endpoint);
  client.Send(text);
  return client.ReceiveAll();
}

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_LOOPBACK_EDGE_H_
