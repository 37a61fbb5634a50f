#include "comfreyvane/host/route_driver.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>

#include "comfreyvane/config/configuration_index.h"
#include "comfreyvane/host/service_dispatcher.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/json_text.h"
#include "comfreyvane/wire/route_codec.h"

namespace comfreyvane {
namespace {

constexpr Duration kUsePeriod = std::chrono::milliseconds(200);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(800);
constexpr unsigned kOk = 200;

/// @return a number in the report, zero without one.
std::uint32_t NumberIn(const Json::Value& report, const char* name) {
  const Json::Value& value = report[name];
  return value.isUInt() ? value.asUInt() : 0;
}

}  // namespace

RouteDriver::RouteDriver(ControlContext& context, TimePoint now)
    : context_(context),
      probes_(ProbeBudget{}, context.host.incarnation.value()),
      view_(std::make_shared<const MemberView>()),
      next_use_(now) {}

void RouteDriver::OnTick(TimePoint now) {
  for (const auto& [service, dispatcher] : context_.host.dispatchers.All())
    dispatcher->OnTick(now);
  if (now >= next_use_) {
    next_use_ = now + kUsePeriod;
    TellUse();
  }
  Probe(now);
}

void RouteDriver::OnMembers(const MemberViewPtr& view, TimePoint now) {
  view_ = view;
  Configure(now);
}

void RouteDriver::OnConfiguration(
    std::shared_ptr<const ConfigurationIndex> configuration,
    TimePoint now) {
  configuration_ = std::move(configuration);
  Configure(now);
}

std::vector<ServerQuota> RouteDriver::Quotas() const {
  std::vector<SubsetHost> hosts;
  for (const Member* member : view_->Live())
    hosts.push_back({member->id, member->domain()});
  std::vector<SubsetServer> servers;
  for (const auto& server : configuration_->configuration().backend_servers) {
    const Site* const site = configuration_->FindSite(server.site);
    servers.push_back({BackendServerId::Of(server.name),
                       FailureDomainId::Of(site->failure_domain),
                       server.connections});
  }
  const HostId self = context_.host.self;
  const bool listed =
      std::any_of(hosts.begin(), hosts.end(),
                  [self](const SubsetHost& host) { return host.id == self; });
  if (!listed) {
    hosts.push_back(
        {self, FailureDomainId::Of(context_.host.settings.failure_domain)});
  }
  return ServerSubset::Divide(self, hosts, servers);
}

Distance RouteDriver::DistanceTo(const FailureDomain& domain) const {
  const HostSettings& settings = context_.host.settings;
  if (domain.name == settings.failure_domain)
    return Distance::kSameFailureDomain;
  if (domain.region == settings.region)
    return Distance::kSameRegion;
  return Distance::kOtherRegion;
}

std::vector<RouteServer> RouteDriver::ServersOf(
    ServiceId service,
    const std::unordered_map<BackendServerId, ServerQuota>& quotas) const {
  std::vector<RouteServer> servers;
  for (const BackendServer* server :
       configuration_->BackendServersOf(service)) {
    const Site* const site = configuration_->FindSite(server->site);
    const FailureDomain* const domain =
        configuration_->FindFailureDomain(site->failure_domain);
    const auto id = BackendServerId::Of(server->name);
    const auto quota = quotas.find(id);
    servers.push_back({id, SiteId::Of(site->name), RegionId::Of(domain->region),
                       DistanceTo(*domain), server->slots,
                       quota == quotas.end() ? 0 : quota->second.connections,
                       server->leaving});
  }
  return servers;
}

void RouteDriver::Configure(TimePoint now) {
  if (!configuration_)
    return;
  std::unordered_map<BackendServerId, ServerQuota> quotas;
  std::vector<ProbeTarget> targets;
  for (const ServerQuota& quota : Quotas()) {
    quotas[quota.server] = quota;
    if (quota.connections > 0)
      targets.push_back({quota.server, std::max(quota.hosts, 1U)});
  }
  std::vector<ServiceDispatcher::Weight> weights;
  for (const Workspace& workspace : configuration_->configuration().workspaces)
    weights.push_back({WorkspaceId::Of(workspace.name), workspace.weight});
  for (const Service& service : configuration_->configuration().services) {
    const auto id = ServiceId::Of(service.name);
    const auto dispatcher = context_.host.dispatchers.Ensure(id);
    dispatcher->Configure(ServersOf(id, quotas), weights, now);
  }
  // Services that were dropped have no servers any more.
  for (const auto& [service, dispatcher] : context_.host.dispatchers.All()) {
    if (configuration_->Find(service) == nullptr)
      dispatcher->Configure({}, weights, now);
  }
  probes_.OnTargets(targets, now);
}

void RouteDriver::TellUse() {
  ++sequence_;
  for (const auto& [service, dispatcher] : context_.host.dispatchers.All()) {
    const PeerUse use{context_.host.self, context_.host.incarnation, sequence_,
                      service, dispatcher->Use()};
    // Peers forget what is not repeated, so that an idle service needs no
    // message beyond the one that says so.
    const bool is_idle = use.servers.empty();
    if (is_idle && idle_.contains(service))
      continue;
    if (is_idle)
      idle_.insert(service);
    else
      idle_.erase(service);
    context_.peers.SendToAll(peer_method::kUse, ToJson(use));
  }
}

void RouteDriver::OnUse(const Json::Value& json, TimePoint now) {
  const auto use = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<PeerUse>> {
        BOOST_LEAF_AUTO(parsed, PeerUseFromJson(json));
        return std::optional<PeerUse>(std::move(parsed));
      },
      [] { return std::optional<PeerUse>(); });
  if (!use)
    return;
  if (const auto dispatcher = context_.host.dispatchers.Find(use->service)) {
    dispatcher->WithRoutes(
        [&](RouteCore& routes) { routes.OnPeerUse(*use, now); }, now);
  }
}

