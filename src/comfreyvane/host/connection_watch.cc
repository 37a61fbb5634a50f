#include "comfreyvane/host/connection_watch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <utility>

#include "comfreyvane/config/configuration_index.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/http_client.h"
#include "comfreyvane/net/json_text.h"

namespace comfreyvane {
namespace {

constexpr auto kTickPeriod = std::chrono::milliseconds(50);
constexpr Duration kCheckTimeout = ConnectionLimits{}.check_timeout;

/// @return the requests that the server says it runs.
std::optional<std::uint32_t> RunningOf(const HttpCallResult& result) {
  const auto report = ParseJson(result.body);
  const bool is_report = result.status == HttpCallStatus::kAnswered && report &&
                         report->isObject() && (*report)["running"].isUInt();
  if (!is_report)
    return std::nullopt;
  return (*report)["running"].asUInt();
}

}  // namespace

ConnectionWatch::ConnectionWatch(HostContext& context,
                                 asio::io_context& io,
                                 TimeoutSweeper& sweeper)
    : context_(context),
      io_(io),
      sweeper_(sweeper),
      timer_(io),
      monitor_(ConnectionLimits{}) {}

void ConnectionWatch::Start() {
  Wait();
}

void ConnectionWatch::Wait() {
  timer_.expires_after(kTickPeriod);
  timer_.async_wait([this](const error_code& error) {
    if (error)
      return;
    OnTick(MonotonicNow());
    Wait();
  });
}

ConnectionId ConnectionWatch::OnOpened(BackendServerId server, TimePoint now) {
  const ConnectionId id(next_id_++);
  monitor_.OnOpened(id, server, now);
  return id;
}

bool ConnectionWatch::MayCarry(ConnectionId connection,
                               bool idempotent,
                               TimePoint now) const {
  return monitor_.MayCarry(connection, idempotent, now);
}

void ConnectionWatch::OnUse(ConnectionId connection,
                            BackendConnection& carrier,
                            bool idempotent,
                            TimePoint now) {
  monitor_.OnUse(connection, idempotent, now);
  used_[connection] = &carrier;
}

void ConnectionWatch::OnProgress(ConnectionId connection, TimePoint now) {
  monitor_.OnProgress(connection, now);
}

void ConnectionWatch::OnEnded(ConnectionId connection,
                              bool answered,
                              TimePoint now) {
  used_.erase(connection);
  if (answered)
    monitor_.OnAnswered(connection, true, now);
  else
    monitor_.OnAbandoned(connection);
}

void ConnectionWatch::OnClosed(ConnectionId connection) {
  used_.erase(connection);
  monitor_.OnClosed(connection);
}

bool ConnectionWatch::TakeSilent(ConnectionId connection) {
  return silent_.erase(connection) > 0;
}

void ConnectionWatch::OnTick(TimePoint now) {
  for (const ConnectionAction& action : monitor_.TakeActions(now)) {
    if (const auto* check = std::get_if<CheckServer>(&action)) {
      asio::co_spawn(io_, Check(check->server), asio::detached);
    } else if (const auto* fail = std::get_if<FailAttempt>(&action)) {
      const auto found = used_.find(fail->connection);
      if (found == used_.end())
        continue;
      silent_.insert(fail->connection);
      context_.metrics.Count(CounterName::kSilentConnections);
      found->second->Cancel();
    }
  }
}

asio::awaitable<void> ConnectionWatch::Check(BackendServerId server) {
  std::optional<std::uint32_t> running;
  const auto configuration = context_.configuration.Load();
  const BackendServer* const target =
      configuration ? configuration->Find(server) : nullptr;
  error_code error;
  const auto address = asio::ip::make_address(
      target == nullptr ? std::string() : target->address, error);
  if (!error) {
    // A client of its own, so that the connection is a fresh one.
    HttpClient client(io_, sweeper_, {address, target->port});
    HttpCall call{boost::beast::http::verb::get, "/load", {}, {}};
    const HttpCallResult result =
        co_await client.Call(std::move(call), MonotonicNow() + kCheckTimeout);
    running = RunningOf(result);
  }
  monitor_.OnCheckResult(server, running, MonotonicNow());
}

}  // namespace comfreyvane
