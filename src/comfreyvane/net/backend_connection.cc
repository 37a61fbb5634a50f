#include "comfreyvane/net/backend_connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <limits>

#include "comfreyvane/net/answer_checks.h"
#include "comfreyvane/net/liveness_options.h"
#include "comfreyvane/net/message_reader.h"

namespace comfreyvane {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kBufferBytes = 64 * 1024;
constexpr std::uint32_t kAnswerHeaderBytes = 32 * 1024;

/// Interim answers before a final one. A server that sends more sends bytes
/// that are no answer.
constexpr int kMaxInterimAnswers = 32;

}  // namespace

BackendConnection::BackendConnection(asio::io_context& io,
                                     TimeoutSweeper& sweeper)
    : socket_(io),
      buffer_(kBufferBytes),
      watchdog_(sweeper,
                [this] {
                  error_code ignored;
                  socket_.cancel(ignored);
                }),
      stream_(socket_, watchdog_) {}

asio::awaitable<ExchangeFailure> BackendConnection::Connect(
    const tcp::endpoint& endpoint,
    TimePoint deadline) {
  watchdog_.Arm(deadline);
  const auto [error] = co_await socket_.async_connect(endpoint, kAwait);
  watchdog_.Disarm();
  if (error) {
    co_return watchdog_.fired() ? ExchangeFailure::kTimeout
                                : ExchangeFailure::kClosed;
  }
  SetLivenessOptions(socket_);
  co_return ExchangeFailure::kNone;
}

asio::awaitable<ExchangeFailure> BackendConnection::Write(
    StreamedMessage<true>& message,
    std::span<const char> chunk,
    bool last,
    TimePoint deadline) {
  watchdog_.Arm(deadline);
  const ExchangeFailure failure = co_await message.Write(stream_, chunk, last);
  watchdog_.Disarm();
  co_return failure;
}

asio::awaitable<ExchangeFailure> BackendConnection::ReadHead(
    bool to_head,
    TimePoint deadline) {
  ++uses_;
  for (int interim = 0;; ++interim) {
    if (interim > kMaxInterimAnswers)
      co_return ExchangeFailure::kMalformed;
    parser_.emplace();
    parser_->skip(to_head);
    parser_->header_limit(kAnswerHeaderBytes);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    watchdog_.Arm(deadline);
    const auto [error, size] =
        co_await http::async_read_header(stream_, buffer_, *parser_, kAwait);
    watchdog_.Disarm();
    if (error)
      co_return FailureOf(error);
    const auto& head = parser_->get().base();
    if (!IsAnswerHead(head))
      co_return ExchangeFailure::kMalformed;
    if (!IsInterim(head))
      break;
  }
  // A body that only the close ends cannot be told from one that a server cut
  // short in an orderly way.
  const bool refused = parser_->need_eof() && !unframed_allowed_;
  co_return refused ? ExchangeFailure::kMalformed : ExchangeFailure::kNone;
}

asio::awaitable<BodyChunk> BackendConnection::ReadBody(std::span<char> into,
                                                       TimePoint deadline) {
  watchdog_.Arm(deadline);
  const BodyChunk chunk = co_await ReadChunk(stream_, buffer_, *parser_, into);
  watchdog_.Disarm();
  co_return chunk;
}

bool BackendConnection::reusable() const {
  return socket_.is_open() && !watchdog_.is_cancelled() && parser_ &&
         parser_->is_done() && parser_->get().keep_alive() &&
         buffer_.size() == 0;
}

bool BackendConnection::IsStale() {
  char byte = 0;
  const auto size =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void BackendConnection::Cancel() {
  watchdog_.Cancel();
}

void BackendConnection::Close() {
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace comfreyvane
