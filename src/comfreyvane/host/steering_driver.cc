#include "comfreyvane/host/steering_driver.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <map>
#include <utility>
#include <vector>

#include "comfreyvane/config/configuration_index.h"
#include "comfreyvane/host/service_dispatcher.h"
#include "comfreyvane/limit/share.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/steer/resource_capacity.h"
#include "comfreyvane/wire/steer_codec.h"

namespace comfreyvane {
namespace {

/// Longest time for which a starting host waits to hear of shifts that its
/// peers have begun.
constexpr Duration kStartWait = std::chrono::seconds(2);
constexpr Duration kGrantPeriod = std::chrono::milliseconds(200);
constexpr Duration kMeasurementPeriod = std::chrono::seconds(1);

/// What a peer tells of a shift.
struct PeerReport {
  FleetProgress fleet;
  ShiftProgress shift;
};

/// @return this host's part of a whole, by its share units.
std::int64_t PartOf(std::int64_t whole, std::int64_t units) {
  return whole * units / kTotalUnits;
}

/// @return requests a second that the server seems to answer for all hosts.
double RateAt(const ServerState& state) {
  const double seconds = std::chrono::duration<double>(state.latency).count();
  const double in_use = state.in_use + state.in_use_by_others;
  return seconds > 0 ? in_use / seconds : 0.0;
}

void LogShift(const ShiftAction& action) {
  if (const auto* paused = std::get_if<ShiftPaused>(&action)) {
    Log(LogLevel::kWarning, "shift-paused",
        {{"service", paused->service},
         {"site", paused->site},
         {"reason", Name(paused->reason)}});
  } else if (const auto* step = std::get_if<StepTaken>(&action)) {
    Log(LogLevel::kInfo, "shift-step", {{"service", step->service}});
  } else if (const auto* done = std::get_if<ShiftCompleted>(&action)) {
    Log(LogLevel::kInfo, "shift-completed", {{"service", done->service}});
  } else if (const auto* resumed = std::get_if<ShiftResumed>(&action)) {
    Log(LogLevel::kInfo, "shift-resumed", {{"service", resumed->service}});
  }
}

}  // namespace

SteeringDriver::SteeringDriver(ControlContext& context, TimePoint now)
    : context_(context),
      view_(std::make_shared<const MemberView>()),
      start_by_(now + kStartWait),
      next_grant_(now),
      next_measurement_(now) {}

void SteeringDriver::OnTick(const OwnShare& own, TimePoint now) {
  if (!configuration_)
    return;
  StartIfReady(now);
  if (!started_)
    return;
  if (now >= next_grant_) {
    next_grant_ = now + kGrantPeriod;
    GrantCapacity(own);
  }
  if (now < next_measurement_)
    return;
  next_measurement_ = now + kMeasurementPeriod;
  Measure(now);
  TellProgress(now);
  ObserveFleet(now);
  const auto actions = context_.host.steering.With(
      [&](SteeringCore& core) { return core.Tick(now); });
  for (const ShiftAction& action : actions)
    LogShift(action);
}

void SteeringDriver::OnMembers(MemberViewPtr view) {
  view_ = std::move(view);
  std::vector<HostView> hosts;
  for (const Member& member : view_->members()) {
    const bool is_known = member.state == MemberState::kLive ||
                          member.state == MemberState::kLeaving;
    if (!is_known)
      continue;
    hosts.push_back({member.id, member.incarnation, member.descriptor.address,
                     member.descriptor.caller_port, member.domain(),
                     member.state == MemberState::kLeaving, 0});
  }
  context_.host.steering.With(
      [&](SteeringCore& core) { core.SetHosts(std::move(hosts)); });
}

void SteeringDriver::OnConfiguration(
    std::shared_ptr<const ConfigurationIndex> configuration,
    TimePoint now) {
  configuration_ = std::move(configuration);
  next_grant_ = now;
  next_measurement_ = now;
  if (!started_)
    return;
  context_.host.steering.With([&](SteeringCore& core) {
    core.Configure(configuration_->revision(), configuration_->configuration(),
                   {}, now);
  });
}

// A replaced host that started at the declared shares would leap ahead of a
// shift that its peers are in the middle of.
void SteeringDriver::StartIfReady(TimePoint now) {
  if (started_)
    return;
  const auto live = view_->Live();
  const bool is_alone =
      std::all_of(live.begin(), live.end(), [this](const Member* member) {
        return member->id == context_.host.self;
      });
  const bool has_heard = !shifts_.empty();
  if (!has_heard && now < start_by_)
    return;
  if (!has_heard && !is_alone)
    Log(LogLevel::kWarning, "shifts-unheard", {});
  started_ = true;
  std::vector<ShiftProgress> progress;
  for (const auto& [service, shift] : shifts_)
    progress.push_back(shift);
  context_.host.steering.With([&](SteeringCore& core) {
    core.Configure(configuration_->revision(), configuration_->configuration(),
                   progress, now);
  });
}

void SteeringDriver::OnPeer(HostId from,
                            const Json::Value& json,
                            TimePoint now) {
  if (!json.isArray() || json.size() != 2)
    return;
  const auto report = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<PeerReport>> {
        BOOST_LEAF_AUTO(fleet, FleetProgressFromJson(json[0], now));
        BOOST_LEAF_AUTO(shift, ShiftProgressFromJson(json[1]));
        return std::optional<PeerReport>(PeerReport{fleet, std::move(shift)});
      },
      [] { return std::optional<PeerReport>(); });
  if (!report)
    return;
  progress_[report->shift.service][from] = report->fleet;
  shifts_[report->shift.service] = report->shift;
  if (!started_)
    return;
  context_.host.steering.With(
      [&](SteeringCore& core) { core.Adopt(report->shift, now); });
}

