#include "comfreyvane/steer/steering_core.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/config/configuration.h"
#include "comfreyvane/steer/resource_id.h"

namespace comfreyvane {
namespace {

/// Spreads retries of refused callers by position, so that they don't arrive
/// together.
constexpr Duration kRetrySpreadStep = std::chrono::milliseconds(1);
constexpr std::int64_t kRetrySpreadSteps = 1000;

ShiftTarget TargetOf(Revision revision, const Service& service) {
  ShiftTarget target{revision, service.shift_cap, {}};
  for (const auto& share : service.shares)
    target.parts.push_back({SiteId::Of(share.site), share.parts});
  return target;
}

SteeringDecision Refuse(SteeringExplanation explanation,
                        SteeringRule rule,
                        RefusalReason reason,
                        Duration retry_after) {
  explanation.rule = rule;
  return {Refusal{reason, RunState::kNotRun, retry_after},
          std::move(explanation)};
}

SteeringDecision RefuseForShortage(const SteeringExplanation& explanation) {
  const Shortage& shortage = *explanation.shortage;
  const Duration spread =
      kRetrySpreadStep * (explanation.position % kRetrySpreadSteps);
  if (shortage.reason == ShortageReason::kFailed)
    return Refuse(explanation, SteeringRule::kNoSiteUp,
                  RefusalReason::kSiteUnavailable,
                  shortage.retry_after + spread);
  return Refuse(explanation, SteeringRule::kNoRoom, RefusalReason::kRegionFull,
                shortage.retry_after + spread);
}

}  // namespace

SteeringCore::SteeringCore(const SteeringSettings& settings)
    : settings_(settings) {
  settings_.shift.answer_lifetime = settings.ttl + settings.cache_excess;
  assert(settings_.shift.answer_lifetime <= ExpiringSum::kHorizon);
}

void SteeringCore::Configure(Revision revision,
                             const Configuration& configuration,
                             const std::vector<ShiftProgress>& progress,
                             TimePoint now) {
  if (revision <= revision_)
    return;
  revision_ = revision;
  topology_ = Topology(configuration);
  selector_ = HostSelector(hosts_, topology_);
  for (const auto& workspace : configuration.workspaces)
    ledger_.SetWeight(WorkspaceId::Of(workspace.name), workspace.weight);
  std::map<ServiceId, ServiceState> services;
  for (const auto& service : configuration.services) {
    const ServiceId id = ServiceId::Of(service.name);
    const ShiftTarget target = TargetOf(revision, service);
    auto existing = services_.extract(id);
    if (!existing.empty()) {
      existing.mapped().shift.SetTarget(target);
      services.insert(std::move(existing));
      continue;
    }
    const auto started =
        std::ranges::find(progress, id, &ShiftProgress::service);
    services.emplace(
        id,
        ServiceState{started == progress.end()
                         ? ShiftCore(id, target, settings_.shift)
                         : ShiftCore(*started, target, settings_.shift, now),
                     {}});
  }
  services_ = std::move(services);
}

void SteeringCore::SetTable(std::shared_ptr<const LookupTable> table) {
  assert(table);
  if (!table_ || table_->revision() <= table->revision())
    table_ = std::move(table);
}

void SteeringCore::SetHosts(std::vector<HostView> hosts) {
  hosts_ = std::move(hosts);
  selector_ = HostSelector(hosts_, topology_);
}

void SteeringCore::SetDemand(ServiceId service, const ServiceDemand& demand) {
  const auto found = services_.find(service);
  if (found != services_.end())
    found->second.demand = demand;
}

void SteeringCore::Observe(ServiceId service,
                           const SiteMeasurement& measurement,
                           TimePoint now) {
  const auto found = services_.find(service);
  if (found != services_.end())
    found->second.shift.Observe(measurement);
  const ResourceId resource = SiteResource(measurement.site);
  if (measurement.up)
    ledger_.MarkUp(resource, now);
  else
    ledger_.MarkDown(resource);
}

void SteeringCore::Adopt(const ShiftProgress& progress, TimePoint now) {
  const auto found = services_.find(progress.service);
  if (found != services_.end())
    found->second.shift.Adopt(progress, now);
}

void SteeringCore::ObserveFleet(ServiceId service,
                                const FleetProgress& fleet,
                                TimePoint now) {
  const auto found = services_.find(service);
  if (found != services_.end())
    found->second.shift.ObserveFleet(fleet, now);
}

std::vector<ShiftAction> SteeringCore::Tick(TimePoint now) {
  std::vector<ShiftAction> actions;
  for (auto& [id, service] : services_)
    std::ranges::move(service.shift.Tick(now), std::back_inserter(actions));
  return actions;
}

void SteeringCore::RecordArrival(const ClientAddress& client,
                                 ServiceId service,
                                 std::uint32_t requests,
                                 TimePoint now) {
  const auto found = services_.find(service);
  if (found != services_.end())
    found->second.shift.RecordArrival(PositionOf(client, service), requests,
                                      now);
}

SteeringDecision SteeringCore::Steer(const LookupRequest& request,
                                     TimePoint now) {
  SteeringDecision decision = Decide(request, now);
  const auto found = services_.find(request.service);
  if (found == services_.end())
    return decision;
  ServiceState& service = found->second;
  const SteeringExplanation& explanation = decision.explanation;
  const auto* answer = std::get_if<SteeringAnswer>(&decision.outcome);
  const auto candidate = CandidateFor(
      answer != nullptr ? answer->site : explanation.share_site, explanation);
  if (!candidate)
    return decision;
  const Duration ttl = answer != nullptr ? answer->ttl : settings_.ttl;
  const TimePoint expires = ExpiryOf(ttl, now);
  ledger_.RecordDemand(candidate->path.region, request.workspace,
                       service.demand, expires, now);
  if (answer == nullptr)
    return decision;
  ledger_.Reserve(candidate->path, request.workspace, service.demand, expires,
                  now);
  service.shift.RecordAnswer(answer->site, expires, now);
  return decision;
}

SteeringDecision SteeringCore::Decide(const LookupRequest& request,
                                      TimePoint now) const {
  const auto found = services_.find(request.service);
  const ServiceState* service =
      found == services_.end() ? nullptr : &found->second;
  SteeringExplanation explanation = MakeExplanation(request, service);
  if (service == nullptr)
    return Refuse(explanation, SteeringRule::kUnknownService,
                  RefusalReason::kRouteUnknown, Duration(0));
  const auto candidate = ChooseSite(*service, explanation, now);
  return candidate ? MakeAnswer(*candidate, explanation, now)
                   : RefuseForShortage(explanation);
}

SteeringExplanation SteeringCore::MakeExplanation(
    const LookupRequest& request,
    const ServiceState* service) const {
  SteeringExplanation explanation;
  explanation.request = request;
  explanation.revision = revision_;
  if (service == nullptr)
    return explanation;
  explanation.position = PositionOf(request.client, request.service);
  explanation.share_site = service->shift.SiteAt(explanation.position);
  const auto match = table_ ? table_->Find(request.client) : std::nullopt;
  if (match)
    explanation.nearest = match->state.site;
  return explanation;
}

std::optional<RegionId> SteeringCore::ClientRegion(
    const SteeringExplanation& explanation) const {
  const auto* location =
      explanation.nearest ? topology_.Find(*explanation.nearest) : nullptr;
  if (location == nullptr)
    return std::nullopt;
  return location->region;
}

std::optional<SteeringCore::Candidate> SteeringCore::CandidateFor(
    SiteId site,
    const SteeringExplanation& explanation) const {
  const auto* location = topology_.Find(site);
  if (location == nullptr)
    return std::nullopt;
  return Candidate{location,
                   topology_.Path(ClientRegion(explanation), *location)};
}

std::optional<Shortage> SteeringCore::FindShortage(
    const ServiceState& service,
    const Candidate& candidate,
    const SteeringExplanation& explanation,
    TimePoint now) const {
  return ledger_.Check(candidate.path, explanation.request.workspace,
                       service.demand, MinAnswerLifetime(), now);
}

std::optional<SteeringCore::Candidate> SteeringCore::ChooseSite(
    const ServiceState& service,
    SteeringExplanation& explanation,
    TimePoint now) const {
  explanation.rule = SteeringRule::kShare;
  explanation.shortage =
      Shortage{.resource = SiteResource(explanation.share_site),
               .reason = ShortageReason::kFailed};
  auto candidate = CandidateFor(explanation.share_site, explanation);
  if (candidate) {
    explanation.shortage = FindShortage(service, *candidate, explanation, now);
    if (!explanation.shortage)
      return candidate;
  }
  explanation.rule = SteeringRule::kOtherSite;
  for (const SiteId site : FallbackSites(service, explanation)) {
    candidate = CandidateFor(site, explanation);
    if (!candidate)
      continue;
    const auto shortage = FindShortage(service, *candidate, explanation, now);
    if (!shortage)
      return candidate;
    if (explanation.shortage->reason == ShortageReason::kFailed)
      explanation.shortage = shortage;
  }
  return std::nullopt;
}

/// Orders sites in the client's region first, then by rendezvous hash. Overflow
/// from a full site avoids sites that are gaining clients in a shift; overflow
/// from a failed site does not.
std::vector<SiteId> SteeringCore::FallbackSites(
    const ServiceState& service,
    const SteeringExplanation& explanation) const {
  struct Ranked {
    bool is_remote;
    std::uint64_t score;
    SiteId site;
  };
  const bool failed = explanation.shortage->reason == ShortageReason::kFailed;
  const auto region = ClientRegion(explanation);
  std::vector<Ranked> ranked;
  for (const auto& [site, parts] : service.shift.in_force().Allocations()) {
    const auto* location = topology_.Find(site);
    if (location == nullptr || site == explanation.share_site ||
        (!failed && service.shift.IsGaining(site)))
      continue;
    ranked.push_back({region && location->region != *region,
                      HashPair(explanation.position, site.value()), site});
  }
  const auto count = std::min(settings_.max_fallback_sites, ranked.size());
  std::ranges::partial_sort(ranked,
                            ranked.begin() + static_cast<std::ptrdiff_t>(count),
                            [](const Ranked& left, const Ranked& right) {
                              return std::tie(left.is_remote, left.score) <
                                     std::tie(right.is_remote, right.score);
                            });
  std::vector<SiteId> sites;
  for (std::size_t i = 0; i < count; ++i)
    sites.push_back(ranked[i].site);
  return sites;
}

SteeringDecision SteeringCore::MakeAnswer(
    const Candidate& candidate,
    const SteeringExplanation& explanation,
    TimePoint now) const {
  const std::uint64_t key =
      HashPair(explanation.position, explanation.request.service.value());
  const std::size_t count =
      explanation.request.idempotent ? settings_.max_hosts : 1;
  auto hosts = selector_.Select(key, candidate.location->failure_domain,
                                candidate.location->region, count);
  if (hosts.empty())
    return Refuse(explanation, SteeringRule::kNoHost,
                  RefusalReason::kSiteUnavailable, settings_.min_ttl);
  const Duration lease_ttl =
      ledger_.RemainingLease(candidate.path, now) - settings_.cache_excess;
  SteeringExplanation answered = explanation;
  answered.site = candidate.location->site;
  return {SteeringAnswer{std::move(hosts), candidate.location->site,
                         std::min(settings_.ttl, lease_ttl), revision_},
          std::move(answered)};
}

const ShiftCore* SteeringCore::Shift(ServiceId service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second.shift;
}

}  // namespace comfreyvane
