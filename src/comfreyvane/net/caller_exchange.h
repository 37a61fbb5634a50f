/// @file
/// A caller's connection.
#ifndef COMFREYVANE_NET_CALLER_EXCHANGE_H_
#define COMFREYVANE_NET_CALLER_EXCHANGE_H_

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

#include "comfreyvane/base/refusal_reason.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/http_limits.h"
#include "comfreyvane/net/message_reader.h"
#include "comfreyvane/net/request_checks.h"
#include "comfreyvane/net/streamed_message.h"
#include "comfreyvane/net/watchdog.h"
#include "comfreyvane/net/watched_stream.h"

namespace comfreyvane {

/// One connection of a caller and the request that is on it now. Used by one
/// thread.
/// @tparam Stream tcp::socket or a TLS stream over it.
template <typename Stream>
class CallerExchange {
 public:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;
  using Answer = boost::beast::http::response<boost::beast::http::string_body>;

  CallerExchange(Stream stream,
                 TimeoutSweeper& sweeper,
                 const HttpLimits& limits)
      : stream_(std::move(stream)),
        limits_(limits),
        buffer_(limits.header_bytes + kReadBytes),
        watchdog_(sweeper, [this] { CancelAll(); }),
        watched_(stream_, watchdog_),
        close_timer_(stream_.get_executor()) {}
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  [[nodiscard]] Stream& stream() { return stream_; }
  [[nodiscard]] tcp::socket& socket() {
    if constexpr (requires { stream_.next_layer(); })
      return stream_.next_layer();
    else
      return stream_;
  }

  /// @return whether the TLS handshake succeeded in time.
  [[nodiscard]] asio::awaitable<bool> HandshakeAsServer() requires
      requires(Stream& s) {
    s.next_layer();
  }
  {
    watchdog_.Arm(MonotonicNow() + limits_.header_timeout);
    const auto [error] = co_await stream_.async_handshake(
        asio::ssl::stream_base::server, kAwait);
    watchdog_.Disarm();
    co_return !error;
  }

  /// What reading a head brought: a head, a reason to refuse, or the end.
  struct HeadResult {
    bool ended = false;
    std::optional<RefusalReason> refusal;
  };

  /// Waits for the next request and reads its head.
  [[nodiscard]] asio::awaitable<HeadResult> ReadHead() {
    parser_.reset();
    // Of a pipelined request a part may be here already.
    watchdog_.Arm(MonotonicNow() + (buffer_.size() == 0
                                        ? limits_.idle_timeout
                                        : limits_.header_timeout));
    std::size_t searched = 0;
    while (true) {
      const std::string_view received = Received();
      const auto end = received.find(kHeadEnd, searched);
      if (end != std::string_view::npos)
        co_return ParseHead(received.substr(0, end + kHeadEnd.size()));
      if (received.size() >= limits_.header_bytes)
        co_return HeadResult{false, RefusalReason::kHeaderTooLarge};
      searched = received.size() < kHeadEnd.size()
                     ? 0
                     : received.size() - kHeadEnd.size() + 1;
      if (!co_await ReadMore())
        co_return EndOfHead();
    }
  }

  /// @pre a head was read.
  [[nodiscard]] const boost::beast::http::request_header<>& head() const {
    return parser_->get().base();
  }
  [[nodiscard]] bool body_done() const {
    return !parser_ || parser_->is_done();
  }
  /// @return whether the connection carries another request after this one;
  /// the same from the start of the answer on, so that it says what happens.
  [[nodiscard]] bool keep_alive() const {
    return keep_alive_ && (is_answering_ || !is_leaving());
  }

  /// Makes this request the last of its connection. Before an answer that only
  /// the close ends.
  void EndAfterAnswer() { keep_alive_ = false; }

  /// @param leaving once true, each request is the last of its connection;
  /// must outlive the exchange.
  void FollowLeaving(const bool& leaving) { leaving_ = &leaving; }
  [[nodiscard]] std::optional<std::uint64_t> content_length() const {
    const auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
  }
  [[nodiscard]] bool chunked() const { return parser_->chunked(); }

  /// @param deadline when to give up even if bytes still come.
  [[nodiscard]] asio::awaitable<BodyChunk> ReadBody(
      std::span<char> into,
      TimePoint deadline = TimePoint::max()) {
    watchdog_.Arm(
        std::min(deadline, MonotonicNow() + limits_.progress_timeout));
    const BodyChunk chunk =
        co_await ReadChunk(watched_, buffer_, *parser_, into);
    watchdog_.Disarm();
    co_return chunk;
  }

  /// Sends the interim answer to "Expect: 100-continue".
  [[nodiscard]] asio::awaitable<ExchangeFailure> WriteContinue() {
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    watchdog_.Arm(MonotonicNow() + limits_.progress_timeout);
    const auto [error, size] =
        co_await asio::async_write(watched_, asio::buffer(kContinue), kAwait);
    watchdog_.Disarm();
    co_return FailureOf(error);
  }

