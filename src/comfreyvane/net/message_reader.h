/// @file
/// Reads the body of an HTTP message in chunks.
#ifndef COMFREYVANE_NET_MESSAGE_READER_H_
#define COMFREYVANE_NET_MESSAGE_READER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <span>

#include "comfreyvane/net/async.h"
#include "comfreyvane/net/body_chunk.h"

namespace comfreyvane {

/// @return the failure that stands for an error of a read or a write.
[[nodiscard]] inline ExchangeFailure FailureOf(const error_code& error) {
  namespace http = boost::beast::http;
  if (!error)
    return ExchangeFailure::kNone;
  // The kernel has given up on the other end.
  if (error == asio::error::operation_aborted ||
      error == asio::error::timed_out)
    return ExchangeFailure::kTimeout;
  if (error == http::error::body_limit)
    return ExchangeFailure::kTooLarge;
  if (error == http::error::end_of_stream || error == asio::error::eof ||
      error == asio::error::connection_reset ||
      error == asio::error::broken_pipe)
    return ExchangeFailure::kClosed;
  return ExchangeFailure::kMalformed;
}

/// Reads the next part of the body whose head the parser has read.
/// @param into where to put it; not empty.
/// @return a chunk with at least one byte, or the last one, or a failure.
template <typename Stream, typename Parser>
[[nodiscard]] asio::awaitable<BodyChunk> ReadChunk(
    Stream& stream,
    boost::beast::flat_buffer& buffer,
    Parser& parser,
    std::span<char> into) {
  namespace http = boost::beast::http;
  auto& body = parser.get().body();
  body.data = into.data();
  body.size = into.size();
  body.more = true;
  while (!parser.is_done() && body.size == into.size()) {
    const auto [error, size] =
        co_await http::async_read_some(stream, buffer, parser, kAwait);
    if (error && error != http::error::need_buffer) {
      // An early end of a started body is a truncated message.
      co_return BodyChunk{0, false, FailureOf(error)};
    }
  }
  co_return BodyChunk{into.size() - body.size, parser.is_done(),
                      ExchangeFailure::kNone};
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_MESSAGE_READER_H_
