#include "comfreyvane/route/route_core.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace comfreyvane {
namespace {

constexpr Duration kRefreshInterval = std::chrono::milliseconds(10);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);
constexpr double kMeanGain = 0.02;
constexpr double kCostJitter = 0.1;
constexpr std::uint32_t kNoRank = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t kNoServer = kNoRank;

/// Finalizer of the 64-bit SplitMix generator (Steele, Lea, Flood 2014).
std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

double Unit(std::uint64_t hash) {
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
}

}  // namespace

struct RouteCore::Candidates {
  std::uint32_t rank = kNoRank;
  std::uint32_t cheapest = kNoServer;
  double cost = 0.0;
  std::uint32_t warm = kNoServer;
  std::uint64_t affinity_score = 0;
};

RouteCore::RouteCore(ServiceId service, RouteLimits limits, std::uint64_t seed)
    : service_(service),
      limits_(limits),
      random_(seed),
      mean_latency_(limits.initial_latency) {}

boost::leaf::result<RouteChoice> RouteCore::Choose(const RouteRequest& request,
                                                   TimePoint now) {
  if (now >= request.deadline) {
    return boost::leaf::new_error(
        Refusal{RefusalReason::kDeadlinePassed, RunState::kNotRun});
  }
  if (now >= next_refresh_)
    Refresh(now);
  if (samples_sites_)
    SampleSites(request.affinity);
  ++jitter_seed_;
  Candidates candidates;
  for (std::uint32_t i = 0; i < records_.size(); ++i) {
    if (IsUsable(records_[i], request, now))
      UpdateCandidates(i, request, candidates);
  }
  if (candidates.cheapest != kNoServer)
    return RecordChoice(candidates, request);
  if (request.isolated)
    ReserveForIsolated(now);
  return boost::leaf::new_error(Refusal{RefusalReason::kNoBackendServer,
                                        RunState::kNotRun, RetryAfter(now)});
}

bool RouteCore::IsAllowed(const ServerRecord& record) const {
  return sites_[record.site_index()].weight > 0;
}

bool RouteCore::IsUsable(const ServerRecord& record,
                         const RouteRequest& request,
                         TimePoint now) const {
  if (!record.HasFreeSlot() || !IsAllowed(record))
    return false;
  const RouteServer& server = record.server();
  if (request.isolated ? record.own_in_use() > 0
                       : server.id == reserved_ && now < reserved_until_)
    return false;
  if (server.distance == Distance::kOtherRegion) {
    const Link& link = links_[record.link_index()];
    if (link.in_use >= link.quota)
      return false;
  }
  return request.excluded.empty() ||
         std::find(request.excluded.begin(), request.excluded.end(),
                   server.id) == request.excluded.end();
}

std::uint32_t RouteCore::Rank(const ServerRecord& record,
                              const RouteRequest& request) const {
  const auto distance = static_cast<std::uint32_t>(record.server().distance);
  const bool other_site =
      samples_sites_ && sampled_site_[distance] != record.site_index();
  const bool risky = record.is_trial() && !request.idempotent;
  return (risky ? 2 * kDistanceCount : 0) + 2 * distance + (other_site ? 1 : 0);
}

void RouteCore::UpdateCandidates(std::uint32_t index,
                                 const RouteRequest& request,
                                 Candidates& candidates) {
  const ServerRecord& record = records_[index];
  const std::uint32_t rank = Rank(record, request);
  if (rank > candidates.rank)
    return;
  if (rank < candidates.rank)
    candidates = Candidates{.rank = rank};
  const std::uint64_t id = record.server().id.value();
  const double jitter =
      1.0 + kCostJitter * Unit((jitter_seed_ ^ id) * 0x9e3779b97f4a7c15ULL);
  const double cost = record.Cost() * jitter;
  if (candidates.cheapest == kNoServer || cost < candidates.cost) {
    candidates.cheapest = index;
    candidates.cost = cost;
  }
  if (request.affinity == RequestId())
    return;
  const auto slowest = limits_.max_warm_latency_factor *
                       static_cast<double>(mean_latency_.count());
  if (static_cast<double>(record.latency().count()) > slowest)
    return;
  const std::uint64_t affinity_score = Mix(request.affinity.value() ^ Mix(id));
  if (candidates.warm == kNoServer ||
      affinity_score > candidates.affinity_score) {
    candidates.warm = index;
    candidates.affinity_score = affinity_score;
  }
}

RouteChoice RouteCore::RecordChoice(const Candidates& candidates,
                                    const RouteRequest& request) {
  const bool warm = candidates.warm != kNoServer && !request.isolated;
  const ServerRecord& record =
      records_[warm ? candidates.warm : candidates.cheapest];
  ChoiceReason reason = warm ? ChoiceReason::kWarm : ChoiceReason::kLeastLoaded;
  if (record.is_trial())
    reason = ChoiceReason::kTrial;
  if (request.isolated)
    reason = ChoiceReason::kIsolated;
  ++choices_[static_cast<std::size_t>(reason)];
  return {record.server().id, record.server().distance, reason};
}