void SteeringDriver::TellProgress(TimePoint now) {
  for (const Service& service : configuration_->configuration().services) {
    const auto id = ServiceId::Of(service.name);
    Json::Value message(Json::arrayValue);
    context_.host.steering.With([&](const SteeringCore& core) {
      const ShiftCore* const shift = core.Shift(id);
      if (shift == nullptr)
        return;
      message.append(ToJson(shift->OwnProgress(now), now));
      message.append(ToJson(shift->progress()));
    });
    if (!message.empty())
      context_.peers.SendToAll(peer_method::kShift, message);
  }
}

std::optional<FleetProgress> SteeringDriver::FleetOf(ServiceId service) const {
  const auto heard = progress_.find(service);
  std::optional<FleetProgress> fleet;
  for (const Member* member : view_->Live()) {
    if (member->id == context_.host.self)
      continue;
    if (heard == progress_.end())
      return std::nullopt;
    const auto one = heard->second.find(member->id);
    if (one == heard->second.end())
      return std::nullopt;
    fleet = fleet ? Combine(*fleet, one->second) : one->second;
  }
  return fleet;
}

void SteeringDriver::ObserveFleet(TimePoint now) {
  const auto live = view_->Live();
  const bool is_alone =
      std::none_of(live.begin(), live.end(), [this](const Member* member) {
        return member->id != context_.host.self;
      });
  for (const Service& service : configuration_->configuration().services) {
    const auto id = ServiceId::Of(service.name);
    auto fleet = FleetOf(id);
    context_.host.steering.With([&](SteeringCore& core) {
      const ShiftCore* const shift = core.Shift(id);
      if (shift == nullptr)
        return;
      if (is_alone)
        fleet = shift->OwnProgress(now);
      if (fleet)
        core.ObserveFleet(id, *fleet, now);
    });
  }
}

// Answers live longer than a guard's lease, so only the base part, which
// nobody takes over while its long lease runs, is steered into.
void SteeringDriver::GrantCapacity(const OwnShare& own) {
  std::vector<HeadroomGrant> grants;
  for (const ResourceCapacity& resource :
       CapacitiesOf(configuration_->configuration())) {
    grants.push_back(
        {resource.resource, PartOf(resource.rate, own.base), own.base_until});
  }
  context_.host.steering.With([&](SteeringCore& core) {
    for (const HeadroomGrant& grant : grants)
      core.Grant(grant);
  });
}

void SteeringDriver::Measure(TimePoint now) {
  for (const Service& service : configuration_->configuration().services)
    MeasureService(service, now);
}

void SteeringDriver::MeasureService(const Service& service, TimePoint now) {
  const auto id = ServiceId::Of(service.name);
  const auto dispatcher = context_.host.dispatchers.Find(id);
  if (!dispatcher)
    return;
  struct SiteSum {
    double rate = 0;
    bool up = false;
  };
  std::map<SiteId, SiteSum> sites;
  for (const ServerState& state : dispatcher->States(now)) {
    const BackendServer* const server = configuration_->Find(state.server);
    if (server == nullptr)
      continue;
    SiteSum& sum = sites[SiteId::Of(server->site)];
    sum.rate += RateAt(state);
    sum.up =
        sum.up || (!state.leaving && state.ejected == EjectionReason::kNone);
  }
  context_.host.steering.With([&](SteeringCore& core) {
    for (const auto& [site, sum] : sites) {
      const Site* const declared = configuration_->Find(site);
      const auto rate = static_cast<std::int64_t>(sum.rate);
      const std::int64_t room =
          std::max<std::int64_t>(declared->capacity - rate, 0);
      core.Observe(id, {site, sum.up, rate, room, now}, now);
    }
  });
}

}  // namespace comfreyvane
