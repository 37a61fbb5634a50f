/// @file
/// Writes an HTTP message in chunks.
#ifndef COMFREYVANE_NET_STREAMED_MESSAGE_H_
#define COMFREYVANE_NET_STREAMED_MESSAGE_H_

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <span>
#include <utility>

#include "comfreyvane/net/async.h"
#include "comfreyvane/net/message_reader.h"

namespace comfreyvane {

/// A message whose head is known and whose body follows in chunks. The head
/// goes out in one write with the first chunk.
/// @tparam kIsRequest whether it is a request or a response.
template <bool kIsRequest>
class StreamedMessage {
 public:
  using Header = boost::beast::http::header<kIsRequest>;

  /// @param header with its framing fields set.
  explicit StreamedMessage(Header header)
      : message_(std::move(header)), serializer_(message_) {}
  StreamedMessage(const StreamedMessage&) = delete;
  StreamedMessage& operator=(const StreamedMessage&) = delete;

  /// Writes the head if it is still to be written, and a chunk.
  /// @param chunk may be empty only if it is the last or nothing was written.
  /// @param last whether the body ends with it.
  template <typename Stream>
  [[nodiscard]] asio::awaitable<ExchangeFailure>
  Write(Stream& stream, std::span<const char> chunk, bool last) {
    namespace http = boost::beast::http;
    auto& body = message_.body();
    body.data = chunk.empty() ? nullptr : const_cast<char*>(chunk.data());
    body.size = chunk.size();
    body.more = !last;
    const auto [error, size] =
        co_await http::async_write(stream, serializer_, kAwait);
    bytes_written_ += size;
    co_return error == http::error::need_buffer ? ExchangeFailure::kNone
                                                : FailureOf(error);
  }

  /// @return bytes handed to the kernel; zero proves that nothing was sent.
  [[nodiscard]] std::size_t bytes_written() const { return bytes_written_; }

  [[nodiscard]] const Header& header() const { return message_.base(); }

 private:
  boost::beast::http::message<kIsRequest, boost::beast::http::buffer_body>
      message_;
  boost::beast::http::serializer<kIsRequest, boost::beast::http::buffer_body>
      serializer_;
  std::size_t bytes_written_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_STREAMED_MESSAGE_H_
