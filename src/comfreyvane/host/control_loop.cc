#include "comfreyvane/host/control_loop.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "comfreyvane/config/configuration_index.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/wire/route_codec.h"

namespace comfreyvane {
namespace {

constexpr auto kTickPeriod = std::chrono::milliseconds(25);
constexpr Duration kExpiryPeriod = std::chrono::seconds(1);

tcp::endpoint ToEndpoint(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

HttpLimits ControlLimits() {
  HttpLimits limits;
  limits.header_bytes = 32 * 1024;
  return limits;
}

}  // namespace

ControlLoop::ControlLoop(HostContext& host, Secrets secrets, TimePoint now)
    : host_(host),
      io_(1),
      sweeper_(io_),
      authenticator_(std::move(secrets.peer)),
      platform_(io_,
                sweeper_,
                ToEndpoint(host.settings.platform),
                host.settings.timeouts.platform_call),
      peers_(io_,
             sweeper_,
             host.self,
             host.incarnation,
             host.settings.timeouts.peer_call,
             authenticator_),
      context_{host, io_, sweeper_, platform_, peers_},
      members_(context_,
               {[this](TimePoint at) { OnView(at); },
                [this](TimePoint at) { configurations_.OnResumed(at); }},
               now),
      configurations_(
          context_,
          [this](const std::shared_ptr<const ConfigurationIndex>& index,
                 TimePoint at) { OnInForce(index, at); }),
      limits_(context_, now),
      routes_(context_, now),
      steering_(context_, now),
      operators_(context_, configurations_, [this] { return members_.view(); }),
      handler_(context_,
               authenticator_,
               notifications_,
               operators_,
               std::move(secrets.operators)),
      listener_(io_,
                ToEndpoint(host.settings.peer),
                // A second run of this host must not start beside this one.
                PortSharing::kExclusive,
                nullptr,
                sweeper_,
                ControlLimits(),
                handler_),
      timer_(io_),
      next_expiry_(now) {
  Bind();
}

void ControlLoop::Bind() {
  const auto bind = [this](const char* method, auto receive) {
    notifications_.Bind(method, [this, receive](const Json::Value& message) {
      receive(handler_.sender(), message, MonotonicNow());
    });
  };
  using Json = const Json::Value&;
  bind(peer_method::kMember, [this](HostId from, Json json, TimePoint now) {
    members_.OnMessage(from, json, now);
  });
  bind(peer_method::kSpread, [this](HostId from, Json json, TimePoint now) {
    configurations_.OnSpreadMessage(from, json, now);
  });
  bind(peer_method::kFreshness, [this](HostId from, Json json, TimePoint now) {
    configurations_.OnFreshnessMessage(from, json, now);
  });
  bind(peer_method::kApply, [this](HostId from, Json json, TimePoint now) {
    configurations_.OnForwardedApply(from, json, now);
  });
  bind(peer_method::kApplied, [this](HostId, Json json, TimePoint) {
    configurations_.OnForwardedResult(json);
  });
  bind(peer_method::kLoans, [this](HostId from, Json json, TimePoint now) {
    limits_.OnLoans(from, json, now);
  });
  bind(peer_method::kGuard, [this](HostId from, Json json, TimePoint now) {
    limits_.OnGuard(from, json, now);
  });
  bind(peer_method::kUse,
       [this](HostId, Json json, TimePoint now) { routes_.OnUse(json, now); });
  bind(peer_method::kCrash, [this](HostId, Json json, TimePoint now) {
    routes_.OnCrash(json, now);
  });
  bind(peer_method::kCleared, [this](HostId, Json json, TimePoint now) {
    routes_.OnCleared(json, now);
  });
  bind(peer_method::kShift, [this](HostId from, Json json, TimePoint now) {
    steering_.OnPeer(from, json, now);
  });
  bind(peer_method::kStop,
       [this](HostId, Json, TimePoint now) { host_.stop.Stop(now); });
}

void ControlLoop::Run() {
  sweeper_.Start();
  listener_.Start();
  Tick();
  io_.run();
}

void ControlLoop::Tick() {
  OnTick(MonotonicNow());
  timer_.expires_after(kTickPeriod);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      Tick();
  });
}

