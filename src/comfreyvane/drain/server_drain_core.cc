#include "comfreyvane/drain/server_drain_core.h"

#include <cassert>

namespace comfreyvane {

std::optional<ServerDrained> ServerDrainCore::MarkLeaving(
    BackendServerId server,
    TimePoint now) {
  Entry& entry = servers_[server];
  if (entry.leaving_since)
    return std::nullopt;
  entry.leaving_since = now;
  if (entry.running > 0)
    return std::nullopt;
  return ServerDrained{server, {}};
}

void ServerDrainCore::MarkAvailable(BackendServerId server) {
  const auto found = servers_.find(server);
  if (found == servers_.end())
    return;
  found->second.leaving_since.reset();
  if (found->second.running == 0)
    servers_.erase(found);
}

void ServerDrainCore::OnDispatched(BackendServerId server) {
  assert(MayDispatch(server));
  ++servers_[server].running;
}

std::optional<ServerDrained> ServerDrainCore::OnFinished(BackendServerId server,
                                                         TimePoint now) {
  const auto found = servers_.find(server);
  assert(found != servers_.end() && found->second.running > 0);
  Entry& entry = found->second;
  --entry.running;
  if (entry.running > 0)
    return std::nullopt;
  if (entry.leaving_since)
    return ServerDrained{server, now - *entry.leaving_since};
  servers_.erase(found);
  return std::nullopt;
}

bool ServerDrainCore::MayDispatch(BackendServerId server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() || !found->second.leaving_since;
}

std::uint32_t ServerDrainCore::running(BackendServerId server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? 0 : found->second.running;
}

}  // namespace comfreyvane
