/// @file
/// A connection to a backend server.
#ifndef COMFREYVANE_NET_BACKEND_CONNECTION_H_
#define COMFREYVANE_NET_BACKEND_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>
#include <span>

#include "comfreyvane/base/time.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/body_chunk.h"
#include "comfreyvane/net/streamed_message.h"
#include "comfreyvane/net/watchdog.h"
#include "comfreyvane/net/watched_stream.h"

namespace comfreyvane {

/// Carries one request at a time. After a failed or abandoned request it is
/// closed and never used again, so a late answer reaches nobody.
class BackendConnection {
 public:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  BackendConnection(asio::io_context& io, TimeoutSweeper& sweeper);
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  /// @param deadline when to give up.
  [[nodiscard]] asio::awaitable<ExchangeFailure> Connect(
      const tcp::endpoint& endpoint,
      TimePoint deadline);

  [[nodiscard]] asio::awaitable<ExchangeFailure> Write(
      StreamedMessage<true>& message,
      std::span<const char> chunk,
      bool last,
      TimePoint deadline);

  /// Reads the head of the final answer; a few interim answers are passed
  /// over.
  /// @param to_head whether the request was a HEAD, whose answer has no body.
  /// @pre the body of an earlier answer was read.
  [[nodiscard]] asio::awaitable<ExchangeFailure> ReadHead(bool to_head,
                                                          TimePoint deadline);

  [[nodiscard]] asio::awaitable<BodyChunk> ReadBody(std::span<char> into,
                                                    TimePoint deadline);

  /// @pre ReadHead succeeded.
  [[nodiscard]] Parser& answer() { return *parser_; }

  /// @return whether the answer is complete and another request may follow.
  [[nodiscard]] bool reusable() const;

  /// @return whether the backend server has closed it, or sent what nobody
  /// asked for.
  [[nodiscard]] bool IsStale();

  /// Ends pending operations and all that follow with
  /// ExchangeFailure::kTimeout.
  void Cancel();
  void Close();

  [[nodiscard]] bool used_before() const { return uses_ > 1; }
  [[nodiscard]] TimePoint idle_since() const { return idle_since_; }
  void SetIdle(TimePoint now) { idle_since_ = now; }

  /// Longest time idle that the backend server has announced.
  [[nodiscard]] Duration idle_limit() const { return idle_limit_; }
  void SetIdleLimit(Duration limit) { idle_limit_ = limit; }

  /// Allows answers whose body the close of the connection ends.
  void AllowUnframedAnswers() { unframed_allowed_ = true; }

  /// Identifier that the owner has given to the connection.
  [[nodiscard]] std::uint64_t id() const { return id_; }
  void SetId(std::uint64_t id) { id_ = id; }

 private:
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Watchdog watchdog_;
  WatchedStream<tcp::socket> stream_;
  TimePoint idle_since_;
  Duration idle_limit_ = Duration::max();
  bool unframed_allowed_ = false;
  int uses_ = 0;
  std::uint64_t id_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_BACKEND_CONNECTION_H_
