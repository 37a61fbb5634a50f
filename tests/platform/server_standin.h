/// @file
/// Stand-in of a backend server, as documented by the platform.
#ifndef TESTS_PLATFORM_SERVER_STANDIN_H_
#define TESTS_PLATFORM_SERVER_STANDIN_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "comfreyvane/net/caller_exchange.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/whole_body.h"

namespace comfreyvane::testing {

/// The last segment of the path selects the behaviour: "ok", "shed" (refuses
/// without running), "error" (500), "break" (closes the connection while it
/// runs the request), "stray" (sends an answer to another request first),
/// "unsealed" (omits the seal), "large" (answers with 400 KB).
class ServerStandin {
 public:
  ServerStandin(asio::io_context& io, std::string name)
      : io_(io), name_(std::move(name)) {}

  static constexpr std::size_t kLargeBytes = 400'000;

  std::map<std::string, int> runs;  ///< By request identifier.
  std::string last_workspace;
  std::string last_deadline;
  bool saw_key = false;
  std::string limit;     ///< Requests/s that it names; empty: none.
  bool leaving = false;  ///< Says so in its answers.
  /// Seconds for which it wants nothing; it sheds all requests. Empty: none.
  std::string wait;
  std::vector<TimePoint> arrivals;
  std::chrono::milliseconds work{0};  ///< Time that a run takes.

  template <typename Exchange>
  asio::awaitable<bool> Handle(Exchange& exchange) {
    const auto& head = exchange.head();
    const std::string id(head["X-Request-Id"]);
    const std::string path(head.target());
    const std::string behaviour = path.substr(path.rfind('/') + 1);
    static_cast<void>(co_await ReadWholeBody(exchange, 1 << 20));
    typename Exchange::Answer answer;
    answer.version(11);
    answer.set("X-Request-Id", id);
    arrivals.push_back(MonotonicNow());
    if (leaving)
      answer.set("Server-Leaving", "1");
    if (!wait.empty())
      answer.set("Retry-After", wait);
    if (head["X-Expect-Instance"] != name_) {
      answer.result(421);
    } else if (behaviour == "shed" || !wait.empty()) {
      answer.result(503);
      answer.set("X-Not-Executed", "1");
    } else {
      ++runs[id];
      last_workspace = std::string(head["X-Tenant"]);
      last_deadline = std::string(head["X-Deadline-Ms"]);
      saw_key = saw_key || head.count("Authorization") > 0;
      if (behaviour == "break") {
        exchange.Abort();
        co_return false;
      }
      if (work.count() > 0) {
        asio::steady_timer timer(io_, work);
        co_await timer.async_wait(kAwait);
      }
      answer.result(behaviour == "error" ? 500 : 200);
      if (behaviour != "unsealed")
        answer.set("X-Server-Seal", "seal");
      answer.set("X-Server-Load", "1,0,8");
      if (!limit.empty())
        answer.set("Server-Limit", limit);
      answer.body() = "from " + name_;
      if (behaviour == "large")
        answer.body().append(kLargeBytes, 'x');
      if (behaviour == "stray")
        co_await WriteStray(exchange);
    }
    answer.prepare_payload();
    co_return co_await exchange.WriteAnswer(answer) == ExchangeFailure::kNone;
  }

  template <typename Exchange>
  asio::awaitable<void> Refuse(Exchange& exchange, RefusalReason) {
    exchange.Abort();
    co_return;
  }

 private:
  template <typename Exchange>
  asio::awaitable<void> WriteStray(Exchange& exchange) {
    typename Exchange::Answer stray;
    stray.version(11);
    stray.result(200);
    stray.set("X-Request-Id", "another");
    stray.set("X-Server-Seal", "seal");
    stray.body() = "stray";
    stray.prepare_payload();
    static_cast<void>(co_await exchange.WriteAnswer(stray));
  }

  asio::io_context& io_;
  std::string name_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_PLATFORM_SERVER_STANDIN_H_