  /// Writes a whole answer; of one to a HEAD request, only the head.
  /// @param answer with its framing fields set.
  [[nodiscard]] asio::awaitable<ExchangeFailure> WriteAnswer(Answer& answer) {
    BeginAnswer();
    namespace http = boost::beast::http;
    watchdog_.Arm(MonotonicNow() + limits_.progress_timeout);
    error_code result;
    if (is_to_head()) {
      http::response_serializer<http::string_body> serializer(answer);
      const auto [error, size] =
          co_await http::async_write_header(watched_, serializer, kAwait);
      result = error;
    } else {
      const auto [error, size] =
          co_await http::async_write(watched_, answer, kAwait);
      result = error;
    }
    watchdog_.Disarm();
    answered_at_ = MonotonicNow();
    co_return FailureOf(result);
  }

  /// Writes a part of a backend server's answer.
  [[nodiscard]] asio::awaitable<ExchangeFailure> WritePart(
      StreamedMessage<false>& message,
      std::span<const char> chunk,
      bool last) {
    BeginAnswer();
    watchdog_.Arm(MonotonicNow() + limits_.progress_timeout);
    const ExchangeFailure failure =
        co_await message.Write(watched_, chunk, last);
    watchdog_.Disarm();
    answered_at_ = MonotonicNow();
    co_return failure;
  }

  /// Calls the function once if the caller closes its connection. What the
  /// caller sends meanwhile is kept for the next request. Must be stopped
  /// before the next read or write.
  /// @pre the body was read.
  void WatchForClose(std::function<void()> on_closed) {
    AwaitReadable(++watch_, std::move(on_closed));
  }
  void StopWatching() {
    ++watch_;
    close_timer_.cancel();
    error_code ignored;
    socket().cancel(ignored);
  }