void RouteCore::SampleSites(RequestId affinity) {
  const bool sticky = affinity != RequestId();
  std::array<std::uint64_t, kDistanceCount> left{};
  std::array<double, kDistanceCount> best{};
  for (std::size_t d = 0; d < kDistanceCount; ++d) {
    if (!sticky && weight_of_distance_[d] > 0)
      left[d] = 1 + random_.Below(weight_of_distance_[d]);
    best[d] = std::numeric_limits<double>::infinity();
  }
  for (std::uint32_t i = 0; i < sites_.size(); ++i) {
    const Site& site = sites_[i];
    const auto d = static_cast<std::size_t>(site.distance);
    if (site.weight == 0)
      continue;
    if (sticky) {
      // Weighted rendezvous hashing: the least -ln(u) / weight wins.
      const double unit = Unit(Mix(affinity.value() ^ Mix(site.id.value())));
      const double key = -std::log(unit) / site.weight;
      if (key < best[d]) {
        best[d] = key;
        sampled_site_[d] = i;
      }
    } else if (left[d] > 0) {
      left[d] -= std::min<std::uint64_t>(left[d], site.weight);
      if (left[d] == 0)
        sampled_site_[d] = i;
    }
  }
}

Duration RouteCore::RetryAfter(TimePoint now) const {
  Duration soonest = kMaxRetryAfter;
  for (const ServerRecord& record : records_) {
    if (record.is_leaving() || !IsAllowed(record))
      continue;
    const TimePoint opens =
        std::max(record.held_until(), record.ejected_until());
    const std::uint32_t running = record.own_in_use() + record.others_in_use();
    const Duration wait =
        opens > now ? opens - now : record.latency() / (running + 1);
    soonest = std::min(soonest, wait);
  }
  return std::max(soonest, kMinRetryAfter);
}

void RouteCore::ReserveForIsolated(TimePoint now) {
  if (now < reserved_until_)
    return;
  const ServerRecord* least = nullptr;
  for (const ServerRecord& record : records_) {
    if (record.is_leaving() || record.ejected() != EjectionReason::kNone ||
        record.is_isolated() || !IsAllowed(record))
      continue;
    if (least == nullptr || record.own_in_use() < least->own_in_use())
      least = &record;
  }
  if (least == nullptr)
    return;
  reserved_ = least->server().id;
  reserved_until_ = now + limits_.reservation_time;
}

ServerRecord* RouteCore::Find(BackendServerId server) {
  const auto found = index_.find(server);
  return found == index_.end() ? nullptr : &records_[found->second];
}

bool RouteCore::TryStart(BackendServerId server, bool isolated, TimePoint now) {
  if (now >= next_refresh_)
    Refresh(now);
  ServerRecord* record = Find(server);
  if (record == nullptr || record->is_leaving() || !IsAllowed(*record))
    return false;
  if (isolated && record->own_in_use() > 0)
    return false;
  record->OnStarted(isolated);
  if (record->server().distance == Distance::kOtherRegion)
    ++links_[record->link_index()].in_use;
  if (isolated && reserved_ == server)
    reserved_until_ = now;
  return true;
}

void RouteCore::Finish(BackendServerId server,
                       RequestOutcome outcome,
                       Duration latency,
                       TimePoint now) {
  ServerRecord* record = Find(server);
  if (record == nullptr)
    return;
  record->OnFinished(outcome, latency, mean_latency_, limits_, now);
  if (record->server().distance == Distance::kOtherRegion)
    --links_[record->link_index()].in_use;
  if (outcome == RequestOutcome::kOk) {
    const auto change = static_cast<double>((latency - mean_latency_).count());
    mean_latency_ += Duration(static_cast<Duration::rep>(kMeanGain * change));
  } else {
    EjectIfFailing(*record, now);
  }
}

void RouteCore::EjectIfFailing(ServerRecord& record, TimePoint now) {
  if (record.ejected() != EjectionReason::kNone)
    return;
  const EjectionReason verdict = record.EjectionVerdict(limits_);
  if (verdict == EjectionReason::kNone)
    return;
  if (!CanEject()) {
    record.Hold(limits_, now);
    return;
  }
  record.Eject(verdict, limits_, now);
  ++ejections_[static_cast<std::size_t>(verdict)];
}

bool RouteCore::CanEject() const {
  std::size_t servers = 0;
  std::size_t ejected = 0;
  for (const ServerRecord& record : records_) {
    if (record.is_leaving())
      continue;
    ++servers;
    ejected += record.ejected() == EjectionReason::kNone ? 0 : 1;
  }
  const double max_ejected =
      limits_.max_ejected_fraction * static_cast<double>(servers);
  return static_cast<double>(ejected + 1) <= max_ejected;
}

void RouteCore::OnLoadReport(BackendServerId server,
                             const LoadReport& report,
                             TimePoint reported_at,
                             TimePoint now) {
  ServerRecord* record = Find(server);
  if (record == nullptr)
    return;
  record->OnLoadReport(report, reported_at);
  record->Refresh(limits_, mean_latency_, now);
}

void RouteCore::OnProbe(BackendServerId server,
                        ProbeOutcome outcome,
                        TimePoint now) {
  ServerRecord* record = Find(server);
  if (record == nullptr)
    return;
  if (outcome == ProbeOutcome::kHealthy) {
    record->OnHealthyProbe(now);
    record->Refresh(limits_, mean_latency_, now);
    return;
  }
  record->OnFailedProbe(limits_, now);
  EjectIfFailing(*record, now);
}

void RouteCore::Refresh(TimePoint now) {
  next_refresh_ = now + kRefreshInterval;
  if (now >= next_peer_refresh_)
    RefreshPeers(now);
  for (ServerRecord& record : records_)
    record.Refresh(limits_, mean_latency_, now);
}

}  // namespace comfreyvane
