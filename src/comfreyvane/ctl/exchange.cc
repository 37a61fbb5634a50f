#include "comfreyvane/ctl/exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sstream>

#include "comfreyvane/ctl/transport_error.h"
#include "comfreyvane/operate/paths.h"

namespace comfreyvane::ctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Largest answer that is read: a configuration of thousands of objects.
constexpr std::uint64_t kMaxAnswerBytes = 64ULL * 1024 * 1024;

using Message = http::request<http::string_body>;
using Parser = http::response_parser<http::string_body>;

Message MessageOf(const HostAddress& host, const HttpRequest& request) {
  Message message(request.body.empty() ? http::verb::get : http::verb::post,
                  request.target, 11);
  std::ostringstream name;
  name << host;
  message.set(http::field::host, name.str());
  message.set(http::field::authorization, request.authorization);
  message.set(http::field::content_type,
              beast::string_view(kOperateContentType.data(),
                                 kOperateContentType.size()));
  message.set(http::field::connection, "close");
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

/// How far an exchange came.
struct Progress {
  bool connected = false;
  beast::error_code error;
};

asio::awaitable<void> Run(asio::ip::tcp::endpoint endpoint,
                          const Message& message,
                          std::chrono::milliseconds timeout,
                          Parser& parser,
                          Progress& progress) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  auto token = asio::redirect_error(asio::use_awaitable, progress.error);
  stream.expires_after(timeout);
  co_await stream.async_connect(endpoint, token);
  if (progress.error)
    co_return;
  progress.connected = true;
  co_await http::async_write(stream, message, token);
  if (progress.error)
    co_return;
  beast::flat_buffer buffer;
  co_await http::async_read(stream, buffer, parser, token);
}

TransportError ErrorOf(const Progress& progress) {
  if (!progress.connected)
    return TransportError::kNotSent;
  if (progress.error.category() ==
          http::make_error_code(http::error{}).category() &&
      progress.error != http::error::end_of_stream &&
      progress.error != http::error::partial_message)
    return TransportError::kBadAnswer;
  return TransportError::kNoAnswer;
}

}  // namespace

boost::leaf::result<HttpReply> ExchangeOverHttp(
    const HostAddress& host,
    const HttpRequest& request,
    std::chrono::milliseconds timeout) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(host.address),
                                         host.port);
  const Message message = MessageOf(host, request);
  Parser parser;
  parser.body_limit(kMaxAnswerBytes);
  Progress progress;
  asio::io_context context(1);
  asio::co_spawn(context, Run(endpoint, message, timeout, parser, progress),
                 asio::detached);
  context.run();
  if (progress.error)
    return boost::leaf::new_error(ErrorOf(progress));
  return HttpReply{parser.get().result_int(), parser.get().body()};
}

}  // namespace comfreyvane::ctl
