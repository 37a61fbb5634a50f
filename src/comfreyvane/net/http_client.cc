#include "comfreyvane/net/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <utility>

#include "comfreyvane/net/answer_checks.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/liveness_options.h"
#include "comfreyvane/net/timeout_sweeper.h"
#include "comfreyvane/net/watched_stream.h"

namespace comfreyvane {
namespace {

namespace http = boost::beast::http;

constexpr std::uint64_t kAnswerBytes = std::uint64_t{64} * 1024 * 1024;
constexpr std::size_t kBufferBytes = 64 * 1024;
constexpr std::size_t kIdleConnections = 4;
constexpr unsigned kHttp11 = 11;

/// Time for a connection: several round trips between regions, and less than
/// the second after which a lost opening packet is sent again.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);

http::request<http::string_body> ToRequest(HttpCall call,
                                           const tcp::endpoint& server) {
  http::request<http::string_body> request(call.method, call.target, kHttp11);
  request.set(http::field::host, server.address().to_string());
  for (const HttpField& field : call.fields)
    request.set(field.name, field.value);
  request.body() = std::move(call.body);
  request.prepare_payload();
  return request;
}

}  // namespace

struct HttpClient::Connection {
  Connection(asio::io_context& io, TimeoutSweeper& sweeper)
      : socket(io),
        buffer(kBufferBytes),
        watchdog(sweeper,
                 [this] {
                   error_code ignored;
                   socket.cancel(ignored);
                 }),
        stream(socket, watchdog) {}

  [[nodiscard]] bool IsStale() {
    char byte = 0;
    const auto size =
        recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  Watchdog watchdog;
  WatchedStream<tcp::socket> stream;
};

HttpClient::HttpClient(asio::io_context& io,
                       TimeoutSweeper& sweeper,
                       tcp::endpoint server)
    : io_(io), sweeper_(sweeper), server_(std::move(server)) {}

HttpClient::~HttpClient() = default;

HttpClient::ConnectionPtr HttpClient::TakeIdle() {
  while (!idle_.empty()) {
    ConnectionPtr connection = std::move(idle_.back());
    idle_.pop_back();
    if (!connection->IsStale())
      return connection;
  }
  return nullptr;
}

asio::awaitable<HttpClient::ConnectionPtr> HttpClient::Open(
    TimePoint deadline) {
  auto connection = std::make_unique<Connection>(io_, sweeper_);
  connection->watchdog.Arm(
      std::min(deadline, MonotonicNow() + kConnectTimeout));
  const auto [error] =
      co_await connection->socket.async_connect(server_, kAwait);
  if (error)
    co_return nullptr;
  SetLivenessOptions(connection->socket);
  co_return connection;
}

asio::awaitable<HttpCallResult> HttpClient::Call(HttpCall call,
                                                 TimePoint deadline) {
  return Send(std::move(call), deadline, nullptr);
}

asio::awaitable<HttpCallResult> HttpClient::CallForLarge(
    HttpCall call,
    TimePoint deadline,
    std::function<void()> on_progress) {
  return Send(std::move(call), deadline, std::move(on_progress));
}

asio::awaitable<HttpCallResult> HttpClient::Send(
    HttpCall call,
    TimePoint deadline,
    std::function<void()> on_progress) {
  ConnectionPtr connection = TakeIdle();
  if (!connection)
    connection = co_await Open(deadline);
  if (!connection)
    co_return HttpCallResult{};
  const std::string wanted_field = std::move(call.wanted_field);
  const auto request = ToRequest(std::move(call), server_);
  connection->watchdog.Arm(deadline);
  const auto [write_error, written] =
      co_await http::async_write(connection->stream, request, kAwait);
  if (write_error)
    co_return HttpCallResult{HttpCallStatus::kNoAnswer, 0, {}};
  http::response_parser<http::string_body> parser;
  parser.body_limit(kAnswerBytes);
  const TimePoint last = on_progress ? deadline + kMaxTransferTime : deadline;
  while (!parser.is_done()) {
    const auto [error, size] = co_await http::async_read_some(
        connection->stream, connection->buffer, parser, kAwait);
    const TimePoint now = MonotonicNow();
    if (error || now >= last)
      co_return HttpCallResult{HttpCallStatus::kNoAnswer, 0, {}};
    if (!on_progress)
      continue;
    on_progress();
    connection->watchdog.Arm(
        std::min(last, std::max(deadline, now + kStallTimeout)));
  }
  connection->watchdog.Disarm();
  const auto& head = parser.get().base();
  if (!IsAnswerHead(head) || IsInterim(head))
    co_return HttpCallResult{HttpCallStatus::kNoAnswer, 0, {}};
  // Bytes behind an answer belong to no call.
  if (parser.get().keep_alive() && connection->buffer.size() == 0 &&
      idle_.size() < kIdleConnections)
    idle_.push_back(std::move(connection));
  HttpCallResult result{HttpCallStatus::kAnswered, parser.get().result_int(),
                        std::move(parser.get().body())};
  if (!wanted_field.empty())
    result.wanted_field = std::string(parser.get()[wanted_field]);
  co_return result;
}

}  // namespace comfreyvane
