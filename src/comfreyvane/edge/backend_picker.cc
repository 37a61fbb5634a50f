#include "comfreyvane/edge/backend_picker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "comfreyvane/base/hash.h"

namespace comfreyvane {
namespace {

/// Largest change of the part of requests that leave the region, in a second:
/// a third of the bound of 0.15 in two seconds is left for noise.
constexpr double kSpillStep = 0.05;

/// Time for which failures of servers in the region lift that bound.
constexpr Duration kSpillRelease = std::chrono::seconds(4);

/// What the way to a server costs, as time: its delay, and the price of its
/// traffic for each kilobyte of an answer against that of a late answer.
constexpr double kSameRegionMs = 5.0;
constexpr double kSameRegionMsPerKb = 8.0;
constexpr double kOtherRegionMs = 45.0;
constexpr double kOtherRegionMsPerKb = 25.0;

/// Size of answers before there is a sample, and gain of their average.
constexpr double kFirstAnswerKb = 2.0;
constexpr double kAnswerGain = 0.05;
constexpr double kBytesPerKb = 1024.0;

/// Weight of the order by rendezvous hashing among servers that are alike, so
/// that all hosts overflow to the same ones, milliseconds.
constexpr double kRendezvousCostMs = 40.0;

/// Part of the expected time that a full server adds.
constexpr double kLoadCost = 0.2;

/// Times the expected time that a server costs which is not the object's home
/// and does not have it warm: it forgets another object for it.
constexpr double kColdElsewhereCost = 0.3;
constexpr double kColdAbroadCost = 1.0;

/// Times the expected time that a silent server adds.
constexpr double kSuspectCost = 3.0;

/// What a server that has joined is preferred by at the hosts that first use
/// it, so that it is soon in use, milliseconds.
constexpr double kIntroductionMs = 2000.0;

/// Time over which the objects whose home a server that joined will be move to
/// it, unless the others are busy: each move costs a cold run.
constexpr Duration kFirstMove = std::chrono::seconds(15);
constexpr Duration kLastMove = std::chrono::seconds(45);

/// Load of the other servers of the region at which objects move at once.
constexpr double kBusyLoad = 0.5;

/// Requests that may wait at a server, for each of its slots.
constexpr double kWaitingPerSlot = 1.0;

/// Part of its fair share of the servers with which a region counts as large
/// enough for all of its objects.
constexpr double kRegionShare = 0.75;

/// Salt of the hash that says which objects of a small region are at home in
/// others.
constexpr std::uint64_t kAbroadSalt = 0x61627264;

double Milliseconds(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

double Unit(std::uint64_t hash) {
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
}

}  // namespace

BackendPicker::BackendPicker(
    Location self,
    std::unordered_map<FailureDomainId, RegionId> regions)
    : self_(self), regions_(std::move(regions)), spill_(kSpillStep) {}

void BackendPicker::Upsert(const BackendEntry& entry, TimePoint now) {
  const BackendServerId id = entry.id();
  const auto found = states_.find(id);
  const auto region = regions_.find(entry.failure_domain);
  const RegionId region_id =
      region == regions_.end() ? RegionId() : region->second;
  if (found != states_.end()) {
    Slot& slot = *found->second;
    const ServiceId before = slot.state.entry().service;
    if (serving_ && slot.state.entry().started_ms != entry.started_ms)
      slot.joined = now;
    slot.state.Update(entry, now);
    slot.distance = DistanceOf(entry.failure_domain);
    slot.region = region_id;
    if (before != entry.service) {
      std::erase(by_service_[before], &slot);
      by_service_[entry.service].push_back(&slot);
    }
    return;
  }
  auto slot = std::make_unique<Slot>(
      Slot{BackendState(entry, now), DistanceOf(entry.failure_domain),
           region_id, serving_ ? now : TimePoint{}});
  by_service_[entry.service].push_back(slot.get());
  states_.emplace(id, std::move(slot));
}

void BackendPicker::Remove(BackendServerId server, TimePoint now) {
  const auto found = states_.find(server);
  if (found == states_.end())
    return;
  found->second->state.Leave();
  if (found->second->region == self_.region)
    spill_.Release(now + kSpillRelease);
}

void BackendPicker::Prune() {
  for (auto it = states_.begin(); it != states_.end();) {
    const BackendState& state = it->second->state;
    // Entries that drain stay, to be recognised while they are listed.
    const bool idle = state.leaving() && !state.entry().draining;
    if (idle && state.own() == 0) {
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
    const bool returns = evacuated_.contains(entry.failure_domain) &&
                         !domains.contains(entry.failure_domain);
    const auto cold = cold_times.find(entry.service);
    if (!returns)
      continue;
    slot->joined = now;
    if (cold != cold_times.end())
      slot->state.SetCold(cold->second, now);
  }
  if (domains != evacuated_)
    spill_.Release(now + kSpillRelease);
  evacuated_ = domains;
}

void BackendPicker::SetPart(BackendServerId server,
                            bool introduces,
                            double cold_rate) {
  const auto found = states_.find(server);
  if (found == states_.end())
    return;
  found->second->introduces = introduces;
  found->second->cold_rate = cold_rate;
}

std::optional<BackendChoice> BackendPicker::Pick(const PickRequest& request,
                                                 TimePoint now) const {
  const auto found = by_service_.find(request.service);
  if (found == by_service_.end())
    return std::nullopt;
  const Duration warm =
      latencies_.Expected(request.kind, true, request.objective);
  const Duration cold =
      latencies_.Expected(request.kind, false, request.objective);
  struct Best {
    const Slot* slot = nullptr;
    double cost = 0.0;
    bool warm = false;
    Duration expected{};
  };
  Best near;
  Best far;
  const bool bound_abroad = !MayRunIn(self_.region, request);
  const Slot* const home =
      request.object == 0 ? nullptr : HomeOf(request, found->second, now);
  for (const Slot* slot : found->second) {
    if (!Usable(*slot, request, now))
      continue;
    const BackendState& state = slot->state;
    const bool is_warm =
        request.object == 0 || slot == home ||
        warmth_.IsWarm(request.service, state.ObjectsSince(request.object));
    const Duration work(static_cast<Duration::rep>(
        static_cast<double>((is_warm ? warm : cold).count()) *
        state.slowness()));
    const Duration wait = Wait(*slot, now);
    if (wait > Duration::zero() && now + wait + work > request.deadline)
      continue;
    double cost = Cost(*slot, wait + work, now) + DistanceCost(*slot, request);
    if (request.object != 0) {
      const std::uint64_t id = state.entry().id().value();
      cost += kRendezvousCostMs * Unit(HashPair(request.object, id));
    }
    const bool abroad = slot->distance == Distance::kOtherRegion;
    if (!is_warm) {
      cost +=
          (abroad ? kColdAbroadCost : kColdElsewhereCost) * Milliseconds(work);
    }
    Best& best = abroad ? far : near;
    if (best.slot == nullptr || cost < best.cost)
      best = {slot, cost, is_warm, wait + work};
  }
  const bool may_leave =
      far.slot != nullptr &&
      (bound_abroad || far.slot == home || spill_.MayLeave(now));
  const bool leaves =
      near.slot == nullptr || far.cost < near.cost || spill_.ShouldLeave(now);
  const Best& best = may_leave && leaves ? far : near;
  if (best.slot == nullptr)
    return std::nullopt;
  const bool overflow = best.slot->distance == Distance::kOtherRegion &&
                        best.slot != home && !bound_abroad;
  return BackendChoice{best.slot->state.entry().id(),
                       best.slot->distance,
                       overflow,
                       best.warm,
                       best.slot->state.ObjectsSince(request.object),
                       best.expected};
}

bool BackendPicker::Usable(const Slot& slot,
                           const PickRequest& request,
                           TimePoint now) const {
  const BackendState& state = slot.state;
  const BackendEntry& entry = state.entry();
  if (state.leaving() || state.IsEjected(now) ||
      evacuated_.contains(entry.failure_domain))
    return false;
  const double most = (1.0 + kWaitingPerSlot) * entry.slots;
  if (state.own() + state.Others(now) + 1.0 > most)
    return false;
  if (state.IsCold(now) && !state.HasColdToken(slot.cold_rate, now))
    return false;
  if (!MayRunIn(slot.region, request))
    return false;
  return std::find(request.excluded.begin(), request.excluded.end(),
                   entry.id()) == request.excluded.end();
}

Duration BackendPicker::Wait(const Slot& slot, TimePoint now) {
  const BackendState& state = slot.state;
  const double slots = std::max(1U, state.entry().slots);
  const double waiting = state.own() + state.Others(now) + 1.0 - slots;
  if (waiting <= 0.5)
    return Duration::zero();
  return Duration(static_cast<Duration::rep>(
      waiting / slots * static_cast<double>(state.mean_run().count())));
}

bool BackendPicker::MayBeHome(const Slot& slot, TimePoint now) const {
  const BackendState& state = slot.state;
  return !state.leaving() && !state.IsCold(now) && !state.IsEjected(now) &&
         !evacuated_.contains(state.entry().failure_domain);
}

bool BackendPicker::MayRunIn(RegionId region, const PickRequest& request) {
  return request.regions.empty() ||
         std::find(request.regions.begin(), request.regions.end(), region) !=
             request.regions.end();
}

bool BackendPicker::IsAbroad(std::uint64_t object,
                             const std::vector<Slot*>& slots) const {
  std::unordered_set<RegionId> regions;
  double all = 0.0;
  double own = 0.0;
  for (const Slot* slot : slots) {
    if (slot->state.leaving())
      continue;
    regions.insert(slot->region);
    all += 1.0;
    own += slot->region == self_.region ? 1.0 : 0.0;
  }
  // A region with few servers has part of its objects at home elsewhere.
  const double fair =
      kRegionShare * all /
      static_cast<double>(std::max<std::size_t>(1, regions.size()));
  return own < fair && Unit(HashPair(kAbroadSalt, object)) > own / fair;
}

const BackendPicker::Slot* BackendPicker::HomeOf(
    const PickRequest& request,
    const std::vector<Slot*>& slots,
    TimePoint now) const {
  const bool confined = !request.regions.empty();
  const bool own_allowed = MayRunIn(self_.region, request);
  const bool abroad = confined ? !own_allowed : IsAbroad(request.object, slots);
  struct Best {
    const Slot* slot = nullptr;
    std::uint64_t hash = 0;
  };
  Best settled;
  Best any;
  double running = 0.0;
  double slots_of_settled = 0.0;
  for (const Slot* slot : slots) {
    if ((slot->region == self_.region) == abroad ||
        !MayRunIn(slot->region, request) || !MayBeHome(*slot, now))
      continue;
    const std::uint64_t hash =
        HashPair(slot->state.entry().id().value(), request.object);
    const auto take = [&](Best& best) {
      if (best.slot == nullptr || hash > best.hash)
        best = {slot, hash};
    };
    take(any);
    if (!IsSettled(*slot, request.object, now))
      continue;
    take(settled);
    running += slot->state.own() + slot->state.Others(now);
    slots_of_settled += slot->state.entry().slots;
  }
  const bool busy = running >= kBusyLoad * slots_of_settled;
  return busy ? any.slot : settled.slot;
}

bool BackendPicker::IsSettled(const Slot& slot,
                              std::uint64_t object,
                              TimePoint now) {
  if (slot.joined == TimePoint{})
    return true;
  const double part = Unit(HashPair(object, slot.state.entry().id().value()));
  const auto wait = static_cast<Duration::rep>(
      part * static_cast<double>((kLastMove - kFirstMove).count()));
  return now - slot.joined >= kFirstMove + Duration(wait);
}

double BackendPicker::DistanceCost(const Slot& slot,
                                   const PickRequest& request) const {
  const auto found = answer_kb_.find(request.kind);
  const double kilobytes =
      found == answer_kb_.end() ? kFirstAnswerKb : found->second;
  switch (slot.distance) {
    case Distance::kSameFailureDomain:
      return 0.0;
    case Distance::kSameRegion:
      return kSameRegionMs + kSameRegionMsPerKb * kilobytes;
    case Distance::kOtherRegion:
      return kOtherRegionMs + kOtherRegionMsPerKb * kilobytes;
  }
  return 0.0;
}

double BackendPicker::Cost(const Slot& slot, Duration expected, TimePoint now) {
  const BackendState& state = slot.state;
  const double time = Milliseconds(expected);
  const double load = std::min(1.0, (state.own() + state.Others(now)) /
                                        std::max(1U, state.entry().slots));
  double cost = time * (1.0 + kLoadCost * load * load);
  if (state.IsSuspect(expected, now))
    cost += kSuspectCost * time;
  if (!state.used() && slot.introduces)
    cost -= kIntroductionMs;
  return cost;
}

bool BackendPicker::OnStarted(const BackendChoice& choice, TimePoint now) {
  const auto found = states_.find(choice.server);
  if (found == states_.end())
    return false;
  Slot& slot = *found->second;
  if (slot.state.leaving() ||
      evacuated_.contains(slot.state.entry().failure_domain))
    return false;
  if (slot.state.IsCold(now) && !slot.state.TakeColdToken(slot.cold_rate, now))
    return false;
  slot.state.OnStarted(now);
  serving_ = true;
  // Requests that belong abroad are a constant part.
  spill_.OnSent(choice.overflow, now);
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
    const Duration ordinary(static_cast<Duration::rep>(
        static_cast<double>(latency.count()) / state.slowness()));
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
  state.OnFinished(outcome, latency, expected, request.object, now);
  if (!ejected && state.IsEjected(now) &&
      found->second->region == self_.region && outcome != RequestOutcome::kShed)
    spill_.Release(now + kSpillRelease);
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

std::vector<BackendUse> BackendPicker::Use() const {
  std::vector<BackendUse> use;
  for (const auto& [id, slot] : states_) {
    if (slot->state.own() > 0)
      use.push_back({id, slot->state.own()});
  }
  return use;
}

std::vector<BackendUse> BackendPicker::UseIn(RegionId region) const {
  std::vector<BackendUse> use;
  for (const auto& [id, slot] : states_) {
    if (slot->state.own() > 0 && slot->region == region)
      use.push_back({id, slot->state.own()});
  }
  return use;
}

std::vector<BackendServerId> BackendPicker::NeedOwners(TimePoint now) const {
  std::vector<BackendServerId> servers;
  for (const auto& [id, slot] : states_) {
    const bool is_new = slot->joined != TimePoint{} && !slot->state.used();
    if (slot->state.IsCold(now) || is_new)
      servers.push_back(id);
  }
  return servers;
}

bool BackendPicker::HasServers(ServiceId service) const {
  const auto found = by_service_.find(service);
  return found != by_service_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [](const Slot* slot) { return !slot->state.leaving(); });
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
