#include "comfreyvane/edge/backend_picker.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "comfreyvane/edge/server_cost.h"

namespace comfreyvane {
namespace {

/// Fraction of max_shift, which applies to two seconds, that is used in each
/// second. Two seconds together use two thirds; the rest is a margin for noise.
constexpr double kShiftFractionPerSecond = 1.0 / 3.0;

/// Average size of answers before there is a sample, and gain of the moving
/// average.
constexpr double kInitialAnswerKb = 2.0;
constexpr double kAnswerGain = 0.05;
constexpr double kBytesPerKb = 1024.0;

/// Extra cost of a cold request at a server that is not the object's home, as a
/// multiple of its expected work: it occupies a slot for longer and may evict
/// other objects from the server's cache.
constexpr double kColdOverflowCostFactor = 1.0;

double Milliseconds(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

}  // namespace

BackendPicker::BackendPicker(
    Location self,
    std::unordered_map<FailureDomainId, RegionId> regions,
    double max_shift)
    : self_(self),
      regions_(std::move(regions)),
      overflow_limiter_(kShiftFractionPerSecond * max_shift) {}

void BackendPicker::Upsert(const BackendEntry& entry, TimePoint now) {
  const BackendServerId id = entry.id();
  const auto found = states_.find(id);
  const auto region = regions_.find(entry.failure_domain);
  const RegionId region_id =
      region == regions_.end() ? RegionId() : region->second;
  if (found != states_.end()) {
    ServerSlot& slot = *found->second;
    const ServiceId before = slot.state.entry().service;
    if (slot.state.entry().started_ms != entry.started_ms) {
      slot.limit = ServerLimit();
      if (has_sent_)
        slot.joined_at = now;
    }
    slot.state.Update(entry, now);
    slot.state.SetSaidLeaving(leaving_.Contains(id, entry.started_ms));
    slot.distance = DistanceOf(entry.failure_domain);
    slot.region = region_id;
    slot.is_evacuated = evacuated_.contains(entry.failure_domain);
    if (before != entry.service) {
      std::erase(by_service_[before], &slot);
      by_service_[entry.service].push_back(&slot);
      ApplyMaxConnections(slot);
    }
    return;
  }
  auto slot = std::make_unique<ServerSlot>(
      ServerSlot{BackendState(entry, now), DistanceOf(entry.failure_domain),
                 region_id, has_sent_ ? now : TimePoint{},
                 evacuated_.contains(entry.failure_domain)});
  slot->state.SetSaidLeaving(leaving_.Contains(id, entry.started_ms));
  ApplyMaxConnections(*slot);
  by_service_[entry.service].push_back(slot.get());
  states_.emplace(id, std::move(slot));
}

void BackendPicker::Remove(BackendServerId server, TimePoint now) {
  const auto found = states_.find(server);
  if (found == states_.end())
    return;
  found->second->state.MarkRemoved();
  if (found->second->region == self_.region)
    overflow_limiter_.SuspendUntil(now + kOverflowSuspension);
}

void BackendPicker::Prune(TimePoint now) {
  leaving_.Prune(now);
  for (auto it = states_.begin(); it != states_.end();) {
    const BackendState& state = it->second->state;
    // Servers that leave are kept while the registry lists them, so that they
    // are not taken for new servers.
    if (state.is_removed() && state.own_running() == 0) {
      unreachable_ -= it->second->reach == ServerReach::kDirect ? 0 : 1;
      std::erase(by_service_[state.entry().service], it->second.get());
      it = states_.erase(it);
    } else {
      ++it;
    }
  }
}

void BackendPicker::SetEvacuated(
    const std::unordered_set<FailureDomainId>& domains,
    const std::unordered_map<ServiceId, Duration>& cold_times,
    TimePoint now) {
  for (auto& [id, slot] : states_) {
    const BackendEntry& entry = slot->state.entry();
    const bool before = slot->is_evacuated;
    slot->is_evacuated = domains.contains(entry.failure_domain);
    const bool returns = before && !slot->is_evacuated;
    const auto cold = cold_times.find(entry.service);
    if (!returns)
      continue;
    slot->joined_at = now;
    if (cold != cold_times.end())
      slot->state.SetCold(cold->second, now);
  }
  if (domains != evacuated_)
    overflow_limiter_.SuspendUntil(now + kOverflowSuspension);
  evacuated_ = domains;
}

void BackendPicker::SetRampUp(BackendServerId server,
                              bool is_initial_sender,
                              double cold_rate) {
  const auto found = states_.find(server);
  if (found == states_.end())
    return;
  found->second->is_initial_sender = is_initial_sender;
  found->second->cold_rate = cold_rate;
}

void BackendPicker::SetMaxConnections(
    std::unordered_map<ServiceId, std::uint32_t> max_connections) {
  if (max_connections == max_connections_)
    return;
  max_connections_ = std::move(max_connections);
  for (auto& [id, slot] : states_)
    ApplyMaxConnections(*slot);
}

void BackendPicker::ApplyMaxConnections(ServerSlot& slot) const {
  const auto found = max_connections_.find(slot.state.entry().service);
  slot.max_connections = found == max_connections_.end()
                             ? std::numeric_limits<std::uint32_t>::max()
                             : found->second;
}

std::optional<BackendChoice> BackendPicker::Pick(const PickRequest& request,
                                                 TimePoint now) const {
  const auto found = by_service_.find(request.service);
  if (found == by_service_.end())
    return std::nullopt;
  const std::vector<ServerSlot*>& slots = found->second;
  const ObjectHomes homes = request.object == 0
                                ? ObjectHomes()
                                : HomesOf(request, RegionOf(request), slots,
                                          HomeScope::kReachable, now);
  Candidate near;
  Candidate far;
  for (const ServerSlot* slot : slots) {
    const bool is_unused_here =
        slot->is_initial_sender && !slot->state.is_used();
    if (homes.home != nullptr && !homes.Contains(slot) && !is_unused_here)
      continue;
    if (!IsUsable(*slot, request, now))
      continue;
    const Candidate candidate = Evaluate(*slot, homes, request, now);
    if (now + candidate.expected > request.deadline && candidate.must_wait)
      continue;
    const bool in_other_region =
        DistanceFor(*slot, request) == Distance::kOtherRegion;
    Candidate& best = in_other_region ? far : near;
    if (best.slot == nullptr || candidate.cost < best.cost)
      best = candidate;
  }
  const bool must_leave_region = !request.MayRunIn(RegionOf(request));
  const bool may_leave =
      far.slot != nullptr && (must_leave_region || far.slot == homes.home ||
                              overflow_limiter_.CanOverflow(now));
  const bool should_leave = near.slot == nullptr || far.cost < near.cost ||
                            overflow_limiter_.MustOverflow(now);
  const Candidate& best = may_leave && should_leave ? far : near;
  if (best.slot == nullptr)
    return std::nullopt;
  const Distance distance = DistanceFor(*best.slot, request);
  const bool overflow = distance == Distance::kOtherRegion &&
                        best.slot != homes.home && !must_leave_region;
  BackendChoice choice{best.slot->state.entry().id(),
                       distance,
                       overflow,
                       best.warm,
                       best.slot->state.ObjectsSince(request.object),
                       best.expected};
  if (homes.limited != nullptr)
    choice.held_back_by = homes.limited->state.entry().id();
  return choice;
}

BackendPicker::Candidate BackendPicker::Evaluate(const ServerSlot& slot,
                                                 const ObjectHomes& homes,
                                                 const PickRequest& request,
                                                 TimePoint now) const {
  const BackendState& state = slot.state;
  const bool warm =
      request.object == 0 || &slot == homes.home ||
      warmth_.IsWarm(request.service, state.ObjectsSince(request.object));
  const Duration work =
      Scaled(latencies_.Expected(request.kind, warm, request.objective),
             state.slowness());
  const Duration wait = ExpectedWait(slot, now);
  const auto size = answer_kb_.find(request.kind);
  const double answer_kb =
      size == answer_kb_.end() ? kInitialAnswerKb : size->second;
  double cost = ServerCost(slot, wait + work, now) +
                DistanceCost(DistanceFor(slot, request), answer_kb);
  if (!warm && &slot != homes.home)
    cost += kColdOverflowCostFactor * Milliseconds(work);
  return {&slot, cost, warm, wait > Duration::zero(), wait + work};
}

bool BackendPicker::IsUsable(const ServerSlot& slot,
                             const PickRequest& request,
                             TimePoint now) const {
  const BackendState& state = slot.state;
  // Connections that are open show that an ejected server has not failed.
  const bool is_ejected =
      state.IsEjected(now) && slot.reach != ServerReach::kOpenConnections;
  if (!slot.MayRun(request) || !IsReachable(slot) || is_ejected ||
      state.IsHeldBack(now) || !HasRoom(slot, now) || !slot.HasConnection() ||
      !slot.limit.CanSend(now))
    return false;
  return !state.IsCold(now) || state.HasColdToken(slot.cold_rate, now);
}

bool BackendPicker::MaySend(const BackendEntry& entry,
                            const PickRequest& request) const {
  const auto found = states_.find(entry.id());
  if (found == states_.end())
    return false;
  const ServerSlot& slot = *found->second;
  const BackendEntry& current = slot.state.entry();
  const bool is_same = current.address == entry.address &&
                       current.port == entry.port &&
                       current.service == entry.service &&
                       current.started_ms == entry.started_ms;
  return is_same && !slot.state.is_leaving() && !slot.is_evacuated &&
         request.MayRunIn(slot.region);
}

bool BackendPicker::OnStarted(const BackendChoice& choice, TimePoint now) {
  const auto found = states_.find(choice.server);
  if (found == states_.end())
    return false;
  ServerSlot& slot = *found->second;
  if (slot.state.is_leaving() || slot.is_evacuated ||
      slot.state.IsHeldBack(now))
    return false;
  if (!slot.HasConnection() || !slot.limit.CanSend(now))
    return false;
  if (slot.state.IsCold(now) && !slot.state.TakeColdToken(slot.cold_rate, now))
    return false;
  if (!slot.limit.TrySend(now))
    return false;
  slot.state.OnStarted(now);
  has_sent_ = true;
  // Only overflow counts against the limit: the fraction of requests that
  // belong in another region is constant.
  overflow_limiter_.OnSent(choice.overflow, now);
  return true;
}

void BackendPicker::OnFinished(const BackendChoice& choice,
                               const PickRequest& request,
                               RequestOutcome outcome,
                               Duration latency,
                               std::size_t answer_bytes,
                               TimePoint now) {
  const auto found = states_.find(choice.server);
  if (found == states_.end())
    return;
  BackendState& state = found->second->state;
  const Duration expected =
      latencies_.Expected(request.kind, choice.warm, request.objective);
  if (outcome == RequestOutcome::kOk) {
    const double kilobytes = static_cast<double>(answer_bytes) / kBytesPerKb;
    double& average =
        answer_kb_.try_emplace(request.kind, kilobytes).first->second;
    average += kAnswerGain * (kilobytes - average);
    const Duration ordinary = Scaled(latency, 1.0 / state.slowness());
    const Duration warm =
        latencies_.Expected(request.kind, true, request.objective);
    const Duration cold =
        latencies_.Expected(request.kind, false, request.objective);
    const bool was_warm = 2 * ordinary < warm + cold;
    latencies_.Add(request.kind, was_warm, ordinary);
    if (request.object != 0 && choice.objects_since)
      warmth_.Add(request.service, *choice.objects_since, was_warm);
  }
  const bool ejected = state.IsEjected(now);
  const bool is_evidence = outcome == RequestOutcome::kOk ||
                           outcome == RequestOutcome::kShed ||
                           found->second->reach == ServerReach::kDirect;
  if (!is_evidence)
    outcome = RequestOutcome::kCancelled;
  state.OnFinished(outcome, latency, expected, request.object, now);
  if (!ejected && state.IsEjected(now) &&
      found->second->region == self_.region && outcome != RequestOutcome::kShed)
    overflow_limiter_.SuspendUntil(now + kOverflowSuspension);
}

void BackendPicker::OnLoad(BackendServerId server,
                           const LoadReport& report,
                           TimePoint now) {
  const auto found = states_.find(server);
  if (found != states_.end())
    found->second->state.OnLoad(report, now);
}

void BackendPicker::OnPeerUse(const std::vector<BackendUse>& use,
                              TimePoint now) {
  for (const BackendUse& one : use) {
    const auto found = states_.find(one.server);
    if (found != states_.end())
      found->second->state.OnPeerUse(one.running, now);
  }
}

const BackendState* BackendPicker::Find(BackendServerId server) const {
  const auto found = states_.find(server);
  return found == states_.end() ? nullptr : &found->second->state;
}

Duration BackendPicker::ExpectedWarm(const PickRequest& request) const {
  return latencies_.Expected(request.kind, true, request.objective);
}

// Requests to servers that are not reached do not run there.
std::vector<BackendUse> BackendPicker::LocalUse() const {
  std::vector<BackendUse> use;
  for (const auto& [id, slot] : states_) {
    if (slot->state.own_running() > 0 && slot->reach != ServerReach::kNone)
      use.push_back({id, slot->state.own_running()});
  }
  return use;
}

std::vector<BackendUse> BackendPicker::LocalUseIn(RegionId region) const {
  std::vector<BackendUse> use;
  for (const auto& [id, slot] : states_) {
    if (slot->state.own_running() > 0 && slot->region == region &&
        slot->reach != ServerReach::kNone)
      use.push_back({id, slot->state.own_running()});
  }
  return use;
}

std::vector<BackendServerId> BackendPicker::ServersInRampUp(
    TimePoint now) const {
  std::vector<BackendServerId> servers;
  for (const auto& [id, slot] : states_) {
    const bool is_new =
        slot->joined_at != TimePoint{} && !slot->state.is_used();
    if (slot->state.IsCold(now) || is_new)
      servers.push_back(id);
  }
  return servers;
}

bool BackendPicker::HasServers(ServiceId service) const {
  const auto found = by_service_.find(service);
  return found != by_service_.end() &&
         std::any_of(
             found->second.begin(), found->second.end(),
             [](const ServerSlot* slot) { return !slot->state.is_leaving(); });
}

Distance BackendPicker::DistanceOf(FailureDomainId domain) const {
  if (domain == self_.failure_domain)
    return Distance::kSameFailureDomain;
  const auto found = regions_.find(domain);
  return found != regions_.end() && found->second == self_.region
             ? Distance::kSameRegion
             : Distance::kOtherRegion;
}

}  // namespace comfreyvane