void ControlLoop::OnTick(TimePoint now) {
  members_.OnTick(now);
  configurations_.OnTick(now);
  limits_.OnTick(now);
  routes_.OnTick(now);
  steering_.OnTick(limits_.own_share(now), now);
  host_.store_records.OnTick(now);
  host_.stop.OnTick(now);
  CheckReturned(now);
  if (now < next_expiry_)
    return;
  next_expiry_ = now + kExpiryPeriod;
  host_.host_records.Expire(now);
  host_.metrics.SetGauge(
      GaugeName::kLiveHosts,
      static_cast<std::int64_t>(members_.view()->Live().size()));
}

void ControlLoop::OnView(TimePoint now) {
  const MemberViewPtr view = members_.view();
  peers_.Update(view);
  configurations_.OnMembers(view, members_.graph(), now);
  const auto configuration = host_.configuration.Load();
  limits_.OnMembers(*view, configuration.get(), now);
  routes_.OnMembers(view, now);
  steering_.OnMembers(view);
}

void ControlLoop::OnInForce(
    const std::shared_ptr<const ConfigurationIndex>& index,
    TimePoint now) {
  for (const Service& service : index->configuration().services) {
    if (service.once == OncePolicy::kStoreRecord)
      host_.store_records.Ensure(ServiceId::Of(service.name), now);
  }
  limits_.OnConfiguration(*index, now);
  limits_.OnMembers(*members_.view(), index.get(), now);
  routes_.OnConfiguration(index, now);
  steering_.OnConfiguration(index, now);
  host_.configuration.Publish(index);
}

void ControlLoop::AnnounceLeaving() {
  asio::post(io_, [this] {
    const TimePoint now = MonotonicNow();
    members_.Leave(now);
    configurations_.Leave();
  });
}

void ControlLoop::ReturnLeases() {
  asio::post(io_, [this] {
    returning_ = true;
    limits_.Stop(MonotonicNow());
  });
}

void ControlLoop::CheckReturned(TimePoint now) {
  if (!returning_ || !limits_.released())
    return;
  returning_ = false;
  host_.stop.OnLeasesReturned(now);
}

void ControlLoop::Quit() {
  asio::post(io_, [this] { io_.stop(); });
}

void ControlLoop::SendCrashEvidence(CrashEvidence evidence) {
  asio::post(io_, [this, evidence = std::move(evidence)] {
    Log(LogLevel::kWarning, "backend-server-crashed",
        {{"backend_server", evidence.server},
         {"running", evidence.running.size()}});
    peers_.SendToAll(peer_method::kCrash, ToJson(evidence));
  });
}

void ControlLoop::SendCleared(SuspectCleared cleared) {
  asio::post(io_, [this, cleared] {
    peers_.SendToAll(peer_method::kCleared, ToJson(cleared));
  });
}

void ControlLoop::CarryOut(ServiceId service,
                           std::vector<StoreRecordAction> actions) {
  asio::post(io_, [this, service, actions = std::move(actions)] {
    for (const StoreRecordAction& action : actions)
      CarryOutOne(service, action);
  });
}

void ControlLoop::CarryOutOne(ServiceId service,
                              const StoreRecordAction& action) {
  if (const auto* commit = std::get_if<CommitTransaction>(&action)) {
    platform_.Commit(
        commit->transaction, [this, service](const TableOutcome& outcome) {
          host_.store_records.OnOutcome(service, outcome, MonotonicNow());
        });
    return;
  }
  const auto on_reading = [this, service](std::uint64_t read) {
    return [this, service, read](const TableReading& reading) {
      host_.store_records.OnReading(service, read, reading, MonotonicNow());
    };
  };
  if (const auto* read = std::get_if<ReadRecords>(&action))
    platform_.Read(read->keys, on_reading(read->read));
  else if (const auto* scan = std::get_if<ScanRecords>(&action))
    platform_.Scan(scan->prefix, on_reading(scan->read));
}

}  // namespace comfreyvane
