#include "comfreyvane/net/backend_pool.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "comfreyvane/net/backend_connection.h"

namespace comfreyvane {

BackendPool::BackendPool(Duration idle_limit) : idle_limit_(idle_limit) {}

BackendPool::~BackendPool() = default;

std::unique_ptr<BackendConnection> BackendPool::Take(BackendServerId server,
                                                     TimePoint now) {
  const auto found = idle_.find(server);
  if (found == idle_.end())
    return nullptr;
  Idle& idle = found->second;
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (IsLive(*connection, now))
      return connection;
  }
  return nullptr;
}

bool BackendPool::HasLive(BackendServerId server, TimePoint now) {
  const auto found = idle_.find(server);
  if (found == idle_.end())
    return false;
  Idle& idle = found->second;
  while (!idle.empty() && !IsLive(*idle.back(), now))
    idle.pop_back();
  return !idle.empty();
}

bool BackendPool::IsLive(BackendConnection& connection, TimePoint now) const {
  const bool fresh = now - connection.idle_since() <
                     std::min(idle_limit_, connection.idle_limit());
  return fresh && !connection.IsStale();
}

void BackendPool::Give(BackendServerId server,
                       std::unique_ptr<BackendConnection> connection,
                       TimePoint now) {
  assert(connection->reusable());
  connection->SetIdle(now);
  idle_[server].push_back(std::move(connection));
}

void BackendPool::Prune(TimePoint now) {
  for (auto& [server, idle] : idle_) {
    std::erase_if(idle, [&](const auto& connection) {
      return now - connection->idle_since() >= idle_limit_;
    });
  }
}

void BackendPool::Drop(BackendServerId server) {
  idle_.erase(server);
}

std::size_t BackendPool::idle(BackendServerId server) const {
  const auto found = idle_.find(server);
  return found == idle_.end() ? 0 : found->second.size();
}

}  // namespace comfreyvane