void RouteDriver::OnCrash(const Json::Value& json, TimePoint now) {
  const auto evidence = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<CrashEvidence>> {
        BOOST_LEAF_AUTO(parsed, CrashEvidenceFromJson(json));
        return std::optional<CrashEvidence>(std::move(parsed));
      },
      [] { return std::optional<CrashEvidence>(); });
  if (evidence)
    context_.host.crashes.OnEvidence(*evidence, now);
}

void RouteDriver::OnCleared(const Json::Value& json, TimePoint now) {
  const auto cleared = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<SuspectCleared>> {
        BOOST_LEAF_AUTO(parsed, SuspectClearedFromJson(json));
        return std::optional<SuspectCleared>(parsed);
      },
      [] { return std::optional<SuspectCleared>(); });
  if (cleared)
    context_.host.crashes.OnCleared(*cleared, now);
}

void RouteDriver::Probe(TimePoint now) {
  for (const BackendServerId id : probes_.TakeDue(now)) {
    const BackendServer* const server = configuration_->Find(id);
    if (server != nullptr)
      asio::co_spawn(context_.io, ProbeServer(*server), asio::detached);
  }
}

asio::awaitable<void> RouteDriver::ProbeServer(BackendServer server) {
  error_code error;
  const auto address = asio::ip::make_address(server.address, error);
  if (error)
    co_return;
  const tcp::endpoint endpoint(address, server.port);
  auto& client = clients_[BackendServerId::Of(server.name)];
  if (!client || client->server() != endpoint) {
    client =
        std::make_shared<HttpClient>(context_.io, context_.sweeper, endpoint);
  }
  // Another probe may replace the client meanwhile.
  const std::shared_ptr<HttpClient> used = client;
  const TimePoint asked_at = MonotonicNow();
  // Named, since GCC 12 destroys a braced temporary in an awaited call twice.
  HttpCall call{boost::beast::http::verb::get, "/load", {}, {}};
  const HttpCallResult result =
      co_await used->Call(std::move(call), asked_at + kProbeTimeout);
  OnLoad(server, result, asked_at, MonotonicNow());
}

void RouteDriver::OnLoad(const BackendServer& server,
                         const HttpCallResult& result,
                         TimePoint asked_at,
                         TimePoint now) {
  const auto dispatcher =
      context_.host.dispatchers.Find(ServiceId::Of(server.service));
  if (!dispatcher)
    return;
  ProbeOutcome outcome = ProbeOutcome::kConnectFailed;
  std::optional<LoadReport> report;
  if (result.status == HttpCallStatus::kNoAnswer)
    outcome = ProbeOutcome::kNoAnswer;
  if (result.status == HttpCallStatus::kAnswered) {
    outcome = ProbeOutcome::kUnhealthy;
    const auto json = ParseJson(result.body);
    if (result.http_status == kOk && json && json->isObject()) {
      outcome = ProbeOutcome::kHealthy;
      report = LoadReport{
          NumberIn(*json, "running"), NumberIn(*json, "queued"),
          (*json)["leaving"].isBool() && (*json)["leaving"].asBool()};
    }
  }
  const auto id = BackendServerId::Of(server.name);
  dispatcher->WithRoutes(
      [&](RouteCore& routes) {
        routes.OnProbe(id, outcome, now);
        if (report)
          routes.OnLoadReport(id, *report, asked_at, now);
      },
      now);
}

}  // namespace comfreyvane
