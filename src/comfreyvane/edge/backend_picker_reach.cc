#include <algorithm>

#include "comfreyvane/edge/backend_picker.h"

namespace comfreyvane {

void BackendPicker::ApplyReach(const PathMonitor& paths, TimePoint now) {
  unreachable_ = 0;
  for (auto& [id, slot] : states_) {
    const ServerReach before = slot->reach;
    slot->reach = paths.ReachOf(id);
    if (slot->reach != ServerReach::kDirect)
      ++unreachable_;
    if (slot->reach == before)
      continue;
    if (slot->reach == ServerReach::kDirect)
      slot->state.ForgetFailures();
    if (slot->region == self_.region)
      overflow_limiter_.SuspendUntil(now + kOverflowSuspension);
  }
}

bool BackendPicker::IsEvacuated(BackendServerId server) const {
  const auto found = states_.find(server);
  return found != states_.end() && found->second->is_evacuated;
}

ServerReach BackendPicker::ReachOf(BackendServerId server) const {
  const auto found = states_.find(server);
  return found == states_.end() ? ServerReach::kDirect : found->second->reach;
}

bool BackendPicker::TryProbe(BackendServerId server, TimePoint now) {
  const auto found = states_.find(server);
  if (found == states_.end())
    return false;
  ServerSlot& slot = *found->second;
  BackendState& state = slot.state;
  if (state.is_leaving() || slot.is_evacuated || !slot.limit.CanSend(now))
    return false;
  if (state.IsCold(now) && !state.TakeColdToken(slot.cold_rate, now))
    return false;
  if (state.IsHeldBack(now) && !state.TakeWaitProbe(now))
    return false;
  return slot.limit.TrySend(now);
}

ServerLoad BackendPicker::LoadOf(BackendServerId server, TimePoint now) const {
  const auto found = states_.find(server);
  return found == states_.end() ? ServerLoad{} : found->second->state.Load(now);
}

ExpectedAnswer BackendPicker::ExpectedAnswerOf(BackendServerId server,
                                               const PickRequest& request,
                                               TimePoint now) const {
  const auto found = states_.find(server);
  if (found == states_.end())
    return {};
  const BackendState& state = found->second->state;
  Duration work = latencies_.Expected(request.kind, true, request.objective);
  if (request.object != 0)
    work = std::max(
        work, latencies_.Expected(request.kind, false, request.objective));
  return {Scaled(work, std::max(1.0, state.slowness())), state.Load(now)};
}

bool BackendPicker::IsReachable(const ServerSlot& slot) const {
  switch (slot.reach) {
    case ServerReach::kDirect:
      return true;
    case ServerReach::kOpenConnections:
      return has_open_connection_ &&
             has_open_connection_(slot.state.entry().id());
    case ServerReach::kNone:
      break;
  }
  return false;
}

std::optional<BackendServerId> BackendPicker::UnreachableFor(
    const PickRequest& request,
    TimePoint now) const {
  const auto found = by_service_.find(request.service);
  if (unreachable_ == 0 || found == by_service_.end())
    return std::nullopt;
  const RegionId region = RegionOf(request);
  if (request.object != 0) {
    const ServerSlot* const home =
        HomesOf(request, region, found->second, HomeScope::kAll, now).home;
    if (home == nullptr || IsReachable(*home))
      return std::nullopt;
    return home->state.entry().id();
  }
  const bool must_leave_region = !request.MayRunIn(region);
  std::optional<BackendServerId> unreachable;
  for (const ServerSlot* slot : found->second) {
    if (!slot->MayRun(request) ||
        (slot->region != region && !must_leave_region))
      continue;
    if (IsReachable(*slot) && !slot->state.IsFailing(now))
      return std::nullopt;
    if (!IsReachable(*slot))
      unreachable = slot->state.entry().id();
  }
  return unreachable;
}

std::optional<BackendServerId> BackendPicker::AnyUnreachableFor(
    const PickRequest& request) const {
  const auto found = by_service_.find(request.service);
  if (unreachable_ == 0 || found == by_service_.end())
    return std::nullopt;
  for (const ServerSlot* slot : found->second) {
    if (slot->MayRun(request) && !IsReachable(*slot))
      return slot->state.entry().id();
  }
  return std::nullopt;
}

bool BackendPicker::CanReach(const PickRequest& request) const {
  const auto found = by_service_.find(request.service);
  return found != by_service_.end() &&
         std::ranges::any_of(found->second, [&](const ServerSlot* slot) {
           return slot->MayRun(request) && IsReachable(*slot);
         });
}

RegionId BackendPicker::RegionOf(const PickRequest& request) const {
  return request.origin_region.value_or(self_.region);
}

Distance BackendPicker::DistanceFor(const ServerSlot& slot,
                                    const PickRequest& request) const {
  const RegionId region = RegionOf(request);
  if (region == self_.region)
    return slot.distance;
  return slot.region == region ? Distance::kSameRegion : Distance::kOtherRegion;
}

}  // namespace comfreyvane
