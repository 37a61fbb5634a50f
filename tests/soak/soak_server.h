/// @file
/// A backend server of the soak.
#ifndef TESTS_SOAK_SOAK_SERVER_H_
#define TESTS_SOAK_SOAK_SERVER_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/net/caller_exchange.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/whole_body.h"

namespace comfreyvane::soak {

/// What all backend servers have run, and what they should never see.
struct RunRecord {
  std::mutex mutex;
  std::map<std::string, int> runs;  ///< By request identifier.
  std::vector<TimePoint> times;     ///< Of all runs.
  /// Of the requests that the server with a limit got.
  std::vector<TimePoint> arrivals_at_limited;
  std::set<std::string> violations;
};

/// Runs requests, and now and then sheds one, breaks one off or answers late.
class SoakServer {
 public:
  SoakServer(asio::io_context& io,
             std::string name,
             std::uint64_t seed,
             RunRecord& record)
      : io_(io), name_(std::move(name)), random_(seed), record_(record) {}

  /// @param part of the requests that go wrong, 0 to 1.
  void SetFaults(double part) { faults_ = part; }

  /// @param limit requests/s that it names in its answers.
  void NameLimit(std::string limit) { limit_ = std::move(limit); }

  template <typename Exchange>
  asio::awaitable<bool> Handle(Exchange& exchange) {
    const auto& head = exchange.head();
    const std::string id(head["X-Request-Id"]);
    const bool expected = head["X-Expect-Instance"] == name_;
    const bool clean =
        head.count("Authorization") == 0 && head["X-Tenant"] == "kandy";
    const auto body = co_await ReadWholeBody(exchange, 1 << 16);
    if (!body)
      co_return false;
    typename Exchange::Answer answer;
    answer.version(11);
    answer.set("X-Request-Id", id);
    answer.set("X-Server-Load", "1,0,8");
    if (!limit_.empty()) {
      answer.set("Server-Limit", limit_);
      NoteArrivalAtLimited();
    }
    const double luck = random_.Uniform();
    if (!expected) {
      answer.result(421);
    } else if (luck < 0.5 * faults_) {
      answer.result(503);
      answer.set("X-Not-Executed", "1");
    } else {
      NoteRun(id, clean);
      asio::steady_timer timer(io_);
      timer.expires_after(std::chrono::milliseconds(5 + random_.Below(60)));
      co_await timer.async_wait(kAwait);
      if (luck < faults_) {
        exchange.Abort();
        co_return false;
      }
      answer.result(200);
      answer.set("X-Server-Seal", "seal");
      answer.body() = "ran " + id;
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
  void NoteArrivalAtLimited() {
    const std::lock_guard lock(record_.mutex);
    record_.arrivals_at_limited.push_back(MonotonicNow());
  }
  void NoteRun(const std::string& id, bool clean) {
    const std::lock_guard lock(record_.mutex);
    ++record_.runs[id];
    record_.times.push_back(MonotonicNow());
    if (!clean)
      record_.violations.insert("a key or another workspace reached " + name_);
  }

  asio::io_context& io_;
  std::string name_;
  RandomSource random_;
  RunRecord& record_;
  double faults_ = 0.0;
  std::string limit_;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_SOAK_SERVER_H_
