#include "comfreyvane/route/connection_monitor.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace comfreyvane {
namespace {

constexpr double kTypicalQuantile = 0.99;
/// A request is suspected to be lost after this multiple of the typical
/// latency.
constexpr int kSuspectFactor = 2;
constexpr std::uint32_t kMaxFailedChecks = 2;

}  // namespace

ConnectionMonitor::ConnectionMonitor(ConnectionLimits limits)
    : limits_(limits) {}

void ConnectionMonitor::OnOpened(ConnectionId connection,
                                 BackendServerId server,
                                 TimePoint now) {
  const bool added =
      connections_
          .try_emplace(connection,
                       Connection{server, false, false, {}, {}, now})
          .second;
  assert(added);
  static_cast<void>(added);
  servers_.try_emplace(server);
}

void ConnectionMonitor::OnUse(ConnectionId connection,
                              bool idempotent,
                              TimePoint now) {
  Connection& started = connections_.at(connection);
  assert(!started.in_use);
  started.in_use = true;
  started.idempotent = idempotent;
  started.use_start = now;
  started.last_progress = now;
  ++servers_.at(started.server).uses;
}

bool ConnectionMonitor::OnProgress(ConnectionId connection, TimePoint now) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || !found->second.in_use)
    return false;
  found->second.last_progress = now;
  found->second.last_alive = now;
  return true;
}

bool ConnectionMonitor::OnAnswered(ConnectionId connection,
                                   bool keep,
                                   TimePoint now) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || !found->second.in_use)
    return false;
  Connection& answered = found->second;
  servers_.at(answered.server).latencies.Add(now - answered.use_start);
  EndUse(answered);
  answered.last_alive = now;
  if (!keep) {
    actions_.push_back(CloseConnection{connection});
    connections_.erase(found);
  }
  return true;
}

void ConnectionMonitor::OnAbandoned(ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end())
    return;
  EndUse(found->second);
  actions_.push_back(CloseConnection{connection});
  connections_.erase(found);
}

void ConnectionMonitor::OnClosed(ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end())
    return;
  EndUse(found->second);
  connections_.erase(found);
}

void ConnectionMonitor::OnServerRemoved(BackendServerId server) {
  const bool connected = std::any_of(
      connections_.begin(), connections_.end(),
      [&](const auto& entry) { return entry.second.server == server; });
  assert(!connected);
  if (!connected)
    servers_.erase(server);
}

void ConnectionMonitor::EndUse(Connection& connection) {
  if (!connection.in_use)
    return;
  connection.in_use = false;
  --servers_.at(connection.server).uses;
}

void ConnectionMonitor::OnCheckResult(BackendServerId server,
                                      std::optional<std::uint32_t> in_use,
                                      TimePoint now) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || !found->second.checking)
    return;
  Server& checked = found->second;
  checked.checking = false;
  checked.next_check = in_use ? now + limits_.check_interval : now;
  if (!in_use) {
    if (++checked.failed_checks >= kMaxFailedChecks)
      FailSuspects(server, checked.uses, now);
    return;
  }
  checked.failed_checks = 0;
  std::uint32_t expected = 0;
  for (const auto& [id, connection] : connections_) {
    const bool counted = connection.in_use && connection.server == server &&
                         connection.use_start <= checked.check_start;
    expected += counted ? 1 : 0;
  }
  if (*in_use < expected)
    FailSuspects(server, expected - *in_use, now);
}

void ConnectionMonitor::FailSuspects(BackendServerId server,
                                     std::uint32_t max_count,
                                     TimePoint now) {
  std::vector<std::pair<TimePoint, ConnectionId>> suspects;
  for (const auto& [id, connection] : connections_) {
    if (connection.in_use && connection.server == server &&
        now >= SuspectAt(connection))
      suspects.emplace_back(connection.last_progress, id);
  }
  std::sort(suspects.begin(), suspects.end());
  suspects.resize(std::min<std::size_t>(suspects.size(), max_count));
  for (const auto& [since, id] : suspects)
    FailSilent(id);
}

void ConnectionMonitor::FailSilent(ConnectionId connection) {
  const auto found = connections_.find(connection);
  EndUse(found->second);
  ++silent_connections_;
  actions_.push_back(FailAttempt{connection, found->second.server});
  connections_.erase(found);
}

TimePoint ConnectionMonitor::SuspectAt(const Connection& connection) const {
  const auto typical =
      servers_.at(connection.server).latencies.Quantile(kTypicalQuantile);
  const Duration timeout =
      typical ? std::clamp(kSuspectFactor * *typical, limits_.min_suspect_after,
                           limits_.max_suspect_after)
              : limits_.max_suspect_after;
  return connection.last_progress + timeout;
}

TimePoint ConnectionMonitor::TimeoutAt(const Connection& connection) const {
  const auto typical =
      servers_.at(connection.server).latencies.Quantile(kTypicalQuantile);
  const Duration timeout =
      typical ? std::max(limits_.min_confirmed_timeout,
                         Scaled(*typical, limits_.confirmed_timeout_factor))
              : limits_.min_confirmed_timeout;
  return connection.last_progress + timeout;
}

std::vector<ConnectionAction> ConnectionMonitor::TakeActions(TimePoint now) {
  ExpireChecks(now);
  std::vector<ConnectionId> lost;
  std::vector<ConnectionId> idle;
  for (auto& [id, connection] : connections_) {
    if (!connection.in_use) {
      if (now - connection.last_alive > limits_.max_idle)
        idle.push_back(id);
      continue;
    }
    if (now < SuspectAt(connection))
      continue;
    if (now >= TimeoutAt(connection))
      lost.push_back(id);
    else
      StartCheck(connection.server, now);
  }
  for (const ConnectionId id : lost)
    FailTimedOut(id, now);
  for (const ConnectionId id : idle)
    OnAbandoned(id);
  return std::exchange(actions_, {});
}

void ConnectionMonitor::FailTimedOut(ConnectionId connection, TimePoint now) {
  const Connection& lost = connections_.at(connection);
  servers_.at(lost.server).latencies.Add(now - lost.use_start);
  FailSilent(connection);
}

void ConnectionMonitor::ExpireChecks(TimePoint now) {
  for (auto& [id, server] : servers_) {
    if (server.checking && now - server.check_start >= limits_.check_timeout)
      OnCheckResult(id, std::nullopt, now);
  }
}

void ConnectionMonitor::StartCheck(BackendServerId server, TimePoint now) {
  Server& checked = servers_.at(server);
  if (checked.checking || now < checked.next_check)
    return;
  checked.checking = true;
  checked.check_start = now;
  actions_.push_back(CheckServer{server});
}

bool ConnectionMonitor::MayCarry(ConnectionId connection,
                                 bool idempotent,
                                 TimePoint now) const {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || found->second.in_use)
    return false;
  const Duration max_idle =
      idempotent ? limits_.max_idle : limits_.max_idle_non_idempotent;
  return now - found->second.last_alive <= max_idle;
}

std::optional<TimePoint> ConnectionMonitor::NextDue() const {
  std::optional<TimePoint> next;
  const auto update = [&](TimePoint due) {
    next = next ? std::min(*next, due) : due;
  };
  for (const auto& [id, connection] : connections_) {
    if (!connection.in_use) {
      update(connection.last_alive + limits_.max_idle + Duration(1));
      continue;
    }
    const Server& server = servers_.at(connection.server);
    update(TimeoutAt(connection));
    update(server.checking
               ? server.check_start + limits_.check_timeout
               : std::max(SuspectAt(connection), server.next_check));
  }
  return next;
}

}  // namespace comfreyvane