  /// @return whether the caller has closed its connection and nothing that it
  ///     sent is left to be read.
  [[nodiscard]] bool IsClosedByCaller() {
    char byte = 0;
    const auto size =
        recv(socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
  }

  /// Resets the connection, so that no part of an answer passes for a whole.
  void Abort() {
    error_code ignored;
    socket().set_option(asio::socket_base::linger(true, 0), ignored);
    socket().close(ignored);
  }

  /// Closes after what was written has arrived: reads on for a moment, since a
  /// close with unread input would reset the connection.
  [[nodiscard]] asio::awaitable<void> CloseGently() {
    error_code ignored;
    if (!socket().is_open())
      co_return;
    socket().shutdown(tcp::socket::shutdown_send, ignored);
    watchdog_.Arm(MonotonicNow() + kLingerTime);
    std::array<char, kReadBytes> discarded;
    for (std::size_t total = 0; total < kLingerBytes;) {
      const auto [error, size] =
          co_await socket().async_read_some(asio::buffer(discarded), kAwait);
      if (error)
        break;
      total += size;
    }
    watchdog_.Disarm();
    socket().close(ignored);
  }

  void CancelAll() {
    error_code ignored;
    socket().cancel(ignored);
  }

  /// Ends the wait for a request, now or when it begins, unless one has begun
  /// to arrive: that one is still read. One that crosses the close is reset
  /// unread, so that the caller may repeat it.
  void EndWhenIdle() {
    ends_when_idle_ = true;
    // A read that has completed takes no notice, though it may not have been
    // resumed yet.
    if (awaits_request_)
      CancelAll();
  }

  /// Refuses a request whose head has been read in part, now or as soon as it
  /// is waited for.
  void GiveUpHead() {
    ends_when_idle_ = true;
    gives_up_head_ = true;
    if (reads_head_)
      CancelAll();
  }

 private:
  static constexpr std::string_view kHeadEnd = "\r\n\r\n";
  static constexpr std::size_t kReadBytes = 4096;
  static constexpr Duration kCloseCheckInterval = std::chrono::milliseconds(50);
  static constexpr std::size_t kLingerBytes = 256 * 1024;
  static constexpr Duration kLingerTime = std::chrono::milliseconds(500);

  [[nodiscard]] std::string_view Received() const {
    const auto data = buffer_.data();
    return {static_cast<const char*>(data.data()), data.size()};
  }

  [[nodiscard]] bool is_leaving() const {
    return leaving_ != nullptr && *leaving_;
  }

  /// Fixes what the answer says of the connection.
  void BeginAnswer() {
    keep_alive_ = keep_alive();
    is_answering_ = true;
  }

  [[nodiscard]] bool HasUnread() {
    error_code error;
    return socket().available(error) > 0;
  }

  /// @return whether the request is a HEAD, as far as it can be read.
  [[nodiscard]] bool is_to_head() const {
    if (parser_ && parser_->is_header_done())
      return head().method() == boost::beast::http::verb::head;
    return Received().starts_with("HEAD ");
  }

  [[nodiscard]] asio::awaitable<bool> ReadMore() {
    const bool first = buffer_.size() == 0;
    const std::size_t room =
        std::min(kReadBytes, buffer_.max_size() - buffer_.size());
    while (true) {
      if (first ? ends_when_idle_ && !HasUnread() : gives_up_head_)
        co_return false;
      awaits_request_ = first;
      reads_head_ = true;
      const auto [error, size] =
          co_await watched_.async_read_some(buffer_.prepare(room), kAwait);
      awaits_request_ = false;
      reads_head_ = false;
      if (!error) {
        buffer_.commit(size);
        break;
      }
      const bool is_told_to_end =
          error == asio::error::operation_aborted && ends_when_idle_;
      if (!first || !is_told_to_end || watchdog_.fired())
        co_return false;
    }
    if (first)
      watchdog_.Arm(MonotonicNow() + limits_.header_timeout);
    co_return true;
  }

  [[nodiscard]] HeadResult EndOfHead() {
    if (buffer_.size() > 0 && gives_up_head_)
      return {false, RefusalReason::kHostLeaving};
    // A caller that began a head and stalled is told so; an idle one is not.
    if (watchdog_.fired() && buffer_.size() > 0)
      return {false, RefusalReason::kSlowCaller};
    // A reset must not overtake an answer.
    const bool is_settled =
        !answered_at_ || MonotonicNow() - *answered_at_ >= kLingerTime;
    error_code ignored;
    if (ends_when_idle_ && buffer_.size() == 0 && is_settled)
      socket().close(ignored);
    return {true, std::nullopt};
  }

  [[nodiscard]] HeadResult ParseHead(std::string_view raw) {
    watchdog_.Disarm();
    if (const auto reason = CheckRawHead(raw))
      return {false, reason};
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser_->body_limit(limits_.body_bytes);
    error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    if (error == boost::beast::http::error::body_limit)
      return {false, RefusalReason::kBodyTooLarge};
    if (error == boost::beast::http::error::header_limit)
      return {false, RefusalReason::kHeaderTooLarge};
    if (error || !parser_->is_header_done())
      return {false, RefusalReason::kMalformedRequest};
    buffer_.consume(used);
    is_answering_ = false;
    keep_alive_ = parser_->get().keep_alive();
    return {false, CheckHead(head())};
  }

  void AwaitReadable(int watch, std::function<void()> on_closed) {
    socket().async_wait(
        tcp::socket::wait_read,
        [this, watch, alive = std::weak_ptr<int>(alive_),
         on_closed = std::move(on_closed)](const error_code& error) mutable {
          if (error || alive.expired() || watch != watch_)
            return;
          const ReadAhead ahead = TakeReadAhead();
          if (ahead == ReadAhead::kClosed)
            on_closed();
          else if (ahead == ReadAhead::kTaken)
            AwaitReadable(watch, std::move(on_closed));
          else
            AwaitClose(watch, std::move(on_closed));
        });
  }

  /// Looks regularly for a close behind bytes that are left on the socket.
  void AwaitClose(int watch, std::function<void()> on_closed) {
    close_timer_.expires_after(kCloseCheckInterval);
    close_timer_.async_wait(
        [this, watch, alive = std::weak_ptr<int>(alive_),
         on_closed = std::move(on_closed)](const error_code& error) mutable {
          if (error || alive.expired() || watch != watch_)
            return;
          if (HasCallerEnded())
            on_closed();
          else
            AwaitClose(watch, std::move(on_closed));
        });
  }

  /// @return whether the caller sends nothing more, even if bytes are unread.
  [[nodiscard]] bool HasCallerEnded() {
    pollfd state{socket().native_handle(), POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0;
  }

  enum class ReadAhead { kClosed, kTaken, kLeft };

  /// Takes bytes of later requests off the socket, since a close behind unread
  /// bytes would not be seen. Those of a TLS stream are left there.
  [[nodiscard]] ReadAhead TakeReadAhead() {
    if constexpr (requires { stream_.next_layer(); }) {
      char byte = 0;
      return Received(
          recv(socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT),
          ReadAhead::kLeft);
    } else {
      const std::size_t room =
          std::min(kReadBytes, buffer_.max_size() - buffer_.size());
      if (room == 0)
        return ReadAhead::kLeft;
      const auto space = buffer_.prepare(room);
      const auto size = recv(socket().native_handle(), space.data(),
                             space.size(), MSG_DONTWAIT);
      if (size > 0)
        buffer_.commit(static_cast<std::size_t>(size));
      return Received(size, ReadAhead::kTaken);
    }
  }

  [[nodiscard]] static ReadAhead Received(ssize_t size, ReadAhead if_bytes) {
    if (size > 0)
      return if_bytes;
    const bool pending = size < 0 && (errno == EAGAIN || errno == EINTR);
    return pending ? ReadAhead::kTaken : ReadAhead::kClosed;
  }

  Stream stream_;
  HttpLimits limits_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Watchdog watchdog_;
  WatchedStream<Stream> watched_;
  asio::steady_timer close_timer_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  int watch_ = 0;
  bool keep_alive_ = false;
  bool is_answering_ = false;
  std::optional<TimePoint> answered_at_;
  bool awaits_request_ = false;  ///< Reads, and no byte of it has come.
  bool reads_head_ = false;
  bool ends_when_idle_ = false;
  bool gives_up_head_ = false;
  const bool* leaving_ = nullptr;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_CALLER_EXCHANGE_H_
