/// @file
/// HTTP service of the backend server stand-in.
#ifndef STANDINS_BACKEND_HANDLER_H_
#define STANDINS_BACKEND_HANDLER_H_

#include <json/value.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "comfreyvane/net/caller_exchange.h"
#include "comfreyvane/net/header_names.h"
#include "comfreyvane/net/json_text.h"

namespace comfreyvane::standin {

/// What a request asks the stand-in to do, from its query.
struct BackendOrder {
  std::uint32_t sleep_ms = 0;
  std::uint32_t status = 200;
  std::uint64_t bytes = 0;    ///< Length of the answer's body; 0: a report.
  bool chunked = false;       ///< Send those bytes chunked.
  bool break_answer = false;  ///< Close in the middle of the answer.
  bool drop = false;          ///< Close without an answer.
  bool shed = false;          ///< Answer that it was not run.

  friend bool operator==(const BackendOrder&, const BackendOrder&) = default;
};

/// @param target of a request.
/// @return what its query asks for; unknown words are ignored.
[[nodiscard]] BackendOrder OrderOf(std::string_view target);

/// Serves and counts requests; runs each by waiting.
class BackendHandler {
 public:
  BackendHandler(asio::io_context& io, std::string name);

  template <typename Exchange>
  asio::awaitable<bool> Handle(Exchange& exchange) {
    const std::string target(exchange.head().target());
    if (target.starts_with("/standin/"))
      co_return co_await AnswerText(exchange, ControlReply(target));
    if (target == "/health")
      co_return co_await AnswerText(exchange, "{\"healthy\":true}");
    if (target == "/load")
      co_return co_await AnswerText(exchange, LoadReply());
    const BackendOrder order = OrderOf(target);
    if (order.shed)
      co_return co_await AnswerShed(exchange);
    NoteRequest(exchange.head());
    ++running_;
    const bool go_on = co_await Run(exchange, order);
    --running_;
    co_return go_on;
  }

  template <typename Exchange>
  asio::awaitable<void> Refuse(Exchange& exchange, RefusalReason) {
    exchange.Abort();
    co_return;
  }

 private:
  static constexpr std::size_t kPieceBytes = 16 * 1024;

  template <typename Exchange>
  asio::awaitable<bool> Run(Exchange& exchange, BackendOrder order) {
    std::array<char, kPieceBytes> piece;
    std::uint64_t received = 0;
    while (!exchange.body_done()) {
      const BodyChunk chunk = co_await exchange.ReadBody(piece);
      if (chunk.failure != ExchangeFailure::kNone)
        co_return false;
      received += chunk.size;
    }
    if (order.sleep_ms > 0)
      co_await Sleep(order.sleep_ms);
    if (order.drop) {
      exchange.Abort();
      co_return false;
    }
    if (order.bytes > 0)
      co_return co_await AnswerBytes(exchange, order);
    co_return co_await AnswerText(exchange, Report(exchange.head(), received),
                                  order.status);
  }

  template <typename Exchange>
  asio::awaitable<bool> AnswerText(Exchange& exchange,
                                   std::string text,
                                   unsigned status = 200) {
    typename Exchange::Answer answer(
        static_cast<boost::beast::http::status>(status), 11);
    answer.body() = std::move(text);
    answer.prepare_payload();
    if (exchange.head().method() == boost::beast::http::verb::head)
      answer.body().clear();
    co_return co_await exchange.WriteAnswer(answer) == ExchangeFailure::kNone;
  }

  template <typename Exchange>
  asio::awaitable<bool> AnswerShed(Exchange& exchange) {
    typename Exchange::Answer answer(
        boost::beast::http::status::service_unavailable, 11);
    answer.set(std::string(kShedField), "not-run");
    answer.prepare_payload();
    co_return co_await exchange.WriteAnswer(answer) == ExchangeFailure::kNone;
  }

  template <typename Exchange>
  asio::awaitable<bool> AnswerBytes(Exchange& exchange, BackendOrder order) {
    boost::beast::http::response_header<> header;
    header.version(11);
    header.result(order.status);
    if (order.chunked)
      header.set(boost::beast::http::field::transfer_encoding, "chunked");
    else
      header.set(boost::beast::http::field::content_length,
                 std::to_string(order.bytes));
    StreamedMessage<false> message(std::move(header));
    std::array<char, kPieceBytes> piece;
    piece.fill('x');
    std::uint64_t left = order.bytes;
    while (left > 0) {
      const std::size_t size = std::min<std::uint64_t>(left, piece.size());
      left -= size;
      if (order.break_answer && left < order.bytes / 2) {
        exchange.Abort();
        co_return false;
      }
      if (co_await exchange.WritePart(message, {piece.data(), size},
                                      left == 0) != ExchangeFailure::kNone)
        co_return false;
    }
    co_return true;
  }

  [[nodiscard]] asio::awaitable<void> Sleep(std::uint32_t milliseconds);
  void NoteRequest(const boost::beast::http::request_header<>& head);
  [[nodiscard]] std::string Report(
      const boost::beast::http::request_header<>& head,
      std::uint64_t received) const;
  [[nodiscard]] std::string LoadReply() const;
  [[nodiscard]] std::string ControlReply(std::string_view target);

  asio::io_context& io_;
  std::string name_;
  std::uint64_t requests_ = 0;
  std::uint64_t keys_seen_ = 0;
  std::uint32_t running_ = 0;
  int claimed_load_ = -1;
  std::map<std::string, std::uint64_t> runs_by_name_;
};

}  // namespace comfreyvane::standin

#endif  // STANDINS_BACKEND_HANDLER_H_
